package routing

import (
	"math"
	"slices"
)

const (
	hitRateThreshold     = 0.1 // of the prompt: if no engine has more of it cached, caches do not count
	fairShareMultiple    = 2.0 // times its fair share of active requests that a prefill engine may have
	runningAnswerWeight  = 0.3 // of a prefill, by which it delays each answer at a mixed engine
	decodePrefillWeight  = 0.7 // of a prefill at a decode engine, where no other waits
	prefillTokenWeight   = 4.0 // of a token to prefill against one queued: it delays later ones and evicts
	memoryShortageWeight = 4.0 // times that the decode wait counts again where memory seems short
)

// placePrefill chooses the engine for a prefill as the design says: cached prefix against queued load,
// behind the hit-rate gate and the fair-share cap. It returns the wait to expect there, in seconds, or
// no engine if none is eligible or a probe comes first.
func (r *Router) placePrefill(req *request) (*engine, float64) {
	decodeWait := r.decodeWait()
	pool := r.eligible(req, true)
	useCache := r.exceedsHitRateThreshold(req, pool)
	candidates := withinFairShare(pool)
	if r.set.DecodePrefills {
		candidates = append(candidates, r.idleDecodeEngines(req)...)
	}
	cost := func(e *engine) float64 { return r.prefillCost(req, e, useCache, decodeWait) }
	// Prompts with cached text make every router choose the same engine.
	if useCache && r.probeBeforePlacement(req, candidates, cost) {
		return nil, 0
	}
	e := r.minCostEngine(req, candidates, func(e *engine) float64 {
		return cost(e) + r.reportedQueueTokens(e)*r.latency.secondsPerToken(e.role())*r.slowdown(e)/e.Weight
	})
	if e == nil {
		return nil, 0
	}
	return e, r.prefillWait(req, e, cost(e), decodeWait)
}

// exceedsHitRateThreshold reports whether caches count for a request: whether any engine of the pool, or the
// prefix's home, has more of the prompt cached than the gate asks. It sets the request's homes.
func (r *Router) exceedsHitRateThreshold(req *request, pool []*engine) bool {
	req.home, req.secondHome = nil, nil
	best := 0
	for _, e := range pool {
		best = max(best, r.cachedTokens(req, e))
	}
	gate := int(hitRateThreshold * float64(req.PromptTokens))
	if best <= max(gate, req.PrefixLen) { // nothing is known here of the session itself
		req.home, req.secondHome = r.rankHomes(req, pool)
		if req.home != nil {
			best = max(best, r.cachedTokens(req, req.home))
		}
	}
	return best > gate
}

// withinFairShare returns the engines of a pool with less than fairShareMultiple times their share of
// the active requests, or all if none has.
func withinFairShare(pool []*engine) []*engine {
	active := 1 // with the new one
	for _, e := range pool {
		active += e.activeRequests()
	}
	limit := fairShareMultiple * math.Ceil(float64(active)/float64(max(len(pool), 1)))
	over := func(e *engine) bool { return float64(e.activeRequests()+1) > limit }
	capped := slices.DeleteFunc(slices.Clone(pool), over)
	if len(capped) == 0 {
		return pool
	}
	return capped
}

// prefillCost is the time that a prefill at an engine is expected to cost, in seconds.
func (r *Router) prefillCost(req *request, e *engine, useCache bool, decodeWait float64) float64 {
	hit := 0
	if useCache {
		hit = r.cachedTokens(req, e)
	}
	tokens := r.queuedTokens(e) + prefillTokenWeight*float64(req.PromptTokens-hit) + prefillOverheadTokens
	cost := tokens * r.latency.secondsPerToken(e.role()) * r.slowdown(e) / e.Weight
	switch e.role() {
	case RolePrefill: // its state waits for a decode engine
		return cost + decodeWait
	case RoleDecode:
		return cost * decodePrefillWeight
	}
	// At a mixed engine each running answer waits until the prefill is done.
	return cost * (1 + runningAnswerWeight*float64(e.answers*r.set.Gateways))
}

// prefillWait is the wait for which a request may be rejected before it is sent to an engine, in seconds.
func (r *Router) prefillWait(req *request, e *engine, cost, decodeWait float64) float64 {
	wait := cost
	if e.prefills == 0 && e.role() == RolePrefill && r.reportedQueueTokens(e) < prefillOverheadTokens {
		wait = decodeWait // an idle one is tried
	}
	wait = max(wait, e.oldestAgeSeconds(r.now)) // first come, first served: the oldest shows the least wait
	switch {
	case e.role() == RolePrefill && r.freeDecodeTokens() < r.memoryEstimate(req):
		wait += memoryShortageWeight * decodeWait // an estimate: the wait seen tells how much it matters
	case e.role() == RoleMixed && r.memoryUsage(e)+r.memoryEstimate(req)/max(e.kind.Memory, 1) > 1:
		wait = max(wait, req.class.FirstTokenObjective.Seconds())
	}
	return wait
}

// idleDecodeEngines are those that may prefill a prompt themselves, have memory to spare and prefill
// nothing yet. They relieve prefill engines that have a queue; their running answers wait meanwhile.
func (r *Router) idleDecodeEngines(req *request) []*engine {
	return slices.DeleteFunc(r.eligible(req, false), func(e *engine) bool {
		fill := r.memoryUsage(e) + r.memoryEstimate(req)/max(e.kind.Memory, 1)
		return e.role() != RoleDecode || e.prefills > 0 || fill > memoryLowWatermark
	})
}

// minCostEngine returns the engine of least cost; ties go by a draw from request and seed.
func (r *Router) minCostEngine(req *request, pool []*engine, cost func(*engine) float64) *engine {
	var best *engine
	var low, tie float64
	for _, e := range pool {
		c, t := cost(e), r.random.uniform(req.ID, e.Name)
		if best == nil || c < low-1e-12 || c <= low+1e-12 && t < tie {
			best, low, tie = e, c, t
		}
	}
	return best
}
