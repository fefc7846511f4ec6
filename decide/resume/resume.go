// Package resume decides what becomes of an answer whose stream broke after its first token: whether it
// is complete all the same and, if not, whether its contract allows it to be continued on another engine,
// and how. It does no I/O and reads no clock. Which engine is asked, and whether the request is admitted,
// is decided by package routing as for any request.
package resume

import "time"

// Step is what is to be done.
type Step uint8

// The steps.
const (
	GiveUp Step = iota
	Again       // restart from the beginning: the client has been sent nothing
	GoOn        // continue after the last event, with the prompt and the answer so far
	Finish      // the answer is complete but for the end of its stream: send that, ask no engine
)

// String returns the step as counts and metrics show it.
func (s Step) String() string { return [...]string{"give up", "again", "go on", "finish"}[s] }

// Terms are what an answer's contract and its request allow.
type Terms struct {
	Free    bool // the contract lets it run any number of times
	Allowed int  // times that the contract lets it continue
	Most    int  // maximum tokens of the answer; 0: not stated
	Plain   bool // engines can continue an answer to this request
}

// Break is how an answer's stream broke.
type Break struct {
	Lost     bool          // the client has disconnected, or is cut off
	Reported bool          // the engine itself reported an error
	Times    int           // how often the answer has been restarted or continued before
	Since    time.Duration // since the request arrived
}

// Limit is how long after a request's arrival its answer may still be restarted or continued.
const Limit = 10 * time.Minute

// Decide returns what is to be done.
func Decide(t Terms, a *Answer, b Break) Step {
	switch {
	case b.Lost:
		return GiveUp
	case a.Whole() && !b.Reported:
		return Finish
	case !t.Free || b.Times >= t.Allowed || b.Since >= Limit:
		return GiveUp
	case a.sentEvents == 0:
		return Again
	case b.Reported: // the next engine may well report the same error about this request
		return GiveUp
	case !t.Plain || a.otherContent || a.textEvents == 0:
		return GiveUp
	case t.Most > 0 && a.textEvents >= t.Most: // no tokens are left
		return GiveUp
	}
	return GoOn
}
