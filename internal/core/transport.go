package core

import (
	"errors"
	"time"

	"wellgw/decide/heldstate"
	"wellgw/routing"
)

// Stream is the event stream of an attempt's answer.
type Stream interface {
	// Read returns events as they arrive. It returns io.EOF only after the last chunk.
	Read(p []byte) (int, error)
	// Result returns how the attempt ended; it is valid once Read has returned an error.
	Result() Result
	// Close stops reading and closes the attempt. It may be called at any time, and more than once.
	Close() error
}

// Result is how an attempt ended at its engine.
type Result struct {
	Status       routing.Status
	CachedTokens int  // prompt tokens found in the prefix cache
	OutputTokens int  // generated for the answer; 0 if the engine did not report them
	StateMissing bool // with StatusRejected: the engine found no state to fetch
	Report       *routing.LoadReport
	Cause        error // for the log
}

// Attempt is one attempt of a request at one engine.
type Attempt struct {
	ClientRequestID string
	Number          int
	Endpoint        Endpoint
	Timeout         time.Duration // for which the gateway waits for the answer
	Payload         Payload
	// Connected is called after the connection is established. The attempt is written only after it
	// has returned. nil if the attempt may be written immediately.
	Connected func()
	// Written is called after the last byte has been written.
	Written func(WriteRecord)
	// ClientGone reports whether the client has disconnected. It is checked right before the first
	// byte is written; if it returns true, nothing is written and the attempt ends with StatusNotSent.
	ClientGone func() bool
}

// WriteRecord records which connection an attempt was written to, and when its last byte was written.
type WriteRecord struct {
	Connection heldstate.ConnectionNumber
	At         time.Time
}

// FirstByte records on which connection an engine's answer to an attempt began to arrive, and when.
type FirstByte struct {
	Connection heldstate.ConnectionNumber
	At         time.Time
}

// Handle controls a started attempt.
type Handle interface {
	// FirstByte returns when the first byte arrived on the attempt's own connection after the attempt
	// was written; false if none has arrived. It may be called at any time, also after the attempt's end.
	FirstByte() (FirstByte, bool)

	// Cancel abandons the attempt and closes its connection immediately. It may be called more than once.
	Cancel()
	// Withdraw cancels the attempt if nothing of it has been written yet, and reports whether it did.
	Withdraw() bool
}

// Release is a request to an engine to release all state that it holds for a client's request.
type Release struct {
	Endpoint        Endpoint
	ClientRequestID string
	// Alternates are other engines to send the release to while Endpoint is unreachable: by the
	// platform's protocol any engine accepts a release and relays it to the engine that holds the state.
	Alternates        []Endpoint
	AlternateDelay    time.Duration // before the first of Alternates is tried
	AlternateInterval time.Duration // between two alternates
	Deadline          time.Time     // when the release ends as failed
}

// ErrReleaseUnsupported is the result of a release at an engine whose kind holds no state.
var ErrReleaseUnsupported = errors.New("engines of this kind do not support releases")

// Transport makes attempts at engines. No method blocks; results are reported asynchronously from
// another goroutine.
type Transport interface {
	// Start sends an attempt. Exactly one of first and ended is called, once: first when the first event
	// arrives, ended when the attempt ends without any event.
	Start(a Attempt, first func(Stream), ended func(Result)) Handle
	// Release sends an engine a release, with retries until the engine has answered, the deadline has
	// passed or stop is called. done is called once, with nil if the engine answered, and with
	// ErrReleaseUnsupported if engines of its kind hold no state.
	Release(r Release, done func(error)) (stop func())
	// Probe requests a load report from an engine.
	Probe(at Endpoint, done func(routing.Status, *routing.LoadReport))
}

// Directory provides the list of engines, through Core.UpdateEndpoints.
type Directory interface {
	// Subscribe requests delivery of changes, for directories that deliver them only to subscribers.
	Subscribe()
}

// Endpoint is an engine as a directory lists it.
type Endpoint struct {
	routing.EngineInfo
	Addr      string
	StartedAt time.Time // when the engine last started; zero means long ago
}
