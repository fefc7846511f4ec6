package routing

import "time"

// assumedAnswerFraction is the assumed length of an answer as a fraction of MaxTokens, without DurationHint.
const assumedAnswerFraction = 0.3

// phase is the processing phase of a request.
type phase uint8

const (
	awaitingPrefill phase = iota // no attempt in flight, no held state
	prefilling                   // in flight at a prefill engine, or at another that prefills and decodes it
	awaitingDecode               // no attempt in flight, held state at a prefill engine
	decoding                     // in flight at a decode engine
	streaming                    // the answer has started
)

// request is a client's request. The router keeps it until all its attempts have ended.
type request struct {
	Request
	class               *Class
	maxAttempts         int     // of the settings at its arrival
	priority            float64 // priority weight of the class, reduced above the tenant's quota
	deadline, objective Time
	phase               phase
	home, secondHome    *engine // prefix homes, where its prefix is expected to be cached
	engine, stateHolder *engine // engine of the attempt in flight; engine of the held state
	lastFailedEngine    *engine // engine of the latest failed attempt
	attempts            int
	sentAt, phaseSince  Time    // start of the latest attempt; start of the phase
	lastInFlightAt      Time    // when an attempt was last in flight; queueing with held state counts from it
	prefillTokens       int     // tokens expected to be prefilled
	queuedTokensAhead   float64 // tokens queued ahead of it at the engine
	reportedTokensAhead float64 // waiting tokens in the engine's load report
	hitTokens           int     // cached tokens expected at the engine
	expectedTime        time.Duration
	ended               bool // finally answered, or the client has disconnected
	cancelled           bool
	prefillsAndDecodes  bool    // the attempt runs both phases at one engine
	probedEngine        *engine // engine probed before the first placement
	effects             effectRecord
}

// firstTokenObjective is the objective for the time to first token, given the prompt's length in tokens.
func (c *Class) firstTokenObjective(prompt int) time.Duration {
	return c.FirstTokenObjective + time.Duration(prompt)*c.FirstTokenPerPromptToken
}

// memoryEstimate estimates the memory that a request uses while its answer is generated, in tokens.
func (r *Router) memoryEstimate(req *request) float64 {
	answerTokens := assumedAnswerFraction * float64(req.MaxTokens)
	if req.DurationHint > 0 && req.class != nil && req.class.TokenIntervalObjective > 0 {
		answerTokens = float64(req.DurationHint) / float64(req.class.TokenIntervalObjective)
	}
	return float64(req.PromptTokens) + answerTokens
}

// setPhase changes the phase of a request. All changes of phase use it, so that the work in flight and the
// held state that are counted per engine stay consistent.
func (r *Router) setPhase(req *request, p phase, e *engine) {
	r.updateWorkload(req, -1)
	if req.engine != nil {
		req.engine.removeInFlight(req)
	}
	req.phase, req.engine, req.phaseSince = p, e, r.now
	if p == prefilling || p == decoding {
		e.addInFlight(req)
	}
	r.updateWorkload(req, 1)
}

// updateWorkload adds a request to the workload of its engines, or subtracts it with sign -1: the tokens to
// prefill, the held state and the memory in use.
func (r *Router) updateWorkload(req *request, sign int) {
	if req.stateHolder != nil && (req.phase == awaitingDecode || req.phase == decoding) {
		req.stateHolder.addHeldState(sign, float64(req.PromptTokens))
	}
	e := req.engine
	if e == nil {
		return
	}
	if req.phase == prefilling {
		e.addPrefill(sign, float64(req.prefillTokens))
		if sign > 0 {
			e.report.recordSent(float64(req.prefillTokens), 0)
		}
	}
	if e.role() != RolePrefill {
		e.addAnswer(sign, r.memoryEstimate(req))
		if sign > 0 {
			e.report.recordSent(0, r.memoryEstimate(req))
		}
	}
}

// endAttempt updates a request after its attempt has ended. An attempt without a connection was never in
// flight.
func (r *Router) endAttempt(req *request, s Status) {
	r.setPhase(req, awaitingPrefill, nil)
	if s != StatusConnectFailed {
		req.lastInFlightAt = r.now
	}
}

// onClientGone ends the request of a disconnected client: immediately, or when the attempt in flight ends.
func (r *Router) onClientGone(req *request) {
	if req.engine == nil {
		r.finish(req)
		return
	}
	req.ended = true
	if req.phase != streaming {
		r.cancel(req)
	}
}

// cancel cancels the attempt in flight of a request, if the settings allow it.
func (r *Router) cancel(req *request) {
	if r.set.CanCancel && !req.cancelled {
		req.cancelled = true
		r.emit(CancelAttempt{ID: req.ID, Attempt: req.attempts - 1})
	}
}

// finish deletes a request that has no attempt in flight and releases its held state.
func (r *Router) finish(req *request) {
	if req.stateHolder != nil {
		r.emit(Release{req.ID})
	}
	r.setPhase(req, awaitingPrefill, nil)
	r.holdQueue.remove(req)
	delete(r.requests, req.ID)
}
