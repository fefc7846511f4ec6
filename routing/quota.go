package routing

const (
	quotaSlack = 1.2 // a router's share of a quota is uneven
	quotaSpan  = 2.0 // seconds of quota that may be saved up
)

type quota struct {
	rate, saved float64
	at          Time
}

// overShare returns what a tenant's next request is worth against others.
func (r *Router) overShare(tenant string) float64 {
	t := r.quotas[tenant]
	if t == nil {
		return 1
	}
	most := max(t.rate*quotaSpan, 1) // a small quota may save up for one request
	t.saved = min(most, t.saved+t.rate*(r.now-t.at).Seconds())
	t.at = r.now
	if t.saved < 1 {
		return r.set.OverQuotaWeight
	}
	t.saved--
	return 1
}

// QuotaStatus returns how a tenant stands with its quota at this router, as of its latest
// request; false if it has none.
func (r *Router) QuotaStatus(tenant string) (QuotaStatus, bool) {
	t := r.quotas[tenant]
	if t == nil {
		return QuotaStatus{}, false
	}
	most := max(t.rate*quotaSpan, 1)
	return QuotaStatus{Burst: most, Remaining: t.saved, ResetIn: seconds((most - t.saved) / t.rate)}, true
}

// onPeers takes the number of routers that share the pools: this router's part of
// every quota follows, and so does all that is reckoned with that number.
func (r *Router) onPeers(routers int) {
	if routers < 1 || routers == r.set.Gateways {
		return
	}
	for _, q := range r.quotas {
		q.rate *= float64(r.set.Gateways) / float64(routers)
		q.saved = min(q.saved, max(q.rate*quotaSpan, 1))
	}
	r.set.Gateways = routers
}
