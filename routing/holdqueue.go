package routing

import (
	"time"
)

const (
	// defaultTickInterval is the default interval between checks of queued requests and of attempts that may
	// hang.
	defaultTickInterval = 50 * time.Millisecond
	// maxDecodeHoldFraction limits queueing for a decode engine, as a fraction of HeldStateLimit.
	maxDecodeHoldFraction = 0.5
	// maxPrefillHoldFraction limits queueing for a prefill engine, as a fraction of FirstTokenObjective.
	maxPrefillHoldFraction = 0.4
)

// holdQueue is the queue of requests that wait for an eligible engine or a probe result, in the order in
// which they were added. It reads and changes no other state. The router removes all requests, dispatches
// those that it can and adds the remaining ones again.
type holdQueue struct {
	requests []*request
}

func (h *holdQueue) add(req *request) { h.requests = append(h.requests, req) }

func (h *holdQueue) remove(req *request) { h.requests = removeRequest(h.requests, req) }

// removeAll empties the queue and returns its requests.
func (h *holdQueue) removeAll() []*request {
	all := h.requests
	h.requests = nil
	return all
}

// enqueue queues a request, which is dispatched again at every tick. It rejects or fails the request if the
// next tick would exceed the time limit for queueing, which is well within HeldStateLimit for a request
// with held state.
func (r *Router) enqueue(req *request, p phase) {
	if req.phase != p {
		r.setPhase(req, p, nil)
	}
	// Counted from the latest attempt in flight; later attempts that got no connection don't extend it.
	limit := req.lastInFlightAt + time.Duration(maxDecodeHoldFraction*float64(r.set.HeldStateLimit))
	if p == awaitingPrefill {
		limit = req.phaseSince + time.Duration(maxPrefillHoldFraction*float64(req.class.FirstTokenObjective))
	}
	if r.now+r.tickPeriod() >= min(limit, req.deadline-minRemainingTime) { // the next tick would be too late
		r.rejectOrFail(req, r.observedWait())
		return
	}
	r.holdQueue.add(req)
}
