package deduplication

import "time"

// Key names a request, within its team.
type Key struct{ Team, Name string }

// State is what is known of the request that ran under a key. Its numbers are stored on disk.
type State uint8

// The states.
const (
	StateRunning  State = iota
	StateComplete       // its answer was complete
	StateUnknown        // it may have run, or may not
)

func (s State) String() string { return [...]string{"running", "complete", "unknown"}[s] }

// Entry is what is remembered of a key. Its answer must not be modified.
type Entry struct {
	Key         Key
	Digest      string // of the request's path and body
	State       State
	Since       time.Time // when State began
	RequestID   string    // of the request that ran
	ContentType string    // of the answer
	Answer      []byte    // nil if it is not kept
}

// Request is a request under a key.
type Request struct {
	Key        Key
	Digest     string
	RequestID  string
	RetryCount int // attempts made before, as its client counts them
	// MayHaveRunOnOtherGateway: earlier attempts may have gone to another gateway, which keeps keys of its own.
	MayHaveRunOnOtherGateway bool
}

// Decision is what is to be done with a request.
type Decision uint8

// The decisions.
const (
	Run                 Decision = iota // run it, and report its outcome to End
	InProgress                          // an earlier request under the key still runs
	Replay                              // send the answer that is kept
	AnswerUnavailable                   // one has run to completion, and its answer is not kept
	KeyReused                           // the key was used for a different request
	PriorOutcomeUnknown                 // an earlier attempt may have run
	CapacityExceeded                    // no more entries can be kept: the request must not run
)

// String returns the decision as counts and metrics show it.
func (d Decision) String() string {
	return [...]string{"run", "under way", "replay", "not kept", "reused", "lost", "full"}[d]
}

// Outcome is how a request that was run has ended, as far as its key is concerned.
type Outcome uint8

// The outcomes.
const (
	OutcomeNotRun        Outcome = iota // certainly not run: the key is free again
	OutcomeCompleted                    // its answer was complete
	OutcomeIndeterminate                // anything else: it may have run
)

// Result is what is known of how a request that was run has ended.
type Result struct {
	Complete         bool // its answer was complete, whether or not its client got all of it
	Refused          bool // the gateway refused it, or never began it
	RejectedByEngine bool
	MayHaveRun       bool // an attempt was sent that is not known to have been refused
}

// Outcome returns what that means for its key. When in doubt, the request may have run.
func (r Result) Outcome() Outcome {
	switch {
	case r.Complete:
		return OutcomeCompleted
	case r.Refused || r.RejectedByEngine || !r.MayHaveRun:
		return OutcomeNotRun
	}
	return OutcomeIndeterminate
}
