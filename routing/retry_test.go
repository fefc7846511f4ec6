package routing

import (
	"slices"
	"testing"
	"time"
)

func TestNoDecodeAfterMaxAttempts(t *testing.T) {
	set := testSettings()
	set.MaxAttempts = 1
	r := newTestRouter(t, set, testEngine("a", "r", 0), testEngine("w", "w", 0))
	sentTo(t, r.Handle(ms, testRequest(1, 500)))
	a := r.Handle(20*ms, prefilledAt(1, 0, "a", 0))
	if has[Send](a) || !has[Reject](a) || !has[Release](a) {
		t.Errorf("after MaxAttempts attempts: %v", a)
	}
}

// A retry of a deduplicated request must arrive within the window that starts with the first attempt. A retry
// that may arrive later, because its connection is not established yet, is not sent.
func TestDeduplicatedRetryWithinWindow(t *testing.T) {
	for _, c := range []struct {
		delay, at Time
		allowed   bool
	}{
		{0, 900 * ms, true},
		{0, 1000 * ms, false},
		{250 * ms, 700 * ms, true},
		{250 * ms, 750 * ms, false},
		{250 * ms, 900 * ms, false},
	} {
		class := &Class{
			Name: "g", FirstTokenObjective: time.Second, Effect: EffectDeduplicated, DedupScope: DedupAllEngines,
			DedupWindow: time.Second,
		}
		effects := effectRecord{[]possibleRun{{sentAt: 0}}}
		if got := effects.allows(class, &engine{}, c.at, c.delay); got != c.allowed {
			t.Errorf("delay %v, %v after the first attempt: allowed %v", c.delay, c.at, got)
		}
	}
}

// If a request is rejected because the retry budget is empty, Retry-After follows the observed wait rather
// than the objective: short if no request waits, long if the oldest have waited long, and different per
// request.
func TestRetryAfterFollowsObservedWait(t *testing.T) {
	retryAfters := func(waiting int) (all []time.Duration) {
		for id := RequestID(100); id < 110; id++ {
			set := testSettings()
			set.MaxRetryAfter = 5 * time.Second
			r := newTestRouter(t, set, testEngine("r1", "r", 0), testEngine("r2", "r", 0), testEngine("r3", "r", 0),
				testEngine("w1", "w", 0))
			for n := range waiting {
				r.Handle(time.Second, testRequest(RequestID(n+1), 100))
			}
			engine := sentTo(t, r.Handle(1200*ms, testRequest(id, 100)))
			r.retryBudget.attempts = 0
			for _, a := range r.Handle(2200*ms, Outcome{ID: id, Engine: engine, Status: StatusError}) {
				if reject, ok := a.(Reject); ok {
					all = append(all, reject.RetryAfter)
				}
			}
		}
		slices.Sort(all)
		return all
	}
	idle, busy := retryAfters(0), retryAfters(6)
	if len(idle) != 10 || len(busy) != 10 {
		t.Fatalf("%d and %d rejections, want 10 each", len(idle), len(busy))
	}
	if idle[9] > minRetryAfter {
		t.Errorf("no request waits, but Retry-After is up to %v", idle[9])
	}
	if busy[0] < 500*ms || busy[9] > 1200*ms || busy[9]-busy[0] < 100*ms {
		t.Errorf("other requests have waited for 1.2 s: Retry-After is %v to %v", busy[0], busy[9])
	}
}
