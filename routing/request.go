package routing

import "time"

// assumedAnswerFraction is the part of MaxTokens that an answer takes, when no hint is given.
const assumedAnswerFraction = 0.3

// phase is where a request is on its way.
type phase uint8

const (
	awaitingPrefill phase = iota // no attempt in flight, no state held
	prefilling                   // in flight at a prefill engine, or as a whole at another
	awaitingDecode               // no attempt in flight, a prefill engine holds the state
	decoding                     // in flight at a decode engine
	streaming                    // the answer has begun
)

// request is a client's request. It is kept until its attempts have ended.
type request struct {
	Request
	class               *Class
	maxAttempts         int     // attempts allowed, as the settings said at its arrival
	priority            float64 // of the class, lower beyond the tenant's quota
	deadline, objective Time
	phase               phase
	home, secondHome    *engine // where its prefix is expected to be cached
	engine, stateHolder *engine // with the attempt in flight; which holds the state
	lastFailedEngine    *engine // the last engine that failed it
	attempts            int
	sentAt, phaseSince  Time    // when the attempt left; when the phase began
	lastInFlightAt      Time    // when an attempt was last in flight: the wait of held state counts from it
	prefillTokens       int     // expected to be read
	queuedTokensAhead   float64 // tokens queued at the engine before it
	reportedTokensAhead float64 // tokens that the engine's report showed waiting
	hitTokens           int     // expected to be cached
	expectedTime        time.Duration
	ended               bool // answered, or the client has gone
	cancelled           bool
	prefillsAndDecodes  bool    // the attempt prefills and decodes
	probedEngine        *engine // asked for its load before the first placement
	effects             effectRecord
}

// firstTokenObjective is the time to the first token after a prompt of so many tokens.
func (c *Class) firstTokenObjective(prompt int) time.Duration {
	return c.FirstTokenObjective + time.Duration(prompt)*c.FirstTokenPerPromptToken
}

// memoryEstimate estimates the memory that a request takes while it is answered, in tokens.
func (r *Router) memoryEstimate(req *request) float64 {
	out := assumedAnswerFraction * float64(req.MaxTokens)
	if req.DurationHint > 0 && req.class != nil && req.class.TokenIntervalObjective > 0 {
		out = float64(req.DurationHint) / float64(req.class.TokenIntervalObjective)
	}
	return float64(req.PromptTokens) + out
}

// setPhase is the one place where a request changes phase: it keeps the account of
// what is in flight, queued and held at each engine.
func (r *Router) setPhase(req *request, p phase, at *engine) {
	r.updateWorkload(req, -1)
	if req.engine != nil {
		req.engine.removeInFlight(req)
	}
	req.phase, req.engine, req.phaseSince = p, at, r.now
	if p == prefilling || p == decoding {
		at.addInFlight(req)
	}
	r.updateWorkload(req, 1)
}

// updateWorkload adds a request to the work of its engines, or takes it off, with sign -1: what counts as
// load and as memory in use.
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

// endAttempt accounts for the end of a request's attempt. One that had no connection was never in
// flight.
func (r *Router) endAttempt(req *request, s Status) {
	r.setPhase(req, awaitingPrefill, nil)
	if s != StatusConnectFailed {
		req.lastInFlightAt = r.now
	}
}

// onClientGone ends a request whose client has gone: at once, or when the attempt in flight has ended.
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

func (r *Router) cancel(req *request) {
	if r.set.CanCancel && !req.cancelled {
		req.cancelled = true
		r.emit(CancelAttempt{ID: req.ID, Attempt: req.attempts - 1})
	}
}

// finish forgets a request with no attempt in flight and releases the state held for it.
func (r *Router) finish(req *request) {
	if req.stateHolder != nil {
		r.emit(Release{req.ID})
	}
	r.setPhase(req, awaitingPrefill, nil)
	r.holdQueue.remove(req)
	delete(r.requests, req.ID)
}
