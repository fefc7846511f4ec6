package routing

import "time"

const (
	minExpectedTime  = 30 * time.Millisecond // expectations below this are noise
	minRemainingTime = 30 * time.Millisecond // with less time left an attempt is not answered in time
)

// dispatchPrefill sends a request to the prefill engine that placement chooses, or holds it for a short
// part of its objective when none is eligible.
func (r *Router) dispatchPrefill(req *request) {
	e, wait := r.placePrefill(req)
	if e == nil {
		r.enqueue(req, awaitingPrefill)
		return
	}
	if r.overloaded(req, wait) {
		r.rejectOrFail(req, seconds(wait/2))
		return
	}
	req.hitTokens = r.cachedTokens(req, e)
	req.prefillTokens = max(req.PromptTokens-req.hitTokens, 1)
	req.reportedTokensAhead = r.reportedWaitingTokens(e)
	// With the reported queue, so that it is not given up early where there is one.
	req.queuedTokensAhead = r.queuedTokens(e) + r.reportedQueueTokens(e)
	tokens := req.queuedTokensAhead + float64(req.prefillTokens) + prefillOverheadTokens
	req.expectedTime = max(minExpectedTime, seconds(tokens*r.latency.secondsPerToken(e.role())))
	r.send(req, e, prefilling)
}

// dispatchDecode sends a request whose prompt is read to a decode engine, or holds it well within
// HeldStateLimit.
func (r *Router) dispatchDecode(req *request) {
	e := r.placeDecode(req)
	if e == nil {
		r.enqueue(req, awaitingDecode)
		return
	}
	req.expectedTime = max(minExpectedTime, seconds(r.latency.meanSeconds(e.role(), decoding)))
	r.send(req, e, decoding)
}

func (r *Router) send(req *request, e *engine, p phase) {
	r.setPhase(req, p, e)
	req.attempts++
	req.prefillsAndDecodes = p == prefilling && e.role() != RolePrefill
	req.sentAt, req.cancelled = r.now, false
	limit := r.attemptTimeout(req)
	if r.set.CanCancel { // cancelOverdue tells a silent engine from a busy one
		limit = max(2*limit, 2*req.class.FirstTokenObjective)
	}
	if req.attempts >= req.maxAttempts-1 || r.now+limit+minRemainingTime >= req.deadline {
		limit = req.deadline - r.now
	}
	e.slowStart.add(r.now, r.meanPrompt.mean(req.Class))
	if e.role() != RolePrefill {
		req.effects.add(e, r.now)
	}
	r.emit(Send{ID: req.ID, Engine: e.Name, Timeout: limit})
}
