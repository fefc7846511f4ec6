package core

import (
	"time"

	"wellgw/decide/heldstate"
	"wellgw/routing"
)

// Bounds of what is done about held states.
const (
	releaseTimeout      = 30 * time.Second       // a release is retried this long at an engine out of reach
	maxHeldStateLimit   = time.Hour              // a longer pin limit is treated as this
	maxCancelledPrefill = 15 * time.Second       // a cancelled read has ended by then
	maxAlternates       = 8                      // other engines that are told while the holder is out of reach
	alternatesAfter     = 100 * time.Millisecond // for which only the holder is tried
	lingerLimit         = 15 * time.Second       // for which a cancelled attempt is kept open; partitions seldom last longer
	maxLingering        = 32                     // attempts kept open at once: each keeps a connection and a body
)

// heldState is what engines may hold for one request, and the releases in flight.
type heldState struct {
	ledger             *heldstate.Ledger
	endpoints          map[string]Endpoint // the engines that the ledger names
	lastHolder         string              // whose state waited when the request ended; "" for none
	stopRelease        map[string]func()   // of the releases in flight, by engine
	nextUpdate         time.Time           // when the ledger is to be looked at next
	lingersAfterAnswer bool                // an attempt is kept open after the final answer; see keepLingering
}

func newHeldState(limits heldstate.Limits) heldState {
	return heldState{ledger: heldstate.New(limits), endpoints: map[string]Endpoint{}, stopRelease: map[string]func(){}}
}

// heldLimits returns the limits of a request's ledger. Engines are told how long the client
// waits, so a cancelled read does not run on for longer.
func (c *Core) heldLimits(wait time.Duration) heldstate.Limits {
	return heldstate.Limits{
		HeldStateLimit: min(c.limits.HeldStateLimit, maxHeldStateLimit), HeldStateSlack: c.limits.HeldStateSlack,
		ReleaseTimeout: releaseTimeout, ReachTimeout: c.limits.ReachTimeout, MaxCancelledPrefill: min(wait, maxCancelledPrefill),
	}
}

// recordHeldState records what an attempt that has ended may have left at its engine.
func (c *Core) recordHeldState(request *requestState, attempt *attemptState, r Result) {
	ledger, engine := request.held.ledger, attempt.endpoint.Name
	request.held.endpoints[engine] = attempt.endpoint
	switch r.Status {
	case routing.StatusPrefilled:
		ledger.PrefillCompleted(engine, c.clock.now())
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
		c.endpoints.recordHeard(engine)
	}
	if attempt.written && c.endpoints.heardSince(engine, attempt.writtenAt) {
		ledger.AttemptConfirmedUntil(c.clock.now())
	}
}

// recordLatePrefill records a read that ended after its attempt was cancelled, while the
// attempt's connection was still open.
func (c *Core) recordLatePrefill(request *requestState, attempt *attemptState) {
	engine := attempt.endpoint.Name
	c.endpoints.recordHeard(engine)
	if request.lingeringAttempt == attempt {
		request.lingeringAttempt = nil
		c.endLingering(request)
	}
	request.held.endpoints[engine] = attempt.endpoint
	request.held.ledger.AttemptLost(engine, false)
	if cancel := request.held.stopRelease[engine]; cancel != nil {
		cancel() // a release on the connection that brought the answer arrives sooner
	}
	c.markChanged(request)
}

// reconcileHeldState does what is due for a request's held states and schedules the next update.
func (c *Core) reconcileHeldState(request *requestState) {
	now, ledger := c.clock.now(), request.held.ledger
	ledger.SetAttemptState(c.currentAttemptState(request), now)
	for _, engine := range ledger.ReleasesToCancel(now) {
		request.held.stopRelease[engine]()
	}
	if ledger.ReachCheckDue(now) {
		c.checkReach(request)
	}
	if ledger.Expired(now) {
		c.expireState(request)
	}
	c.lingerAfterAnswer(request)
	for _, engine := range ledger.ReleasesDue(now) {
		c.startRelease(request, engine)
	}
	c.unreleased.track(request)
	c.scheduleHeldState(request)
}

// currentAttemptState tells whether an attempt of the request is out: one that was written and has not ended,
// or one that was cancelled and is kept open.
func (c *Core) currentAttemptState(request *requestState) heldstate.AttemptState {
	out := heldstate.NoAttempt
	for _, attempt := range request.attempts {
		switch {
		case !request.inFlight(attempt):
		case attempt.answerStarted || c.endpoints.heardSince(attempt.endpoint.Name, attempt.writtenAt):
			return heldstate.Confirmed
		default:
			out = heldstate.Unconfirmed
		}
	}
	return out
}

func (r *requestState) inFlight(attempt *attemptState) bool {
	return attempt.written && (!attempt.ended || attempt == r.lingeringAttempt)
}

// checkReach finds out whether the engines of the attempts that are out are in reach.
func (c *Core) checkReach(request *requestState) {
	for _, attempt := range request.attempts {
		if !request.inFlight(attempt) {
			continue
		}
		c.counters.increment(countEnginesChecked)
		c.transport.Reach(attempt.endpoint, func(reached bool) {
			if reached {
				c.post(engineReached{request, attempt.endpoint.Name})
			}
		})
	}
}

// recordReached records that the engine of an attempt that is out is in reach.
func (c *Core) recordReached(request *requestState, engine string) {
	c.endpoints.recordHeard(engine)
	c.markChanged(request)
}

// expireState gives up a state that has waited too long for a decode engine: a connection that does
// not come up must not hold it. The module has the prompt read again if there is time.
func (c *Core) expireState(request *requestState) {
	c.counters.increment(countStatesExpired)
	request.held.ledger.Expire(c.clock.now())
	for _, attempt := range request.attempts {
		if !attempt.ended && !attempt.written && attempt.handle.Withdraw() {
			c.endAttempt(request, attempt, Result{Status: routing.StatusConnectFailed, StateMissing: true})
		}
	}
}

// scheduleHeldState sets a timer for the next update, unless one is due before that.
func (c *Core) scheduleHeldState(request *requestState) {
	next, ok := request.held.ledger.NextUpdate()
	if !ok || next <= c.clock.now() { // what was due has just been done
		return
	}
	at := c.clock.at(next)
	if request.held.nextUpdate.After(time.Now()) && !at.Before(request.held.nextUpdate) {
		return
	}
	request.held.nextUpdate = at
	c.timers.add(at, heldStateDue{request})
}
