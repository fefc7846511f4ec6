package routing

import (
	"time"
)

const (
	tickInterval           = 50 * time.Millisecond // between looks at held requests and silent attempts
	maxDecodeHoldFraction  = 0.5                   // of HeldStateLimit, for a wait for a decode engine
	maxPrefillHoldFraction = 0.4                   // of the objective, for a wait for a prefill engine
)

// holdQueue holds the requests that wait for an engine or a probe, in order of arrival. It reads and
// changes nothing else. The router takes all out, places what it can and adds the rest again.
type holdQueue struct {
	requests []*request
}

func (h *holdQueue) add(req *request) { h.requests = append(h.requests, req) }

func (h *holdQueue) remove(req *request) { h.requests = removeRequest(h.requests, req) }

// removeAll empties the queue and returns what it held.
func (h *holdQueue) removeAll() []*request {
	all := h.requests
	h.requests = nil
	return all
}

// enqueue keeps a request for another try at every tick, one whose state is held well within
// HeldStateLimit, and gives it up when the next tick would be too late.
func (r *Router) enqueue(req *request, p phase) {
	if req.phase != p {
		r.setPhase(req, p, nil)
	}
	// From the latest attempt in flight, however many then had no connection.
	end := req.lastInFlightAt + time.Duration(maxDecodeHoldFraction*float64(r.set.HeldStateLimit))
	if p == awaitingPrefill {
		end = req.phaseSince + time.Duration(maxPrefillHoldFraction*float64(req.class.FirstTokenObjective))
	}
	if r.now+r.tickPeriod() >= min(end, req.deadline-minRemainingTime) { // the next look would be too late
		r.rejectOrFail(req, r.observedWait())
		return
	}
	r.holdQueue.add(req)
}
