package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestEjectedEngineRecoversWithOneRequestAtATime(t *testing.T) {
	r := newTestRouter(t, testSettings(),
		testEngine("a", "r", 0), testEngine("b", "r", 0), testEngine("c", "r", 0), testEngine("w", "w", 0))
	for range 2 {
		r.recordResult(r.engines.byName["a"], 1, 1)
	}
	w := r.engines.byName["a"]
	if r.available(w) {
		t.Fatal("an engine with two consecutive failures was not ejected")
	}
	r.now += initialEjection
	if !r.available(w) {
		t.Error("no request is permitted after the ejection")
	}
	w.inFlight = append(w.inFlight, &request{})
	if r.available(w) {
		t.Error("a second concurrent request is permitted before recovery")
	}
}

func TestHalfOfThePoolStaysEligible(t *testing.T) {
	r := newTestRouter(t, testSettings(),
		testEngine("a", "r", 0), testEngine("b", "r", 0), testEngine("w", "w", 0))
	for _, n := range []string{"a", "b"} {
		r.engines.byName[n].failures.ejectedUntil = time.Hour
	}
	q := &request{Request: testRequest(1, 500), class: r.classes["c"]}
	if n := len(r.eligible(q, true)); n != 1 {
		t.Errorf("%d of 2 ejected prefill engines are eligible, want 1", n)
	}
}

func TestFailingEngineIsEjectedAmongFailingPeers(t *testing.T) {
	var list []EngineInfo
	for i := range 8 {
		list = append(list, testEngine(fmt.Sprint("r", i), "r", 0))
	}
	r := newTestRouter(t, testSettings(), list...)
	for i := 1; i < 5; i++ { // four of the seven peers have a high failure rate, too
		r.engines.byName[fmt.Sprint("r", i)].failures.rate = 0.6
	}
	for range 3 {
		r.recordResult(r.engines.byName["r0"], 1, 1)
	}
	if r.available(r.engines.byName["r0"]) {
		t.Error("an engine that fails every request was not ejected because half of its peers fail, too")
	}
}

func TestCommonFailureEjectsAtMostOne(t *testing.T) {
	r := newTestRouter(t, testSettings(),
		testEngine("a", "r", 0), testEngine("b", "r", 0), testEngine("c", "r", 0))
	for range 6 {
		for _, w := range r.engines.ordered {
			r.recordResult(w, 1, 1)
		}
	}
	ejected := 0
	for _, w := range r.engines.ordered {
		if !r.available(w) {
			ejected++
		}
	}
	if ejected > 1 { // the first engine with two failures is an outlier until the others have failed twice
		t.Errorf("%d of 3 engines with the same failures were ejected, want at most 1", ejected)
	}
}

func TestTimeoutAtBusyEngineIsNotAFailure(t *testing.T) {
	r := newTestRouter(t, testSettings(), testEngine("a", "r", 0), testEngine("w", "w", 0))
	sentTo(t, r.Handle(ms, testRequest(1, 500)))
	sentTo(t, r.Handle(2*ms, testRequest(2, 500)))
	r.Handle(30*ms, prefilledAt(2, 0, "a", 0))
	r.Handle(900*ms, Outcome{ID: 1, Engine: "a", Status: StatusTimeout, Latency: 899 * ms})
	if w := r.engines.byName["a"]; w.failures.rate > 0 {
		t.Errorf("failure rate %.2f for a timeout at an engine that answered another attempt, want 0",
			w.failures.rate)
	}
}

func TestHungAttemptIsCancelled(t *testing.T) {
	r := newTestRouter(t, testSettings(), testEngine("a", "r", 0), testEngine("w", "w", 0))
	sentTo(t, r.Handle(ms, testRequest(1, 500))) // this attempt gets no answer
	now := 2 * ms
	for id := RequestID(2); id < 40; id++ { // later attempts succeed
		if a := r.Handle(now, testRequest(id, 500)); !has[Send](a) {
			t.Fatalf("at %v the hung attempt blocked a later request: %v", now, a)
		}
		r.Handle(now+15*ms, prefilledAt(id, 0, "a", 0))
		r.Handle(now+25*ms, FirstToken{ID: id, Attempt: 1, Engine: "w", Latency: 10 * ms})
		r.Handle(now+26*ms, Outcome{ID: id, Attempt: 1, Engine: "w", Status: StatusServed, Final: true})
		now += 30 * ms
		if has[CancelAttempt](r.Handle(now, TimerFired{Name: "tick"})) {
			return
		}
	}
	t.Error("an attempt overtaken by 38 later ones was not cancelled")
}

func TestOneStalledDecodeEngineDoesNotRaiseDecodeWait(t *testing.T) {
	r := newTestRouter(t, testSettings(),
		testEngine("w1", "w", 0), testEngine("w2", "w", 0), testEngine("w3", "w", 0))
	r.now = 5 * time.Second
	for range 3 {
		r.engines.byName["w1"].inFlight = append(r.engines.byName["w1"].inFlight,
			&request{sentAt: 0, phase: decoding, expectedTime: ms})
	}
	if w := r.decodeWait(); w != 0 {
		t.Errorf("with requests stalled at one of three decode engines the wait is %.1f s, want 0", w)
	}
}
