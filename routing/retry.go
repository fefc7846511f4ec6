package routing

const (
	retriesPerRequest = 0.25 // attempts that each request adds to the budget
	maxRetryBudget    = 40.0 // attempts that all routers together may save up: those in flight at a few engines
)

// retryBudget bounds the further attempts of this router, so that failures do not multiply the load. It
// reads and changes nothing else. Requests add to it on arrival; retries after failures take from it.
type retryBudget struct {
	attempts float64
}

// newRetryBudget returns one with little in it: all gateways may have restarted.
func newRetryBudget() retryBudget { return retryBudget{attempts: 1} }

// deposit adds a request's part.
func (b *retryBudget) deposit(gateways int) {
	b.attempts = min(1+maxRetryBudget/float64(gateways), b.attempts+retriesPerRequest)
}

func (b *retryBudget) empty() bool { return b.attempts < 1 }

func (b *retryBudget) withdraw() { b.attempts-- }

// retryIfAllowed decides what follows a failed attempt, within the retry budget: held state goes to
// another decode engine, anything else is prefilled again.
func (r *Router) retryIfAllowed(req *request, s Status) {
	left := req.maxAttempts - req.attempts
	spent := left < 1 || left < 2 && req.stateHolder == nil // a prefill and a decode are two
	late := req.deadline-r.now < minRemainingTime
	if spent || late || req.effects.forbidsRetry(req.class) || s == StatusNotSent || r.shuttingDown {
		r.rejectOrFail(req, 0)
		return
	}
	if s != StatusRejected || !r.rateLimits.limited(rateLimitKey(req)) {
		if r.retryBudget.empty() {
			r.rejectOrFail(req, r.observedWait())
			return
		}
		r.retryBudget.withdraw()
	}
	if req.stateHolder != nil {
		r.dispatchDecode(req)
		return
	}
	r.dispatchPrefill(req)
}
