package core

import (
	"sync/atomic"
	"time"

	"wellgw/routing"
)

// request is one client's try, kept until it is answered and no attempt is out.
type request struct {
	Request
	front     Front
	deadline  time.Time
	free      bool // may be repeated at will, by the settings with which it was taken
	answered  bool // has had its final answer, or its client has gone
	streaming *attempt
	stream    Stream
	attempts  []*attempt
	out       int            // attempts that have not ended
	lingering *attempt       // cancelled or timed out, its connection kept open for now
	cancelled time.Time      // when the connection of an attempt that may be out was closed last
	held      heldStates     // at engines
	status    routing.Status // how the latest attempt ended, and why
	cause     error
	ran       bool         // an attempt has ended that may have run
	left      *atomic.Bool // its client has gone, whether or not the core has been told
}

// submit takes a request into the table and gives it to the module.
func (c *Core) submit(t *Ticket, in Request, f Front) {
	// Ids count up and wrap; one that is still in hand is passed over, as a stream
	// may outlast any number of others.
	for c.lastID++; c.requests[c.lastID] != nil; c.lastID++ {
	}
	in.ID = c.lastID
	q := &request{Request: in, front: f, deadline: in.Arrived.Add(in.TTL), free: c.router.Idempotent(in.Class), left: &t.left}
	q.held = newHeldStates(c.heldLimits(in.TTL))
	t.request = q
	if c.wires[in.ClientRequestID] {
		// Engines know a request by its wire id alone: two at once would share
		// attempts and states. The first goes on; the second never ran.
		q.answered = true
		c.counts[countDuplicates]++
		f.Answer(Answer{Verdict: Duplicate, Status: routing.StatusNotSent})
		return
	}
	c.requests[q.ID], c.wires[in.ClientRequestID] = q, true
	c.lastBusy = time.Now()
	c.counts[countRequests]++
	c.count(in.Class, func(t *Traffic) { t.Asked++; t.Prompt += in.PromptTokens })
	c.settling = append(c.settling, q)
	// The backstop guards against a request that neither the module nor an engine
	// ever ends: it is answered inside the slack whatever else happens.
	c.after(time.Until(q.deadline)+c.fig.DeadlineSlack, func() { c.overdue(q) })
	in.TTL = time.Until(q.deadline)
	c.tell(in.Request)
}

// answer gives the final answer; a second one is a fault of the module's.
func (c *Core) answer(q *request, a Answer) {
	if !c.checks.Hold(!q.answered, "a request gets one final answer") {
		return
	}
	q.answered = true
	a.Status, a.Cause = q.status, q.cause
	if a.Verdict != Streaming {
		c.withdraw(q)
	}
	a.MayHaveRun = q.mayRun()
	if s, has := c.router.QuotaStatus(q.Tenant); has {
		a.Quota = &s
	}
	c.counts[verdictNames[a.Verdict]]++
	c.settling = append(c.settling, q)
	if c.loud {
		c.log.Debug("request answered", "id", q.ClientRequestID, "class", q.Class, "verdict", string(verdictNames[a.Verdict]), "attempts", len(q.attempts),
			"age", time.Since(q.Arrived).Round(time.Millisecond), "left", time.Until(q.deadline).Round(time.Millisecond),
			"status", string(statusNames[a.Status]), "cause", a.Cause)
	}
	if a.Verdict == Rejected && !q.free { // it is said never to have run
		c.afterEnd(q, func() { q.front.Answer(a) })
	} else {
		q.front.Answer(a)
	}
	if c.observer != nil {
		c.observer.Answered(q.Request, a, string(verdictNames[a.Verdict]))
	}
}

// gone forgets a request whose client has left.
func (c *Core) gone(q *request) {
	if q == nil {
		return
	}
	if q.streaming != nil { // the answer and the client's leaving have crossed
		q.stream.Close()
		c.streamEnded(q, Result{Status: routing.StatusCancelled})
	}
	if q.answered {
		return
	}
	q.answered = true
	c.counts[countGone]++
	c.settling = append(c.settling, q)
	c.tell(routing.ClientGone{ID: q.ID})
	c.withdraw(q)
}

// overdue gives a request that neither the module nor an engine has ended its final answer.
func (c *Core) overdue(q *request) {
	if q.answered {
		return
	}
	c.answer(q, Answer{Verdict: DeadlineExceeded})
	c.tell(routing.ClientGone{ID: q.ID})
	for _, at := range q.attempts {
		c.end(q, at, Result{Status: routing.StatusTimeout})
	}
}

// forget takes a request that is over off the table. Its held states are released on their own
// account; see updateHeld.
func (c *Core) forget(q *request) {
	if holder := q.held.ledger.Holder(); holder != "" {
		q.held.holder = holder
	}
	q.held.ledger.Finish()
	if c.requests[q.ID] != q {
		return
	}
	delete(c.requests, q.ID)
	delete(c.wires, q.ClientRequestID)
	q.Payload.Body = nil // timers may keep q itself for a while
}

// mayRun tells whether an attempt has been out that is not known to have been turned away.
func (q *request) mayRun() bool { return q.ran || q.out > 0 }
