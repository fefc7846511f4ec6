// Package rolechange decides on the next step of an engine's change of role. A change is a
// stored record that outlives its leader; Next says what the present leader is to do with it.
// The package does no I/O and reads no clock.
package rolechange

import "time"

// Report is what an engine reports of itself.
type Report struct {
	Role         string    `json:"role"`
	Draining     bool      `json:"draining"`
	Running      int       `json:"running"` // requests, queued ones included
	HeldStates   int       `json:"held"`    // prefill states that no decode engine has fetched yet
	FencingToken uint64    `json:"fence"`   // the highest that it has been given
	StartedAt    time.Time `json:"started"`
}

// Reply is the engine's answer to the latest command.
type Reply uint8

// The replies.
const (
	NoReply Reply = iota // no command was sent, or no answer came
	Accepted
	Fenced  // it has been given a higher fencing token
	Refused // for another reason
)

// Inputs are what the leader knows as it decides.
type Inputs struct {
	Now             time.Time
	Leader          string
	FencingToken    uint64
	Gateways        int           // in the tier
	Confirmed       int           // gateways that route by the record
	Report          *Report       // nil if the engine did not answer
	UnresponsiveFor time.Duration // time without an answer
	Listed          bool          // some source still lists the engine
	ListedRole      string        // the role that the sources state
	Reply           Reply
}

// Timeouts are how long each step may take.
type Timeouts struct {
	Confirmation       time.Duration // by all gateways; after that the engine drains without it
	Draining           time.Duration
	Flipping           time.Duration
	WarmUp             time.Duration
	EngineUnresponsive time.Duration // after which the change is given up
	RollingBack        time.Duration
}

// DefaultTimeouts returns the limits for an operator who sets none.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		Confirmation: 4 * time.Second, Draining: 30 * time.Second, Flipping: 5 * time.Second,
		WarmUp: 14 * time.Second, EngineUnresponsive: 6 * time.Second, RollingBack: 10 * time.Second,
	}
}

// Command is what the engine is to do. The values are those of its protocol.
type Command string

// The commands of docs/engine-roles.md.
const (
	NoCommand Command = ""
	Drain     Command = "drain"  // take no new requests
	Flip      Command = "flip"   // take the new role
	Cancel    Command = "cancel" // keep the old role
)

// Outcome is how a change ended. The values are stored in the lock's history.
type Outcome string

// The outcomes.
const (
	InProgress Outcome = ""
	Done       Outcome = "done"
	RolledBack Outcome = "undone"
	Failed     Outcome = "failed"
)

// Action is what the leader does next, in this order: it writes the record if Write is set, or
// deletes it if Outcome is not InProgress; then it sends the engine the command.
type Action struct {
	Write     bool
	Record    Record
	Command   Command
	Outcome   Outcome
	LeaseLost bool // another leader has a higher fencing token: nothing may be written or sent
	Reason    string
}

// Next decides on the next action. It depends on the record and the facts alone, so that a
// leader that was killed at any point is followed by one that goes on from what it finds.
func Next(r Record, f Inputs, l Timeouts) Action {
	if r.FencingToken > f.FencingToken || f.Reply == Fenced || f.Report != nil && f.Report.FencingToken > f.FencingToken {
		return Action{Record: r, LeaseLost: true, Reason: "another owner has a newer lease"}
	}
	if r.FencingToken < f.FencingToken { // of an earlier leader: taken over
		r.FencingToken, r.Leader, r.StepStartedAt = f.FencingToken, f.Leader, f.Now // the step's limit runs anew, as no leader saw to it meanwhile
		return Action{Write: true, Record: r, Reason: "taken over from its last owner"}
	}
	if !f.Listed && f.UnresponsiveFor >= l.EngineUnresponsive {
		return finish(r, Failed, "the engine is gone")
	}
	if f.Report == nil {
		return withoutReport(r, f, l)
	}
	if f.Report.Role != r.From && f.Report.Role != r.To {
		return finish(r, Failed, "the engine says that it is "+f.Report.Role+", which is neither what it was nor what it is to be")
	}
	inStep := f.Now.Sub(r.StepStartedAt)
	switch r.Step {
	case Announced:
		return announced(r, f, l, inStep)
	case Draining:
		return draining(r, f, l, inStep)
	case Flipping:
		return flipping(r, f, l, inStep)
	case Warming, Settled:
		return inNewRole(r, f, l)
	case RollingBack:
		return undoing(r, f, l, inStep)
	}
	return finish(r, Failed, "a step that is not known: "+string(r.Step))
}

// withoutReport decides while the engine does not answer.
func withoutReport(r Record, f Inputs, l Timeouts) Action {
	if f.UnresponsiveFor < l.EngineUnresponsive {
		return Action{Record: r, Reason: "the engine does not answer"}
	}
	switch r.Step {
	case Announced, Draining:
		// Its role has not changed: should it come back, it is as it was.
		return finish(r, Failed, "the engine does not answer")
	case RollingBack:
		return finish(r, Failed, "the engine does not answer; it was to stay as it is")
	}
	// It may have flipped: its role is known once it answers, or no source lists it.
	return Action{Record: r, Reason: "waiting for the engine to answer"}
}

// announced waits until the gateways have confirmed the change.
func announced(r Record, f Inputs, l Timeouts, inStep time.Duration) Action {
	switch {
	case f.Report.Role == r.To:
		return flipped(r, f)
	case f.Confirmed >= f.Gateways:
		return moveTo(r, f, Draining, "all gateways have seen it")
	case inStep >= l.Confirmation:
		return moveTo(r, f, Draining, "not all gateways have said that they saw it; the engine turns their work away")
	}
	return Action{Record: r, Reason: "gateways are to see it"}
}

// draining has the engine drain, and waits until it is empty.
func draining(r Record, f Inputs, l Timeouts, inStep time.Duration) Action {
	switch {
	case f.Report.Role == r.To:
		return flipped(r, f)
	case f.Reply == Refused:
		return moveTo(r, f, RollingBack, "the engine refused to drain")
	case f.Report.Draining && f.Report.Running == 0 && f.Report.HeldStates == 0:
		return moveTo(r, f, Flipping, "it is empty")
	case inStep >= l.Draining:
		return moveTo(r, f, RollingBack, "its drain hangs")
	}
	return Action{Record: r, Command: Drain, Reason: "its running work ends"}
}

// flipping has the engine take its new role.
func flipping(r Record, f Inputs, l Timeouts, inStep time.Duration) Action {
	switch {
	case f.Report.Role == r.To:
		return flipped(r, f)
	case f.Reply == Refused:
		return moveTo(r, f, RollingBack, "the engine refused its new role")
	case !f.Report.Draining: // it has restarted, or never got the command
		return moveTo(r, f, Draining, "it does not drain any more")
	case inStep >= l.Flipping:
		return moveTo(r, f, RollingBack, "it did not take its new role")
	}
	return Action{Record: r, Command: Flip, Reason: "it is to take its new role"}
}

// inNewRole waits until the engine is warm and the catalogue names its new role.
func inNewRole(r Record, f Inputs, l Timeouts) Action {
	if f.Report.Role == r.From { // it may have restarted, with the role of its configuration
		return finish(r, Failed, "it came back in its old role")
	}
	switch {
	case r.Step == Warming && f.Now.Sub(r.FlippedAt) >= l.WarmUp:
		return moveTo(r, f, Settled, "it is warm")
	case r.Step == Settled && f.ListedRole == r.To:
		return finish(r, Done, "the catalogue says the same")
	}
	return Action{Record: r, Reason: "in its new role"}
}

// undoing ends the drain of an engine that keeps its role.
func undoing(r Record, f Inputs, l Timeouts, inStep time.Duration) Action {
	switch {
	case f.Report.Role == r.To: // the flip came through after all
		return flipped(r, f)
	case !f.Report.Draining:
		return finish(r, RolledBack, "it stays as it was")
	case inStep >= l.RollingBack:
		return finish(r, Failed, "it does not end its drain")
	}
	return Action{Record: r, Command: Cancel, Reason: "it is to stay as it was"}
}

// moveTo writes a step and sends the command that it begins with.
func moveTo(r Record, f Inputs, to Step, reason string) Action {
	r.Step, r.StepStartedAt, r.Reason = to, f.Now, reason
	a := Action{Write: true, Record: r, Reason: reason}
	switch to {
	case Draining:
		a.Command = Drain
	case Flipping:
		a.Command = Flip
	case RollingBack:
		a.Command = Cancel
	}
	return a
}

// flipped moves on once the engine reports its new role; it is cold from now on at the latest.
func flipped(r Record, f Inputs) Action {
	r.FlippedAt = f.Now
	return moveTo(r, f, Warming, "it has taken its new role")
}

// finish ends the change.
func finish(r Record, o Outcome, reason string) Action {
	r.Reason = reason
	return Action{Record: r, Outcome: o, Reason: reason}
}
