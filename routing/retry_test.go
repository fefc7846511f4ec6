package routing

import (
	"slices"
	"testing"
	"time"
)

func TestLastAttemptIsNotSpentOnDecode(t *testing.T) {
	set := testSettings()
	set.MaxAttempts = 1
	r := newTestRouter(t, set, testEngine("a", "r", 0), testEngine("w", "w", 0))
	sentTo(t, r.Handle(ms, testRequest(1, 500)))
	a := r.Handle(20*ms, prefilledAt(1, 0, "a", 0))
	if has[Send](a) || !has[Reject](a) || !has[Release](a) {
		t.Errorf("past the attempt cap: %v", a)
	}
}

// A repeat of a guarded request must arrive within the window that opened with the first
// attempt: one that could come late, as its connection has yet to come up, is not sent.
func TestGuardedRepeatWithinWindow(t *testing.T) {
	for _, c := range []struct {
		delay, at Time
		repeated  bool
	}{
		{0, 900 * ms, true},
		{0, 1000 * ms, false},
		{250 * ms, 700 * ms, true},
		{250 * ms, 750 * ms, false},
		{250 * ms, 900 * ms, false},
	} {
		class := &Class{Name: "g", FirstTokenObjective: time.Second, Effect: EffectDeduplicated, DedupScope: DedupAllEngines, DedupWindow: time.Second}
		effects := effectRecord{[]possibleRun{{sent: 0}}}
		if got := effects.allows(class, &engine{}, c.at, c.delay); got != c.repeated {
			t.Errorf("delay %v, %v after the first attempt: %v", c.delay, c.at, got)
		}
	}
}

// A refusal for want of retries advises the wait that is seen, not a part of the aim: short
// where nobody waits, long where the oldest have waited long, and not the same for all.
func TestRetryAfterFollowsObservedWait(t *testing.T) {
	advice := func(crowd int) (all []time.Duration) {
		for id := RequestID(100); id < 110; id++ {
			set := testSettings()
			set.MaxRetryAfter = 5 * time.Second
			r := newTestRouter(t, set, testEngine("r1", "r", 0), testEngine("r2", "r", 0), testEngine("r3", "r", 0), testEngine("w1", "w", 0))
			for n := range crowd {
				r.Handle(time.Second, testRequest(RequestID(n+1), 100))
			}
			at := sentTo(t, r.Handle(1200*ms, testRequest(id, 100)))
			r.retryBudget.attempts = 0
			for _, a := range r.Handle(2200*ms, Outcome{ID: id, Engine: at, Status: StatusError}) {
				if f, ok := a.(Reject); ok {
					all = append(all, f.RetryAfter)
				}
			}
		}
		slices.Sort(all)
		return all
	}
	idle, busy := advice(0), advice(6)
	if len(idle) != 10 || len(busy) != 10 {
		t.Fatalf("%d and %d refusals of 10", len(idle), len(busy))
	}
	if idle[9] > minRetryAfter {
		t.Errorf("nobody waits, and clients are told to stay away for %v", idle[9])
	}
	if busy[0] < 500*ms || busy[9] > 1200*ms || busy[9]-busy[0] < 100*ms {
		t.Errorf("where others have waited for 1.2 s: %v to %v", busy[0], busy[9])
	}
}
