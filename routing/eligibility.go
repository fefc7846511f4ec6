package routing

import (
	"cmp"
	"slices"
)

// eligible returns the engines that may receive a prefill, or a decode if prefill is false: usable engines
// of a suitable role that are not in backoff for the rate limit key of the request, to which the effect
// of its class and the slow-start budget allow a send, and that are neither ejected nor the engine at which
// the previous attempt failed.
func (r *Router) eligible(req *request, prefill bool) []*engine {
	var allowed, healthy []*engine
	for _, e := range r.engines.ordered {
		role := e.role()
		suitable := role == RoleMixed || prefill && role == RolePrefill || !prefill && role == RoleDecode
		rejecting := e.backoffs.active(rateLimitKey(req), r.now)
		if !suitable || !e.usable || rejecting || !req.effects.allows(req.class, e, r.now, r.set.MaxSendDelay) {
			continue
		}
		if !r.slowStartAdmits(e, r.meanPrompt.mean(req.Class)) {
			continue
		}
		allowed = append(allowed, e)
		if e != req.lastFailedEngine && r.available(e) {
			healthy = append(healthy, e)
		}
	}
	// At least half of the allowed engines remain eligible, those with the lowest failure rates first, as a
	// common cause makes all engines fail.
	if missing := (len(allowed)+1)/2 - len(healthy); missing > 0 {
		isHealthy := func(e *engine) bool { return slices.Contains(healthy, e) }
		unhealthy := slices.DeleteFunc(slices.Clone(allowed), isHealthy)
		slices.SortStableFunc(unhealthy, func(a, b *engine) int {
			return cmp.Compare(a.failures.failureRate(), b.failures.failureRate())
		})
		healthy = append(healthy, unhealthy[:missing]...)
	}
	return healthy
}
