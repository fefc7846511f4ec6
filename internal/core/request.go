package core

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"wellgw/routing"
)

// requestState is an open request: one that is not answered or has an attempt that has not ended.
type requestState struct {
	Request
	front             Front
	deadline          time.Time
	deadlineTimer     *timer
	idempotent        bool          // retries are safe, by the settings at submission
	answered          bool          // the final answer was given, or the client has disconnected
	streaming         *attemptState // the attempt whose stream is being relayed; nil before and after
	stream            Stream        // the stream of streaming
	attempts          []*attemptState
	activeAttempts    int           // attempts that have not ended
	lingeringAttempt  *attemptState // cancelled or timed out, but its connection is still open
	cancelledAt       time.Time     // when an attempt that its engine may have received was last closed
	held              heldState
	lastAttemptStatus routing.Status // of the attempt that ended last
	lastAttemptCause  error
	endedMayHaveRun   bool         // an attempt has ended that may have run
	endedSent         bool         // an attempt has ended of which a part may have been written
	clientGone        *atomic.Bool // the client has disconnected; set before the clientGone message is handled
}

// submit adds a request to the table and passes it to the router.
func (c *Core) submit(ticket *Ticket, submitted Request, front Front) {
	submitted.ID = c.requests.newID()
	request := c.newRequest(submitted, front, &ticket.clientGone)
	ticket.request = request
	if c.requests.clientRequestIDs[submitted.ClientRequestID] > 0 {
		// Engines identify a request by its client request id alone: two concurrent requests with
		// the same id would share attempts and held state, also if an attempt of the first only lingers
		// on an open connection. The first continues; the second never ran.
		request.answered = true
		c.counters.increment(countDuplicates)
		front.Answer(Answer{Verdict: Duplicate, Status: routing.StatusNotSent})
		return
	}
	c.requests.add(request)
	c.counters.increment(countRequests)
	c.counters.addTraffic(submitted.Class, func(t *Traffic) { t.Requests++; t.PromptTokens += submitted.PromptTokens })
	c.markChanged(request)
	// A safeguard for a request that neither the router nor an engine ends: it is answered when the
	// slack after the deadline ends.
	request.deadlineTimer = c.schedule(time.Until(request.deadline)+c.limits.DeadlineSlack, deadlinePassed{request})
	submitted.TTL = time.Until(request.deadline)
	c.dispatch(submitted.Request)
}

func (c *Core) newRequest(submitted Request, front Front, clientGone *atomic.Bool) *requestState {
	return &requestState{
		Request: submitted, front: front, deadline: submitted.Arrived.Add(submitted.TTL),
		idempotent: c.router.Idempotent(submitted.Class),
		clientGone: clientGone, held: newHeldState(c.heldLimits(submitted.TTL)),
	}
}

// answer delivers a request's final answer. A second answer is a bug in the router, and is dropped.
func (c *Core) answer(request *requestState, a Answer) {
	if !c.checks.Assert(!request.answered, "a request gets one final answer") {
		return
	}
	request.answered = true
	a.Status, a.Cause = request.lastAttemptStatus, request.lastAttemptCause
	if a.Verdict != Streaming {
		c.withdrawUnwritten(request)
	}
	a.MayHaveRun, a.Sent = request.mayHaveRun(), request.sent()
	if quota, limited := c.router.QuotaStatus(request.Tenant); limited {
		a.Quota = &quota
	}
	c.counters.increment(verdictNames[a.Verdict])
	c.markChanged(request)
	if c.debugLogging {
		c.logAnswer(request, a)
	}
	if a.Verdict == Rejected && !request.idempotent { // the client may rely on the request never having run
		c.afterAttemptClosed(request, delayedAnswer{request.front, a})
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
	if request.streaming != nil { // the stream was opened before the disconnect was handled
		request.stream.Close()
		c.finishStream(request, Result{Status: routing.StatusCancelled})
	}
	if request.answered {
		return
	}
	request.answered = true
	c.counters.increment(countClientsGone)
	c.markChanged(request)
	c.dispatch(routing.ClientGone{ID: request.ID})
	c.withdrawUnwritten(request)
}

// answerDeadlineExceeded answers a request that neither the router nor an engine has ended when the slack
// after its deadline ends.
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

// removeRequest removes a completed request from the table. The state that engines hold for it is still
// released; see reconcileHeldState.
func (c *Core) removeRequest(request *requestState) {
	if holder := request.held.ledger.StateHolder(); holder != "" {
		request.held.lastHolder = holder
	}
	request.held.ledger.Finish()
	c.timers.stop(request.deadlineTimer)
	if c.requests.remove(request) { // a release or a lingering attempt may still refer to the request
		request.Payload, request.ClientLeft, request.front = Payload{}, nil, nil
	}
}

// sent reports whether a part of an attempt may have been written.
func (r *requestState) sent() bool { return r.endedSent || r.activeAttempts > 0 }

// mayHaveRun reports whether an attempt was sent that is not known to have been rejected.
func (r *requestState) mayHaveRun() bool { return r.endedMayHaveRun || r.activeAttempts > 0 }
