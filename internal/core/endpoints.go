package core

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"wellgw/decide/ejection"
	"wellgw/decide/starttime"
	"wellgw/routing"
)

// endpointTable is what the core knows of engines: which are listed, which are ejected manually, when
// they started and when each has last answered. All but ready is owned by the core's goroutine.
type endpointTable struct {
	listed    map[string]Endpoint
	ejections *ejection.Set
	starts    *starttime.Table
	lastHeard map[string]time.Time
	ready     atomic.Bool // some engine may be sent to
}

func newEndpointTable(clock starttime.Clock) *endpointTable {
	return &endpointTable{
		listed: map[string]Endpoint{}, ejections: ejection.New(),
		starts: starttime.New(clock), lastHeard: map[string]time.Time{},
	}
}

// UpdateEndpoints takes over what a directory has learned.
func (c *Core) UpdateEndpoints(scope routing.EngineListScope, endpoints []Endpoint) {
	c.post(engineListUpdated{scope, endpoints})
}

func (c *Core) updateEndpoints(scope routing.EngineListScope, endpoints []Endpoint) {
	c.dispatch(c.endpoints.update(scope, endpoints, starttime.Clock{Now: c.clock.now(), Wall: c.clock.wall()}))
}

// update takes over a list and returns the router's event on it. Engines that are not listed any more
// are forgotten, as new ones come under ever new names; a release at one of them goes by the copy of
// its entry that the request keeps.
func (t *endpointTable) update(scope routing.EngineListScope, endpoints []Endpoint, clock starttime.Clock) routing.EngineList {
	list := routing.EngineList{Scope: scope}
	if scope == routing.EngineListSnapshot || scope == routing.EngineListStale {
		clear(t.listed)
	}
	for _, e := range endpoints {
		e.StartTime = t.starts.Start(e.Name, e.StartedAt, clock)
		if t.listed[e.Name] = e; e.Phase == routing.PhaseRemoved {
			delete(t.listed, e.Name)
		}
		t.ejections.Register(e.Name)
		list.Engines = append(list.Engines, t.ejections.EffectiveInfo(e.EngineInfo))
	}
	t.forgetUnlisted()
	t.updateReady()
	return list
}

// ejectionsChanged returns the router's event on a change of ejections.
func (t *endpointTable) ejectionsChanged(change ejection.Change) routing.EngineList {
	list := routing.EngineList{Scope: routing.EngineListDelta}
	for _, names := range [][]string{change.Ejected, change.Restored} {
		for _, name := range names {
			if e, ok := t.listed[name]; ok {
				list.Engines = append(list.Engines, t.ejections.EffectiveInfo(e.EngineInfo))
			}
		}
	}
	t.updateReady()
	return list
}

// updateReady sets whether some engine may be sent to.
func (t *endpointTable) updateReady() {
	ready := false
	for _, e := range t.listed {
		ready = ready || e.Phase == routing.PhaseActive && !t.ejections.Ejected(e.Name)
	}
	t.ready.Store(ready)
}

// recordHeard records that an engine has answered just now, on whichever connection. It says in which
// order engines are tried, and nothing about any one call.
func (t *endpointTable) recordHeard(engine string) { t.lastHeard[engine] = time.Now() }

func (t *endpointTable) forgetUnlisted() {
	maps.DeleteFunc(t.lastHeard, func(name string, _ time.Time) bool {
		_, listed := t.listed[name]
		return !listed
	})
}

// othersByLastHeard returns at most so many other engines than one, those first that were heard
// last. It keeps no more than it returns while it goes through the list.
func (t *endpointTable) othersByLastHeard(engine string, most int) []Endpoint {
	latest := func(a, b Endpoint) int {
		return cmp.Or(t.lastHeard[b.Name].Compare(t.lastHeard[a.Name]), cmp.Compare(a.Name, b.Name))
	}
	others := make([]Endpoint, 0, most+1)
	for name, e := range t.listed {
		full := len(others) == most
		if name == engine || full && latest(others[most-1], e) < 0 {
			continue
		}
		index, _ := slices.BinarySearchFunc(others, e, latest)
		others = slices.Insert(others, index, e)
		others = others[:min(len(others), most)]
	}
	return others
}

// Ready reports whether there is an engine to send to.
func (c *Core) Ready() bool { return c.endpoints.ready.Load() }

// SetGateways tells how many gateways share the engines from now on.
func (c *Core) SetGateways(n int) { c.post(gatewaysCounted{n}) }

// startProbe requests a load report from an engine.
func (c *Core) startProbe(engine string) {
	endpoint, listed := c.endpoints.listed[engine]
	if !c.checks.Assert(listed, "a probe goes to a known engine") {
		return
	}
	sentAt := time.Now()
	c.transport.Probe(endpoint, func(s routing.Status, r *routing.LoadReport) {
		c.post(probeAnswered{engine, sentAt, s, r})
	})
}
