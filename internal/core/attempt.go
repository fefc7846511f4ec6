package core

import (
	"context"
	"log/slog"
	"time"

	"wellgw/routing"
)

// attemptState is one attempt of a request at one engine.
type attemptState struct {
	number        int
	endpoint      Endpoint
	startedAt     time.Time
	ended         bool
	answerStarted bool
	written       bool // its last byte has been written
	write         WriteRecord
	handle        Handle
	timeoutTimer  *timer
}

// cancelPropagationTime is the time allowed for a cancel (the close of an attempt's connection) to reach
// the engine. The next attempt and other messages that must not overlap the cancelled attempt at the engine
// are delayed by it.
const cancelPropagationTime = 3 * time.Millisecond

// startAttempt sends a request to an engine. An attempt that must not be sent ends immediately, as
// StatusNotSent.
func (c *Core) startAttempt(send routing.Send) {
	request := c.requests.byID[send.ID]
	if !c.checks.Assert(request != nil && !request.answered, "a send is for an open request without an answer") {
		return
	}
	endpoint, listed := c.endpoints.listed[send.Engine]
	attempt := request.addAttempt(endpoint, send.Engine)
	timeout := request.deadline.Sub(attempt.startedAt)
	if send.Timeout > 0 {
		timeout = min(timeout, send.Timeout)
	}
	notSent := timeout <= 0 || len(request.attempts) > c.limits.MaxAttempts || request.clientGone.Load()
	if notSent || !c.checks.Assert(listed && endpoint.Phase == routing.PhaseActive, "a send is for a listed, active engine") {
		c.endAttempt(request, attempt, Result{Status: routing.StatusNotSent})
		return
	}
	c.counters.increment(countAttempts)
	if request.held.ledger.StateHolder() != "" && c.limits.IgnoresHeldState != nil && c.limits.IgnoresHeldState(endpoint.Kind) {
		request.held.ledger.Detach() // this engine does not fetch the state of another engine's prefill
		c.markChanged(request)
	}
	attempt.timeoutTimer = c.schedule(timeout, attemptTimedOut{request, attempt})
	attempt.handle = c.transport.Start(
		c.describeAttempt(request, attempt, timeout),
		func(s Stream) { c.post(streamOpened{request, attempt, s}) },
		func(r Result) { c.post(attemptEnded{request, attempt, r}) },
	)
}

// addAttempt adds an attempt to a request. The endpoint's name is set even if the engine is not listed.
func (r *requestState) addAttempt(endpoint Endpoint, engine string) *attemptState {
	attempt := &attemptState{number: len(r.attempts), endpoint: endpoint, startedAt: time.Now(), handle: nopHandle{}}
	attempt.endpoint.Name = engine
	r.attempts = append(r.attempts, attempt)
	r.activeAttempts++
	return attempt
}

// describeAttempt returns the description of an attempt for the transport.
func (c *Core) describeAttempt(request *requestState, attempt *attemptState, timeout time.Duration) Attempt {
	a := Attempt{
		ClientRequestID: request.ClientRequestID, Number: attempt.number, Endpoint: attempt.endpoint,
		Timeout: timeout, Payload: request.Payload, ClientGone: request.hasClientLeft,
		Written: func(w WriteRecord) { c.post(attemptWritten{request, attempt, w}) },
	}
	if request.lingeringAttempt != nil || request.remainingCancelPropagation(attempt.startedAt) > 0 {
		a.Connected = func() { c.closePredecessorAndWait(request, attempt) }
	}
	return a
}

// hasClientLeft reports whether the client has disconnected. It may be called from any goroutine.
func (r *requestState) hasClientLeft() bool {
	return r.clientGone.Load() || r.ClientLeft != nil && r.ClientLeft()
}

// closePredecessorAndWait closes the connection of the previous attempt and returns when the two attempts
// can no longer overlap at the engine. It is called after the next attempt's connection is established:
// until then the previous attempt stays in flight, as connecting might fail. The caller is the transport's
// goroutine of the attempt.
func (c *Core) closePredecessorAndWait(request *requestState, attempt *attemptState) {
	mayWrite := make(chan struct{})
	c.post(attemptConnected{request, attempt, mayWrite})
	select {
	case <-mayWrite:
	case <-c.done:
	}
}

// permitWrite closes mayWrite when an attempt may be written.
func (c *Core) permitWrite(request *requestState, attempt *attemptState, mayWrite chan<- struct{}) {
	if attempt.ended {
		close(mayWrite)
		return
	}
	c.afterAttemptClosed(request, writePermitted{mayWrite})
}

// recordWritten records that an attempt has been written and so is in flight.
func (c *Core) recordWritten(request *requestState, attempt *attemptState, write WriteRecord) {
	if attempt.ended {
		return
	}
	attempt.written, attempt.write = true, write
	c.logWritten(request, attempt)
	c.markChanged(request)
}

// openStream answers a request with an attempt's stream, unless the request is already answered, and
// cancels the other attempts.
func (c *Core) openStream(request *requestState, attempt *attemptState, stream Stream) {
	if attempt.ended || request.answered {
		stream.Close()
		c.endAttempt(request, attempt, Result{Status: routing.StatusCancelled})
		return
	}
	request.streaming, request.stream, attempt.answerStarted = attempt, stream, true
	c.endpoints.recordResponse(attempt.endpoint.Name)
	if holder := request.held.ledger.StateHolder(); holder != "" {
		c.logStateEnd(request, holder, stateFetched)
	}
	request.held.ledger.AnswerStarted()
	for _, other := range request.attempts {
		if other != attempt {
			c.endAttempt(request, other, Result{Status: routing.StatusCancelled})
		}
	}
	c.answer(request, Answer{Verdict: Streaming, Stream: stream})
	c.dispatch(routing.FirstToken{
		ID: request.ID, Attempt: attempt.number, Engine: attempt.endpoint.Name, Latency: time.Since(attempt.startedAt),
	})
}

// finishStream ends the attempt whose stream was the answer, once.
func (c *Core) finishStream(request *requestState, r Result) {
	attempt := request.streaming
	if attempt == nil {
		return
	}
	request.streaming, request.stream = nil, nil
	if r.Status == routing.StatusServed {
		request.held.ledger.AnswerCompleted()
		c.counters.addTraffic(request.Class, func(t *Traffic) {
			t.Served++
			t.ServedPromptTokens += request.PromptTokens
			t.OutputTokens += r.OutputTokens
		})
	}
	c.endAttempt(request, attempt, r)
}

// endAttempt closes an attempt and reports its result to the router, once. An attempt whose stream is
// being relayed is ended by finishStream only.
func (c *Core) endAttempt(request *requestState, attempt *attemptState, r Result) {
	if attempt.ended && r.Status == routing.StatusPrefilled {
		c.recordLatePrefill(request, attempt)
	}
	if attempt.ended || request.streaming == attempt {
		return
	}
	attempt.ended, request.lastAttemptStatus, request.lastAttemptCause = true, r.Status, r.Cause
	c.timers.stop(attempt.timeoutTimer)
	withdrawn := c.closeAttempt(request, attempt, r.Status)
	request.endedMayHaveRun = request.endedMayHaveRun || !withdrawn && statusMayHaveRun(r.Status)
	request.endedSent = request.endedSent || attempt.written || !withdrawn && statusMayBeWritten(r.Status)
	request.activeAttempts--
	c.markChanged(request)
	c.counters.increment(statusNames[r.Status])
	if !withdrawn {
		c.recordHeldState(request, attempt, r)
	}
	if c.debugLogging {
		c.logAttempt(request, attempt, r, withdrawn)
	}
	c.dispatch(routing.Outcome{
		ID: request.ID, Attempt: attempt.number, Engine: attempt.endpoint.Name, Status: r.Status, Latency: time.Since(attempt.startedAt),
		Final: request.answered, CachedTokens: r.CachedTokens, StateMissing: r.StateMissing, Report: r.Report,
	})
}

// logAttempt logs how an attempt ended.
func (c *Core) logAttempt(request *requestState, attempt *attemptState, r Result, withdrawn bool) {
	message := "attempt ended"
	if r.Cause != nil {
		message = "attempt failed"
	}
	c.log.LogAttrs(context.Background(), slog.LevelDebug, message,
		slog.String("id", request.ClientRequestID),
		slog.Int("attempt", attempt.number),
		slog.String("engine", attempt.endpoint.Name),
		slog.String("status", string(statusNames[r.Status])),
		slog.Duration("age", time.Since(attempt.startedAt).Round(time.Millisecond)),
		slog.Bool("written", attempt.written),
		slog.Uint64("connection", uint64(attempt.write.Connection)),
		slog.Bool("withdrawn", withdrawn),
		slog.Any("cause", r.Cause))
}

// closeAttempt closes an attempt that has ended. An attempt that was cancelled or timed out after it had
// been written lingers instead: its connection stays open for a bounded time, so it counts as in flight.
// closeAttempt reports whether the attempt was withdrawn before anything of it was written.
func (c *Core) closeAttempt(request *requestState, attempt *attemptState, status routing.Status) (withdrawn bool) {
	abandoned := status == routing.StatusCancelled || status == routing.StatusTimeout
	switch {
	case !abandoned || attempt.answerStarted:
		attempt.handle.Cancel()
		return false
	case attempt.written:
		c.closeLingeringAttempt(request)
		request.lingeringAttempt = attempt
		return false
	case attempt.handle.Withdraw():
		return true
	}
	// It is being written, or it has been written and attemptWritten is still in the queue.
	request.closeCancelled(attempt)
	return false
}

// statusMayBeWritten reports whether a part of an attempt that ended with this status may have been written.
func statusMayBeWritten(status routing.Status) bool {
	return status != routing.StatusNotSent && status != routing.StatusConnectFailed
}

// statusMayHaveRun reports whether a written attempt that ended with this status may have run: it was not
// rejected, and did more than prefill.
func statusMayHaveRun(status routing.Status) bool {
	switch status {
	case routing.StatusNotSent, routing.StatusConnectFailed, routing.StatusRejected, routing.StatusPrefilled:
		return false
	}
	return true
}

// afterAttemptClosed closes the connection of a request's lingering attempt and handles next after
// cancelPropagationTime. next must not take effect before the cancel has reached the engine, and the two
// travel on different connections. If no attempt was cancelled within that time, next is handled
// immediately.
func (c *Core) afterAttemptClosed(request *requestState, next message) {
	c.closeLingeringAttempt(request)
	if remaining := request.remainingCancelPropagation(time.Now()); remaining > 0 {
		c.schedule(remaining, next)
		return
	}
	next.handle(c)
}

// closeCancelled closes the connection of an attempt that its engine may have received or may still
// receive.
func (r *requestState) closeCancelled(attempt *attemptState) {
	attempt.handle.Cancel()
	r.cancelledAt = time.Now()
}

// remainingCancelPropagation returns the remaining time that the latest cancel may need to reach its
// engine; zero or less if there is none.
func (r *requestState) remainingCancelPropagation(now time.Time) time.Duration {
	return cancelPropagationTime - now.Sub(r.cancelledAt)
}

// withdrawUnwritten ends the attempts of an answered request that are not written yet, even if the
// settings disable cancels: nothing has been sent that could be cancelled.
func (c *Core) withdrawUnwritten(request *requestState) {
	for _, attempt := range request.attempts {
		if !attempt.ended && !attempt.written && attempt.handle.Withdraw() {
			c.endAttempt(request, attempt, Result{Status: routing.StatusNotSent})
		}
	}
}

// nopHandle is the handle of an attempt that was never started.
type nopHandle struct{}

func (nopHandle) FirstByte() (FirstByte, bool) { return FirstByte{}, false }

func (nopHandle) Cancel() {}

func (nopHandle) Withdraw() bool { return true }
