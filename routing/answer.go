package routing

import "time"

// minRetryAfter is the shortest Retry-After: a client that retries sooner encounters the same load.
const minRetryAfter = 200 * time.Millisecond

// rejectOrFail ends a request without a further attempt: with Reject, and the wait as Retry-After, if its
// client may retry it, otherwise with Fail.
func (r *Router) rejectOrFail(req *request, wait time.Duration) {
	if req.effects.clientMayRetry(req.class) {
		r.reject(req, wait, false)
		return
	}
	r.emit(Fail{req.ID})
	r.finish(req)
}

// reject rejects a request that has had no effect or may be retried. Retry-After is randomized per request
// to prevent clients from retrying simultaneously.
func (r *Router) reject(req *request, wait time.Duration, overQuota bool) {
	if wait = min(max(wait, minRetryAfter), r.set.MaxRetryAfter); !r.set.CanRetryAfter {
		wait = 0
	}
	jitter := 0.5 + 0.5*r.random.uniform(req.ID, "wait")
	if overQuota { // an earlier retry would exceed the quota again
		jitter += 0.5
	}
	wait = min(time.Duration(float64(wait)*jitter), r.set.MaxRetryAfter)
	r.emit(Reject{ID: req.ID, RetryAfter: wait, OverQuota: overQuota})
	r.finish(req)
}

// observedWait is the median age of the oldest attempts at the prefill engines plus the wait for a first
// token at the decode engines. It serves as Retry-After for clients that should retry.
func (r *Router) observedWait() time.Duration {
	return seconds(r.pool(RolePrefill).oldestAge + r.decodeWait())
}
