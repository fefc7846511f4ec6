// Package lifecycle decides which state a gateway's process is in and what that state means for
// its clients: whether it is healthy, whether connections outlive their answers, until when a
// request may be completed and until when an answer may go on.
//
// A Process is the only owner of these decisions. Drains, signals, the hand-over to a newer
// process and the loss of the listener are events of one table, in any order and repeated. Every
// state but Serving sets bounds of its own, which follow from the event alone: no client, engine
// or later event moves them out. The package does no I/O, reads no clock and starts nothing; the
// caller's times must come from one monotonic clock.
package lifecycle

import "time"

// Limits are what the settings say of a process's end.
type Limits struct {
	MaxFirstEventWait time.Duration // the longest that a client waits for its first event, by the settings in force
	KillExpected      bool          // SIGKILL follows SIGTERM by the platform's clock
	ClientsResume     bool          // clients ask for the rest of a stream that is cut off
	SharedSocket      bool          // another process may accept on the same socket
}

// Process is the state of one process. Use New.
type Process struct {
	limits         Limits        // those in force; a process that ends keeps the shortest wait since
	initialMaxWait time.Duration // Limits.MaxFirstEventWait at the start
	phase          State         // Serving, or a state from Leaving on
	drainingSince  time.Time     // zero while it does not drain
	handedOverAt   time.Time     // zero before a hand-over
	terminatedAt   time.Time     // of Terminate or ListenerLost; zero before
	finishingSince time.Time     // since when nothing new is accepted; zero before
	listenerLost   bool          // the loss of the listener ended it, not a signal
	shutdown       shutdownPlan  // set from terminatedAt on
}

// New returns a process that serves.
func New(l Limits) *Process { return &Process{limits: l, initialMaxWait: l.MaxFirstEventWait} }

// State returns what the process is doing.
func (p *Process) State() State {
	switch {
	case p.phase != Serving:
		return p.phase
	case !p.handedOverAt.IsZero():
		return HandedOver
	case !p.drainingSince.IsZero():
		return Draining
	}
	return Serving
}

// LostListener tells whether the process ends because its listener was lost.
func (p *Process) LostListener() bool { return p.listenerLost }

// Handle decides on an event. It returns what is to be done, and whether the event was accepted: a
// process that ends or has handed over can't be made active again.
func (p *Process) Handle(now time.Time, event Event) (actions []Action, accepted bool) {
	accepted = true
	switch e := event.(type) {
	case Drain:
		p.drain(now)
	case Activate:
		accepted = p.activate()
	case HandOver:
		actions = p.handOver(now)
	case Terminate:
		actions = p.terminate(now)
	case ListenerLost:
		p.listenerLost = p.listenerLost || p.terminatedAt.IsZero()
		actions = p.terminate(now)
	case SettingsChanged:
		p.changeSettings(e.MaxFirstEventWait)
	case ClientsIdle:
		actions = p.clientsIdle(now)
	case WorkCompleted:
		actions = p.allDone()
	}
	return append(actions, p.advance(now)...), accepted
}

// drain starts a drain. One that is under way keeps the bounds of its own start.
func (p *Process) drain(now time.Time) {
	if p.drainingSince.IsZero() {
		p.drainingSince = now
	}
}

func (p *Process) activate() (accepted bool) {
	if p.phase != Serving || !p.handedOverAt.IsZero() {
		return false
	}
	p.drainingSince = time.Time{}
	return true
}

func (p *Process) handOver(now time.Time) []Action {
	if !p.handedOverAt.IsZero() || p.phase != Serving {
		return nil
	}
	p.handedOverAt = now
	return []Action{StopListening}
}

// terminate starts the shutdown. Further signals change nothing.
func (p *Process) terminate(now time.Time) []Action {
	if !p.terminatedAt.IsZero() {
		return nil
	}
	p.terminatedAt, p.phase = now, Terminating
	p.shutdown = p.planShutdown()
	if p.limits.SharedSocket || p.listenerLost { // others accept the clients at once, or nobody can
		return p.startFinishing(now)
	}
	if p.limits.ClientsResume {
		return []Action{AwaitClientsIdle}
	}
	return nil
}

// changeSettings applies other settings. A process that ends keeps to the shortest wait that was
// in force since: the kill may go by any of them.
func (p *Process) changeSettings(maxWait time.Duration) {
	if p.terminatedAt.IsZero() {
		p.limits.MaxFirstEventWait = maxWait
		return
	}
	p.limits.MaxFirstEventWait = min(p.limits.MaxFirstEventWait, maxWait)
	p.shutdown = p.planShutdown()
}

// clientsIdle ends the wait for clients to notice, but not before AcceptGrace is over.
func (p *Process) clientsIdle(now time.Time) []Action {
	if p.phase != Terminating || now.Before(p.shutdown.acceptUntil) {
		return nil
	}
	return p.startFinishing(now)
}

// allDone ends a process at once that accepts nothing any more.
func (p *Process) allDone() []Action {
	if p.phase < Finishing || p.phase == Ended {
		return nil
	}
	p.phase = Ended
	return []Action{Exit}
}

func (p *Process) startFinishing(now time.Time) []Action {
	p.phase, p.finishingSince = Finishing, now
	return []Action{StopListening, AwaitWorkCompleted}
}

// advance takes the steps of the shutdown that are due by now.
func (p *Process) advance(now time.Time) (actions []Action) {
	for due := p.NextTick(); !due.IsZero() && !now.Before(due); due = p.NextTick() {
		if p.phase == Terminating {
			actions = append(actions, p.startFinishing(now)...)
			continue
		}
		step := shutdownSteps[p.phase]
		p.phase = step.next
		actions = append(actions, step.action)
	}
	return actions
}

// shutdownSteps are what follows on the states from Finishing on.
var shutdownSteps = map[State]struct {
	next   State
	action Action
}{
	Finishing: {Rejecting, RejectWaiting},
	Rejecting: {Failing, FailWaiting},
	Failing:   {Releasing, AbortStreams},
	Releasing: {Ended, Exit},
}

// NextTick returns when a Tick is due; the zero time for never.
func (p *Process) NextTick() time.Time {
	switch p.phase {
	case Terminating:
		return p.shutdown.stopAccepting
	case Finishing:
		return p.shutdown.rejectWaiting
	case Rejecting:
		return p.shutdown.failWaiting
	case Failing:
		return p.shutdown.abortStreams
	case Releasing:
		return p.shutdown.exit
	}
	return time.Time{}
}
