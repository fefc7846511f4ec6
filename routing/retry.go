package routing

const (
	retriesPerRequest = 0.25 // attempts that each request adds to the budget
	maxRetryBudget    = 40.0 // attempts that all routers together may save up: those in flight at a few engines
)

// retryOrGiveUp decides what follows a failed attempt, within the retry budget: held state goes to
// another decode engine, anything else is prefilled again.
func (r *Router) retryOrGiveUp(req *request, s Status) {
	left := req.maxAttempts - req.attempts
	spent := left < 1 || left < 2 && req.stateHolder == nil // a prefill and a decode are two
	late := req.deadline-r.now < minRemainingTime
	mayNotRepeat := len(req.possibleRuns) > 0 && req.class.Effect == EffectAtMostOnce
	if spent || late || mayNotRepeat || s == StatusNotSent || r.shuttingDown {
		r.giveUp(req, 0)
		return
	}
	if s != StatusRejected || !r.rateLimited(req) {
		if r.retryBudget < 1 {
			r.giveUp(req, seconds(r.pool(RolePrefill).oldestAge+r.decodeWait()))
			return
		}
		r.retryBudget--
	}
	if req.stateHolder != nil {
		r.toDecode(req)
		return
	}
	r.toPrefill(req)
}
