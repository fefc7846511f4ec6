package routing

import (
	"slices"
	"testing"
	"time"
)

// Among many routers each sees a prefill engine too seldom to know its queue: before a
// request's first choice the likeliest prefill engine is probed, and the request goes by the
// report. A lost probe delays it by a tick at most; a prefill engine awaited is not asked again.
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
	asked := probes(first)
	if len(asked) != 1 || has[Send](first) {
		t.Fatalf("probes %v and a send %v, want %d probes and no send", asked, has[Send](first), 1)
	}
	if again := probes(r.Handle(time.Second, testRequest(2, 1000))); slices.Contains(again, asked[0]) {
		t.Errorf("%s was probed again while its answer was awaited", asked[0])
	}
	long := 40.0
	if to := sentTo(t, r.Handle(time.Second+ms, ProbeResult{Engine: asked[0], Report: &LoadReport{QueueLength: &long}})); to == asked[0] {
		t.Errorf("sent to %s, whose report shows a long queue", to)
	}
	r = newTestRouter(t, set, engines...)
	r.Handle(time.Second, testRequest(1, 1000))
	if !has[Send](r.Handle(time.Second+r.tickPeriod(), TimerFired{Name: "tick"})) {
		t.Error("a request that waits for a lost probe was not sent at the tick")
	}
	// Few routers, no probes allowed, or no text that draws all alike: sent at once.
	for _, c := range []struct {
		routers    int
		can, quiet bool
	}{{2, true, false}, {80, false, false}, {80, true, true}} {
		set.Gateways, set.CanProbe = c.routers, c.can
		q := testRequest(1, 1000)
		if c.quiet {
			q.Session = ""
		}
		if acts := newTestRouter(t, set, engines...).Handle(time.Second, q); len(probes(acts)) != 0 || !has[Send](acts) {
			t.Errorf("%+v: probes %v", c, probes(acts))
		}
	}
}

// Nothing is sent for a request whose client left while a probe was awaited, whether the probe is
// answered or lost.
func TestNoSendAfterClientLeftDuringProbe(t *testing.T) {
	set := testSettings()
	set.Gateways, set.CanProbe = 80, true
	for name, after := range map[string]func(engine string) Event{
		"answered": func(engine string) Event { return ProbeResult{Engine: engine, Report: &LoadReport{}} },
		"lost":     func(string) Event { return TimerFired{Name: "tick"} },
	} {
		r := newTestRouter(t, set, testEngine("r1", "r", 0), testEngine("r2", "r", 0), testEngine("w1", "w", 0))
		first := slices.Clone(r.Handle(time.Second, testRequest(1, 1000)))
		at := slices.IndexFunc(first, func(a Action) bool { _, is := a.(Probe); return is })
		if at < 0 || has[Send](first) {
			t.Fatalf("%s: %v, want a probe and no send", name, first)
		}
		gone := slices.Clone(r.Handle(time.Second+ms, ClientGone{ID: 1}))
		then := r.Handle(time.Second+r.tickPeriod(), after(first[at].(Probe).Engine))
		if has[Send](gone) || has[Send](then) || len(r.requests) > 0 {
			t.Errorf("%s: %v, then %v, %d requests left", name, gone, then, len(r.requests))
		}
	}
}
