package routing

import (
	"cmp"
	"slices"
)

// eligible lists the engines that the guards admit for a prefill, or else for a decode: those on the
// list that do not reject the like of it, whose effect and slow-start budget allow it, and that are
// not ejected.
func (r *Router) eligible(req *request, prefill bool) []*engine {
	var allowed, healthy []*engine
	for _, e := range r.engines.ordered {
		role := e.role()
		wanted := role == RoleMixed || prefill && role == RolePrefill || !prefill && role == RoleDecode
		rejecting := e.backoffs.active(rateLimitKey(req), r.now)
		if !wanted || !e.usable || rejecting || !req.effects.allows(req.class, e, r.now, r.set.MaxSendDelay) {
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
	// At least half of those allowed stay in use, the least failing first: a common cause fails all.
	if short := (len(allowed)+1)/2 - len(healthy); short > 0 {
		isHealthy := func(e *engine) bool { return slices.Contains(healthy, e) }
		rest := slices.DeleteFunc(slices.Clone(allowed), isHealthy)
		slices.SortStableFunc(rest, func(a, b *engine) int {
			return cmp.Compare(a.failures.failureRate(), b.failures.failureRate())
		})
		healthy = append(healthy, rest[:short]...)
	}
	return healthy
}
