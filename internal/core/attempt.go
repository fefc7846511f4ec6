package core

import (
	"time"

	"wellgw/routing"
)

// attempt is one try at one engine.
type attempt struct {
	number  int
	engine  Endpoint
	sent    time.Time
	ended   bool
	begun   bool // its answer has
	out     bool // its last byte has been written
	written time.Time
	handle  Handle
}

// send makes an attempt, or says at once that it was not made.
func (c *Core) send(a routing.Send) {
	q := c.requests[a.ID]
	if !c.checks.Hold(q != nil && !q.answered, "a send is for a request that awaits its answer") {
		return
	}
	m, known := c.members[a.Engine]
	now := time.Now()
	at := &attempt{number: len(q.attempts), engine: m, sent: now, handle: noHandle{}}
	at.engine.Name = a.Engine
	q.attempts = append(q.attempts, at)
	q.out++
	limit := q.deadline.Sub(now)
	if a.Timeout > 0 {
		limit = min(limit, a.Timeout)
	}
	unsent := limit <= 0 || len(q.attempts) > c.fig.MaxAttempts || q.left.Load()
	if unsent || !c.checks.Hold(known && m.Phase == routing.PhaseActive, "a send goes to an engine on the list") {
		c.end(q, at, Result{Status: routing.StatusNotSent})
		return
	}
	c.counts[countAttempts]++
	if q.held.ledger.Holder() != "" && c.fig.ServesAlone != nil && c.fig.ServesAlone(m.Kind) {
		q.held.ledger.Detach() // it will not fetch what was read for it elsewhere
		c.settling = append(c.settling, q)
	}
	c.after(limit, func() { c.end(q, at, Result{Status: routing.StatusTimeout}) })
	out := Attempt{ClientRequestID: q.ClientRequestID, Number: at.number, Endpoint: m, Timeout: limit, Payload: q.Payload, ClientGone: q.left.Load}
	if q.lingering != nil || q.cancelPause(now) > 0 {
		out.Connected = func() { c.connected(q, at) }
	}
	out.Written = func() { c.post(func() { c.written(q, at) }) }
	at.handle = c.engine.Start(
		out,
		func(s Stream) { c.post(func() { c.first(q, at, s) }) },
		func(r Result) { c.post(func() { c.end(q, at, r) }) },
	)
}

// connected has the attempt before closed now that the next one can go out, and returns
// when the two can't meet any more. Until then the one before stays out: the connection of the
// next may never come up.
func (c *Core) connected(q *request, at *attempt) {
	clear := make(chan struct{})
	c.post(func() {
		if at.ended {
			close(clear)
			return
		}
		c.afterEnd(q, func() { close(clear) })
	})
	select {
	case <-clear:
	case <-c.done:
	}
}

// written records that an attempt is out.
func (c *Core) written(q *request, at *attempt) {
	if at.ended {
		return
	}
	at.out, at.written = true, time.Now()
	c.settling = append(c.settling, q)
}

// first gives an attempt's stream to the client, if the client still waits for it.
func (c *Core) first(q *request, at *attempt, s Stream) {
	if at.ended || q.answered {
		s.Close()
		c.end(q, at, Result{Status: routing.StatusCancelled})
		return
	}
	q.streaming, q.stream, at.begun = at, s, true
	c.noteHeard(at.engine.Name)
	q.held.ledger.AnswerBegan()
	for _, other := range q.attempts {
		if other != at {
			c.end(q, other, Result{Status: routing.StatusCancelled})
		}
	}
	c.answer(q, Answer{Verdict: Streaming, Stream: s})
	c.tell(routing.FirstToken{ID: q.ID, Attempt: at.number, Engine: at.engine.Name, Latency: time.Since(at.sent)})
}

func (c *Core) streamEnded(q *request, r Result) {
	if at := q.streaming; at != nil {
		q.streaming, q.stream = nil, nil
		if r.Status == routing.StatusServed {
			q.held.ledger.AnswerDone()
			c.count(q.Class, func(t *Traffic) { t.Served++; t.ServedPrompt += q.PromptTokens; t.Output += r.OutputTokens })
		}
		c.end(q, at, r)
	}
}

// end closes an attempt and tells the module how it went, once.
func (c *Core) end(q *request, at *attempt, r Result) {
	if at.ended && r.Status == routing.StatusPrefilled {
		c.readAfterCancel(q, at)
	}
	if at.ended || q.streaming == at {
		return
	}
	at.ended, q.status, q.cause = true, r.Status, r.Cause
	withdrawn := c.close(q, at, r.Status)
	q.ran = q.ran || !withdrawn && mayHaveRun(r.Status)
	q.out--
	c.settling = append(c.settling, q)
	c.counts[statusNames[r.Status]]++
	if !withdrawn {
		c.noteOutcome(q, at, r)
	}
	if c.loud {
		c.logAttempt(q, at, r, withdrawn)
	}
	c.tell(routing.Outcome{
		ID: q.ID, Attempt: at.number, Engine: at.engine.Name, Status: r.Status, Latency: time.Since(at.sent),
		Final: q.answered, CachedTokens: r.CachedTokens, StateMissing: r.StateMissing, Report: r.Report,
	})
}

// Messages of the log on attempts.
const (
	messageEnded  = "attempt ended"
	messageFailed = "attempt failed"
)

// logAttempt writes how an attempt ended.
func (c *Core) logAttempt(q *request, at *attempt, r Result, withdrawn bool) {
	message := messageEnded
	if r.Cause != nil {
		message = messageFailed
	}
	c.log.Debug(message, "id", q.ClientRequestID, "attempt", at.number, "engine", at.engine.Name, "status", string(statusNames[r.Status]),
		"age", time.Since(at.sent).Round(time.Millisecond), "out", at.out, "withdrawn", withdrawn, "cause", r.Cause)
}

// close closes an attempt that has ended, or keeps it open for a while if it was given up. It
// tells whether the attempt was given up before anything of it was written.
func (c *Core) close(q *request, at *attempt, s routing.Status) (withdrawn bool) {
	givenUp := s == routing.StatusCancelled || s == routing.StatusTimeout
	switch {
	case !givenUp || at.begun:
		at.handle.Cancel()
		return false
	case at.out:
		c.closeLingering(q)
		q.lingering = at
		return false
	case at.handle.Withdraw():
		return true
	}
	// It is being written, or has been and the core is yet to hear of it.
	q.cancel(at)
	return false
}

// mayHaveRun tells whether an attempt that was written and ended so may have been carried out:
// it was not turned away, and did more than read.
func mayHaveRun(s routing.Status) bool {
	switch s {
	case routing.StatusNotSent, routing.StatusConnectFailed, routing.StatusRejected, routing.StatusPrefilled:
		return false
	}
	return true
}

// afterEnd closes the connection of an attempt that has been given up, and does what must
// not meet that attempt once its engine can have learned of the end: both take their own ways.
// Without such an attempt it is done at once.
func (c *Core) afterEnd(q *request, job func()) {
	c.closeLingering(q)
	if pause := q.cancelPause(time.Now()); pause > 0 {
		c.after(pause, job)
		return
	}
	job()
}

// cancel closes the connection of an attempt that its engine may have, or be about to get.
func (q *request) cancel(at *attempt) {
	at.handle.Cancel()
	q.cancelled = time.Now()
}

// cancelPause returns how long the engine of the attempt cancelled last may need to learn of it.
func (q *request) cancelPause(now time.Time) time.Duration {
	return cancelMargin - now.Sub(q.cancelled)
}

// withdraw ends the attempts of a request that is over that are not out yet, also where the
// settings allow no cancel: nothing has been sent that could be cancelled.
func (c *Core) withdraw(q *request) {
	for _, at := range q.attempts {
		if !at.ended && !at.out && at.handle.Withdraw() {
			c.end(q, at, Result{Status: routing.StatusNotSent})
		}
	}
}
