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

// State is what a process is doing.
type State uint8

// The states, in the order in which a process can pass through them.
const (
	Serving    State = iota
	Draining         // operators send clients away; `active` ends it
	HandedOver       // a newer process accepts the clients; what is in hand goes on
	Leaving          // told to end; its clients have yet to notice and are served as ever
	Finishing        // told to end; nothing new is taken, what is in hand goes on
	Refusing         // requests that wait are refused, so that their clients try elsewhere
	Failing          // what is still unanswered is failed
	Releasing        // streams are cut off; what engines hold is released
	Ended
)

var stateNames = [...]string{
	Serving: "serving", Draining: "draining", HandedOver: "handed over", Leaving: "leaving", Finishing: "finishing",
	Refusing: "refusing", Failing: "failing", Releasing: "releasing", Ended: "ended",
}

// String returns the state's name, as logs have it.
func (s State) String() string { return stateNames[s] }

// Margins of the table.
const (
	// DrainRequests is how long after a drain began a request may come to its end. Operators want
	// no request carried 4 s after the call that was sent later than 2 s after it.
	DrainRequests = 1500 * time.Millisecond
	// HandOverRequests is the same after a hand-over: as long as any request may take to come.
	HandOverRequests = 2500 * time.Millisecond
	// LateRequests is the same after a process that ends has stopped accepting.
	LateRequests = 150 * time.Millisecond
	// AnswerLimit bounds an answer that is under way when its connection is to end, beyond the
	// longest wait for its first event.
	AnswerLimit = 5 * time.Minute
	// AcceptFor is how long after SIGTERM new clients keep coming.
	AcceptFor = 500 * time.Millisecond
	// NewConnection is how long a new connection may take to bring its first byte.
	NewConnection = 300 * time.Millisecond

	killAfter    = 700 * time.Millisecond // SIGKILL follows SIGTERM by the longest wait, of
	longestWait  = 3 * time.Second        // longestWait at most, and no less than this
	beforeKill   = 1100 * time.Millisecond
	killMargin   = 100 * time.Millisecond // left unused before the kill
	refuseFor    = 250 * time.Millisecond // from refusals to failures: engines may be about to answer
	failFor      = 50 * time.Millisecond  // for the last answers to be written
	releaseFor   = 500 * time.Millisecond // for releases, the second call included
	lastFailures = 400 * time.Millisecond // before the kill, where streams go on up to it
	arrivingLook = 20 * time.Millisecond  // until bytes that have arrived are looked for again
)

// Limits are what the settings say of a process's end.
type Limits struct {
	Longest   time.Duration // the longest that a client waits for its first event, by the settings in force
	KillKnown bool          // SIGKILL follows SIGTERM by the platform's clock
	Resume    bool          // clients ask for the rest of a stream that is cut off
	Shared    bool          // another process accepts on the same socket
}

// Event is something that happens to a process.
type Event interface{ isEvent() }

// Drain says that operators send clients away.
type Drain struct{}

// Activate says that operators end the drain.
type Activate struct{}

// HandOver says that a newer process is ready.
type HandOver struct{}

// Terminate is SIGTERM.
type Terminate struct{}

// ListenerLost says that clients can't be accepted any more.
type ListenerLost struct{}

// Retuned says that other settings are in force.
type Retuned struct{ Longest time.Duration }

// Quieted says that no request has come for a while: clients have noticed.
type Quieted struct{}

// Idle says that no connection is open, and nothing is in hand or owed.
type Idle struct{}

// Tick says that the time which Next named has come.
type Tick struct{}

func (Drain) isEvent()        {}
func (Activate) isEvent()     {}
func (HandOver) isEvent()     {}
func (Terminate) isEvent()    {}
func (ListenerLost) isEvent() {}
func (Retuned) isEvent()      {}
func (Quieted) isEvent()      {}
func (Idle) isEvent()         {}
func (Tick) isEvent()         {}

// Action is something to be done once.
type Action uint8

// The actions.
const (
	StopListening Action = iota
	AwaitQuiet           // tell Quieted once no request has come for a while
	AwaitIdle            // tell Idle once that is so
	RefuseWaiting
	FailWaiting
	CutStreams
	Exit
)

// Process is the state of one process. Use New.
type Process struct {
	limits     Limits
	first      time.Duration // Limits.Longest at the start
	phase      State         // Serving, or a state from Leaving on
	drainedAt  time.Time     // since when it drains; zero while it does not
	handedAt   time.Time     // zero before a hand-over
	endingAt   time.Time     // Terminate or ListenerLost; zero before
	finishedAt time.Time     // since when nothing new is taken
	lost       bool          // the listener is
	plan       plan
}

// New returns a process that serves.
func New(l Limits) *Process { return &Process{limits: l, first: l.Longest} }

// State returns what the process is doing.
func (p *Process) State() State {
	switch {
	case p.phase != Serving:
		return p.phase
	case !p.handedAt.IsZero():
		return HandedOver
	case !p.drainedAt.IsZero():
		return Draining
	}
	return Serving
}

// Lost tells whether the process ends because its listener was lost.
func (p *Process) Lost() bool { return p.lost }

// Handle takes an event. It returns what is to be done, and whether the event had its way: a
// process that ends or has handed over can't be made active again.
func (p *Process) Handle(now time.Time, event Event) (actions []Action, accepted bool) {
	accepted = true
	switch e := event.(type) {
	case Drain:
		if p.drainedAt.IsZero() {
			p.drainedAt = now
		}
	case Activate:
		if accepted = p.phase == Serving && p.handedAt.IsZero(); accepted {
			p.drainedAt = time.Time{}
		}
	case HandOver:
		actions = p.handOver(now)
	case Terminate:
		actions = p.terminate(now)
	case ListenerLost:
		p.lost = p.lost || p.endingAt.IsZero()
		actions = p.terminate(now)
	case Retuned:
		p.retune(e.Longest)
	case Quieted:
		if p.phase == Leaving && !now.Before(p.plan.acceptUntil) {
			actions = p.finish(now)
		}
	case Idle:
		if p.phase >= Finishing && p.phase < Ended {
			p.phase = Ended
			return append(actions, Exit), accepted
		}
	}
	return append(actions, p.advance(now)...), accepted
}

func (p *Process) handOver(now time.Time) []Action {
	if !p.handedAt.IsZero() || p.phase != Serving {
		return nil
	}
	p.handedAt = now
	return []Action{StopListening}
}

func (p *Process) terminate(now time.Time) []Action {
	if !p.endingAt.IsZero() {
		return nil
	}
	p.endingAt, p.phase = now, Leaving
	p.plan = p.planEnd()
	if p.limits.Shared || p.lost { // others take the clients at once, or none can come
		return p.finish(now)
	}
	if p.limits.Resume {
		return []Action{AwaitQuiet}
	}
	return nil
}

// retune goes by other settings. A process that ends keeps to the shortest wait that was in force
// since: the kill may go by any of them.
func (p *Process) retune(longest time.Duration) {
	if p.endingAt.IsZero() {
		p.limits.Longest = longest
		return
	}
	p.limits.Longest = min(p.limits.Longest, longest)
	p.plan = p.planEnd()
}

func (p *Process) finish(now time.Time) []Action {
	p.phase, p.finishedAt = Finishing, now
	return []Action{StopListening, AwaitIdle}
}

// advance carries out what the plan has due by now.
func (p *Process) advance(now time.Time) (actions []Action) {
	if p.phase == Leaving && !now.Before(p.plan.finish) {
		actions = append(actions, p.finish(now)...)
	}
	for _, step := range []struct {
		from, to State
		at       time.Time
		action   Action
	}{
		{Finishing, Refusing, p.plan.refuse, RefuseWaiting},
		{Refusing, Failing, p.plan.fail, FailWaiting},
		{Failing, Releasing, p.plan.cut, CutStreams},
		{Releasing, Ended, p.plan.end, Exit},
	} {
		if p.phase == step.from && !now.Before(step.at) {
			p.phase = step.to
			actions = append(actions, step.action)
		}
	}
	return actions
}

// Next returns when a Tick is due; the zero time for never.
func (p *Process) Next() time.Time {
	switch p.phase {
	case Leaving:
		return p.plan.finish
	case Finishing:
		return p.plan.refuse
	case Refusing:
		return p.plan.fail
	case Failing:
		return p.plan.cut
	case Releasing:
		return p.plan.end
	}
	return time.Time{}
}
