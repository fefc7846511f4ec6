package core

import (
	"time"

	"wellgw/routing"
)

// message is an event for the core's goroutine, from the queue or from a timer. Fronts, the transport,
// directories and operators' commands add messages to the queue. Each kind of event has its own type in
// this file, whose handle method is the only place where the event takes effect.
type message interface{ handle(c *Core) }

// Messages from fronts.

// requestSubmitted carries a request that a front has received from a client.
type requestSubmitted struct {
	ticket  *Ticket
	request Request
	front   Front
}

func (m requestSubmitted) handle(c *Core) { c.submit(m.ticket, m.request, m.front) }

// clientGone reports that the client of a request has disconnected.
type clientGone struct{ ticket *Ticket }

func (m clientGone) handle(c *Core) { c.clientGone(m.ticket.request) }

// streamEnded reports how the stream of a Streaming answer ended.
type streamEnded struct {
	ticket *Ticket
	result Result
}

func (m streamEnded) handle(c *Core) { c.finishStream(m.ticket.request, m.result) }

// Messages about attempts. Handlers ignore most messages about an attempt that has already ended.

// attemptConnected reports that an attempt has a connection. mayWrite is closed when the attempt may be
// written.
type attemptConnected struct {
	request  *requestState
	attempt  *attemptState
	mayWrite chan<- struct{}
}

func (m attemptConnected) handle(c *Core) { c.permitWrite(m.request, m.attempt, m.mayWrite) }

// attemptWritten reports that the last byte of an attempt has been written.
type attemptWritten struct {
	request *requestState
	attempt *attemptState
	write   WriteRecord
}

func (m attemptWritten) handle(c *Core) { c.recordWritten(m.request, m.attempt, m.write) }

// streamOpened carries the event stream of an attempt's answer; its first event has arrived.
type streamOpened struct {
	request *requestState
	attempt *attemptState
	stream  Stream
}

func (m streamOpened) handle(c *Core) { c.openStream(m.request, m.attempt, m.stream) }

// attemptEnded reports how an attempt without a stream ended.
type attemptEnded struct {
	request *requestState
	attempt *attemptState
	result  Result
}

func (m attemptEnded) handle(c *Core) { c.endAttempt(m.request, m.attempt, m.result) }

// Messages about engines, from the transport and directories.

// releaseEnded reports how a release at an engine ended.
type releaseEnded struct {
	request *requestState
	engine  string
	err     error
}

func (m releaseEnded) handle(c *Core) { c.recordRelease(m.request, m.engine, m.err) }

// probeAnswered carries the result of a probe.
type probeAnswered struct {
	engine string
	sentAt time.Time
	status routing.Status
	report *routing.LoadReport
}

func (m probeAnswered) handle(c *Core) {
	c.dispatch(routing.ProbeResult{Engine: m.engine, Status: m.status, Latency: time.Since(m.sentAt), Report: m.report})
}

// engineListUpdated carries an update of the engine list from a directory.
type engineListUpdated struct {
	scope     routing.EngineListScope
	endpoints []Endpoint
}

func (m engineListUpdated) handle(c *Core) { c.updateEndpoints(m.scope, m.endpoints) }

// gatewayCountChanged carries the number of gateways that share the engines.
type gatewayCountChanged struct{ gateways int }

func (m gatewayCountChanged) handle(c *Core) {
	c.dispatch(routing.GatewaysChanged{Gateways: m.gateways})
}

// Messages from operators and from the process.

// ejectionCommanded is an operator's command to eject or restore one engine.
type ejectionCommanded struct {
	engine string
	eject  bool
	reply  chan<- ejectionReply
}

func (m ejectionCommanded) handle(c *Core) { m.reply <- c.eject(m.engine, m.eject) }

// ejectionsReplaced carries the complete set of manually ejected engines.
type ejectionsReplaced struct{ engines []string }

func (m ejectionsReplaced) handle(c *Core) { c.replaceEjections(m.engines) }

// settingsChanged carries new settings for the router.
type settingsChanged struct {
	settings routing.Settings
	reply    chan<- error
}

func (m settingsChanged) handle(c *Core) { m.reply <- c.reconfigure(m.settings) }

// shutdownStarted reports that the gateway shuts down; see Core.NotifyShutdown.
type shutdownStarted struct{ final bool }

func (m shutdownStarted) handle(c *Core) { c.dispatch(routing.ShuttingDown{Final: m.final}) }

// drainRequested requests that drained be closed once the core is drained.
type drainRequested struct{ drained chan<- struct{} }

func (m drainRequested) handle(c *Core) { c.awaitDrained(m.drained) }

// query reads the core's state in its goroutine. It is one generic type with a closure, unlike the other
// messages: each query has a single caller, its code is easiest to read there, and no query changes the
// core's state.
type query[T any] struct {
	answer func() T
	reply  chan<- T
}

func (m query[T]) handle(*Core) { m.reply <- m.answer() }

// Messages from timers. Most timers are not stopped, so each handler checks whether its message still
// applies.

// routingTimerFired reports that a timer of the router has expired.
type routingTimerFired struct{ name string }

func (m routingTimerFired) handle(c *Core) { c.dispatch(routing.TimerFired{Name: m.name}) }

// deadlinePassed reports that the deadline of a request and the slack after it have passed.
type deadlinePassed struct{ request *requestState }

func (m deadlinePassed) handle(c *Core) { c.answerDeadlineExceeded(m.request) }

// attemptTimedOut reports that the timeout of an attempt has expired.
type attemptTimedOut struct {
	request *requestState
	attempt *attemptState
}

func (m attemptTimedOut) handle(c *Core) {
	c.endAttempt(m.request, m.attempt, Result{Status: routing.StatusTimeout})
}

// writePermitted permits writing an attempt; see attemptConnected.
type writePermitted struct{ mayWrite chan<- struct{} }

func (m writePermitted) handle(*Core) { close(m.mayWrite) }

// delayedAnswer delivers an answer that was delayed; see Core.afterAttemptClosed.
type delayedAnswer struct {
	front  Front
	answer Answer
}

func (m delayedAnswer) handle(*Core) { m.front.Answer(m.answer) }

// heldStateTimerFired reports that the ledger of a request may have an action due.
type heldStateTimerFired struct{ request *requestState }

func (m heldStateTimerFired) handle(c *Core) { c.markChanged(m.request) }

// lingerTimedOut reports that an attempt has lingered for lingerLimit.
type lingerTimedOut struct{ request *requestState }

func (m lingerTimedOut) handle(c *Core) { c.endLingering(m.request) }

// drainPollTimerFired triggers a check whether the drain has completed.
type drainPollTimerFired struct{}

func (drainPollTimerFired) handle(c *Core) { c.pollDrain() }
