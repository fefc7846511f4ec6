package routing

import (
	"slices"
	"testing"
	"time"
)

// Each of many routers uses a prefill engine too rarely to estimate its queue: before the first placement
// of a request, the prefill engine of minimum cost is probed, and placement uses the report. A lost probe
// delays the request by one tick at most, and an engine is not probed while a probe is pending.
func TestManyRoutersProbePrefillEngines(t *testing.T) {
	set := testSettings()
	set.Gateways, set.CanProbe = 80, true
	engines := []EngineInfo{testEngine("r1", "r", 0), testEngine("r2", "r", 0), testEngine("w1", "w", 0)}
	probes := func(actions []Action) (to []string) {
		for _, a := range actions {
			if p, ok := a.(Probe); ok {
				to = append(to, p.Engine)
			}
		}
		return to
	}
	r := newTestRouter(t, set, engines...)
	first := slices.Clone(r.Handle(time.Second, testRequest(1, 1000)))
	probed := probes(first)
	if len(probed) != 1 || has[Send](first) {
		t.Fatalf("probes of %v and send %v, want %d probe and no send", probed, has[Send](first), 1)
	}
	if second := probes(r.Handle(time.Second, testRequest(2, 1000))); slices.Contains(second, probed[0]) {
		t.Errorf("%s was probed while a probe was pending", probed[0])
	}
	long := 40.0
	if to := sentTo(t, r.Handle(time.Second+ms, ProbeResult{Engine: probed[0],
		Report: &LoadReport{QueueLength: &long}})); to == probed[0] {
		t.Errorf("sent to %s, whose report shows a long queue", to)
	}
	r = newTestRouter(t, set, engines...)
	r.Handle(time.Second, testRequest(1, 1000))
	if !has[Send](r.Handle(time.Second+r.tickPeriod(), TimerFired{Name: "tick"})) {
		t.Error("a request that waits for a lost probe was not sent on the next tick")
	}
	// With few routers, without CanProbe, or for a request without a session (no cached tokens), the request is
	// sent immediately.
	for _, c := range []struct {
		routers             int
		canProbe, noSession bool
	}{{2, true, false}, {80, false, false}, {80, true, true}} {
		set.Gateways, set.CanProbe = c.routers, c.canProbe
		q := testRequest(1, 1000)
		if c.noSession {
			q.Session = ""
		}
		if acts := newTestRouter(t, set, engines...).Handle(time.Second, q); len(probes(acts)) != 0 ||
			!has[Send](acts) {
			t.Errorf("%+v: probes of %v, want none and a send", c, probes(acts))
		}
	}
}

// A request whose client disconnects while a probe is pending must not be sent, whether the probe succeeds
// or is lost.
func TestNoSendAfterClientDisconnectsDuringProbe(t *testing.T) {
	set := testSettings()
	set.Gateways, set.CanProbe = 80, true
	for name, after := range map[string]func(engine string) Event{
		"successful": func(engine string) Event { return ProbeResult{Engine: engine, Report: &LoadReport{}} },
		"lost":       func(string) Event { return TimerFired{Name: "tick"} },
	} {
		r := newTestRouter(t, set, testEngine("r1", "r", 0), testEngine("r2", "r", 0), testEngine("w1", "w", 0))
		first := slices.Clone(r.Handle(time.Second, testRequest(1, 1000)))
		at := slices.IndexFunc(first, func(a Action) bool { _, is := a.(Probe); return is })
		if at < 0 || has[Send](first) {
			t.Fatalf("%s: actions %v, want a probe and no send", name, first)
		}
		onDisconnect := slices.Clone(r.Handle(time.Second+ms, ClientGone{ID: 1}))
		onResult := r.Handle(time.Second+r.tickPeriod(), after(first[at].(Probe).Engine))
		if has[Send](onDisconnect) || has[Send](onResult) || len(r.requests) > 0 {
			t.Errorf("%s: actions %v on disconnect, %v after the probe, %d requests left; want no send and none left",
				name, onDisconnect, onResult, len(r.requests))
		}
	}
}
