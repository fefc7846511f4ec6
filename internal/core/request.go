package core

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"wellgw/routing"
)

// requestState is a request in hand: until it is answered and all of its attempts have ended.
type requestState struct {
	Request
	front            Front
	deadline         time.Time
	idempotent       bool          // may be repeated at will, by the settings with which it was taken
	answered         bool          // it has had its final answer, or its client has disconnected
	streaming        *attemptState // whose stream is the answer, until that ends
	stream           Stream        // of streaming
	attempts         []*attemptState
	activeAttempts   int           // attempts that have not ended
	lingeringAttempt *attemptState // cancelled or timed out, its connection still open
	cancelledAt      time.Time     // when an attempt that its engine may have received was closed last
	held             heldState
	lastStatus       routing.Status // how the latest attempt ended, and why
	lastCause        error
	endedMayHaveRun  bool         // an attempt has ended that may have run
	clientGone       *atomic.Bool // its client has disconnected; set before the message on that is handled
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
	c.counters.addTraffic(in.Class, func(t *Traffic) { t.Requests++; t.PromptTokens += in.PromptTokens })
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

// answer gives a request its final answer; a second one is a fault of the router's.
func (c *Core) answer(request *requestState, a Answer) {
	if !c.checks.Assert(!request.answered, "a request gets one final answer") {
		return
	}
	request.answered = true
	a.Status, a.Cause = request.lastStatus, request.lastCause
	if a.Verdict != Streaming {
		c.withdrawUnwritten(request)
	}
	a.MayHaveRun = request.mayHaveRun()
	if quota, limited := c.router.QuotaStatus(request.Tenant); limited {
		a.Quota = &quota
	}
	c.counters.increment(verdictNames[a.Verdict])
	c.markChanged(request)
	if c.debugLogging {
		c.logAnswer(request, a)
	}
	if a.Verdict == Rejected && !request.idempotent { // its client may take it that the request never ran
		c.afterAttemptClosed(request, answerDue{request.front, a})
	} else {
		request.front.Answer(a)
	}
	if c.observer != nil {
		c.observer.Answered(request.Request, a, string(verdictNames[a.Verdict]))
	}
}

// logAnswer logs the final answer to a request.
func (c *Core) logAnswer(request *requestState, a Answer) {
	c.log.LogAttrs(context.Background(), slog.LevelDebug, "request answered",
		slog.String("id", request.ClientRequestID),
		slog.String("class", request.Class),
		slog.String("verdict", string(verdictNames[a.Verdict])),
		slog.Int("attempts", len(request.attempts)),
		slog.Duration("age", time.Since(request.Arrived).Round(time.Millisecond)),
		slog.Duration("remaining", time.Until(request.deadline).Round(time.Millisecond)),
		slog.String("status", string(statusNames[a.Status])),
		slog.Any("cause", a.Cause))
}

// clientGone ends a request whose client has disconnected.
func (c *Core) clientGone(request *requestState) {
	if request == nil {
		return
	}
	if request.streaming != nil { // the answer has crossed with the client's leaving
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

// answerDeadlineExceeded answers a request that neither the router nor an engine has ended in time.
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

// removeRequest takes a request that is over off the table. What engines hold for it is released all
// the same; see reconcileHeldState.
func (c *Core) removeRequest(request *requestState) {
	if holder := request.held.ledger.StateHolder(); holder != "" {
		request.held.lastHolder = holder
	}
	request.held.ledger.Finish()
	if c.requests.remove(request) {
		request.Payload.Body = nil // timers may keep the request itself for a while
	}
}

// mayHaveRun reports whether an attempt was sent that is not known to have been rejected.
func (r *requestState) mayHaveRun() bool { return r.endedMayHaveRun || r.activeAttempts > 0 }
