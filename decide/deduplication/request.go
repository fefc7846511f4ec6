package deduplication

import "time"

// Key identifies a request within its team.
type Key struct{ Team, Name string }

// State is the known state of the request that ran with a key. Its numeric values are stored on disk.
type State uint8

// The states.
const (
	StateRunning  State = iota
	StateComplete       // its answer was complete
	StateUnknown        // it may or may not have run
)

func (s State) String() string { return [...]string{"running", "complete", "unknown"}[s] }

// Entry is the record of a key. Its answer must not be modified.
type Entry struct {
	Key         Key
	Digest      string // digest of the request's path and body
	State       State
	Since       time.Time // start of State
	RequestID   string    // ID of the request that ran
	ContentType string    // content type of the answer
	Answer      []byte    // nil if it is not stored
}

// Request is a request with an idempotency key.
type Request struct {
	Key        Key
	Digest     string
	RequestID  string
	RetryCount int // number of earlier attempts, as reported by the client
	// MayHaveRunOnOtherGateway: earlier attempts may have reached another gateway, which stores its own keys.
	MayHaveRunOnOtherGateway bool
}

// Decision is the action to take for a request.
type Decision uint8

// The decisions.
const (
	Run                 Decision = iota // run the request, and report its outcome to End
	InProgress                          // an earlier request with the key is still running
	Replay                              // send the stored answer
	AnswerUnavailable                   // an earlier request has completed, and its answer is not stored
	KeyReused                           // the key was used with a different request
	PriorOutcomeUnknown                 // an earlier attempt may have run
	CapacityExceeded                    // no further entry can be stored: the request must not run
)

// String returns the decision as shown in counts and metrics.
func (d Decision) String() string {
	return [...]string{"run", "under way", "replay", "not kept", "reused", "lost", "full"}[d]
}

// Outcome is the outcome of a request that was run, as far as it concerns the key.
type Outcome uint8

// The outcomes.
const (
	OutcomeNotRun        Outcome = iota // certainly not run: the key can be used again
	OutcomeCompleted                    // its answer was complete
	OutcomeIndeterminate                // any other outcome: it may have run
)

// Result describes how a request that was run has ended.
type Result struct {
	Complete         bool // its answer was complete, even if its client did not receive all of it
	Refused          bool // the gateway refused it or never started it
	RejectedByEngine bool
	MayHaveRun       bool // an attempt was sent, and no refusal of it is known
}

// Outcome returns the outcome for the key. Without evidence to the contrary, the request may have run.
func (r Result) Outcome() Outcome {
	switch {
	case r.Complete:
		return OutcomeCompleted
	case r.Refused || r.RejectedByEngine || !r.MayHaveRun:
		return OutcomeNotRun
	}
	return OutcomeIndeterminate
}
