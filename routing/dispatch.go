package routing

import "time"

const (
	minExpectedTime  = 30 * time.Millisecond // shorter estimates are within the measurement noise
	minRemainingTime = 30 * time.Millisecond // an attempt with less time before the deadline would miss it
)

// dispatchPrefill sends a request to the prefill engine that placement chooses. If none is eligible, it
// queues the request for at most maxPrefillHoldFraction of its first-token objective.
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
	// Includes the reported queue, so that the attempt is not cancelled early where one exists.
	req.queuedTokensAhead = r.queuedTokens(e) + r.reportedQueueTokens(e)
	tokens := req.queuedTokensAhead + float64(req.prefillTokens) + prefillOverheadTokens
	req.expectedTime = max(minExpectedTime, seconds(tokens*r.latency.secondsPerToken(e.role())))
	r.send(req, e, prefilling)
}

// dispatchDecode sends a prefilled request to a decode engine. If none is eligible, it queues the request
// for at most maxDecodeHoldFraction of HeldStateLimit.
func (r *Router) dispatchDecode(req *request) {
	e := r.placeDecode(req)
	if e == nil {
		r.enqueue(req, awaitingDecode)
		return
	}
	req.expectedTime = max(minExpectedTime, seconds(r.latency.meanSeconds(e.role(), decoding)))
	r.send(req, e, decoding)
}

// send sends a request to an engine for a phase and sets the attempt's timeout.
func (r *Router) send(req *request, e *engine, p phase) {
	r.setPhase(req, p, e)
	req.attempts++
	req.prefillsAndDecodes = p == prefilling && e.role() != RolePrefill
	req.sentAt, req.cancelled = r.now, false
	timeout := r.attemptTimeout(req)
	if r.set.CanCancel { // cancelOverdue distinguishes unresponsive from busy engines and cancels earlier
		timeout = max(2*timeout, 2*req.class.FirstTokenObjective)
	}
	if req.attempts >= req.maxAttempts-1 || r.now+timeout+minRemainingTime >= req.deadline {
		timeout = req.deadline - r.now
	}
	e.slowStart.add(r.now, r.meanPrompt.mean(req.Class))
	if e.role() != RolePrefill {
		req.effects.add(e, r.now)
	}
	r.emit(Send{ID: req.ID, Engine: e.Name, Timeout: timeout})
}
