// Package resume decides how to proceed with an answer whose stream broke after its first token: whether the
// answer is nevertheless complete and, if not, whether and how its contract allows it to be continued on
// another engine. It does no I/O and reads no clock. Package routing selects the engine and decides whether
// the request is admitted, as for any request.
package resume

import "time"

// Step is the next step for a broken answer.
type Step uint8

// The steps.
const (
	Abort    Step = iota // fail the answer
	Restart              // restart from the beginning: no event has been sent to the client
	Continue             // continue after the last event: send an engine the prompt and the answer so far
	Finish               // the answer lacks only the end of its stream: send that, without an attempt
)

// String returns the name of the step in counts and metrics.
func (s Step) String() string { return [...]string{"give up", "again", "go on", "finish"}[s] }

// Terms are what an answer's contract and its request allow.
type Terms struct {
	Repeatable       bool // the contract allows the request to run any number of times
	MaxContinuations int  // restarts and continuations that the contract allows
	MaxTokens        int  // maximum number of tokens in the answer; 0 if not specified
	Continuable      bool // engines can continue an answer to this request
}

// Interruption describes how an answer's stream broke.
type Interruption struct {
	ClientDisconnected bool          // the client has disconnected, or was disconnected as too slow
	EngineError        bool          // the engine itself reported an error
	Continuations      int           // how often the answer has already been restarted or continued
	Elapsed            time.Duration // time since the request arrived
}

// MaxElapsed is how long after a request's arrival its answer may still be restarted or continued.
const MaxElapsed = 10 * time.Minute

// Decide returns the next step for an interrupted answer.
func Decide(terms Terms, progress *Progress, interruption Interruption) Step {
	switch {
	case interruption.ClientDisconnected:
		return Abort
	case progress.Complete() && !interruption.EngineError:
		return Finish
	case !terms.Repeatable || interruption.Continuations >= terms.MaxContinuations || interruption.Elapsed >= MaxElapsed:
		return Abort
	case progress.sentEvents == 0:
		return Restart
	case interruption.EngineError: // another engine is likely to report the same error for this request
		return Abort
	case !terms.Continuable || progress.otherContent || progress.textEvents == 0:
		return Abort
	case terms.MaxTokens > 0 && progress.textEvents >= terms.MaxTokens: // maximum length reached
		return Abort
	}
	return Continue
}
