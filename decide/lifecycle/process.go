// Package lifecycle decides the state of a gateway's process and the effect of that state on clients: whether
// the process is healthy, whether connections are kept alive after an answer, and the deadlines for
// completing requests and answers.
//
// Only a Process makes these decisions. Drains, signals, the hand-over to a newer process and the loss of the
// listener are events of one state machine, which accepts them in any order and repeatedly. Each state other
// than Serving sets deadlines that depend only on the event that caused it: no client, engine or later event
// extends them. The package does no I/O, reads no clock and starts nothing; the caller's times must come from
// one monotonic clock.
package lifecycle

import "time"

// Limits are the settings that determine how a process shuts down.
type Limits struct {
	MaxFirstEventWait time.Duration // maximum wait of a client for its first event, by the settings in force
	KillExpected      bool          // the platform sends SIGKILL at a known time after SIGTERM
	ClientsResume     bool          // clients request the remainder of an aborted stream
	SharedSocket      bool          // another process may accept on the same socket
}

// Process is the state machine of one process. Use New.
type Process struct {
	limits                   Limits        // in force; MaxFirstEventWait is their minimum once terminated
	initialMaxFirstEventWait time.Duration // Limits.MaxFirstEventWait at the start
	phase                    State         // Serving, or a state from Terminating on
	drainingSince            time.Time     // zero while the process does not drain
	handedOverAt             time.Time     // zero before a hand-over
	terminatedAt             time.Time     // time of Terminate or ListenerLost; zero before
	finishingSince           time.Time     // time from which nothing new is accepted; zero before
	listenerLost             bool          // the process terminates because of the listener's loss, not a signal
	shutdown                 shutdownPlan  // set once terminatedAt is set
}

// New returns a process in the state Serving.
func New(l Limits) *Process {
	return &Process{limits: l, initialMaxFirstEventWait: l.MaxFirstEventWait}
}

// State returns the current state.
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

// LostListener reports whether the process terminates because its listener was lost.
func (p *Process) LostListener() bool { return p.listenerLost }

// Handle processes an event. It returns the actions that the caller must execute, and whether the event was
// accepted: Activate is rejected after a termination or hand-over.
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
		actions = p.handleClientsIdle(now)
	case WorkCompleted:
		actions = p.handleWorkCompleted()
	}
	return append(actions, p.advance(now)...), accepted
}

// drain starts a drain. A drain in progress keeps its original deadlines.
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

// terminate starts the shutdown. Further termination events change nothing.
func (p *Process) terminate(now time.Time) []Action {
	if !p.terminatedAt.IsZero() {
		return nil
	}
	p.terminatedAt, p.phase = now, Terminating
	p.shutdown = p.planShutdown()
	// Other processes accept new clients immediately, or accepting is impossible.
	if p.limits.SharedSocket || p.listenerLost {
		return p.startFinishing(now)
	}
	if p.limits.ClientsResume {
		return []Action{AwaitClientsIdle}
	}
	return nil
}

// changeSettings applies new settings. A terminating process uses the shortest wait that has been in force
// since its termination, because the platform may time the kill by any of them.
func (p *Process) changeSettings(maxFirstEventWait time.Duration) {
	if p.terminatedAt.IsZero() {
		p.limits.MaxFirstEventWait = maxFirstEventWait
		return
	}
	p.limits.MaxFirstEventWait = min(p.limits.MaxFirstEventWait, maxFirstEventWait)
	p.shutdown = p.planShutdown()
}

// handleClientsIdle stops accepting once clients have noticed the shutdown, but only after AcceptGrace.
func (p *Process) handleClientsIdle(now time.Time) []Action {
	if p.phase != Terminating || now.Before(p.shutdown.acceptUntil) {
		return nil
	}
	return p.startFinishing(now)
}

// handleWorkCompleted ends a process that no longer accepts anything, without waiting for the next step.
func (p *Process) handleWorkCompleted() []Action {
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

// advance executes all steps of the shutdown whose time has been reached.
func (p *Process) advance(now time.Time) (actions []Action) {
	for next := p.NextTick(); !next.IsZero() && !now.Before(next); next = p.NextTick() {
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

// shutdownSteps lists the next state and its action for each state from Finishing on.
var shutdownSteps = map[State]struct {
	next   State
	action Action
}{
	Finishing: {Rejecting, RejectWaiting},
	Rejecting: {Failing, FailWaiting},
	Failing:   {Releasing, AbortStreams},
	Releasing: {Ended, Exit},
}

// NextTick returns when a Tick must be delivered; the zero time for never.
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
