package routing

const (
	retriesPerRequest = 0.25 // attempts that each arriving request adds to the budget
	maxRetryBudget    = 40.0 // capacity over all gateways, in attempts: those in flight at a few engines
)

// retryBudget limits the retries of this router, so that failures do not multiply the load. It reads and
// changes no other state. Arriving requests deposit to it; retries after failures withdraw from it.
type retryBudget struct {
	attempts float64
}

// newRetryBudget returns a budget of a single attempt, since all gateways may have restarted simultaneously.
func newRetryBudget() retryBudget { return retryBudget{attempts: 1} }

// deposit adds the fraction of an attempt that one request contributes.
func (b *retryBudget) deposit(gateways int) {
	b.attempts = min(1+maxRetryBudget/float64(gateways), b.attempts+retriesPerRequest)
}

func (b *retryBudget) empty() bool { return b.attempts < 1 }

func (b *retryBudget) withdraw() { b.attempts-- }

// retryIfAllowed retries a request after a failed attempt if its effect, its deadline and the retry budget
// permit it: at another decode engine if it has held state, otherwise with a new prefill. If not, it rejects
// or fails the request.
func (r *Router) retryIfAllowed(req *request, s Status) {
	remaining := req.maxAttempts - req.attempts
	exhausted := remaining < 1 || remaining < 2 && req.stateHolder == nil // prefill and decode need one each
	late := req.deadline-r.now < minRemainingTime
	if exhausted || late || req.effects.forbidsRetry(req.class) || s == StatusNotSent || r.shuttingDown {
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
