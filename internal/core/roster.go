package core

import (
	"time"

	"wellgw/decide/starttime"
	"wellgw/routing"
)

// UpdateEndpoints tells what a directory has learned.
func (c *Core) UpdateEndpoints(scope routing.EngineListScope, members []Endpoint) {
	c.post(func() { c.roster(scope, members) })
}

func (c *Core) roster(scope routing.EngineListScope, members []Endpoint) {
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
		c.ejections.Register(m.Name)
		ev.Engines = append(ev.Engines, c.ejections.Effective(m.EngineInfo))
	}
	c.forgetUnlisted()
	c.setReady()
	c.tell(ev)
}

// SetGateways tells how many gateways share the engines from now on.
func (c *Core) SetGateways(n int) {
	c.post(func() { c.tell(routing.GatewaysChanged{Gateways: n}) })
}

func (c *Core) probe(engine string) {
	m, known := c.members[engine]
	if !c.checks.Hold(known, "a probe goes to a known engine") {
		return
	}
	sent := time.Now()
	c.engine.Probe(m, func(s routing.Status, r *routing.LoadReport) {
		c.post(func() {
			c.tell(routing.ProbeResult{Engine: engine, Status: s, Latency: time.Since(sent), Report: r})
		})
	})
}
