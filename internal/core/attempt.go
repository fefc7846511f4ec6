package core

import (
	"time"

	"wellgw/routing"
)

// attemptState is one try at one engine.
type attemptState struct {
	number        int
	endpoint      Endpoint
	startedAt     time.Time
	ended         bool
	answerStarted bool // its answer has
	written       bool // its last byte has been written
	writtenAt     time.Time
	handle        Handle
}

// cancelTransit is how long an engine may need to learn that an attempt was cancelled. What must not
// meet that attempt, such as the next one, waits for it.
const cancelTransit = 3 * time.Millisecond

// startAttempt makes an attempt, or says at once that it was not made.
func (c *Core) startAttempt(a routing.Send) {
	request := c.requests.byID[a.ID]
	if !c.checks.Hold(request != nil && !request.answered, "a send is for a request that awaits its answer") {
		return
	}
	m, known := c.endpoints.listed[a.Engine]
	now := time.Now()
	attempt := &attemptState{number: len(request.attempts), endpoint: m, startedAt: now, handle: noHandle{}}
	attempt.endpoint.Name = a.Engine
	request.attempts = append(request.attempts, attempt)
	request.activeAttempts++
	limit := request.deadline.Sub(now)
	if a.Timeout > 0 {
		limit = min(limit, a.Timeout)
	}
	unsent := limit <= 0 || len(request.attempts) > c.limits.MaxAttempts || request.clientGone.Load()
	if unsent || !c.checks.Hold(known && m.Phase == routing.PhaseActive, "a send goes to an engine on the list") {
		c.endAttempt(request, attempt, Result{Status: routing.StatusNotSent})
		return
	}
	c.counters.increment(countAttempts)
	if request.held.ledger.StateHolder() != "" && c.limits.ServesAlone != nil && c.limits.ServesAlone(m.Kind) {
		request.held.ledger.Detach() // it will not fetch what was read for it elsewhere
		c.markChanged(request)
	}
	c.schedule(limit, attemptTimedOut{request, attempt})
	out := Attempt{ClientRequestID: request.ClientRequestID, Number: attempt.number, Endpoint: m, Timeout: limit, Payload: request.Payload, ClientGone: request.clientGone.Load}
	if request.lingeringAttempt != nil || request.cancelPause(now) > 0 {
		out.Connected = func() { c.awaitPredecessorClosed(request, attempt) }
	}
	out.Written = func() { c.post(attemptWritten{request, attempt}) }
	attempt.handle = c.transport.Start(
		out,
		func(s Stream) { c.post(streamOpened{request, attempt, s}) },
		func(r Result) { c.post(attemptEnded{request, attempt, r}) },
	)
}

// awaitPredecessorClosed has the attempt before closed now that the next one can go out, and returns
// when the two can't meet any more. Until then the one before stays out: the connection of the
// next may never come up.
func (c *Core) awaitPredecessorClosed(request *requestState, attempt *attemptState) {
	clear := make(chan struct{})
	c.post(attemptConnected{request, attempt, clear})
	select {
	case <-clear:
	case <-c.done:
	}
}

// clearAttempt closes clear once an attempt can be written.
func (c *Core) clearAttempt(request *requestState, attempt *attemptState, clear chan<- struct{}) {
	if attempt.ended {
		close(clear)
		return
	}
	c.afterAttemptClosed(request, attemptCleared{clear})
}

// recordWritten records that an attempt is out.
func (c *Core) recordWritten(request *requestState, attempt *attemptState) {
	if attempt.ended {
		return
	}
	attempt.written, attempt.writtenAt = true, time.Now()
	c.markChanged(request)
}

// openStream gives an attempt's stream to the client, if the client still waits for it.
func (c *Core) openStream(request *requestState, attempt *attemptState, s Stream) {
	if attempt.ended || request.answered {
		s.Close()
		c.endAttempt(request, attempt, Result{Status: routing.StatusCancelled})
		return
	}
	request.streaming, request.stream, attempt.answerStarted = attempt, s, true
	c.endpoints.recordHeard(attempt.endpoint.Name)
	request.held.ledger.AnswerStarted()
	for _, other := range request.attempts {
		if other != attempt {
			c.endAttempt(request, other, Result{Status: routing.StatusCancelled})
		}
	}
	c.answer(request, Answer{Verdict: Streaming, Stream: s})
	c.dispatch(routing.FirstToken{ID: request.ID, Attempt: attempt.number, Engine: attempt.endpoint.Name, Latency: time.Since(attempt.startedAt)})
}

func (c *Core) finishStream(request *requestState, r Result) {
	if attempt := request.streaming; attempt != nil {
		request.streaming, request.stream = nil, nil
		if r.Status == routing.StatusServed {
			request.held.ledger.AnswerCompleted()
			c.counters.addTraffic(request.Class, func(t *Traffic) { t.Served++; t.ServedPrompt += request.PromptTokens; t.Output += r.OutputTokens })
		}
		c.endAttempt(request, attempt, r)
	}
}

// endAttempt closes an attempt and tells the module how it went, once.
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

// Messages of the log on attempts.
const (
	messageEnded  = "attempt ended"
	messageFailed = "attempt failed"
)

// logAttempt writes how an attempt ended.
func (c *Core) logAttempt(request *requestState, attempt *attemptState, r Result, withdrawn bool) {
	message := messageEnded
	if r.Cause != nil {
		message = messageFailed
	}
	c.log.Debug(message, "id", request.ClientRequestID, "attempt", attempt.number, "engine", attempt.endpoint.Name, "status", string(statusNames[r.Status]),
		"age", time.Since(attempt.startedAt).Round(time.Millisecond), "out", attempt.written, "withdrawn", withdrawn, "cause", r.Cause)
}

// closeAttempt closes an attempt that has ended, or keeps it open for a while if it was given up. It
// tells whether the attempt was given up before anything of it was written.
func (c *Core) closeAttempt(request *requestState, attempt *attemptState, s routing.Status) (withdrawn bool) {
	givenUp := s == routing.StatusCancelled || s == routing.StatusTimeout
	switch {
	case !givenUp || attempt.answerStarted:
		attempt.handle.Cancel()
		return false
	case attempt.written:
		c.closeLingeringAttempt(request)
		request.lingeringAttempt = attempt
		return false
	case attempt.handle.Withdraw():
		return true
	}
	// It is being written, or has been and the core is yet to hear of it.
	request.closeCancelled(attempt)
	return false
}

// statusMayHaveRun tells whether an attempt that was written and ended so may have been carried out:
// it was not turned away, and did more than read.
func statusMayHaveRun(s routing.Status) bool {
	switch s {
	case routing.StatusNotSent, routing.StatusConnectFailed, routing.StatusRejected, routing.StatusPrefilled:
		return false
	}
	return true
}

// afterAttemptClosed closes the connection of an attempt that has been given up, and does what must
// not meet that attempt once its engine can have learned of the end: both take their own ways.
// Without such an attempt it is done at once.
func (c *Core) afterAttemptClosed(request *requestState, next message) {
	c.closeLingeringAttempt(request)
	if pause := request.cancelPause(time.Now()); pause > 0 {
		c.schedule(pause, next)
		return
	}
	next.handle(c)
}

// closeCancelled closes the connection of an attempt that its engine may have, or be about to get.
func (r *requestState) closeCancelled(attempt *attemptState) {
	attempt.handle.Cancel()
	r.cancelledAt = time.Now()
}

// cancelPause returns how long the engine of the attempt cancelled last may need to learn of it.
func (r *requestState) cancelPause(now time.Time) time.Duration {
	return cancelTransit - now.Sub(r.cancelledAt)
}

// withdrawUnwritten ends the attempts of a request that is over that are not out yet, also where the
// settings allow no cancel: nothing has been sent that could be cancelled.
func (c *Core) withdrawUnwritten(request *requestState) {
	for _, attempt := range request.attempts {
		if !attempt.ended && !attempt.written && attempt.handle.Withdraw() {
			c.endAttempt(request, attempt, Result{Status: routing.StatusNotSent})
		}
	}
}

// noHandle is the handle of an attempt that was never begun.
type noHandle struct{}

func (noHandle) Cancel() {}

func (noHandle) Withdraw() bool { return true }
