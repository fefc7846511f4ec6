package core

import (
	"time"

	"wellgw/decide/heldstate"
	"wellgw/routing"
)

// Limits of the ledgers in addition to the configured ones.
const (
	releaseTimeout      = 30 * time.Second // for which a release is retried at an unreachable engine
	maxHeldStateLimit   = time.Hour        // a longer HeldStateLimit is reduced to this
	maxCancelledPrefill = 15 * time.Second // max time after which a cancelled prefill has ended
)

// heldState tracks the state that engines may hold for one request, and the releases in flight.
type heldState struct {
	ledger             *heldstate.Ledger
	endpoints          map[string]Endpoint // the engines of the ledger, as they were listed
	lastHolder         string              // the engine whose state waited at the request's end; "" for none
	stopRelease        map[string]func()   // stops a release in flight; by engine
	nextUpdate         time.Time           // when the ledger's timer expires
	timer              *timer              // of nextUpdate; nil if none was ever set
	flights            []heldstate.Flight  // result buffer of flightsOf
	lingersAfterAnswer bool                // an attempt lingers after the request's end; see keepLingering
}

func newHeldState(limits heldstate.Limits) heldState {
	return heldState{ledger: heldstate.New(limits), endpoints: map[string]Endpoint{}, stopRelease: map[string]func(){}}
}

// heldLimits returns the limits of a request's ledger. wait is the time until the request's deadline: it is
// sent to engines, so a cancelled prefill does not continue beyond it.
func (c *Core) heldLimits(wait time.Duration) heldstate.Limits {
	return heldstate.Limits{
		HeldStateLimit: min(c.limits.HeldStateLimit, maxHeldStateLimit), HeldStateSlack: c.limits.HeldStateSlack,
		ReleaseTimeout: releaseTimeout, MaxCancelledPrefill: min(wait, maxCancelledPrefill),
	}
}

// recordHeldState records the state that an ended attempt may have left at its engine.
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

// earliestAnswerTime returns the earliest time at which an attempt's answer may have arrived: the process may
// have stalled before reading it. The correction for stalls is bounded by HeldStateSlack and is 0 if that
// is 0.
func (c *Core) earliestAnswerTime(attempt *attemptState) heldstate.Time {
	observedAt := time.Now()
	if first, arrived := attempt.handle.FirstByte(); arrived && !attempt.answerStarted {
		observedAt = first.At
	}
	return c.clock.toRouterTime(c.stalls.earliestEventTime(observedAt, min(maxStall, c.limits.HeldStateSlack)))
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
		stop() // the next release uses the connection that the answer arrived on, and so arrives sooner
	}
	c.markChanged(request)
}

// reconcileHeldState starts and stops releases for the state that engines hold for a request as its ledger
// requires, and sets a timer for the ledger's next update.
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

// flightsOf returns the attempts of a request that are in flight. The result is valid until the next call
// for the same request.
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

// flight describes an attempt that was written. Only data received on the attempt's own connection is
// evidence of its arrival: an engine that answers on other connections may never have received this attempt.
func (c *Core) flight(attempt *attemptState) heldstate.Flight {
	flight := heldstate.Flight{Connection: attempt.write.Connection, WrittenAt: c.clock.toRouterTime(attempt.write.At)}
	if first, arrived := attempt.handle.FirstByte(); arrived {
		flight.Arrival = heldstate.Arrival{Connection: first.Connection, At: c.clock.toRouterTime(first.At)}
	}
	return flight
}

// inFlight reports whether an attempt was written and has not ended, or lingers.
func (r *requestState) inFlight(attempt *attemptState) bool {
	return attempt.written && (!attempt.ended || attempt == r.lingeringAttempt)
}

// expireState releases state that has waited for a decode engine up to its limit, and withdraws the unwritten
// attempts: an attempt whose connection is never established must not extend the time for which state is
// held. The router starts another prefill if the deadline permits.
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

// scheduleHeldState sets a timer for the ledger's next time-based update, unless an earlier one is set.
func (c *Core) scheduleHeldState(request *requestState) {
	next, ok := request.held.ledger.NextUpdate()
	if !ok {
		c.timers.stop(request.held.timer)
		request.held.nextUpdate = time.Time{}
		return
	}
	if next <= c.clock.now() { // due actions have just been executed
		return
	}
	at := c.clock.fromRouterTime(next)
	if request.held.nextUpdate.After(time.Now()) && !at.Before(request.held.nextUpdate) {
		return
	}
	request.held.nextUpdate = at
	c.timers.stop(request.held.timer)
	request.held.timer = c.timers.add(at, heldStateTimerFired{request})
}
