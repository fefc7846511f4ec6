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
}

// cancelTransit is how long an engine may need to learn that an attempt was cancelled. What must not
// meet that attempt, such as the next one, waits for it.
const cancelTransit = 3 * time.Millisecond

// startAttempt sends a request to an engine. An attempt that is not to be sent ends at once.
func (c *Core) startAttempt(send routing.Send) {
	request := c.requests.byID[send.ID]
	if !c.checks.Assert(request != nil && !request.answered, "a send is for a request that awaits its answer") {
		return
	}
	endpoint, listed := c.endpoints.listed[send.Engine]
	attempt := request.addAttempt(endpoint, send.Engine)
	timeout := request.deadline.Sub(attempt.startedAt)
	if send.Timeout > 0 {
		timeout = min(timeout, send.Timeout)
	}
	notSent := timeout <= 0 || len(request.attempts) > c.limits.MaxAttempts || request.clientGone.Load()
	if notSent || !c.checks.Assert(listed && endpoint.Phase == routing.PhaseActive, "a send goes to an engine on the list") {
		c.endAttempt(request, attempt, Result{Status: routing.StatusNotSent})
		return
	}
	c.counters.increment(countAttempts)
	if request.held.ledger.StateHolder() != "" && c.limits.IgnoresHeldState != nil && c.limits.IgnoresHeldState(endpoint.Kind) {
		request.held.ledger.Detach() // this engine fetches no state that another has prefilled
		c.markChanged(request)
	}
	c.schedule(timeout, attemptTimedOut{request, attempt})
	attempt.handle = c.transport.Start(
		c.describeAttempt(request, attempt, timeout),
		func(s Stream) { c.post(streamOpened{request, attempt, s}) },
		func(r Result) { c.post(attemptEnded{request, attempt, r}) },
	)
}

// addAttempt adds an attempt to a request. The engine's name is set also where it is not listed.
func (r *requestState) addAttempt(endpoint Endpoint, engine string) *attemptState {
	attempt := &attemptState{number: len(r.attempts), endpoint: endpoint, startedAt: time.Now(), handle: noHandle{}}
	attempt.endpoint.Name = engine
	r.attempts = append(r.attempts, attempt)
	r.activeAttempts++
	return attempt
}

// describeAttempt returns what the transport needs for an attempt.
func (c *Core) describeAttempt(request *requestState, attempt *attemptState, timeout time.Duration) Attempt {
	a := Attempt{
		ClientRequestID: request.ClientRequestID, Number: attempt.number, Endpoint: attempt.endpoint,
		Timeout: timeout, Payload: request.Payload, ClientGone: request.clientGone.Load,
		Written: func(w WriteRecord) { c.post(attemptWritten{request, attempt, w}) },
	}
	if request.lingeringAttempt != nil || request.cancelPause(attempt.startedAt) > 0 {
		a.Connected = func() { c.awaitPredecessorClosed(request, attempt) }
	}
	return a
}

// awaitPredecessorClosed has the previous attempt's connection closed, as the next attempt can be
// written now, and returns when the two can't meet at the engine any more. Until now the previous one
// stayed in flight: the connection of the next might have never come up. It is called by the
// transport's goroutine of the attempt.
func (c *Core) awaitPredecessorClosed(request *requestState, attempt *attemptState) {
	mayWrite := make(chan struct{})
	c.post(attemptConnected{request, attempt, mayWrite})
	select {
	case <-mayWrite:
	case <-c.done:
	}
}

// clearAttempt closes mayWrite once an attempt may be written.
func (c *Core) clearAttempt(request *requestState, attempt *attemptState, mayWrite chan<- struct{}) {
	if attempt.ended {
		close(mayWrite)
		return
	}
	c.afterAttemptClosed(request, attemptCleared{mayWrite})
}

// recordWritten records that an attempt has been written, so that it is in flight.
func (c *Core) recordWritten(request *requestState, attempt *attemptState, write WriteRecord) {
	if attempt.ended {
		return
	}
	attempt.written, attempt.write = true, write
	c.logWritten(request, attempt)
	c.markChanged(request)
}

// openStream answers a request with an attempt's stream, if its client still waits for one, and
// cancels the other attempts.
func (c *Core) openStream(request *requestState, attempt *attemptState, stream Stream) {
	if attempt.ended || request.answered {
		stream.Close()
		c.endAttempt(request, attempt, Result{Status: routing.StatusCancelled})
		return
	}
	request.streaming, request.stream, attempt.answerStarted = attempt, stream, true
	c.endpoints.recordHeard(attempt.endpoint.Name)
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

// endAttempt closes an attempt and reports its result to the router, once. One that is streaming ends
// by finishStream alone.
func (c *Core) endAttempt(request *requestState, attempt *attemptState, r Result) {
	if attempt.ended && r.Status == routing.StatusPrefilled {
		c.recordLatePrefill(request, attempt)
	}
	if attempt.ended || request.streaming == attempt {
		return
	}
	attempt.ended, request.lastStatus, request.lastCause = true, r.Status, r.Cause
	withdrawn := c.closeAttempt(request, attempt, r.Status)
	request.endedMayHaveRun = request.endedMayHaveRun || !withdrawn && statusMayHaveRun(r.Status)
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

// closeAttempt closes an attempt that has ended. One that was abandoned after it had been written
// lingers instead: its connection stays open for a while, so that it counts as in flight. It reports
// whether the attempt was abandoned before anything of it was written.
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
	// It is being written, or it has been and attemptWritten is still in the queue.
	request.closeCancelled(attempt)
	return false
}

// statusMayHaveRun reports whether an attempt that was written and ended so may have run: it was not
// rejected, and did more than prefill.
func statusMayHaveRun(status routing.Status) bool {
	switch status {
	case routing.StatusNotSent, routing.StatusConnectFailed, routing.StatusRejected, routing.StatusPrefilled:
		return false
	}
	return true
}

// afterAttemptClosed closes the connection of an attempt that lingers, and has a message handled that
// must not take effect before its engine can have learned of the cancel, since the two travel on
// different connections. Without such an attempt it is handled at once.
func (c *Core) afterAttemptClosed(request *requestState, next message) {
	c.closeLingeringAttempt(request)
	if pause := request.cancelPause(time.Now()); pause > 0 {
		c.schedule(pause, next)
		return
	}
	next.handle(c)
}

// closeCancelled closes the connection of an attempt that its engine may have received, or be about
// to receive.
func (r *requestState) closeCancelled(attempt *attemptState) {
	attempt.handle.Cancel()
	r.cancelledAt = time.Now()
}

// cancelPause returns how much longer the engine of the latest cancelled attempt may need to learn of
// the cancel.
func (r *requestState) cancelPause(now time.Time) time.Duration {
	return cancelTransit - now.Sub(r.cancelledAt)
}

// withdrawUnwritten ends those attempts of an answered request that are not written yet, also where
// the settings allow no cancel: nothing has been sent that could be cancelled.
func (c *Core) withdrawUnwritten(request *requestState) {
	for _, attempt := range request.attempts {
		if !attempt.ended && !attempt.written && attempt.handle.Withdraw() {
			c.endAttempt(request, attempt, Result{Status: routing.StatusNotSent})
		}
	}
}

// noHandle is the handle of an attempt that was never started.
type noHandle struct{}

func (noHandle) FirstByte() (FirstByte, bool) { return FirstByte{}, false }

func (noHandle) Cancel() {}

func (noHandle) Withdraw() bool { return true }
