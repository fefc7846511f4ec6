// Package lifecycle decides which state a gateway's process is in and what that state means for
// its clients: whether it is healthy, whether connections outlive their answers, until when a
// request may come to its end and until when an answer may.
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
	MaxWait       time.Duration // the longest that a client waits for its first event, by the settings in force
	KillKnown     bool          // SIGKILL follows SIGTERM by the platform's clock
	ClientsResume bool          // clients ask for the rest of a stream that is cut off
	SharedSocket  bool          // another process accepts on the same socket
}

// Process is the state of one process. Use New.
type Process struct {
	limits         Limits
	initialMaxWait time.Duration // Limits.MaxWait at the start
	phase          State         // Serving, or a state from Leaving on
	drainingSince  time.Time     // since when it drains; zero while it does not
	handedOverAt   time.Time     // zero before a hand-over
	terminatedAt   time.Time     // Terminate or ListenerLost; zero before
	finishingSince time.Time     // since when nothing new is taken
	listenerLost   bool          // the listener is
	shutdown       shutdownPlan
}

// New returns a process that serves.
func New(l Limits) *Process { return &Process{limits: l, initialMaxWait: l.MaxWait} }

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

// Handle takes an event. It returns what is to be done, and whether the event had its way: a
// process that ends or has handed over can't be made active again.
func (p *Process) Handle(now time.Time, event Event) (actions []Action, accepted bool) {
	accepted = true
	switch e := event.(type) {
	case Drain:
		if p.drainingSince.IsZero() {
			p.drainingSince = now
		}
	case Activate:
		if accepted = p.phase == Serving && p.handedOverAt.IsZero(); accepted {
			p.drainingSince = time.Time{}
		}
	case HandOver:
		actions = p.handOver(now)
	case Terminate:
		actions = p.terminate(now)
	case ListenerLost:
		p.listenerLost = p.listenerLost || p.terminatedAt.IsZero()
		actions = p.terminate(now)
	case SettingsChanged:
		p.changeSettings(e.MaxWait)
	case ClientsIdle:
		if p.phase == Leaving && !now.Before(p.shutdown.acceptUntil) {
			actions = p.startFinishing(now)
		}
	case AllDone:
		if p.phase >= Finishing && p.phase < Ended {
			p.phase = Ended
			return append(actions, Exit), accepted
		}
	}
	return append(actions, p.advance(now)...), accepted
}

func (p *Process) handOver(now time.Time) []Action {
	if !p.handedOverAt.IsZero() || p.phase != Serving {
		return nil
	}
	p.handedOverAt = now
	return []Action{StopListening}
}

func (p *Process) terminate(now time.Time) []Action {
	if !p.terminatedAt.IsZero() {
		return nil
	}
	p.terminatedAt, p.phase = now, Leaving
	p.shutdown = p.planShutdown()
	if p.limits.SharedSocket || p.listenerLost { // others take the clients at once, or none can come
		return p.startFinishing(now)
	}
	if p.limits.ClientsResume {
		return []Action{AwaitClientsIdle}
	}
	return nil
}

// changeSettings goes by other settings. A process that ends keeps to the shortest wait that was in force
// since: the kill may go by any of them.
func (p *Process) changeSettings(longest time.Duration) {
	if p.terminatedAt.IsZero() {
		p.limits.MaxWait = longest
		return
	}
	p.limits.MaxWait = min(p.limits.MaxWait, longest)
	p.shutdown = p.planShutdown()
}

func (p *Process) startFinishing(now time.Time) []Action {
	p.phase, p.finishingSince = Finishing, now
	return []Action{StopListening, AwaitAllDone}
}

// advance carries out what the plan has due by now.
func (p *Process) advance(now time.Time) (actions []Action) {
	if p.phase == Leaving && !now.Before(p.shutdown.stopAccepting) {
		actions = append(actions, p.startFinishing(now)...)
	}
	for _, step := range []struct {
		from, to State
		at       time.Time
		action   Action
	}{
		{Finishing, Rejecting, p.shutdown.rejectWaiting, RejectWaiting},
		{Rejecting, Failing, p.shutdown.failWaiting, FailWaiting},
		{Failing, Releasing, p.shutdown.abortStreams, AbortStreams},
		{Releasing, Ended, p.shutdown.exit, Exit},
	} {
		if p.phase == step.from && !now.Before(step.at) {
			p.phase = step.to
			actions = append(actions, step.action)
		}
	}
	return actions
}

// NextTick returns when a Tick is due; the zero time for never.
func (p *Process) NextTick() time.Time {
	switch p.phase {
	case Leaving:
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
