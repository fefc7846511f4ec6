package routing

import "time"

// minRetryAfter is the shortest Retry-After: clients that come back sooner find the same load.
const minRetryAfter = 200 * time.Millisecond

// rejectOrFail gives the final answer at once: Reject if the request may be retried, with a wait.
func (r *Router) rejectOrFail(req *request, wait time.Duration) {
	if req.effects.clientMayRetry(req.class) {
		r.reject(req, wait, false)
		return
	}
	r.emit(Fail{req.ID})
	r.finish(req)
}

// reject rejects a request that has had no effect or may be retried. The advised wait is spread over
// requests, so that clients do not come back all at once.
func (r *Router) reject(req *request, wait time.Duration, overQuota bool) {
	if wait = min(max(wait, minRetryAfter), r.set.MaxRetryAfter); !r.set.CanRetryAfter {
		wait = 0
	}
	part := 0.5 + 0.5*r.random.uniform(req.ID, "wait")
	if overQuota { // sooner would only be rejected again
		part += 0.5
	}
	wait = min(time.Duration(float64(wait)*part), r.set.MaxRetryAfter)
	r.emit(Reject{ID: req.ID, RetryAfter: wait, OverQuota: overQuota})
	r.finish(req)
}

// observedWait is the wait seen at half of the prefill and decode engines: what a client that is to
// retry is advised to wait.
func (r *Router) observedWait() time.Duration {
	return seconds(r.pool(RolePrefill).oldestAge + r.decodeWait())
}
