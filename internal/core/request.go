package core

import (
	"sync/atomic"
	"time"

	"wellgw/routing"
)

// requestState is one client's try, kept until it is answered and no attempt is out.
type requestState struct {
	Request
	front            Front
	deadline         time.Time
	idempotent       bool // may be repeated at will, by the settings with which it was taken
	answered         bool // has had its final answer, or its client has gone
	streaming        *attemptState
	stream           Stream
	attempts         []*attemptState
	activeAttempts   int            // attempts that have not ended
	lingeringAttempt *attemptState  // cancelled or timed out, its connection kept open for now
	cancelledAt      time.Time      // when the connection of an attempt that may be out was closed last
	held             heldState      // at engines
	lastStatus       routing.Status // how the latest attempt ended, and why
	lastCause        error
	endedMayHaveRun  bool         // an attempt has ended that may have run
	clientGone       *atomic.Bool // its client has gone, whether or not the core has been told
}

// submit takes a request into the table and gives it to the router.
func (c *Core) submit(ticket *Ticket, in Request, front Front) {
	in.ID = c.requests.newID()
	request := c.newRequest(in, front, &ticket.gone)
	ticket.request = request
	if c.requests.clientRequestIDs[in.ClientRequestID] {
		// Engines know a request by its client's id alone: two at once would share
		// attempts and states. The first goes on; the second never ran.
		request.answered = true
		c.counters.increment(countDuplicates)
		front.Answer(Answer{Verdict: Duplicate, Status: routing.StatusNotSent})
		return
	}
	c.requests.add(request)
	c.counters.increment(countRequests)
	c.counters.addTraffic(in.Class, func(t *Traffic) { t.Asked++; t.Prompt += in.PromptTokens })
	c.markChanged(request)
	// The backstop guards against a request that neither the router nor an engine
	// ever ends: it is answered inside the slack whatever else happens.
	c.schedule(time.Until(request.deadline)+c.limits.DeadlineSlack, deadlinePassed{request})
	in.TTL = time.Until(request.deadline)
	c.dispatch(in.Request)
}

func (c *Core) newRequest(in Request, front Front, clientGone *atomic.Bool) *requestState {
	return &requestState{
		Request: in, front: front, deadline: in.Arrived.Add(in.TTL), idempotent: c.router.Idempotent(in.Class),
		clientGone: clientGone, held: newHeldState(c.heldLimits(in.TTL)),
	}
}

// answer gives the final answer; a second one is a fault of the module's.
func (c *Core) answer(request *requestState, a Answer) {
	if !c.checks.Hold(!request.answered, "a request gets one final answer") {
		return
	}
	request.answered = true
	a.Status, a.Cause = request.lastStatus, request.lastCause
	if a.Verdict != Streaming {
		c.withdrawUnwritten(request)
	}
	a.MayHaveRun = request.mayHaveRun()
	if s, has := c.router.QuotaStatus(request.Tenant); has {
		a.Quota = &s
	}
	c.counters.increment(verdictNames[a.Verdict])
	c.markChanged(request)
	if c.debugLogging {
		c.log.Debug("request answered", "id", request.ClientRequestID, "class", request.Class, "verdict", string(verdictNames[a.Verdict]), "attempts", len(request.attempts),
			"age", time.Since(request.Arrived).Round(time.Millisecond), "left", time.Until(request.deadline).Round(time.Millisecond),
			"status", string(statusNames[a.Status]), "cause", a.Cause)
	}
	if a.Verdict == Rejected && !request.idempotent { // it is said never to have run
		c.afterAttemptClosed(request, answerDue{request.front, a})
	} else {
		request.front.Answer(a)
	}
	if c.observer != nil {
		c.observer.Answered(request.Request, a, string(verdictNames[a.Verdict]))
	}
}

// clientGone forgets a request whose client has left.
func (c *Core) clientGone(request *requestState) {
	if request == nil {
		return
	}
	if request.streaming != nil { // the answer and the client's leaving have crossed
		request.stream.Close()
		c.finishStream(request, Result{Status: routing.StatusCancelled})
	}
	if request.answered {
		return
	}
	request.answered = true
	c.counters.increment(countGone)
	c.markChanged(request)
	c.dispatch(routing.ClientGone{ID: request.ID})
	c.withdrawUnwritten(request)
}

// answerDeadlineExceeded gives a request that neither the module nor an engine has ended its final answer.
func (c *Core) answerDeadlineExceeded(request *requestState) {
	if request.answered {
		return
	}
	c.answer(request, Answer{Verdict: DeadlineExceeded})
	c.dispatch(routing.ClientGone{ID: request.ID})
	for _, attempt := range request.attempts {
		c.endAttempt(request, attempt, Result{Status: routing.StatusTimeout})
	}
}

// removeRequest takes a request that is over off the table. Its held states are released all the
// same; see updateHeld.
func (c *Core) removeRequest(request *requestState) {
	if holder := request.held.ledger.StateHolder(); holder != "" {
		request.held.lastHolder = holder
	}
	request.held.ledger.Finish()
	if c.requests.remove(request) {
		request.Payload.Body = nil // timers may keep the request itself for a while
	}
}

// mayHaveRun tells whether an attempt has been out that is not known to have been turned away.
func (r *requestState) mayHaveRun() bool {
	return r.endedMayHaveRun || r.activeAttempts > 0
}
