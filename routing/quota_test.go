package routing

import (
	"testing"
	"time"
)

// A spent budget was only valued less, so that an idle pool served any excess.
func TestExhaustedQuotaIsRefusedWithAdvice(t *testing.T) {
	set := testSettings()
	set.Gateways, set.Tenants = 1, []Tenant{{Name: "team", Quota: 0.4}}
	r := newTestRouter(t, set, testEngine("m1", "m", 0))
	for id := RequestID(1); id <= 2; id++ {
		q := testRequest(id, 400)
		q.Tenant = "team"
		actions := r.Handle(ms, q)
		if id == 1 {
			sentTo(t, actions)
			continue
		}
		refused, ok := actions[0].(Reject)
		if !ok || !refused.OverQuota || refused.RetryAfter < set.MaxRetryAfter/2 {
			t.Errorf("request past the budget: %v", actions)
		}
	}
	late := testRequest(3, 400)
	late.Tenant = "team"
	r.Handle(20*ms, Outcome{ID: 1, Engine: "m1", Status: StatusServed, Latency: 19 * ms, Final: true})
	sentTo(t, r.Handle(5*time.Second, late)) // the budget has filled again
}

// A router's part of a team's quota follows the number of routers in service, and what
// it had saved up does not outgrow its part.
func TestQuotasFollowTheNumberOfRouters(t *testing.T) {
	set := testSettings()
	set.Gateways, set.Tenants = 2, []Tenant{{Name: "team", Quota: 10}}
	r, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	at := func(routers int) (rate, saved float64) {
		r.Handle(time.Second, GatewaysChanged{Gateways: routers})
		q := r.quotas.buckets["team"]
		return q.rate, q.tokens
	}
	two, _ := at(2)
	four, saved := at(4)
	if four != two/2 || saved > quotaBurstSeconds*four {
		t.Errorf("rate %v of %v, %v saved", four, two, saved)
	}
	if none, _ := at(0); none != four || r.set.Gateways != 4 {
		t.Errorf("none: %v, %d routers", none, r.set.Gateways)
	}
	if one, _ := at(1); one != 2*two {
		t.Errorf("alone: %v, two: %v", one, two)
	}
}
