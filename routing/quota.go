package routing

import "time"

const (
	quotaImbalanceFactor = 1.2 // times an even split, as tenants' requests are spread unevenly over gateways
	quotaBurstSeconds    = 2.0 // seconds of quota that may accumulate
)

// quotas is this router's fraction of every tenant's quota. It reads and changes no other state. Arriving
// requests consume it; a change of the number of gateways rescales it.
type quotas struct {
	buckets         map[string]*tokenBucket // by tenant; a tenant without a quota has no entry
	overQuotaWeight float64                 // priority weight of a request above its quota
}

// tokenBucket is this router's fraction of a tenant's quota, in requests and requests per second.
type tokenBucket struct {
	rate, tokens float64
	refilledAt   Time // when tokens was last refilled
}

func newQuotas(set *Settings) quotas {
	q := quotas{buckets: map[string]*tokenBucket{}, overQuotaWeight: set.OverQuotaWeight}
	for _, t := range set.Tenants {
		if t.Quota > 0 {
			rate := quotaImbalanceFactor * t.Quota / float64(set.Gateways)
			q.buckets[t.Name] = &tokenBucket{rate: rate, tokens: max(rate*quotaBurstSeconds, 1)}
		}
	}
	return q
}

// burst is the capacity of the bucket, in requests: at least one, even for a very small quota.
func (b *tokenBucket) burst() float64 { return max(b.rate*quotaBurstSeconds, 1) }

// consume counts a request against its tenant's quota and returns its priority weight: 1 within the quota,
// overQuotaWeight above it.
func (q *quotas) consume(tenant string, now Time) float64 {
	b := q.buckets[tenant]
	if b == nil {
		return 1
	}
	b.tokens = min(b.burst(), b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return q.overQuotaWeight
	}
	b.tokens--
	return 1
}

// refillTime is the time until the exhausted quota of a tenant allows another request.
func (q *quotas) refillTime(tenant string) time.Duration {
	b := q.buckets[tenant]
	return seconds((1 - b.tokens) / b.rate)
}

// rescale adapts this router's fraction of every quota to a new number of gateways. It caps accumulated
// tokens at the new burst.
func (q *quotas) rescale(from, to int) {
	for _, b := range q.buckets {
		b.rate *= float64(from) / float64(to)
		b.tokens = min(b.tokens, b.burst())
	}
}

// status returns the state of a tenant's quota; false if it has none.
func (q *quotas) status(tenant string) (QuotaStatus, bool) {
	b := q.buckets[tenant]
	if b == nil {
		return QuotaStatus{}, false
	}
	resetIn := seconds((b.burst() - b.tokens) / b.rate)
	return QuotaStatus{Burst: b.burst(), Remaining: b.tokens, ResetIn: resetIn}, true
}
