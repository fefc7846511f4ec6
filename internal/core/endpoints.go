package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wellgw/decide/starttime"
	"wellgw/routing"
)

// UpdateEndpoints tells what a directory has learned.
func (c *Core) UpdateEndpoints(scope routing.EngineListScope, members []Endpoint) {
	c.post(engineListUpdated{scope, members})
}

func (c *Core) updateEngines(scope routing.EngineListScope, members []Endpoint) {
	ev := routing.EngineList{Scope: scope}
	// Who has left is forgotten: engines come under ever new ids. What one still holds
	// is let go by the entry that its request keeps.
	if scope == routing.EngineListSnapshot || scope == routing.EngineListStale {
		clear(c.members)
	}
	clock := starttime.Clock{Now: c.now(), Wall: c.wall()}
	for _, m := range members {
		m.StartTime = c.starts.Start(m.Name, m.StartedAt, clock)
		if c.members[m.Name] = m; m.Phase == routing.PhaseRemoved {
			delete(c.members, m.Name)
		}
		c.ejections.See(m.Name)
		ev.Engines = append(ev.Engines, c.ejections.Show(m.EngineInfo))
	}
	c.forgetUnlisted()
	c.setReady()
	c.dispatch(ev)
}

// SetGateways tells how many gateways share the engines from now on.
func (c *Core) SetGateways(n int) {
	c.post(gatewaysCounted{n})
}

func (c *Core) startProbe(engine string) {
	m, known := c.members[engine]
	if !c.checks.Hold(known, "a probe goes to a known engine") {
		return
	}
	sent := time.Now()
	c.transport.Probe(m, func(s routing.Status, r *routing.LoadReport) {
		c.post(probeAnswered{engine, sent, s, r})
	})
}

// recordHeard records that an engine has answered just now.
func (c *Core) recordHeard(engine string) { c.lastHeard[engine] = time.Now() }

// forgetUnlisted forgets when engines that are no longer listed were heard. Engines come under
// ever new names.
func (c *Core) forgetUnlisted() {
	maps.DeleteFunc(c.lastHeard, func(name string, _ time.Time) bool {
		_, listed := c.members[name]
		return !listed
	})
}

// othersByLastHeard returns other engines than one, those first that were heard last.
func (c *Core) othersByLastHeard(engine string) []Endpoint {
	latest := func(a, b Endpoint) int {
		return cmp.Or(c.lastHeard[b.Name].Compare(c.lastHeard[a.Name]), cmp.Compare(a.Name, b.Name))
	}
	others := make([]Endpoint, 0, maxElsewhere+1)
	for name, m := range c.members {
		full := len(others) == maxElsewhere
		if name == engine || full && latest(others[maxElsewhere-1], m) < 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(others, m, latest)
		others = slices.Insert(others, at, m)
		others = others[:min(len(others), maxElsewhere)]
	}
	return others
}

// setReady tells whether some engine may be sent to.
func (c *Core) setReady() {
	on := false
	for _, m := range c.members {
		on = on || m.Phase == routing.PhaseActive && !c.ejections.Out(m.Name)
	}
	c.ready.Store(on)
}

// Ready tells whether there is an engine to send to.
func (c *Core) Ready() bool { return c.ready.Load() }
