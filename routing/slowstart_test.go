package routing

import (
	"testing"
	"time"
)

func TestSlowStartLimitsBurstToNewEngine(t *testing.T) {
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
		serve() // 5 requests per second at each of the two prefill engines
	}
	started := testEngine("c", "r", 0)
	started.StartTime = now
	r.Handle(now, EngineList{Scope: EngineListDelta, Engines: []EngineInfo{started}})
	sends := 0
	for end := now + 2*time.Second; now < end; now += 20 * ms { // a burst
		if serve() == "c" {
			sends++
		}
	}
	// OverloadMultiple x SlowStartCapacity x warm rate x OverloadWindow
	if limit := int(3 * 0.3 * 5 * 2); sends == 0 || sends > limit {
		t.Errorf("%d sends to an engine in slow start within OverloadWindow, want 1 to %d", sends, limit)
	}
}

// An engine in slow start that is idle would receive a first request from each of 200 routers, which would
// overload it.
func TestManyRoutersDoNotOverloadEngineInSlowStart(t *testing.T) {
	set, now := testSettings(), 20*time.Second
	started := testEngine("cold", "r", 0)
	started.StartTime = now
	all := newTestRouters(t, 200, set,
		testEngine("a", "r", 0), testEngine("b", "r", 0), testEngine("w", "w", 0), started)
	newSends, sends := 0, 0
	for i, r := range all {
		// Half a request of 500 tokens per second.
		r.throughputs[RolePrefill] = throughput{peakRate: 500 / 2.0, sampledAt: now}
		r.meanPrompt.tokens["c"] = 500
		if sentTo(t, r.Handle(now, testRequest(RequestID(i), 500))) == "cold" {
			newSends++
		}
		sends++
	}
	// A warm engine serves 100 requests per second; an engine in slow start may receive 2 s x 3 x 0.3 of that.
	if limit := 180; newSends == 0 || newSends > limit {
		t.Errorf("%d of %d first sends to the engine in slow start, want 1 to %d", newSends, sends, limit)
	}
	for _, r := range all {
		r.throughputs[RolePrefill].peakRate = 0.01 * 500
		r.engines.byName["cold"].slowStart.sends = nil
	}
	newSends = 0
	for i, r := range all {
		r.engines.byName["a"].backoffs.until["\x00c"],
			r.engines.byName["b"].backoffs.until["\x00c"] = time.Hour, time.Hour
		if has[Send](r.Handle(now+time.Millisecond, testRequest(RequestID(1000+i), 500))) {
			newSends++
		}
	}
	if newSends > 15 { // a budget of 0.0126 requests per router
		t.Errorf("%d of 200 routers sent to the engine in slow start, with a total budget of 3 requests", newSends)
	}
}
