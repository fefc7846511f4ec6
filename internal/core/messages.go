package core

import (
	"time"

	"wellgw/routing"
)

// message is an event for the goroutine that owns the core: from the queue, where fronts, engines,
// directories and operators put it, or from a timer. Every kind of event is a type of its own here;
// its handle method is the only place where it takes effect.
type message interface{ handle(c *Core) }

// Of fronts.

// requestSubmitted brings a request that a front has taken from a client.
type requestSubmitted struct {
	ticket  *Ticket
	request Request
	front   Front
}

func (m requestSubmitted) handle(c *Core) { c.submit(m.ticket, m.request, m.front) }

// clientGone tells that the client of a request has disconnected.
type clientGone struct{ ticket *Ticket }

func (m clientGone) handle(c *Core) { c.clientGone(m.ticket.request) }

// streamEnded tells how the stream of a Streaming answer ended.
type streamEnded struct {
	ticket *Ticket
	result Result
}

func (m streamEnded) handle(c *Core) { c.finishStream(m.ticket.request, m.result) }

// Of attempts. Handlers ignore most messages on one that has ended meanwhile.

// attemptConnected asks when an attempt whose connection is up may be written: mayWrite is closed then.
type attemptConnected struct {
	request  *requestState
	attempt  *attemptState
	mayWrite chan<- struct{}
}

func (m attemptConnected) handle(c *Core) { c.clearAttempt(m.request, m.attempt, m.mayWrite) }

// attemptWritten tells that the last byte of an attempt has been written.
type attemptWritten struct {
	request *requestState
	attempt *attemptState
	write   WriteRecord
}

func (m attemptWritten) handle(c *Core) { c.recordWritten(m.request, m.attempt, m.write) }

// streamOpened brings the answer of an attempt, from its first event on.
type streamOpened struct {
	request *requestState
	attempt *attemptState
	stream  Stream
}

func (m streamOpened) handle(c *Core) { c.openStream(m.request, m.attempt, m.stream) }

// attemptEnded tells how an attempt without a stream ended.
type attemptEnded struct {
	request *requestState
	attempt *attemptState
	result  Result
}

func (m attemptEnded) handle(c *Core) { c.endAttempt(m.request, m.attempt, m.result) }

// Of engines and directories.

// releaseEnded tells how a release at an engine ended.
type releaseEnded struct {
	request *requestState
	engine  string
	err     error
}

func (m releaseEnded) handle(c *Core) { c.recordRelease(m.request, m.engine, m.err) }

// probeAnswered brings the result of a probe.
type probeAnswered struct {
	engine string
	sentAt time.Time
	status routing.Status
	report *routing.LoadReport
}

func (m probeAnswered) handle(c *Core) {
	c.dispatch(routing.ProbeResult{Engine: m.engine, Status: m.status, Latency: time.Since(m.sentAt), Report: m.report})
}

// engineListUpdated brings what a directory has learned.
type engineListUpdated struct {
	scope     routing.EngineListScope
	endpoints []Endpoint
}

func (m engineListUpdated) handle(c *Core) { c.updateEndpoints(m.scope, m.endpoints) }

// gatewaysCounted brings the number of gateways that share the engines.
type gatewaysCounted struct{ gateways int }

func (m gatewaysCounted) handle(c *Core) { c.dispatch(routing.GatewaysChanged{Gateways: m.gateways}) }

// Of operators and of the process.

// ejectionCommanded is an operator's command on one engine.
type ejectionCommanded struct {
	engine string
	eject  bool
	reply  chan<- ejectionReply
}

func (m ejectionCommanded) handle(c *Core) { m.reply <- c.eject(m.engine, m.eject) }

// ejectionsReplaced brings the whole set of engines that are ejected manually.
type ejectionsReplaced struct{ engines []string }

func (m ejectionsReplaced) handle(c *Core) { c.replaceEjections(m.engines) }

// settingsChanged brings new settings for the router.
type settingsChanged struct {
	settings routing.Settings
	reply    chan<- error
}

func (m settingsChanged) handle(c *Core) { m.reply <- c.reconfigure(m.settings) }

// shutdownBegun tells that the gateway is about to end; see Core.NotifyShutdown.
type shutdownBegun struct{ final bool }

func (m shutdownBegun) handle(c *Core) { c.dispatch(routing.ShuttingDown{Final: m.final}) }

// drainRequested asks for drained to be closed once the core is drained.
type drainRequested struct{ drained chan<- struct{} }

func (m drainRequested) handle(c *Core) { c.awaitDrained(m.drained) }

// query reads the core's state in its goroutine. It is one generic type with a closure, where others
// are a type each: a question is asked in one place only, its answer is read best next to it, and none
// changes what the core does.
type query[T any] struct {
	answer func() T
	reply  chan<- T
}

func (m query[T]) handle(*Core) { m.reply <- m.answer() }

// Of timers. These are never stopped, so each handler checks whether its message still matters.

// routingTimerFired tells that a timer of the router is due.
type routingTimerFired struct{ name string }

func (m routingTimerFired) handle(c *Core) { c.dispatch(routing.TimerFired{Name: m.name}) }

// deadlinePassed tells that a request should have been answered by now, the slack included.
type deadlinePassed struct{ request *requestState }

func (m deadlinePassed) handle(c *Core) { c.answerDeadlineExceeded(m.request) }

// attemptTimedOut tells that the timeout of an attempt is over.
type attemptTimedOut struct {
	request *requestState
	attempt *attemptState
}

func (m attemptTimedOut) handle(c *Core) {
	c.endAttempt(m.request, m.attempt, Result{Status: routing.StatusTimeout})
}

// attemptCleared lets an attempt be written; see attemptConnected.
type attemptCleared struct{ mayWrite chan<- struct{} }

func (m attemptCleared) handle(*Core) { close(m.mayWrite) }

// answerDue delivers an answer that had to wait; see Core.afterAttemptClosed.
type answerDue struct {
	front  Front
	answer Answer
}

func (m answerDue) handle(*Core) { m.front.Answer(m.answer) }

// heldStateDue tells that the ledger of a request has something due.
type heldStateDue struct{ request *requestState }

func (m heldStateDue) handle(c *Core) { c.markChanged(m.request) }

// lingerLimitReached tells that an attempt has been kept open as long as it may.
type lingerLimitReached struct{ request *requestState }

func (m lingerLimitReached) handle(c *Core) { c.endLingering(m.request) }

// drainPolled has the core check whether a drain has ended.
type drainPolled struct{}

func (drainPolled) handle(c *Core) { c.pollDrain() }
