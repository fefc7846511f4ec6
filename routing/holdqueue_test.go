package routing

import (
	"testing"
)

// Without an eligible decode engine, the held state is released and the request rejected within
// HeldStateLimit.
func TestHeldStateReleasedWithoutDecodeEngine(t *testing.T) {
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
		t.Error("held state not released with a rejection, or request not deleted, within HeldStateLimit")
	}
}

func TestHeldStateReleasedAfterDisconnect(t *testing.T) {
	r := newTestRouter(t, testSettings(), testEngine("a", "r", 0), testEngine("w", "w", 0))
	sentTo(t, r.Handle(ms, testRequest(1, 500)))
	if a := r.Handle(2*ms, ClientGone{ID: 1}); !has[CancelAttempt](a) {
		t.Error("the attempt of a disconnected client was not cancelled")
	}
	if a := r.Handle(20*ms, prefilledAt(1, 0, "a", 0)); !has[Release](a) || has[Send](a) {
		t.Errorf("a prefill that ended after its client disconnected returned %v", a)
	}
}

func TestRejectedIfNextTickIsTooLate(t *testing.T) {
	r := newTestRouter(t, testSettings())
	request := testRequest(1, 500)
	request.TTL = 20 * ms
	if a := r.Handle(ms, request); !has[Reject](a) {
		t.Error("a request whose deadline precedes the next tick was queued")
	}
}
