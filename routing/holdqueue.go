package routing

import (
	"time"
)

const (
	tickSpan = 50 * time.Millisecond // how often held requests and silent attempts are looked at
	pinPart  = 0.5                   // part of the pin limit for which a state may wait for a decode engine
	holdPart = 0.4                   // part of the aim for which a request may wait for a prefill engine
)

// hold keeps a request for a look at every tick, a read state well inside the pin limit.
func (r *Router) hold(q *request, p phase) {
	if q.phase != p {
		r.shift(q, p, nil)
	}
	end := q.outAt + time.Duration(pinPart*float64(r.set.HeldStateLimit)) // however many are not reached
	if p == waitPrefill {
		end = q.since + time.Duration(holdPart*float64(q.class.FirstTokenObjective))
	}
	if r.now+r.tick() >= min(end, q.deadline-leastRemain) { // the next look would be too late
		r.giveUp(q, seconds(r.survey(RolePrefill).age+r.decodeWait()))
		return
	}
	r.held = append(r.held, q)
}
