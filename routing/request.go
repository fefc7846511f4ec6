package routing

import (
	"slices"
	"time"
)

const (
	minExpectedTime   = 30 * time.Millisecond  // expectations below this are noise
	minRemainingTime  = 30 * time.Millisecond  // with less time left an attempt is not answered in time
	minRetryAfter     = 200 * time.Millisecond // the shortest Retry-After
	assumedAnswerPart = 0.3                    // part of MaxTokens that an answer takes, without a hint
)

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
	lastFailed          *engine // the last engine that failed it
	attempts            int
	sentAt, phaseSince  Time    // when the attempt left; when the phase began
	lastInFlight        Time    // when an attempt was last in flight: the wait of held state counts from it
	prefillTokens       int     // expected to be read
	queuedAhead         float64 // tokens queued at the engine before it
	reportedAhead       float64 // tokens that the engine's report showed waiting
	hitTokens           int     // expected to be cached
	expectedTime        time.Duration
	ended               bool // answered, or the client has gone
	cancelled           bool
	servesWhole         bool      // the attempt prefills and decodes
	probed              []*engine // prefill engines probed for it before its first choice
	possibleRuns        []possibleRun
}

// firstTokenObjective is the time to the first token after a prompt of so many tokens.
func (c *Class) firstTokenObjective(prompt int) time.Duration {
	return c.FirstTokenObjective + time.Duration(prompt)*c.FirstTokenPerPromptToken
}

// toPrefill sends a request to the prefill engine that placement chooses, or holds it for a short
// part of its objective when none is eligible.
func (r *Router) toPrefill(req *request) {
	e, wait := r.placePrefill(req)
	if e == nil {
		r.hold(req, awaitingPrefill)
		return
	}
	if r.overloaded(req, wait) {
		r.giveUp(req, seconds(wait/2))
		return
	}
	req.hitTokens = r.cachedTokens(req, e)
	req.prefillTokens = max(req.PromptTokens-req.hitTokens, 1)
	req.reportedAhead = r.reportedTokens(e)
	// With the reported queue, so that it is not given up early where there is one.
	req.queuedAhead = r.queuedTokens(e) + r.reportedQueueTokens(e)
	tokens := req.queuedAhead + float64(req.prefillTokens) + stepOverheadTokens
	req.expectedTime = max(minExpectedTime, seconds(tokens*r.latency.secondsPerToken(e.role())))
	r.send(req, e, prefilling)
}

// toDecode sends a request whose prompt is read to a decode engine, or holds it well within
// HeldStateLimit.
func (r *Router) toDecode(req *request) {
	e := r.placeDecode(req)
	if e == nil {
		r.hold(req, awaitingDecode)
		return
	}
	req.expectedTime = max(minExpectedTime, seconds(r.latency.typicalSeconds(e.role(), decoding)))
	r.send(req, e, decoding)
}

func (r *Router) send(req *request, e *engine, p phase) {
	r.setPhase(req, p, e)
	req.attempts++
	req.servesWhole = p == prefilling && e.role() != RolePrefill
	req.sentAt, req.cancelled = r.now, false
	limit := r.attemptTimeout(req)
	if r.set.CanCancel { // cancelOverdue tells a silent engine from a busy one
		limit = max(2*limit, 2*req.class.FirstTokenObjective)
	}
	if req.attempts >= req.maxAttempts-1 || r.now+limit+minRemainingTime >= req.deadline {
		limit = req.deadline - r.now
	}
	e.slowStart.add(r.now, r.meanPrompt[req.Class])
	if e.role() != RolePrefill {
		req.possibleRuns = append(req.possibleRuns, possibleRun{e.Zone, e.Cell, r.now})
	}
	r.emit(Send{ID: req.ID, Engine: e.Name, Timeout: limit})
}

// giveUp gives the final answer at once: Reject if the request may be retried, with a wait.
func (r *Router) giveUp(req *request, wait time.Duration) {
	rejectable := len(req.possibleRuns) == 0 || req.class == nil || req.class.Effect == EffectIdempotent ||
		req.class.Effect == EffectDeduplicated && req.class.DedupScope == DedupAllEngines
	if rejectable {
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
	part := 0.5 + 0.5*r.draws.uniform(req.ID, "wait")
	if overQuota { // sooner would only be rejected again
		part += 0.5
	}
	wait = min(time.Duration(float64(wait)*part), r.set.MaxRetryAfter)
	r.emit(Reject{ID: req.ID, RetryAfter: wait, OverQuota: overQuota})
	r.finish(req)
}

// memoryEstimate estimates the memory that a request takes while it is answered, in tokens.
func (r *Router) memoryEstimate(req *request) float64 {
	out := assumedAnswerPart * float64(req.MaxTokens)
	if req.DurationHint > 0 && req.class != nil && req.class.TokenIntervalObjective > 0 {
		out = float64(req.DurationHint) / float64(req.class.TokenIntervalObjective)
	}
	return float64(req.PromptTokens) + out
}

// setPhase is the one place where a request changes phase: it keeps the account of
// what is in flight, queued and held at each engine.
func (r *Router) setPhase(req *request, p phase, at *engine) {
	r.account(req, -1)
	if req.engine != nil {
		req.engine.inFlight = without(req.engine.inFlight, req)
	}
	req.phase, req.engine, req.phaseSince = p, at, r.now
	if p == prefilling || p == decoding {
		at.inFlight = append(at.inFlight, req)
	}
	r.account(req, 1)
}

// account adds a request to the work of its engines, or takes it off, with sign -1: what counts as load
// and as memory in use.
func (r *Router) account(req *request, sign int) {
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
			e.report.addSent(float64(req.prefillTokens), 0)
		}
	}
	if e.role() != RolePrefill {
		e.addAnswer(sign, r.memoryEstimate(req))
		if sign > 0 {
			e.report.addSent(0, r.memoryEstimate(req))
		}
	}
}

// attemptEnded accounts for the end of a request's attempt. One that had no connection was never in
// flight.
func (r *Router) attemptEnded(req *request, s Status) {
	r.setPhase(req, awaitingPrefill, nil)
	if s != StatusConnectFailed {
		req.lastInFlight = r.now
	}
}

// clientGone ends a request whose client has gone: at once, or when the attempt in flight has ended.
func (r *Router) clientGone(req *request) {
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
	r.held.remove(req)
	delete(r.requests, req.ID)
}

// without returns the list less one request.
func without(list []*request, req *request) []*request {
	if i := slices.Index(list, req); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
