package routing

import (
	"slices"
	"time"
)

const (
	timeoutExpectedFactor    = 5.0 // an attempt may take this many times the expected time
	timeoutTypicalFactor     = 4.0 // and this many times what any takes, as queues are not seen
	timeoutObjectiveFraction = 0.4 // and at least this part of the objective, so that chance does not exceed it
	overdueRatio             = 3.0 // an attempt in flight for so many times the expected time may hang
)

// attemptTimeout is how long an attempt may take before it counts as overdue.
func (r *Router) attemptTimeout(req *request) time.Duration {
	typical := r.latency.meanSeconds(req.engine.role(), req.phase)
	tail := timeoutTypicalFactor * float64(seconds(typical))
	expected := timeoutExpectedFactor * float64(req.expectedTime)
	least := timeoutObjectiveFraction * float64(req.class.FirstTokenObjective)
	return time.Duration(max(expected, least, tail))
}

// cancelOverdue cancels attempts that are overdue while the peers' are not, or that later ones have
// overtaken: they hang. For an engine not heard from since, that counts as a failure; else it is
// only busy.
func (r *Router) cancelOverdue(role Role) {
	usual := max(r.pool(role).overdue, 1)
	for e := range r.engines.usableByRole(role) {
		late := e.maxAgeRatio(r.now) >= overdueRatio*usual
		for _, req := range slices.Clone(e.inFlight) {
			age := r.now - req.sentAt
			busy := !late ||
				!e.noResponseSince(req.sentAt) && (r.slowdown(e) == 1 || age < req.class.FirstTokenObjective)
			spent := req.cancelled || r.retryBudget.empty() || req.attempts >= req.maxAttempts
			if busy && !e.overtaken(req) || spent || age < r.attemptTimeout(req) {
				continue
			}
			if e.noResponseSince(req.sentAt) {
				r.recordResult(e, 1, 1)
			}
			r.cancel(req)
		}
	}
}
