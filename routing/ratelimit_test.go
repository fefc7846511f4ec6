package routing

import (
	"testing"
	"time"
)

// Engines that rate limit a single tenant have free capacity: its requests are retried without the retry
// budget, and requests of other tenants still use these engines. In an overload all tenants are rejected
// alike, and retries need the budget.
func TestTenantRateLimitVersusOverload(t *testing.T) {
	for _, limited := range []bool{true, false} {
		r := newTestRouter(t, testSettings(),
			testEngine("a", "r", 0), testEngine("b", "r", 0), testEngine("w", "w", 0))
		now, retried := 10*ms, 0
		for id := RequestID(1); id <= 40; id++ {
			now += 10 * time.Second // exceeds every backoff
			request := testRequest(id, 500)
			request.Tenant = []string{"x", "y"}[id%2]
			engine := sentTo(t, r.Handle(now, request))
			if limited && request.Tenant == "y" {
				r.Handle(now+ms, prefilledAt(id, 0, engine, 0))
				r.Handle(now+2*ms, FirstToken{ID: id, Attempt: 1, Engine: "w", Latency: ms})
				r.Handle(now+3*ms, Outcome{ID: id, Attempt: 1, Engine: "w", Status: StatusServed, Final: true})
				continue
			}
			r.retryBudget.attempts = 0
			if has[Send](r.Handle(now+ms, Outcome{ID: id, Engine: engine, Status: StatusRejected})) {
				retried++
				r.Handle(now+2*ms, ClientGone{ID: id})
				r.Handle(now+3*ms, Outcome{ID: id, Attempt: 1, Status: StatusCancelled, Final: true})
			}
		}
		if limited && retried < 15 || !limited && retried > 0 {
			t.Errorf("limited %v: %d requests were retried with an empty retry budget", limited, retried)
		}
		request := testRequest(99, 500)
		request.Tenant = "y"
		if e := r.engines.byName["a"]; limited && e.backoffs.until["y\x00c"] > r.now {
			t.Error("an engine that limits one tenant has a backoff for another")
		}
		sentTo(t, r.Handle(now+time.Second, request))
	}
}

// Different pairs of tenant and class never share statistics, even if names contain a separator such as "|".
func TestRateLimitKeysAreUnique(t *testing.T) {
	one := &request{Request: Request{Tenant: "a|b", Class: "c"}}
	other := &request{Request: Request{Tenant: "a", Class: "b|c"}}
	if rateLimitKey(one) == rateLimitKey(other) {
		t.Errorf("both keys are %q", rateLimitKey(one))
	}
}

// A key is rate limited only if it is rejected often, and far more often than another key.
func TestRateLimitRequiresLowerPeerRate(t *testing.T) {
	for _, c := range []struct {
		rate, peerRate float64
		limited        bool
	}{{0.5, 0.09, true}, {0.5, 0.11, false}, {0.24, 0, false}, {0.26, 0, true}} {
		limits := rateLimits{map[string]float64{"key": c.rate, "peer": c.peerRate}}
		if got := limits.limited("key"); got != c.limited {
			t.Errorf("rejected fractions %.2f and %.2f: limited %v", c.rate, c.peerRate, got)
		}
	}
}
