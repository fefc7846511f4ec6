package core

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"wellgw/decide/heldstate"
	"wellgw/routing"
)

// Bounds of what is done about held states.
const (
	releaseFor     = 30 * time.Second       // a release is retried this long at an engine out of reach
	longestPin     = time.Hour              // a longer pin limit is treated as this
	longestRead    = 15 * time.Second       // a cancelled read has ended by then
	elsewhereMost  = 8                      // other engines that are told while the holder is out of reach
	elsewhereAfter = 100 * time.Millisecond // for which only the holder is tried
	lingerLimit    = 15 * time.Second       // for which a cancelled attempt is kept open; partitions seldom last longer
	lingerMost     = 32                     // attempts kept open at once: each keeps a connection and a body
	drainLook      = 20 * time.Millisecond  // between looks at whether a draining gateway may end
)

// heldStates is what engines may hold for one request, and the releases in flight.
type heldStates struct {
	ledger  *heldstate.Ledger
	members map[string]Endpoint // the engines that the ledger names
	holder  string              // whose state waited when the request ended; "" for none
	cancels map[string]func()   // of the releases in flight, by engine
	update  time.Time           // when the ledger is to be looked at next
	lingers bool                // an attempt is kept open after the final answer; see keepLingering
}

func newHeldStates(limits heldstate.Limits) heldStates {
	return heldStates{ledger: heldstate.New(limits), members: map[string]Endpoint{}, cancels: map[string]func(){}}
}

// heldLimits returns the limits of a request's ledger. Engines are told how long the client
// waits, so a cancelled read does not run on for longer.
func (c *Core) heldLimits(wait time.Duration) heldstate.Limits {
	return heldstate.Limits{
		Pin: min(c.fig.HeldStateLimit, longestPin), Slack: c.fig.HeldStateSlack,
		GiveUp: releaseFor, Reach: c.fig.ReachTimeout, ReadFor: min(wait, longestRead),
	}
}

// noteOutcome records what an attempt that has ended may have left at its engine.
func (c *Core) noteOutcome(q *request, at *attempt, r Result) {
	ledger, engine := q.held.ledger, at.engine.Name
	q.held.members[engine] = at.engine
	switch r.Status {
	case routing.StatusPrefilled:
		ledger.ReadDone(engine, c.now())
	case routing.StatusTimeout, routing.StatusCancelled, routing.StatusReset:
		ledger.AttemptLost(engine, c.router.CanPrefill(at.engine.Kind))
	case routing.StatusError:
		ledger.AttemptFailed(engine)
	}
	if r.StateMissing {
		ledger.NoState()
	}
	switch r.Status {
	case routing.StatusPrefilled, routing.StatusRejected, routing.StatusError, routing.StatusServed:
		c.noteHeard(engine)
	}
	if at.out && c.lastHeard[engine].After(at.written) {
		ledger.WasOut(c.now())
	}
}

// readAfterCancel records a read that ended after its attempt was cancelled, while the
// attempt's connection was still open.
func (c *Core) readAfterCancel(q *request, at *attempt) {
	engine := at.engine.Name
	c.noteHeard(engine)
	if q.lingering == at {
		q.lingering = nil
		c.endLingering(q)
	}
	q.held.members[engine] = at.engine
	q.held.ledger.AttemptLost(engine, false)
	if cancel := q.held.cancels[engine]; cancel != nil {
		cancel() // a release on the connection that brought the answer arrives sooner
	}
	c.settling = append(c.settling, q)
}

// noteHeard records that an engine has answered just now.
func (c *Core) noteHeard(engine string) { c.lastHeard[engine] = time.Now() }

// forgetUnlisted forgets when engines that are no longer listed were heard. Engines come under
// ever new names.
func (c *Core) forgetUnlisted() {
	maps.DeleteFunc(c.lastHeard, func(name string, _ time.Time) bool {
		_, listed := c.members[name]
		return !listed
	})
}

// elsewhere returns other engines than one, those first that were heard last.
func (c *Core) elsewhere(engine string) []Endpoint {
	latest := func(a, b Endpoint) int {
		return cmp.Or(c.lastHeard[b.Name].Compare(c.lastHeard[a.Name]), cmp.Compare(a.Name, b.Name))
	}
	others := make([]Endpoint, 0, elsewhereMost+1)
	for name, m := range c.members {
		full := len(others) == elsewhereMost
		if name == engine || full && latest(others[elsewhereMost-1], m) < 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(others, m, latest)
		others = slices.Insert(others, at, m)
		others = others[:min(len(others), elsewhereMost)]
	}
	return others
}

// updateHeld does what is due for a request's held states and schedules the next update.
func (c *Core) updateHeld(q *request) {
	now, ledger := c.now(), q.held.ledger
	ledger.SetOut(c.out(q), now)
	for _, engine := range ledger.Superseded(now) {
		q.held.cancels[engine]()
	}
	if ledger.CheckDue(now) {
		c.checkReach(q)
	}
	if ledger.Expired(now) {
		c.expireState(q)
	}
	c.keepLingering(q)
	for _, engine := range ledger.Due(now) {
		c.release(q, engine)
	}
	c.trackUnreleased(q)
	c.scheduleUpdate(q)
}

// out tells whether an attempt of the request is out: one that was written and has not ended,
// or one that was cancelled and is kept open.
func (c *Core) out(q *request) heldstate.Out {
	out := heldstate.None
	for _, at := range q.attempts {
		switch {
		case !q.keepsOut(at):
		case at.begun || c.lastHeard[at.engine.Name].After(at.written):
			return heldstate.Confirmed
		default:
			out = heldstate.Unconfirmed
		}
	}
	return out
}

func (q *request) keepsOut(at *attempt) bool { return at.out && (!at.ended || at == q.lingering) }

// checkReach finds out whether the engines of the attempts that are out are in reach.
func (c *Core) checkReach(q *request) {
	for _, at := range q.attempts {
		if !q.keepsOut(at) {
			continue
		}
		c.counts[countEnginesChecked]++
		c.engine.Reach(at.engine, func(reached bool) {
			if reached {
				c.post(func() {
					c.noteHeard(at.engine.Name)
					c.settling = append(c.settling, q)
				})
			}
		})
	}
}

// expireState gives up a state that has waited too long for a decode engine: a connection that does
// not come up must not hold it. The module has the prompt read again if there is time.
func (c *Core) expireState(q *request) {
	c.counts[countStatesExpired]++
	q.held.ledger.Expire(c.now())
	for _, at := range q.attempts {
		if !at.ended && !at.out && at.handle.Withdraw() {
			c.end(q, at, Result{Status: routing.StatusConnectFailed, StateMissing: true})
		}
	}
}

// trackUnreleased keeps a request that is over in a table while something may be held for it.
func (c *Core) trackUnreleased(q *request) {
	if q.held.ledger.Done() {
		delete(c.unreleased, q)
	} else if q.answered {
		c.unreleased[q] = true
	}
}

// scheduleUpdate sets a timer for the next update, unless one is due before that.
func (c *Core) scheduleUpdate(q *request) {
	next, ok := q.held.ledger.Next()
	if !ok || next <= c.now() { // what was due has just been done
		return
	}
	at := c.origin.Add(next)
	if q.held.update.After(time.Now()) && !at.Before(q.held.update) {
		return
	}
	q.held.update = at
	c.timers.add(at, func() { c.settling = append(c.settling, q) })
}

// keepLingering keeps the connection of a cancelled attempt open once its request is over. A
// state must not be held for long while no attempt is out, and an engine behind a network
// partition cannot be told to release it; until it has been told, the attempt stays out. Time
// and number are bounded.
func (c *Core) keepLingering(q *request) {
	if q.lingering == nil || q.held.lingers || !q.answered || q.out > 0 {
		return
	}
	if c.lingering >= lingerMost {
		c.closeLingering(q)
		return
	}
	q.held.lingers = true
	c.lingering++
	c.after(lingerLimit, func() { c.endLingering(q) })
}

// lingerTarget is the engine whose release ends the lingering: the one that certainly holds a
// state or, without one, the attempt's own.
func (q *request) lingerTarget() string { return cmp.Or(q.held.holder, q.lingering.engine.Name) }

// endLingering closes the connection of the attempt that was kept open. Releases that arrived
// before may have had no effect, as the attempt was still waiting for the state.
func (c *Core) endLingering(q *request) {
	if !q.held.lingers {
		return
	}
	q.held.lingers = false
	c.lingering--
	if at := q.lingering; at != nil {
		c.closeLingering(q)
		q.held.ledger.AttemptLost(at.engine.Name, c.router.CanPrefill(at.engine.Kind))
		q.held.ledger.ReleaseAgain()
	}
	c.settling = append(c.settling, q)
}

// closeLingering closes the connection of a cancelled attempt that was kept open.
func (c *Core) closeLingering(q *request) {
	if q.lingering != nil {
		q.cancel(q.lingering)
		q.lingering = nil
	}
}

// release tells one engine to release what it holds for a request.
func (c *Core) release(q *request, engine string) {
	c.counts[countReleases]++
	r := Release{
		Endpoint: q.held.members[engine], ClientRequestID: q.ClientRequestID, Deadline: c.origin.Add(q.held.ledger.Until(engine)),
		Alternates: c.elsewhere(engine), AlternatesAfter: min(elsewhereAfter, c.fig.HeldStateLimit/4),
		AlternatesInterval: max(c.fig.HeldStateLimit/2, heldstate.RepeatLeast),
	}
	q.held.cancels[engine] = c.engine.Release(r, func(err error) {
		c.post(func() { c.releaseEnded(q, engine, err) })
	})
}

// releaseEnded records how a release ended.
func (c *Core) releaseEnded(q *request, engine string, err error) {
	delete(q.held.cancels, engine)
	c.settling = append(c.settling, q)
	if errors.Is(err, ErrNoRelease) {
		q.held.ledger.Forget(engine)
		return
	}
	q.held.ledger.ReleaseEnded(engine, err == nil, c.now())
	if err != nil {
		c.counts[countReleasesFailed]++
		c.log.Debug("release failed", "id", q.ClientRequestID, "engine", engine, "cause", err)
		return
	}
	c.noteHeard(engine)
	if q.held.lingers && q.lingering != nil && engine == q.lingerTarget() {
		c.endLingering(q)
	}
}

// releasesUrgent tells whether a draining gateway has to wait for a release.
func (c *Core) releasesUrgent() bool {
	now := c.now()
	for q := range c.unreleased {
		if q.held.ledger.Urgent(now) {
			return true
		}
	}
	return false
}

// watchDrain settles from time to time until nobody waits for a drain any longer.
func (c *Core) watchDrain() {
	if len(c.drained) > 0 {
		c.after(drainLook, c.watchDrain)
	}
}

// noHandle is the handle of an attempt that was never begun.
type noHandle struct{}

func (noHandle) Cancel()        {}
func (noHandle) Withdraw() bool { return true }
