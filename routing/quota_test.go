package routing

import (
	"testing"
	"time"
)

// A request above the quota is rejected if OverQuotaWeight is 0. Guards against only lowering
// its priority, with which an idle pool serves all excess requests.
func TestExhaustedQuotaRejectsWithRetryAfter(t *testing.T) {
	set := testSettings()
	set.Gateways, set.Tenants = 1, []Tenant{{Name: "team", Quota: 0.4}}
	r := newTestRouter(t, set, testEngine("m1", "m", 0))
	for id := RequestID(1); id <= 2; id++ {
		request := testRequest(id, 400)
		request.Tenant = "team"
		actions := r.Handle(ms, request)
		if id == 1 {
			sentTo(t, actions)
			continue
		}
		rejection, ok := actions[0].(Reject)
		if !ok || !rejection.OverQuota || rejection.RetryAfter < set.MaxRetryAfter/2 {
			t.Errorf("request above the quota: %v", actions)
		}
	}
	afterRefill := testRequest(3, 400)
	afterRefill.Tenant = "team"
	r.Handle(20*ms, Outcome{ID: 1, Engine: "m1", Status: StatusServed, Latency: 19 * ms, Final: true})
	sentTo(t, r.Handle(5*time.Second, afterRefill))
}

// A router's fraction of a quota depends on the number of gateways, and its accumulated tokens are capped at
// the new burst.
func TestQuotasScaleWithGateways(t *testing.T) {
	set := testSettings()
	set.Gateways, set.Tenants = 2, []Tenant{{Name: "team", Quota: 10}}
	r, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	rescaleTo := func(gateways int) (rate, tokens float64) {
		r.Handle(time.Second, GatewaysChanged{Gateways: gateways})
		bucket := r.quotas.buckets["team"]
		return bucket.rate, bucket.tokens
	}
	rateOfTwo, _ := rescaleTo(2)
	rateOfFour, tokens := rescaleTo(4)
	if rateOfFour != rateOfTwo/2 || tokens > quotaBurstSeconds*rateOfFour {
		t.Errorf("4 gateways: rate %v, 2 gateways: rate %v; %v tokens", rateOfFour, rateOfTwo, tokens)
	}
	if rate, _ := rescaleTo(0); rate != rateOfFour || r.set.Gateways != 4 {
		t.Errorf("0 gateways changed the rate to %v, the gateways to %d", rate, r.set.Gateways)
	}
	if rate, _ := rescaleTo(1); rate != 2*rateOfTwo {
		t.Errorf("1 gateway: rate %v, 2 gateways: rate %v", rate, rateOfTwo)
	}
}
