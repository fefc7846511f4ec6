package routing

import (
	"testing"
	"time"
)

// Engines that limit one tenant have room: it is tried elsewhere, and nobody else avoids them.
// In an overload all are turned away alike, and the retry budget holds.
func TestTenantLimitVersusOverload(t *testing.T) {
	for _, limited := range []bool{true, false} {
		r := newTestRouter(t, testSettings(), testEngine("a", "r", 0), testEngine("b", "r", 0), testEngine("w", "w", 0))
		now, second := 10*ms, 0
		for id := RequestID(1); id <= 40; id++ {
			now += 10 * time.Second // beyond every pause
			q := testRequest(id, 500)
			q.Tenant = []string{"x", "y"}[id%2]
			to := sentTo(t, r.Handle(now, q))
			if limited && q.Tenant == "y" {
				r.Handle(now+ms, prefilledAt(id, 0, to, 0))
				r.Handle(now+2*ms, FirstToken{ID: id, Attempt: 1, Engine: "w", Latency: ms})
				r.Handle(now+3*ms, Outcome{ID: id, Attempt: 1, Engine: "w", Status: StatusServed, Final: true})
				continue
			}
			r.retryBudget.attempts = 0
			if has[Send](r.Handle(now+ms, Outcome{ID: id, Engine: to, Status: StatusRejected})) {
				second++
				r.Handle(now+2*ms, ClientGone{ID: id})
				r.Handle(now+3*ms, Outcome{ID: id, Attempt: 1, Status: StatusCancelled, Final: true})
			}
		}
		if limited && second < 15 || !limited && second > 0 {
			t.Errorf("limited %v: %d were tried again without a retry in the budget", limited, second)
		}
		q := testRequest(99, 500)
		q.Tenant = "y"
		if at := r.engines.byName["a"]; limited && at.backoffs.until["y\x00c"] > r.now {
			t.Error("an engine that limits one tenant is avoided for another")
		}
		sentTo(t, r.Handle(now+time.Second, q))
	}
}

// What is learned of one tenant's class is never another's, whatever the two are called.
func TestTenantNamesAreNotConfused(t *testing.T) {
	one := &request{Request: Request{Tenant: "a|b", Class: "c"}}
	other := &request{Request: Request{Tenant: "a", Class: "b|c"}}
	if rateLimitKey(one) == rateLimitKey(other) {
		t.Errorf("both are %q", rateLimitKey(one))
	}
}

// A key counts as limited only if it is rejected often, and far more often than another.
func TestRateLimitNeedsContrast(t *testing.T) {
	for _, c := range []struct {
		mine, others float64
		limited      bool
	}{{0.5, 0.09, true}, {0.5, 0.11, false}, {0.24, 0, false}, {0.26, 0, true}} {
		limits := rateLimits{map[string]float64{"mine": c.mine, "others": c.others}}
		if got := limits.limited("mine"); got != c.limited {
			t.Errorf("rejected %.2f against %.2f: limited %v", c.mine, c.others, got)
		}
	}
}
