package routing

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

func testSettings() Settings {
	return Settings{
		Zone: "z", Zones: []string{"z", "y"}, Gateways: 2, MaxAttempts: 6, CanCancel: true, CanRetryAfter: true,
		MaxRetryAfter: time.Second,
		Classes: []Class{
			{Name: "c", FirstTokenObjective: time.Second, TokenIntervalObjective: 50 * ms, PriorityWeight: 1},
			{
				Name: "keyed", FirstTokenObjective: time.Second, PriorityWeight: 1, Effect: EffectDeduplicated,
				DedupScope: DedupCell, DedupWindow: 2 * time.Second,
			},
			{Name: "once", FirstTokenObjective: time.Second, PriorityWeight: 1, Effect: EffectAtMostOnce},
		},
		Kinds: []EngineKind{
			{Name: "r", Role: RolePrefill, Memory: 2e5}, {Name: "w", Role: RoleDecode, Memory: 2e5},
			{Name: "m", Role: RoleMixed, Memory: 2e5},
		},
		SlowStartPeriod: 10 * time.Second, SlowStartCapacity: 0.3,
		OverloadWindow: 2 * time.Second, OverloadMultiple: 3,
		HeldStateLimit: 500 * ms, TickInterval: ms,
	}
}

func testEngine(name, kind string, cell int) EngineInfo {
	return EngineInfo{Name: name, Kind: kind, Zone: "z", Cell: cell, Weight: 1}
}

func newTestRouter(t *testing.T, set Settings, engines ...EngineInfo) *Router {
	t.Helper()
	r, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	r.Handle(0, EngineList{Scope: EngineListStale, Engines: engines})
	return r
}

func testRequest(id RequestID, prompt int) Request {
	return Request{
		ID: id, Class: "c", Session: fmt.Sprint("s", id), PromptTokens: prompt, MaxTokens: 100,
		TTL: 5 * time.Second,
	}
}

// sentTo returns the engine of the only Send among the actions.
func sentTo(t *testing.T, actions []Action) string {
	t.Helper()
	engine := ""
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			if engine != "" {
				t.Fatal("more than one Send")
			}
			engine = s.Engine
		}
	}
	if engine == "" {
		t.Fatalf("no Send among the actions: %v", actions)
	}
	return engine
}

// has reports whether the actions contain one of type A.
func has[A Action](actions []Action) bool {
	for _, a := range actions {
		if _, ok := a.(A); ok {
			return true
		}
	}
	return false
}

// prefilledAt returns the outcome of a prefill that found cachedTokens tokens in the engine's prefix cache.
func prefilledAt(id RequestID, attempt int, engine string, cachedTokens int) Outcome {
	return Outcome{
		ID: id, Attempt: attempt, Engine: engine, Status: StatusPrefilled, Latency: 20 * ms,
		CachedTokens: cachedTokens,
	}
}

// cacheSession records tokens of a session as cached at a prefill engine.
func cacheSession(r *Router, engine, session string, tokens int) {
	r.engines.byName[engine].cache.sessions[session] = cacheEntry{tokens, r.now}
}

// newTestRouters returns n routers that differ only in their seeds.
func newTestRouters(t *testing.T, n int, set Settings, engines ...EngineInfo) []*Router {
	t.Helper()
	set.Gateways = n
	var routers []*Router
	for seed := range n {
		r, err := New(set, uint64(seed))
		if err != nil {
			t.Fatal(err)
		}
		r.Handle(0, EngineList{Scope: EngineListStale, Engines: engines})
		routers = append(routers, r)
	}
	return routers
}
