// Package rolechange decides the next step of an engine's role change. A change is a stored record
// that outlives the leader that started it; Next returns the action of the present leader.
// The package does no I/O and reads no clock.
package rolechange

import "time"

// Report is the state that an engine reports.
type Report struct {
	Role         string    `json:"role"`
	Draining     bool      `json:"draining"`
	Running      int       `json:"running"` // requests, queued ones included
	HeldStates   int       `json:"held"`    // prefill states that no decode engine has fetched yet
	FencingToken uint64    `json:"fence"`   // the highest that it has received
	StartedAt    time.Time `json:"started"`
}

// Reply is the engine's answer to the latest command.
type Reply uint8

// The replies.
const (
	NoReply Reply = iota // no command was sent, or no answer was received
	Accepted
	Fenced  // it has received a higher fencing token
	Refused // for another reason
)

// Inputs are the observations on which Next decides.
type Inputs struct {
	Now             time.Time
	Leader          string
	FencingToken    uint64
	Gateways        int           // in the tier
	Confirmed       int           // gateways that apply the record to their routing
	Report          *Report       // nil if the engine did not answer
	UnresponsiveFor time.Duration // time without an answer
	Listed          bool          // at least one source still lists the engine
	ListedRole      string        // according to the sources
	Reply           Reply
}

// Timeouts limit the duration of each step.
type Timeouts struct {
	Confirmation       time.Duration // of the record by all gateways; then the engine drains anyway
	Draining           time.Duration
	Flipping           time.Duration
	WarmUp             time.Duration
	EngineUnresponsive time.Duration // without an answer, after which the change is abandoned
	RollingBack        time.Duration
}

// DefaultTimeouts returns the timeouts for an operator who sets none.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		Confirmation: 4 * time.Second, Draining: 30 * time.Second, Flipping: 5 * time.Second,
		WarmUp: 14 * time.Second, EngineUnresponsive: 6 * time.Second, RollingBack: 10 * time.Second,
	}
}

// Command is a command to the engine. The values are those of the engine protocol.
type Command string

// The commands of docs/engine-roles.md.
const (
	NoCommand Command = ""
	Drain     Command = "drain"  // reject new requests
	Flip      Command = "flip"   // switch to the new role
	Cancel    Command = "cancel" // end the drain and keep the old role
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

// Action is the next action of the leader, in this order: it writes the record if Write is set, or
// deletes it if Outcome is not InProgress; then it sends the command to the engine.
type Action struct {
	Write     bool
	Record    Record
	Command   Command
	Outcome   Outcome
	LeaseLost bool // another leader has a higher fencing token: this one must not write or send
	Reason    string
}

// Next returns the next action. It depends only on its arguments, so that after a leader is killed
// at any point, its successor can continue from the stored record.
func Next(r Record, f Inputs, l Timeouts) Action {
	if r.FencingToken > f.FencingToken || f.Reply == Fenced ||
		f.Report != nil && f.Report.FencingToken > f.FencingToken {
		return Action{Record: r, LeaseLost: true, Reason: "another owner has a newer lease"}
	}
	if r.FencingToken < f.FencingToken { // written by an earlier leader
		// The step's timeout restarts, since no leader advanced the change in the meantime.
		r.FencingToken, r.Leader, r.StepStartedAt = f.FencingToken, f.Leader, f.Now
		return Action{Write: true, Record: r, Reason: "taken over from its last owner"}
	}
	if !f.Listed && f.UnresponsiveFor >= l.EngineUnresponsive {
		return endChange(r, Failed, "the engine is gone")
	}
	if f.Report == nil {
		return decideWithoutReport(r, f, l)
	}
	if f.Report.Role != r.From && f.Report.Role != r.To {
		return endChange(r, Failed, "the engine says that it is "+f.Report.Role+", which is neither what it was nor what it is to be")
	}
	inStep := f.Now.Sub(r.StepStartedAt)
	switch r.Step {
	case Announced:
		return decideAnnounced(r, f, l, inStep)
	case Draining:
		return decideDraining(r, f, l, inStep)
	case Flipping:
		return decideFlipping(r, f, l, inStep)
	case Warming, Settled:
		return decideInNewRole(r, f, l)
	case RollingBack:
		return decideRollingBack(r, f, l, inStep)
	}
	return endChange(r, Failed, "a step that is not known: "+string(r.Step))
}

// decideWithoutReport returns the action while the engine does not answer.
func decideWithoutReport(r Record, f Inputs, l Timeouts) Action {
	if f.UnresponsiveFor < l.EngineUnresponsive {
		return Action{Record: r, Reason: "the engine does not answer"}
	}
	switch r.Step {
	case Announced, Draining:
		// Its role has not changed: if it recovers, it still has its old role.
		return endChange(r, Failed, "the engine does not answer")
	case RollingBack:
		return endChange(r, Failed, "the engine does not answer; it was to stay as it is")
	}
	// It may have switched its role: wait until it answers or no source lists it any longer.
	return Action{Record: r, Reason: "waiting for the engine to answer"}
}

// decideAnnounced waits until all gateways have confirmed the record, or until the timeout.
func decideAnnounced(r Record, f Inputs, l Timeouts, inStep time.Duration) Action {
	switch {
	case f.Report.Role == r.To:
		return startWarming(r, f)
	case f.Confirmed >= f.Gateways:
		return startStep(r, f, Draining, "all gateways have seen it")
	case inStep >= l.Confirmation:
		return startStep(r, f, Draining, "not all gateways have said that they saw it; the engine turns their work away")
	}
	return Action{Record: r, Reason: "gateways are to see it"}
}

// decideDraining sends the drain command and waits until the engine is empty.
func decideDraining(r Record, f Inputs, l Timeouts, inStep time.Duration) Action {
	switch {
	case f.Report.Role == r.To:
		return startWarming(r, f)
	case f.Reply == Refused:
		return startStep(r, f, RollingBack, "the engine refused to drain")
	case f.Report.Draining && f.Report.Running == 0 && f.Report.HeldStates == 0:
		return startStep(r, f, Flipping, "it is empty")
	case inStep >= l.Draining:
		return startStep(r, f, RollingBack, "its drain hangs")
	}
	return Action{Record: r, Command: Drain, Reason: "its running work ends"}
}

// decideFlipping sends the command to switch to the new role and waits until the engine reports it.
func decideFlipping(r Record, f Inputs, l Timeouts, inStep time.Duration) Action {
	switch {
	case f.Report.Role == r.To:
		return startWarming(r, f)
	case f.Reply == Refused:
		return startStep(r, f, RollingBack, "the engine refused its new role")
	case !f.Report.Draining: // it has restarted, or never received the drain command
		return startStep(r, f, Draining, "it does not drain any more")
	case inStep >= l.Flipping:
		return startStep(r, f, RollingBack, "it did not take its new role")
	}
	return Action{Record: r, Command: Flip, Reason: "it is to take its new role"}
}

// decideInNewRole waits until the engine is warm and the sources list its new role.
func decideInNewRole(r Record, f Inputs, l Timeouts) Action {
	if f.Report.Role == r.From { // it may have restarted, with the role of its configuration
		return endChange(r, Failed, "it came back in its old role")
	}
	switch {
	case r.Step == Warming && f.Now.Sub(r.FlippedAt) >= l.WarmUp:
		return startStep(r, f, Settled, "it is warm")
	case r.Step == Settled && f.ListedRole == r.To:
		return endChange(r, Done, "the catalogue says the same")
	}
	return Action{Record: r, Reason: "in its new role"}
}

// decideRollingBack sends the cancel command until the engine has ended its drain.
func decideRollingBack(r Record, f Inputs, l Timeouts, inStep time.Duration) Action {
	switch {
	case f.Report.Role == r.To: // the flip command took effect late
		return startWarming(r, f)
	case !f.Report.Draining:
		return endChange(r, RolledBack, "it stays as it was")
	case inStep >= l.RollingBack:
		return endChange(r, Failed, "it does not end its drain")
	}
	return Action{Record: r, Command: Cancel, Reason: "it is to stay as it was"}
}

// startStep returns the action that writes a step and sends the first command of that step.
func startStep(r Record, f Inputs, to Step, reason string) Action {
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

// startWarming starts the warm-up of an engine that reports its new role. The present time is used
// as the start of the warm-up, although the engine may have switched earlier.
func startWarming(r Record, f Inputs) Action {
	r.FlippedAt = f.Now
	return startStep(r, f, Warming, "it has taken its new role")
}

// endChange returns the action that deletes the record with an outcome.
func endChange(r Record, o Outcome, reason string) Action {
	r.Reason = reason
	return Action{Record: r, Outcome: o, Reason: reason}
}
