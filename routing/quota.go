package routing

const (
	quotaShareSlack   = 1.2 // times an even part, as tenants' requests are spread unevenly over gateways
	quotaBurstSeconds = 2.0 // seconds of quota that may be saved up
)

// tokenBucket is this router's part of a tenant's quota, in requests and requests a second.
type tokenBucket struct {
	rate, tokens float64
	at           Time
}

// takeQuota takes a request from its tenant's quota and returns its priority weight: 1 within the
// quota, OverQuotaWeight above it.
func (r *Router) takeQuota(tenant string) float64 {
	bucket := r.quotas[tenant]
	if bucket == nil {
		return 1
	}
	most := max(bucket.rate*quotaBurstSeconds, 1) // a small quota may save up for one request
	bucket.tokens = min(most, bucket.tokens+bucket.rate*(r.now-bucket.at).Seconds())
	bucket.at = r.now
	if bucket.tokens < 1 {
		return r.set.OverQuotaWeight
	}
	bucket.tokens--
	return 1
}

// QuotaStatus returns how a tenant stands with its quota at this router, as of its latest
// request; false if it has none.
func (r *Router) QuotaStatus(tenant string) (QuotaStatus, bool) {
	bucket := r.quotas[tenant]
	if bucket == nil {
		return QuotaStatus{}, false
	}
	most := max(bucket.rate*quotaBurstSeconds, 1)
	missing := seconds((most - bucket.tokens) / bucket.rate)
	return QuotaStatus{Burst: most, Remaining: bucket.tokens, ResetIn: missing}, true
}

// onGatewaysChanged takes the number of gateways that share the engines: this router's part of
// every quota follows, and so does all that is estimated with that number.
func (r *Router) onGatewaysChanged(gateways int) {
	if gateways < 1 || gateways == r.set.Gateways {
		return
	}
	for _, bucket := range r.quotas {
		bucket.rate *= float64(r.set.Gateways) / float64(gateways)
		bucket.tokens = min(bucket.tokens, max(bucket.rate*quotaBurstSeconds, 1))
	}
	r.set.Gateways = gateways
}
