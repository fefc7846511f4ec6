package core

import (
	"time"

	"wellgw/routing"
)

// Request is a client's request as its front read it.
type Request struct {
	routing.Request        // the core fills in ID; TTL counts from Arrived
	ClientRequestID string // by which the client and the engines know it
	Arrived         time.Time
	Payload         Payload
}

// Payload is the part of a request that is forwarded to engines. The core does not read it.
type Payload struct {
	Method, Target        string
	Body                  []byte
	Header                [][2]string // of the client, forwarded to the engine
	Unary                 bool        // the answer is one body, not an event stream
	BufferUntilFirstToken bool        // events before the first token may be held back until it comes
}

// Verdict is the kind of final answer that a request gets.
type Verdict uint8

// The final answers.
const (
	Rejected         Verdict = iota // it had no effect or may be retried harmlessly
	Failed                          // it may have run
	DeadlineExceeded                // failed by the core itself: its deadline has passed, or the gateway shuts down
	Duplicate                       // never begun: a request with that id is in flight
	Streaming                       // the events of one attempt follow
)

// Answer is the one final answer to a request.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration        // with Rejected; 0 = none
	OverQuota  bool                 // with Rejected: the tenant's quota is spent
	Stream     Stream               // with Streaming; the front must call Ticket.Relay or Ticket.Finish
	Status     routing.Status       // otherwise: how the latest attempt ended
	Cause      error                // and why, as far as its engine reported
	Quota      *routing.QuotaStatus // of the tenant; nil without a quota
	MayHaveRun bool                 // an attempt was sent that is not known to have been rejected
}

// Front takes the one final answer to a request. Answer must not block.
type Front interface {
	Answer(Answer)
}

// Observer is notified of each request's final answer. It must not block.
type Observer interface {
	Answered(request Request, answer Answer, verdict string)
}

// Limits are the limits that the core itself enforces.
type Limits struct {
	DeadlineSlack    time.Duration          // after the deadline, within which an answer still counts
	HeldStateLimit   time.Duration          // longest that state may be held with no attempt in flight
	HeldStateSlack   time.Duration          // by which it may be exceeded, by hold-ups and the release's transit
	MaxAttempts      int                    // of one request
	IgnoresHeldState func(kind string) bool // engines of this kind serve requests on their own and fetch no state; nil: all fetch
}
