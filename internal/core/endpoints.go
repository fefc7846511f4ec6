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

// endpointTable holds the core's data about engines: which are listed, which are ejected manually, when each
// started and when each last answered. All fields except ready are owned by the core's goroutine.
type endpointTable struct {
	listed       map[string]Endpoint
	ejections    *ejection.Set
	starts       *starttime.Table
	lastResponse map[string]time.Time
	ready        atomic.Bool // at least one engine accepts requests
}

func newEndpointTable(clock starttime.Clock) *endpointTable {
	return &endpointTable{
		listed: map[string]Endpoint{}, ejections: ejection.New(),
		starts: starttime.New(clock), lastResponse: map[string]time.Time{},
	}
}

// UpdateEndpoints applies an update of the engine list from a directory.
func (c *Core) UpdateEndpoints(scope routing.EngineListScope, endpoints []Endpoint) {
	c.post(engineListUpdated{scope, endpoints})
}

func (c *Core) updateEndpoints(scope routing.EngineListScope, endpoints []Endpoint) {
	c.dispatch(c.endpoints.update(scope, endpoints, starttime.Clock{Now: c.clock.now(), Wall: c.clock.wall()}))
}

// update applies an engine list and returns the router's event for it. Data about engines that are no longer
// listed is deleted, since new engines get new names and the table would grow without bound. A release at
// an engine that is no longer listed uses the copy of its entry in the request's heldState.
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
	t.deleteUnlisted()
	t.updateReady()
	return list
}

// ejectionsChanged returns the router's event for a change of ejections.
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

// updateReady sets ready.
func (t *endpointTable) updateReady() {
	ready := false
	for _, e := range t.listed {
		ready = ready || e.Phase == routing.PhaseActive && !t.ejections.Ejected(e.Name)
	}
	t.ready.Store(ready)
}

// recordResponse records that an engine has answered just now, on any connection. The time only orders the
// alternates of a release; it is no evidence that a particular attempt has arrived.
func (t *endpointTable) recordResponse(engine string) { t.lastResponse[engine] = time.Now() }

func (t *endpointTable) deleteUnlisted() {
	maps.DeleteFunc(t.lastResponse, func(name string, _ time.Time) bool {
		_, listed := t.listed[name]
		return !listed
	})
}

// alternatesByLastResponse returns up to limit engines other than engine, those with the most recent
// response first. Its memory use is bounded by limit, not by the number of listed engines.
func (t *endpointTable) alternatesByLastResponse(engine string, limit int) []Endpoint {
	byRecency := func(a, b Endpoint) int {
		return cmp.Or(t.lastResponse[b.Name].Compare(t.lastResponse[a.Name]), cmp.Compare(a.Name, b.Name))
	}
	alternates := make([]Endpoint, 0, limit+1)
	for name, e := range t.listed {
		full := len(alternates) == limit
		if name == engine || full && byRecency(alternates[limit-1], e) < 0 {
			continue
		}
		index, _ := slices.BinarySearchFunc(alternates, e, byRecency)
		alternates = slices.Insert(alternates, index, e)
		alternates = alternates[:min(len(alternates), limit)]
	}
	return alternates
}

// Ready reports whether at least one engine accepts requests.
func (c *Core) Ready() bool { return c.endpoints.ready.Load() }

// SetGateways sets the number of gateways that share the engines.
func (c *Core) SetGateways(n int) { c.post(gatewayCountChanged{n}) }

// startProbe requests a load report from an engine.
func (c *Core) startProbe(engine string) {
	endpoint, listed := c.endpoints.listed[engine]
	if !c.checks.Assert(listed, "a probe is for a listed engine") {
		return
	}
	sentAt := time.Now()
	c.transport.Probe(endpoint, func(s routing.Status, r *routing.LoadReport) {
		c.post(probeAnswered{engine, sentAt, s, r})
	})
}
