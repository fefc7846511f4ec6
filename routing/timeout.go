package routing

import (
	"slices"
	"time"
)

const (
	// timeoutExpectedFactor is the attempt timeout as a multiple of the expected time.
	timeoutExpectedFactor = 5.0
	// timeoutMeanFactor is the minimum of the timeout as a multiple of the mean time of attempts, since
	// the router does not see the queues at engines.
	timeoutMeanFactor = 4.0
	// timeoutObjectiveFraction is the minimum of the timeout as a fraction of the objective, so that normal
	// variation of the latency does not exceed it.
	timeoutObjectiveFraction = 0.4
	// overdueRatio is the multiple of its expected time after which an attempt in flight may hang.
	overdueRatio = 3.0
)

// attemptTimeout is the duration after which an attempt counts as overdue.
func (r *Router) attemptTimeout(req *request) time.Duration {
	mean := r.latency.meanSeconds(req.engine.role(), req.phase)
	meanLimit := timeoutMeanFactor * float64(seconds(mean))
	expectedLimit := timeoutExpectedFactor * float64(req.expectedTime)
	minLimit := timeoutObjectiveFraction * float64(req.class.FirstTokenObjective)
	return time.Duration(max(expectedLimit, minLimit, meanLimit))
}

// cancelOverdue cancels attempts that hang: those that are overdue while their peers' are not, and those that
// a later attempt has overtaken. If the engine has not responded since the attempt was sent, this counts as a
// failure; otherwise the engine is only busy.
func (r *Router) cancelOverdue(role Role) {
	medianOverdue := max(r.pool(role).overdue, 1)
	for e := range r.engines.usableByRole(role) {
		overdue := e.ageRatio(r.now) >= overdueRatio*medianOverdue
		for _, req := range slices.Clone(e.inFlight) {
			age := r.now - req.sentAt
			busy := !overdue ||
				!e.noResponseSince(req.sentAt) && (r.slowdown(e) == 1 || age < req.class.FirstTokenObjective)
			exempt := req.cancelled || r.retryBudget.empty() || req.attempts >= req.maxAttempts
			if busy && !e.overtaken(req) || exempt || age < r.attemptTimeout(req) {
				continue
			}
			if e.noResponseSince(req.sentAt) {
				r.recordResult(e, 1, 1)
			}
			r.cancel(req)
		}
	}
}
