package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wellgw/decide/heldstate"
	"wellgw/ringdale"
)

// Bounds of what is done about held states.
const (
	releaseFor     = 30 * time.Second       // a release is tried this long at an engine that is not reached
	longestPin     = time.Hour              // a longer pin limit is as good as none
	longestRead    = 15 * time.Second       // a read that was given up has ended by then
	elsewhereMost  = 8                      // other engines that are told where the holder is not reached
	elsewhereAfter = 100 * time.Millisecond // for which the holder is tried alone
)

// heldStates is what engines may hold for one request, and the releases under way.
type heldStates struct {
	ledger  *heldstate.Ledger
	members map[string]Member // the engines that the ledger names
	holder  string            // whose state waited as the request ended; "" for none
	stops   map[string]func() // of the releases under way
	look    time.Time         // when the ledger is to be looked at next
	covered bool              // by an attempt that was given up, after the answer
}

func newHeldStates(limits heldstate.Limits) heldStates {
	return heldStates{ledger: heldstate.New(limits), members: map[string]Member{}, stops: map[string]func(){}}
}

// heldLimits are the figures of a request's ledger. An engine is told how long the client
// waits: a read that was given up does not run on for longer.
func (c *Core) heldLimits(wait time.Duration) heldstate.Limits {
	return heldstate.Limits{
		Pin: min(c.fig.PinLimit, longestPin), Slack: c.fig.PinSlack,
		GiveUp: releaseFor, Reach: c.fig.Reach, ReadFor: min(wait, longestRead),
	}
}

// keep notes what an attempt that has ended may have left at its engine.
func (c *Core) keep(q *request, at *attempt, r Result) {
	ledger, engine := q.held.ledger, at.server.Name
	switch r.Status {
	case ringdale.StatusRead:
		ledger.Read(engine, c.now())
	case ringdale.StatusTimeout, ringdale.StatusCancelled, ringdale.StatusReset:
		ledger.Lost(engine, c.reads(at.server.Kind))
	case ringdale.StatusError:
		ledger.Failed(engine)
	}
	if r.NoState {
		ledger.NoState()
	}
	switch r.Status {
	case ringdale.StatusRead, ringdale.StatusFull, ringdale.StatusError, ringdale.StatusServed:
		c.hear(engine)
	}
	q.held.members[engine] = at.server
	if at.out && c.heard[engine].After(at.written) {
		ledger.Proven(c.now())
	}
}

// readLate notes a read that has ended after its attempt was given up, while its connection
// was still open.
func (c *Core) readLate(q *request, at *attempt) {
	c.hear(at.server.Name)
	if q.cover == at {
		q.cover = nil
		c.endCover(q)
	}
	q.held.ledger.Lost(at.server.Name, false)
	if stop := q.held.stops[at.server.Name]; stop != nil {
		stop() // the connection that brought the answer is a surer way than the one that is waited for
	}
	q.held.members[at.server.Name] = at.server
	c.settling = append(c.settling, q)
}

// reads tells whether engines of a kind may read a prompt.
func (c *Core) reads(kind string) bool { return c.router.Reads(kind) }

// hear notes that an engine has answered just now.
func (c *Core) hear(engine string) { c.heard[engine] = time.Now() }

// forgetUnlisted forgets engines that are no longer listed: they come under ever new names.
func (c *Core) forgetUnlisted() {
	maps.DeleteFunc(c.heard, func(name string, _ time.Time) bool {
		_, listed := c.members[name]
		return !listed
	})
}

// elsewhere returns engines other than one, those first that have answered last.
func (c *Core) elsewhere(engine string) []Member {
	latest := func(a, b Member) int {
		return cmp.Or(c.heard[b.Name].Compare(c.heard[a.Name]), cmp.Compare(a.Name, b.Name))
	}
	some := make([]Member, 0, elsewhereMost+1)
	for name, m := range c.members {
		if name == engine || len(some) == elsewhereMost && latest(some[elsewhereMost-1], m) < 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(some, m, latest)
		some = slices.Insert(some, at, m)
		some = some[:min(len(some), elsewhereMost)]
	}
	return some
}

// letGo does what is due about a request's held states, and sees to the next look at them.
func (c *Core) letGo(q *request) {
	now, ledger := c.now(), q.held.ledger
	ledger.Set(c.out(q), now)
	for _, engine := range ledger.Stop(now) {
		q.held.stops[engine]()
	}
	if ledger.Check(now) {
		c.check(q)
	}
	if ledger.Lapsed(now) {
		c.lapse(q)
	}
	c.keepCover(q)
	for _, engine := range ledger.Due(now) {
		c.release(q, engine)
	}
	c.owe(q)
	c.lookAgain(q)
}

// out tells how an attempt answers for what is held: one that has been written and has not
// ended, or one that was given up and whose connection is kept.
func (c *Core) out(q *request) heldstate.Out {
	out := heldstate.NotOut
	for _, at := range q.attempts {
		switch {
		case !at.out || at.ended && at != q.cover:
		case at.begun || c.heard[at.server.Name].After(at.written):
			return heldstate.SurelyOut
		default:
			out = heldstate.MayBeOut
		}
	}
	return out
}

// check finds out whether the engine of an attempt that may be out is reached.
func (c *Core) check(q *request) {
	for _, at := range q.attempts {
		if !at.out || at.ended && at != q.cover {
			continue
		}
		c.counts["engines checked"]++
		c.engine.Reach(at.server, func(reached bool) {
			if reached {
				c.post(func() {
					c.hear(at.server.Name)
					c.settling = append(c.settling, q)
				})
			}
		})
	}
}

// lapse gives up a state that has waited too long for a writer: a connection that does not
// come up must not keep it. The module has the prompt read anew, if there is time.
func (c *Core) lapse(q *request) {
	c.counts["states lapsed"]++
	q.held.ledger.Lapse(c.now())
	for _, at := range q.attempts {
		if !at.ended && !at.out && at.handle.Withdraw() {
			c.end(q, at, Result{Status: ringdale.StatusNoConnect, NoState: true})
		}
	}
}

// owe keeps a request that is over while something may be held for it.
func (c *Core) owe(q *request) {
	if q.held.ledger.Done() {
		delete(c.owing, q)
	} else if q.answered {
		c.owing[q] = true
	}
}

// lookAgain has the ledger looked at when it may have something to say.
func (c *Core) lookAgain(q *request) {
	next, some := q.held.ledger.Next()
	if !some || next <= c.now() { // what was due has just been seen to
		return
	}
	at, look := c.origin.Add(next), q.held.look
	if look.After(time.Now()) && !at.Before(look) {
		return // it is looked at before that anyway
	}
	q.held.look = at
	c.timers.add(at, func() { c.settling = append(c.settling, q) })
}

// keepCover keeps the connection of an attempt that was given up once its request is over:
// a state must not be held for long while no attempt is out, and an engine behind a cut can't
// be told to let go. As long as it is not told, the attempt stays out, and its engine goes on
// answering for the state. That is bounded in time and number.
func (c *Core) keepCover(q *request) {
	if q.cover == nil || q.held.covered || !q.answered || q.out > 0 {
		return
	}
	if c.covers >= coverMost {
		c.uncover(q)
		return
	}
	q.held.covered = true
	c.covers++
	c.after(coverLimit, func() { c.endCover(q) })
}

// coverTarget is the engine that has to be told before the connection of the attempt that
// was given up is closed: the one that surely holds a state or, without one, the attempt's
// own.
func (q *request) coverTarget() string { return cmp.Or(q.held.holder, q.cover.server.Name) }

// endCover closes the connection of the attempt that covers what is held. Its engine may
// take the release that came before for one that the attempt still waits behind.
func (c *Core) endCover(q *request) {
	if !q.held.covered {
		return
	}
	q.held.covered = false
	c.covers--
	if at := q.cover; at != nil {
		c.uncover(q)
		q.held.ledger.Lost(at.server.Name, c.reads(at.server.Kind))
		q.held.ledger.Renew()
	}
	c.settling = append(c.settling, q)
}

// release tells one engine to let go.
func (c *Core) release(q *request, engine string) {
	c.counts["releases"]++
	r := Release{
		At: q.held.members[engine], Wire: q.Wire, Until: c.origin.Add(q.held.ledger.Until(engine)),
		Elsewhere: c.elsewhere(engine), ElsewhereAfter: min(elsewhereAfter, c.fig.PinLimit/4),
		ElsewhereEvery: max(c.fig.PinLimit/2, heldstate.RepeatLeast),
	}
	q.held.stops[engine] = c.engine.Release(r, func(err error) {
		c.post(func() { c.told(q, engine, err) })
	})
}

// told notes how a release has ended.
func (c *Core) told(q *request, engine string, err error) {
	delete(q.held.stops, engine)
	if err != nil {
		c.counts["releases failed"]++
		c.log.Debug("release failed", "id", q.Wire, "engine", engine, "cause", err)
	}
	if err == nil {
		c.hear(engine)
	}
	q.held.ledger.Told(engine, err == nil, c.now())
	if err == nil && q.held.covered && q.cover != nil && engine == q.coverTarget() {
		c.endCover(q)
	}
	c.settling = append(c.settling, q)
}

// pressing tells whether a gateway that leaves has still to wait for a release.
func (c *Core) pressing() bool {
	now := c.now()
	for q := range c.owing {
		if q.held.ledger.Pressing(now) {
			return true
		}
	}
	return false
}

// awaitPressing looks at what is pressing until who waits for it has been told.
func (c *Core) awaitPressing() {
	if len(c.drained) == 0 {
		return
	}
	c.after(drainLook, c.awaitPressing)
}

// drainLook is how often it is looked whether a leaving gateway still has to wait.
const drainLook = 20 * time.Millisecond

// noHandle is the handle of an attempt that was never begun.
type noHandle struct{}

func (noHandle) Cancel()        {}
func (noHandle) Withdraw() bool { return true }
