package routing

import (
	"testing"
	"time"
)

// Engines that limit one tenant have room: it is tried elsewhere, and nobody else avoids them.
// In an overload all are turned away alike, and the retry budget holds.
func TestTenantLimitVersusOverload(t *testing.T) {
	for _, limited := range []bool{true, false} {
		r := router(t, testSettings(), server("a", "r", 0), server("b", "r", 0), server("w", "w", 0))
		now, second := 10*ms, 0
		for id := RequestID(1); id <= 40; id++ {
			now += 10 * time.Second // beyond every pause
			q := ask(id, 500)
			q.Tenant = []string{"x", "y"}[id%2]
			to := sent(t, r.Handle(now, q))
			if limited && q.Tenant == "y" {
				r.Handle(now+ms, read(id, 0, to, 0))
				r.Handle(now+2*ms, FirstToken{ID: id, Attempt: 1, Engine: "w", Latency: ms})
				r.Handle(now+3*ms, Outcome{ID: id, Attempt: 1, Engine: "w", Status: StatusServed, Final: true})
				continue
			}
			r.retries.attempts = 0
			if has[Send](r.Handle(now+ms, Outcome{ID: id, Engine: to, Status: StatusRejected})) {
				second++
				r.Handle(now+2*ms, ClientGone{ID: id})
				r.Handle(now+3*ms, Outcome{ID: id, Attempt: 1, Status: StatusCancelled, Final: true})
			}
		}
		if limited && second < 15 || !limited && second > 0 {
			t.Errorf("limited %v: %d were tried again without a retry in the budget", limited, second)
		}
		q := ask(99, 500)
		q.Tenant = "y"
		if at := r.engines.byName["a"]; limited && at.backoffs.until["y\x00c"] > r.now {
			t.Error("a server that limits one tenant is avoided for another")
		}
		sent(t, r.Handle(now+time.Second, q))
	}
}

// BenchmarkRequest plays whole requests over pools of growing size.
// A spent budget was only valued less, so that an idle pool served any excess.
func TestExhaustedQuotaIsRefusedWithAdvice(t *testing.T) {
	set := testSettings()
	set.Gateways, set.Tenants = 1, []Tenant{{Name: "team", Quota: 0.4}}
	r := router(t, set, server("m1", "m", 0))
	for id := RequestID(1); id <= 2; id++ {
		q := ask(id, 400)
		q.Tenant = "team"
		actions := r.Handle(ms, q)
		if id == 1 {
			sent(t, actions)
			continue
		}
		refused, ok := actions[0].(Reject)
		if !ok || !refused.OverQuota || refused.RetryAfter < set.MaxRetryAfter/2 {
			t.Errorf("request past the budget: %v", actions)
		}
	}
	late := ask(3, 400)
	late.Tenant = "team"
	r.Handle(20*ms, Outcome{ID: 1, Engine: "m1", Status: StatusServed, Latency: 19 * ms, Final: true})
	sent(t, r.Handle(5*time.Second, late)) // the budget has filled again
}

// What is learned of one tenant's class is never another's, whatever the two are called.
func TestTenantNamesAreNotConfused(t *testing.T) {
	one := &request{Request: Request{Tenant: "a|b", Class: "c"}}
	other := &request{Request: Request{Tenant: "a", Class: "b|c"}}
	if rateLimitKey(one) == rateLimitKey(other) {
		t.Errorf("both are %q", rateLimitKey(one))
	}
}
