package routing

import (
	"math"
	"slices"
)

const (
	hitRateThreshold     = 0.1 // cached fraction of the prompt above which caches affect placement
	fairShareMultiple    = 2.0 // limit of active requests at a prefill engine, as a multiple of its fair share
	runningAnswerWeight  = 0.3 // cost of delaying one answer at a mixed engine, relative to the prefill
	decodePrefillWeight  = 0.7 // cost of a prefill at a decode engine without a queue
	prefillTokenWeight   = 4.0 // relative to a queued token: a prefill delays later requests and evicts cache
	memoryShortageWeight = 4.0 // factor on the decode wait if free memory is probably insufficient
)

// placePrefill chooses the engine for a prefill by weighing its cached prefix against its queued load.
// Caches count only above the hit-rate threshold, and the fair share caps the requests at an engine. It
// returns the engine and the expected wait there in seconds, or nil if no engine is eligible or the
// request waits for a probe.
func (r *Router) placePrefill(req *request) (*engine, float64) {
	decodeWait := r.decodeWait()
	pool := r.eligible(req, true)
	useCache := r.exceedsHitRateThreshold(req, pool)
	candidates := withinFairShare(pool)
	if r.set.DecodePrefills {
		candidates = append(candidates, r.idleDecodeEngines(req)...)
	}
	cost := func(e *engine) float64 { return r.prefillCost(req, e, useCache, decodeWait) }
	// For a prompt with cached tokens all routers choose the same engine, so that its queue is probed.
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

// exceedsHitRateThreshold reports whether an engine of the pool, or the prefix home, has a larger fraction of
// the prompt cached than hitRateThreshold. It sets the prefix homes of the request.
func (r *Router) exceedsHitRateThreshold(req *request, pool []*engine) bool {
	req.home, req.secondHome = nil, nil
	best := 0
	for _, e := range pool {
		best = max(best, r.cachedTokens(req, e))
	}
	threshold := int(hitRateThreshold * float64(req.PromptTokens))
	if best <= max(threshold, req.PrefixLen) { // no engine has tokens cached beyond the shared prefix
		req.home, req.secondHome = r.rankHomes(req, pool)
		if req.home != nil {
			best = max(best, r.cachedTokens(req, req.home))
		}
	}
	return best > threshold
}

// withinFairShare returns the engines of a pool with less than fairShareMultiple times their fair share of
// the active requests, or the whole pool if there are none.
func withinFairShare(pool []*engine) []*engine {
	active := 1 // including the new request
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

// prefillCost is the expected cost of a prefill at an engine, in seconds.
func (r *Router) prefillCost(req *request, e *engine, useCache bool, decodeWait float64) float64 {
	hit := 0
	if useCache {
		hit = r.cachedTokens(req, e)
	}
	tokens := r.queuedTokens(e) + prefillTokenWeight*float64(req.PromptTokens-hit) + prefillOverheadTokens
	cost := tokens * r.latency.secondsPerToken(e.role()) * r.slowdown(e) / e.Weight
	switch e.role() {
	case RolePrefill: // the state then waits for a decode engine
		return cost + decodeWait
	case RoleDecode:
		return cost * decodePrefillWeight
	}
	// At a mixed engine a prefill interrupts all running answers.
	return cost * (1 + runningAnswerWeight*float64(e.answers*r.set.Gateways))
}

// prefillWait is the expected wait at an engine, in seconds. Admission rejects a request because of it before
// the request is sent.
func (r *Router) prefillWait(req *request, e *engine, cost, decodeWait float64) float64 {
	wait := cost
	if e.prefills == 0 && e.role() == RolePrefill && r.reportedQueueTokens(e) < prefillOverheadTokens {
		wait = decodeWait // an idle engine is tried regardless of the cost
	}
	// Engines serve in order of arrival, so the age of the oldest attempt is a lower bound.
	wait = max(wait, e.oldestAgeSeconds(r.now))
	switch {
	case e.role() == RolePrefill && r.freeDecodeTokens() < r.memoryEstimate(req):
		wait += memoryShortageWeight * decodeWait // a shortage is an estimate: it counts by the observed wait
	case e.role() == RoleMixed && r.memoryUsage(e)+r.memoryEstimate(req)/max(e.kind.Memory, 1) > 1:
		wait = max(wait, req.class.FirstTokenObjective.Seconds())
	}
	return wait
}

// idleDecodeEngines returns the decode engines that may prefill the request: those with free memory and no
// prefill in flight. They relieve prefill engines that have a queue; a prefill interrupts their running
// answers.
func (r *Router) idleDecodeEngines(req *request) []*engine {
	return slices.DeleteFunc(r.eligible(req, false), func(e *engine) bool {
		usage := r.memoryUsage(e) + r.memoryEstimate(req)/max(e.kind.Memory, 1)
		return e.role() != RoleDecode || e.prefills > 0 || usage > memoryLowWatermark
	})
}

// minCostEngine returns the engine of minimum cost. Ties are broken by a draw from request ID and seed.
func (r *Router) minCostEngine(req *request, pool []*engine, cost func(*engine) float64) *engine {
	var best *engine
	var minCost, minDraw float64
	for _, e := range pool {
		c, draw := cost(e), r.random.uniform(req.ID, e.Name)
		if best == nil || c < minCost-1e-12 || c <= minCost+1e-12 && draw < minDraw {
			best, minCost, minDraw = e, c, draw
		}
	}
	return best
}
