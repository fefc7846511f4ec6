// Package rolechange decides on the next step of an engine's change of role. A change
// is a record that outlives whoever works on it; Next says what its owner, whoever that
// is now, is to do. It does no I/O and reads no clock.
package rolechange

import "time"

// Step is how far a change has come.
type Step string

// The steps. Gateways give an engine no new work from Announced to Flipping, and in
// Undoing; from Warming on it is an engine of its new role, cold since Flipped.
const (
	Announced Step = "announced" // gateways are to see it
	Draining  Step = "draining"  // the engine ends its work of the old kind
	Flipping  Step = "flipping"  // the engine is told to take its new role
	Warming   Step = "warming"   // it has, and is cold
	Settled   Step = "settled"   // in service; the record stands until the catalogue says the same
	Undoing   Step = "undoing"   // back to the old role
)

// Record is a change as it is kept.
type Record struct {
	Engine       string    `json:"engine"`
	Addr         string    `json:"addr"`
	Rack         int       `json:"rack"`
	From         string    `json:"from"`
	To           string    `json:"to"`
	Step         Step      `json:"step"`
	FencingToken uint64    `json:"fence"` // of the owner that last wrote it
	Leader       string    `json:"owner"`
	BegunAt      time.Time `json:"begun"`
	StepSince    time.Time `json:"since"`             // of this step
	FlippedAt    time.Time `json:"flipped,omitempty"` // when the engine was seen in its new role
	Reason       string    `json:"why"`
}

// EngineView is what a gateway is to make of the engine while the record stands.
func (r Record) EngineView() (hold bool, role string, cold time.Time) {
	switch r.Step {
	case Warming, Settled:
		return false, r.To, r.FlippedAt
	}
	return true, r.From, time.Time{}
}

// Report is what an engine says of itself.
type Report struct {
	Role         string    `json:"role"`
	Draining     bool      `json:"draining"`
	Running      int       `json:"running"` // requests, those that wait included
	HeldStates   int       `json:"held"`    // read states that wait to be fetched
	FencingToken uint64    `json:"fence"`   // the highest it has been told
	StartedAt    time.Time `json:"started"`
}

// Reply is how the engine took the latest command.
type Reply uint8

// The replies.
const (
	NoReply Reply = iota // none was given, or none came
	Accepted
	Fenced  // a newer owner has told it something
	Refused // it will not
)

// Facts are what the owner knows as it decides.
type Facts struct {
	Now          time.Time
	Leader       string
	FencingToken uint64
	Gateways     int           // that are listed
	Confirmed    int           // of them, those that have said that they hold to the record
	Report       *Report       // nil if the engine did not answer
	SilentFor    time.Duration // for how long it has not
	Listed       bool          // some source still lists the engine
	ListedRole   string        // the role that its sources state
	Reply        Reply
}

// Limits are how long each step may take.
type Limits struct {
	Confirmation  time.Duration // until all gateways have seen it; then the engine drains all the same
	Draining      time.Duration
	Flipping      time.Duration
	WarmUp        time.Duration
	EngineSilence time.Duration // an engine that is silent for longer is given up
	Undoing       time.Duration
}

// DefaultLimits returns the limits that an operator who gives none gets.
func DefaultLimits() Limits {
	return Limits{Confirmation: 4 * time.Second, Draining: 30 * time.Second, Flipping: 5 * time.Second, WarmUp: 14 * time.Second, EngineSilence: 6 * time.Second, Undoing: 10 * time.Second}
}

// Command is what the engine is to be told.
type Command string

// The commands of docs/engine-roles.md.
const (
	NoCommand Command = ""       // nothing
	Drain     Command = "drain"  // take no new work of the old kind
	Flip      Command = "flip"   // take the new role
	Cancel    Command = "cancel" // stay in the old one
)

// Outcome is how a change ended.
type Outcome string

// The outcomes.
const (
	InProgress Outcome = ""
	Done       Outcome = "done"
	Undone     Outcome = "undone"
	Failed     Outcome = "failed"
)

// Action is what the owner does next, in this order: it writes the record if Write is
// set, or deletes it if Outcome is not Going; then it tells the engine.
type Action struct {
	Write     bool
	Record    Record
	Command   Command
	Outcome   Outcome
	LeaseLost bool // another owner is ahead: touch nothing
	Reason    string
}

// Next decides. Called again with the same facts it decides the same, so that an owner
// that was killed at any point is followed by one that goes on from what it finds.
func Next(r Record, f Facts, l Limits) Action {
	if r.FencingToken > f.FencingToken || f.Reply == Fenced || f.Report != nil && f.Report.FencingToken > f.FencingToken {
		return Action{Record: r, LeaseLost: true, Reason: "another owner has a newer lease"}
	}
	if r.FencingToken < f.FencingToken { // found: it is this owner's from now on
		r.FencingToken, r.Leader, r.StepSince = f.FencingToken, f.Leader, f.Now // the step's time begins anew: nobody saw to it meanwhile
		return Action{Write: true, Record: r, Reason: "taken over from its last owner"}
	}
	if !f.Listed && f.SilentFor >= l.EngineSilence {
		return finish(r, Failed, "the engine is gone")
	}
	if f.Report == nil {
		return withoutReport(r, f, l)
	}
	if f.Report.Role != r.From && f.Report.Role != r.To {
		return finish(r, Failed, "the engine says that it is "+f.Report.Role+", which is neither what it was nor what it is to be")
	}
	in := f.Now.Sub(r.StepSince)
	switch r.Step {
	case Announced:
		return announced(r, f, l, in)
	case Draining:
		return draining(r, f, l, in)
	case Flipping:
		return flipping(r, f, l, in)
	case Warming, Settled:
		return inNewRole(r, f, l)
	case Undoing:
		return undoing(r, f, l, in)
	}
	return finish(r, Failed, "a step that is not known: "+string(r.Step))
}

// withoutReport decides while the engine does not answer.
func withoutReport(r Record, f Facts, l Limits) Action {
	if f.SilentFor < l.EngineSilence {
		return Action{Record: r, Reason: "the engine does not answer"}
	}
	switch r.Step {
	case Announced, Draining:
		// Nothing has been changed: should it come back, it is as it was.
		return finish(r, Failed, "the engine does not answer")
	case Undoing:
		return finish(r, Failed, "the engine does not answer; it was to stay as it is")
	}
	// It may have flipped: what it is is known once it answers, or is listed no more.
	return Action{Record: r, Reason: "waiting for the engine to answer"}
}

// announced waits for the gateways to see the change.
func announced(r Record, f Facts, l Limits, in time.Duration) Action {
	switch {
	case f.Report.Role == r.To:
		return flipped(r, f)
	case f.Confirmed >= f.Gateways:
		return moveTo(r, f, Draining, "all gateways have seen it")
	case in >= l.Confirmation:
		return moveTo(r, f, Draining, "not all gateways have said that they saw it; the engine turns their work away")
	}
	return Action{Record: r, Reason: "gateways are to see it"}
}

// draining has the engine drain, and waits until it is empty.
func draining(r Record, f Facts, l Limits, in time.Duration) Action {
	switch {
	case f.Report.Role == r.To:
		return flipped(r, f)
	case f.Reply == Refused:
		return moveTo(r, f, Undoing, "the engine refused to drain")
	case f.Report.Draining && f.Report.Running == 0 && f.Report.HeldStates == 0:
		return moveTo(r, f, Flipping, "it is empty")
	case in >= l.Draining:
		return moveTo(r, f, Undoing, "its drain hangs")
	}
	return Action{Record: r, Command: Drain, Reason: "its running work ends"}
}

// flipping has the engine take its new role.
func flipping(r Record, f Facts, l Limits, in time.Duration) Action {
	switch {
	case f.Report.Role == r.To:
		return flipped(r, f)
	case f.Reply == Refused:
		return moveTo(r, f, Undoing, "the engine refused its new role")
	case !f.Report.Draining: // it has restarted, or was never told
		return moveTo(r, f, Draining, "it does not drain any more")
	case in >= l.Flipping:
		return moveTo(r, f, Undoing, "it did not take its new role")
	}
	return Action{Record: r, Command: Flip, Reason: "it is to take its new role"}
}

// inNewRole waits until the engine is warm and the catalogue names its new role.
func inNewRole(r Record, f Facts, l Limits) Action {
	if f.Report.Role == r.From { // restarted, perhaps, and as its files say
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
func undoing(r Record, f Facts, l Limits, in time.Duration) Action {
	switch {
	case f.Report.Role == r.To: // the flip came through after all
		return flipped(r, f)
	case !f.Report.Draining:
		return finish(r, Undone, "it stays as it was")
	case in >= l.Undoing:
		return finish(r, Failed, "it does not end its drain")
	}
	return Action{Record: r, Command: Cancel, Reason: "it is to stay as it was"}
}

func moveTo(r Record, f Facts, to Step, why string) Action {
	r.Step, r.StepSince, r.Reason = to, f.Now, why
	a := Action{Write: true, Record: r, Reason: why}
	switch to {
	case Draining:
		a.Command = Drain
	case Flipping:
		a.Command = Flip
	case Undoing:
		a.Command = Cancel
	}
	return a
}

// flipped notes that the engine is in its new role: cold from now on at the latest.
func flipped(r Record, f Facts) Action {
	r.FlippedAt = f.Now
	return moveTo(r, f, Warming, "it has taken its new role")
}

func finish(r Record, o Outcome, why string) Action {
	r.Reason = why
	return Action{Record: r, Outcome: o, Reason: why}
}
