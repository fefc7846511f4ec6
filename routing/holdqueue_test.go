package routing

import (
	"testing"
)

func TestStateReleasedWithoutDecode(t *testing.T) {
	r := newTestRouter(t, testSettings(), testEngine("a", "r", 0), testEngine("w", "w", 0))
	sentTo(t, r.Handle(ms, testRequest(1, 500)))
	r.Handle(2*ms, EngineList{Scope: EngineListSnapshot, Engines: []EngineInfo{testEngine("a", "r", 0)}})
	now := 20 * ms
	r.Handle(now, prefilledAt(1, 0, "a", 0))
	released := false
	for ; now < 20*ms+testSettings().HeldStateLimit; now += 40 * ms {
		a := r.Handle(now, TimerFired{Name: "tick"})
		released = released || has[Release](a) && has[Reject](a)
	}
	if !released || len(r.requests) != 0 {
		t.Error("the state was neither sent on nor released within the pin limit")
	}
}

func TestStateReleasedAfterGone(t *testing.T) {
	r := newTestRouter(t, testSettings(), testEngine("a", "r", 0), testEngine("w", "w", 0))
	sentTo(t, r.Handle(ms, testRequest(1, 500)))
	if a := r.Handle(2*ms, ClientGone{ID: 1}); !has[CancelAttempt](a) {
		t.Error("the attempt of a client that left was not withdrawn")
	}
	if a := r.Handle(20*ms, prefilledAt(1, 0, "a", 0)); !has[Release](a) || has[Send](a) {
		t.Errorf("a read that crossed with the client's leaving gave %v", a)
	}
}

func TestLateRefusalIsAtOnce(t *testing.T) {
	r := newTestRouter(t, testSettings())
	q := testRequest(1, 500)
	q.TTL = 20 * ms
	if a := r.Handle(ms, q); !has[Reject](a) {
		t.Error("a request that no tick can save in time was held")
	}
}
