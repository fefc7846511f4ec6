package core

import (
	"time"

	"wellgw/routing"
)

// Request is a client's request as parsed by its front.
type Request struct {
	routing.Request        // the core sets ID; TTL counts from Arrived
	ClientRequestID string // the id that the client and the engines use
	Arrived         time.Time
	Payload         Payload
	// ClientLeft reports whether the client has disconnected, as far as its connection shows at that moment.
	// It must not block. nil if only the context of the request shows that.
	ClientLeft func() bool
}

// Payload is the part of a request that is forwarded to engines. The core does not interpret it.
type Payload struct {
	Method, Target        string
	Body                  []byte
	Header                [][2]string // of the client's request
	Unary                 bool        // the response is one body, not an event stream
	BufferUntilFirstToken bool        // events before the first token may be buffered until it arrives
	// EventTimeout is how long a stream may take for an event after the first; 0 for the transport's limit.
	EventTimeout time.Duration
}

// Verdict is the kind of final answer that a request gets.
type Verdict uint8

// The final answers.
const (
	Rejected         Verdict = iota // the request had no effect, or a retry is safe
	Failed                          // the request may have run
	DeadlineExceeded                // failed by the core: the deadline has passed, or the gateway shuts down
	Duplicate                       // not started: a request with the same client request id is in flight
	Streaming                       // the events of one attempt follow
)

// Answer is the final answer to a request; there is exactly one.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration        // with Rejected; 0 = none
	OverQuota  bool                 // with Rejected: the tenant's quota is exhausted
	Stream     Stream               // with Streaming; the front must call Ticket.Relay or Ticket.Finish
	Status     routing.Status       // with the other verdicts: status of the latest attempt
	Cause      error                // cause of Status, if the engine reported one
	Quota      *routing.QuotaStatus // of the tenant; nil without a quota
	MayHaveRun bool                 // an attempt was sent that is not known to have been rejected
	Sent       bool                 // a part of an attempt may have been written
}

// Front receives the final answer to a request. Answer must not block.
type Front interface {
	Answer(Answer)
}

// Observer is notified of each request's final answer. It must not block.
type Observer interface {
	Answered(request Request, answer Answer, verdict string)
}

// Limits are the limits that the core enforces.
type Limits struct {
	// DeadlineSlack is how long after its deadline an answer is still in time.
	DeadlineSlack time.Duration
	// HeldStateLimit is the max time for which state may be held with no attempt in flight.
	HeldStateLimit time.Duration
	// HeldStateSlack is by how much HeldStateLimit may be exceeded because of stalls of the process and the
	// transit of a release.
	HeldStateSlack time.Duration
	// MaxAttempts is the max number of attempts per request.
	MaxAttempts int
	// IgnoresHeldState reports whether engines of a kind prefill and decode by themselves and fetch no held
	// state; nil if engines of all kinds fetch it.
	IgnoresHeldState func(kind string) bool
}
