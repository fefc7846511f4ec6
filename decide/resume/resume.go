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
	Abort    Step = iota
	Restart       // restart from the beginning: the client has been sent nothing
	Continue      // continue after the last event, with the prompt and the answer so far
	Finish        // the answer is complete but for the end of its stream: send that, ask no engine
)

// String returns the step as counts and metrics show it.
func (s Step) String() string { return [...]string{"give up", "again", "go on", "finish"}[s] }

// Terms are what an answer's contract and its request allow.
type Terms struct {
	Repeatable       bool // the contract lets it run any number of times
	MaxContinuations int  // times that the contract lets it continue
	MaxTokens        int  // maximum tokens of the answer; 0: not stated
	Continuable      bool // engines can continue an answer to this request
}

// Interruption is how an answer's stream broke.
type Interruption struct {
	ClientDisconnected bool          // the client has disconnected, or is cut off
	EngineError        bool          // the engine itself reported an error
	Continuations      int           // how often the answer has been restarted or continued before
	Elapsed            time.Duration // since the request arrived
}

// MaxElapsed is how long after a request's arrival its answer may still be restarted or continued.
const MaxElapsed = 10 * time.Minute

// Decide returns what is to be done.
func Decide(t Terms, a *Progress, b Interruption) Step {
	switch {
	case b.ClientDisconnected:
		return Abort
	case a.Complete() && !b.EngineError:
		return Finish
	case !t.Repeatable || b.Continuations >= t.MaxContinuations || b.Elapsed >= MaxElapsed:
		return Abort
	case a.sentEvents == 0:
		return Restart
	case b.EngineError: // the next engine may well report the same error about this request
		return Abort
	case !t.Continuable || a.otherContent || a.textEvents == 0:
		return Abort
	case t.MaxTokens > 0 && a.textEvents >= t.MaxTokens: // no tokens are left
		return Abort
	}
	return Continue
}
