package core

import (
	"time"

	"wellgw/decide/heldstate"
	"wellgw/routing"
)

// Bounds of the ledgers, beside the core's limits.
const (
	releaseTimeout      = 30 * time.Second // for which a release is retried at an engine out of reach
	maxHeldStateLimit   = time.Hour        // a longer limit is treated as this
	maxCancelledPrefill = 15 * time.Second // within which a cancelled prefill has ended
)

// heldState is what engines may hold for one request, and the releases in flight.
type heldState struct {
	ledger             *heldstate.Ledger
	endpoints          map[string]Endpoint // the engines that the ledger names, as they were listed
	lastHolder         string              // the engine whose state waited when the request ended; "" for none
	stopRelease        map[string]func()   // of the releases in flight, by engine
	nextUpdate         time.Time           // when a timer is set for the ledger
	flights            []heldstate.Flight  // of the latest reconciliation; reused
	lingersAfterAnswer bool                // an attempt is kept open after the request has ended; see lingerAfterAnswer
}

func newHeldState(limits heldstate.Limits) heldState {
	return heldState{ledger: heldstate.New(limits), endpoints: map[string]Endpoint{}, stopRelease: map[string]func(){}}
}

// heldLimits returns the limits of a request's ledger. Engines are told for how long the client waits,
// so that a cancelled prefill does not run on for longer.
func (c *Core) heldLimits(wait time.Duration) heldstate.Limits {
	return heldstate.Limits{
		HeldStateLimit: min(c.limits.HeldStateLimit, maxHeldStateLimit), HeldStateSlack: c.limits.HeldStateSlack,
		ReleaseTimeout: releaseTimeout, MaxCancelledPrefill: min(wait, maxCancelledPrefill),
	}
}

// recordHeldState records what state an attempt that has ended may have left at its engine.
func (c *Core) recordHeldState(request *requestState, attempt *attemptState, r Result) {
	ledger, engine := request.held.ledger, attempt.endpoint.Name
	request.held.endpoints[engine] = attempt.endpoint
	flight := c.flight(attempt)
	switch r.Status {
	case routing.StatusPrefilled:
		ledger.PrefillCompleted(engine, c.earliestAnswerTime(attempt))
		c.logStateHeld(request, attempt)
	case routing.StatusTimeout, routing.StatusCancelled, routing.StatusReset:
		ledger.AttemptLost(engine, c.router.CanPrefill(attempt.endpoint.Kind))
	case routing.StatusError:
		ledger.AttemptFailed(engine)
	}
	if r.StateMissing {
		ledger.StateMissing()
	}
	switch r.Status {
	case routing.StatusPrefilled, routing.StatusRejected, routing.StatusError, routing.StatusServed:
		c.endpoints.recordResponse(engine)
	}
	if attempt.written && r.Status != routing.StatusPrefilled {
		ledger.FlightEnded(flight, c.earliestAnswerTime(attempt))
	}
}

// earliestAnswerTime returns when an attempt's answer may have come: the process may have been held up before it read
// that. Without any slack for what is held there is none for hold-ups.
func (c *Core) earliestAnswerTime(attempt *attemptState) heldstate.Time {
	seen := time.Now()
	if first, heard := attempt.handle.FirstByte(); heard && !attempt.answerStarted {
		seen = first.At
	}
	return c.clock.toRouterTime(c.stalls.earliestEventTime(seen, min(maxStall, c.limits.HeldStateSlack)))
}

// recordLatePrefill records a prefill that completed after its attempt was cancelled, while the
// attempt's connection was still open.
func (c *Core) recordLatePrefill(request *requestState, attempt *attemptState) {
	engine := attempt.endpoint.Name
	c.endpoints.recordResponse(engine)
	if request.lingeringAttempt == attempt {
		request.lingeringAttempt = nil
		c.endLingering(request)
	}
	request.held.endpoints[engine] = attempt.endpoint
	request.held.ledger.AttemptLost(engine, false)
	if stop := request.held.stopRelease[engine]; stop != nil {
		stop() // the next release goes by the connection that brought the answer, and arrives sooner
	}
	c.markChanged(request)
}

// reconcileHeldState does what is due for the state that engines hold for a request, and sets a timer
// for what is due next.
func (c *Core) reconcileHeldState(request *requestState) {
	now, ledger := c.clock.now(), request.held.ledger
	ledger.SetFlights(c.flightsOf(request), now)
	for _, engine := range ledger.ReleasesToCancel(now) {
		request.held.stopRelease[engine]()
	}
	if ledger.Expired(now) {
		c.expireState(request)
	}
	c.keepLingering(request)
	for _, engine := range ledger.ReleasesDue(now) {
		c.startRelease(request, engine)
	}
	c.unreleased.track(request)
	c.scheduleHeldState(request)
}

// flightsOf returns the attempts of a request that are in flight. The result is valid until the next call.
func (c *Core) flightsOf(request *requestState) []heldstate.Flight {
	flights := request.held.flights[:0]
	for _, attempt := range request.attempts {
		if request.inFlight(attempt) {
			flights = append(flights, c.flight(attempt))
		}
	}
	request.held.flights = flights
	return flights
}

// flight describes an attempt that was written. What counts as its arrival is what came on its own
// connection alone: an engine that answers on others may never have received this one.
func (c *Core) flight(attempt *attemptState) heldstate.Flight {
	flight := heldstate.Flight{Connection: attempt.write.Connection, WrittenAt: c.clock.toRouterTime(attempt.write.At)}
	if first, heard := attempt.handle.FirstByte(); heard {
		flight.Arrival = heldstate.Arrival{Connection: first.Connection, At: c.clock.toRouterTime(first.At)}
	}
	return flight
}

// inFlight reports whether an attempt was written and has not ended, or lingers.
func (r *requestState) inFlight(attempt *attemptState) bool {
	return attempt.written && (!attempt.ended || attempt == r.lingeringAttempt)
}

// expireState gives up state that has waited too long for a decode engine: an attempt whose connection
// does not come up must not keep it. The router has the prompt prefilled again if there is time.
func (c *Core) expireState(request *requestState) {
	c.counters.increment(countStatesExpired)
	c.logExpired(request)
	request.held.ledger.Expire(c.clock.now())
	for _, attempt := range request.attempts {
		if !attempt.ended && !attempt.written && attempt.handle.Withdraw() {
			c.endAttempt(request, attempt, Result{Status: routing.StatusConnectFailed, StateMissing: true})
		}
	}
}

// scheduleHeldState sets a timer for when the ledger changes by time alone, unless one is due before.
func (c *Core) scheduleHeldState(request *requestState) {
	next, ok := request.held.ledger.NextUpdate()
	if !ok || next <= c.clock.now() { // what was due has just been done
		return
	}
	at := c.clock.fromRouterTime(next)
	if request.held.nextUpdate.After(time.Now()) && !at.Before(request.held.nextUpdate) {
		return
	}
	request.held.nextUpdate = at
	c.timers.add(at, heldStateTimerFired{request})
}
