package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestSilentEngineEjectedAndRetried(t *testing.T) {
	r := router(t, testSettings(), server("a", "r", 0), server("b", "r", 0), server("c", "r", 0), server("w", "w", 0))
	for range 2 {
		r.recordResult(r.engines.byName["a"], 1, 1)
	}
	w := r.engines.byName["a"]
	if r.trusted(w) {
		t.Fatal("two failures in a row and still trusted")
	}
	r.now += initialEjection
	if !r.trusted(w) {
		t.Error("no trial after the ejection")
	}
	w.inFlight = append(w.inFlight, &request{})
	if r.trusted(w) {
		t.Error("a trial is one request at a time")
	}
}

func TestFloorKeepsHalfThePool(t *testing.T) {
	r := router(t, testSettings(), server("a", "r", 0), server("b", "r", 0), server("w", "w", 0))
	for _, n := range []string{"a", "b"} {
		r.engines.byName[n].failures.ejectedUntil = time.Hour
	}
	q := &request{Request: ask(1, 500), class: r.classes["c"]}
	if n := len(r.eligible(q, true)); n != 1 {
		t.Errorf("%d of 2 readers left, want 1", n)
	}
}

func TestFailingEngineAmongBusyPeers(t *testing.T) {
	var list []EngineInfo
	for i := range 8 {
		list = append(list, server(fmt.Sprint("r", i), "r", 0))
	}
	r := router(t, testSettings(), list...)
	for i := 1; i < 5; i++ { // half of the peers look bad as well
		r.engines.byName[fmt.Sprint("r", i)].failures.rate = 0.6
	}
	for range 3 {
		r.recordResult(r.engines.byName["r0"], 1, 1)
	}
	if r.trusted(r.engines.byName["r0"]) {
		t.Error("a server that fails everything stays in use because other servers are sick too")
	}
}

func TestCommonFailureEjectsNone(t *testing.T) {
	r := router(t, testSettings(), server("a", "r", 0), server("b", "r", 0), server("c", "r", 0))
	for range 6 {
		for _, w := range r.engines.ordered {
			r.recordResult(w, 1, 1)
		}
	}
	ejected := 0
	for _, w := range r.engines.ordered {
		if !r.trusted(w) {
			ejected++
		}
	}
	if ejected > 1 { // the first to fail twice stands out until the others have
		t.Errorf("%d of 3 engines ejected for a common cause", ejected)
	}
}

func TestTimeoutAtBusyEngineIsNoFailure(t *testing.T) {
	r := router(t, testSettings(), server("a", "r", 0), server("w", "w", 0))
	sent(t, r.Handle(ms, ask(1, 500)))
	sent(t, r.Handle(2*ms, ask(2, 500)))
	r.Handle(30*ms, read(2, 0, "a", 0))
	r.Handle(900*ms, Outcome{ID: 1, Engine: "a", Status: StatusTimeout, Latency: 899 * ms})
	if w := r.engines.byName["a"]; w.failures.rate > 0 {
		t.Errorf("a server that answered others meanwhile is blamed %.2f", w.failures.rate)
	}
}

func TestHungAttemptIsWithdrawn(t *testing.T) {
	r := router(t, testSettings(), server("a", "r", 0), server("w", "w", 0))
	sent(t, r.Handle(ms, ask(1, 500))) // its answer is lost on the way
	now := 2 * ms
	for id := RequestID(2); id < 40; id++ { // later ones come through
		if a := r.Handle(now, ask(id, 500)); !has[Send](a) {
			t.Fatalf("%v: the hung attempt held the others back: %v", now, a)
		}
		r.Handle(now+15*ms, read(id, 0, "a", 0))
		r.Handle(now+25*ms, FirstToken{ID: id, Attempt: 1, Engine: "w", Latency: 10 * ms})
		r.Handle(now+26*ms, Outcome{ID: id, Attempt: 1, Engine: "w", Status: StatusServed, Final: true})
		now += 30 * ms
		if has[CancelAttempt](r.Handle(now, TimerFired{Name: "tick"})) {
			return
		}
	}
	t.Error("an attempt that 38 later ones passed was never withdrawn")
}

func TestStuckDecodeEnginesDoNotSkewEstimate(t *testing.T) {
	r := router(t, testSettings(), server("w1", "w", 0), server("w2", "w", 0), server("w3", "w", 0))
	r.now = 5 * time.Second
	for range 3 {
		r.engines.byName["w1"].inFlight = append(r.engines.byName["w1"].inFlight, &request{sentAt: 0, phase: decoding, expectedTime: ms})
	}
	if w := r.decodeWait(); w != 0 {
		t.Errorf("states stuck at one of three writers make the wait %.1f s", w)
	}
}
