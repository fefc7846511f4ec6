package routing

import (
	"testing"
	"time"
)

func TestColdEngineGetsBoundedBurst(t *testing.T) {
	warm := []EngineInfo{testEngine("a", "r", 0), testEngine("b", "r", 0), testEngine("w", "w", 0)}
	r := newTestRouter(t, testSettings(), warm...)
	now, id := time.Duration(0), RequestID(0)
	serve := func() string {
		id++
		to := sentTo(t, r.Handle(now, testRequest(id, 500)))
		r.Handle(now+10*ms, prefilledAt(id, 0, to, 0))
		r.Handle(now+20*ms, FirstToken{ID: id, Attempt: 1, Engine: "w", Latency: 10 * ms})
		r.Handle(now+20*ms, Outcome{ID: id, Attempt: 1, Engine: "w", Status: StatusServed, Final: true})
		return to
	}
	for ; now < 10*time.Second; now += 100 * ms {
		serve() // 5 a second at each of the two prefill engines
	}
	cold := testEngine("c", "r", 0)
	cold.StartTime = now
	r.Handle(now, EngineList{Scope: EngineListDelta, Engines: []EngineInfo{cold}})
	got := 0
	for end := now + 2*time.Second; now < end; now += 20 * ms { // a burst
		if serve() == "c" {
			got++
		}
	}
	if most := int(3 * 0.3 * 5 * 2); got == 0 || got > most { // multiple x share x warm rate x window
		t.Errorf("an engine in slow start got %d sends in a fall window, want 1 to %d", got, most)
	}
}

// A cold engine that looks empty to 200 routers would draw a first send from each.
func TestManyRoutersSpareColdEngine(t *testing.T) {
	set, now := testSettings(), 20*time.Second
	cold := testEngine("cold", "r", 0)
	cold.StartTime = now
	all := newTestRouters(t, 200, set, testEngine("a", "r", 0), testEngine("b", "r", 0), testEngine("w", "w", 0), cold)
	toCold, sends := 0, 0
	for i, r := range all {
		r.throughputs[RolePrefill] = throughput{peakRate: 500 / 2.0, sampledAt: now} // half a request of 500 tokens a second
		r.meanPrompt.tokens["c"] = 500
		if sentTo(t, r.Handle(now, testRequest(RequestID(i), 500))) == "cold" {
			toCold++
		}
		sends++
	}
	// Warm peers carry 100 requests a second; the cold one may get 2 s x 3 x 0.3 of that.
	if most := 180; toCold == 0 || toCold > most {
		t.Errorf("%d of %d first sends went to an engine in slow start, want some but at most %d", toCold, sends, most)
	}
	for _, r := range all {
		r.throughputs[RolePrefill].peakRate = 0.01 * 500
		r.engines.byName["cold"].slowStart.sends = nil
	}
	toCold = 0
	for i, r := range all {
		r.engines.byName["a"].backoffs.until["\x00c"], r.engines.byName["b"].backoffs.until["\x00c"] = time.Hour, time.Hour
		if has[Send](r.Handle(now+time.Millisecond, testRequest(RequestID(1000+i), 500))) {
			toCold++
		}
	}
	if toCold > 15 { // a share of 0.0126 requests each
		t.Errorf("%d of 200 routers sent to the engine in slow start where all may send 3", toCold)
	}
}
