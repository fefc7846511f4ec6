package core

import (
	"errors"
	"time"

	"wellgw/decide/heldstate"
	"wellgw/routing"
)

// Stream is the answer of an attempt from its first event on.
type Stream interface {
	// Read returns events as they come, io.EOF after the last chunk only.
	Read(p []byte) (int, error)
	// Result returns how the attempt ended; it is valid once Read has returned an error.
	Result() Result
	// Close abandons the rest. It may be called at any time, and more than once.
	Close() error
}

// Result is how an attempt ended at its engine.
type Result struct {
	Status       routing.Status
	CachedTokens int  // prompt tokens found in the prefix cache
	OutputTokens int  // of the answer; 0 if the engine did not report them
	StateMissing bool // with StatusRejected: there was no state to fetch
	Report       *routing.LoadReport
	Cause        error // for the log
}

// Attempt is one attempt of a request at one engine.
type Attempt struct {
	ClientRequestID string
	Number          int
	Endpoint        Endpoint
	Timeout         time.Duration // for which the gateway waits
	Payload         Payload
	// Connected is called once there is a connection and before anything is written to
	// it, which waits for its return; nil for nothing to wait for.
	Connected func()
	// Written is called once the last byte has been written.
	Written func(WriteRecord)
	// ClientGone reports whether the client has disconnected. It is checked right before the first
	// byte is written; if so, nothing is written and the attempt ends as StatusNotSent.
	ClientGone func() bool
}

// WriteRecord tells which connection a request was written to, and when its last byte was.
type WriteRecord struct {
	Connection heldstate.ConnectionNumber
	At         time.Time
}

// FirstByte tells on which connection an engine's answer to an attempt began to arrive, and when.
type FirstByte struct {
	Connection heldstate.ConnectionNumber
	At         time.Time
}

// Handle is an attempt under way.
type Handle interface {
	// FirstByte returns when the first byte arrived on the attempt's own connection after the
	// attempt was written; false while none has. It may be called at any time, also after the end.
	FirstByte() (FirstByte, bool)

	// Cancel abandons the attempt and closes its connection at once. It may be called more than once.
	Cancel()
	// Withdraw does the same if nothing has been written yet, and reports whether that is so;
	// otherwise it does nothing.
	Withdraw() bool
}

// Release is the request to an engine to release all state that it holds for a client's request.
type Release struct {
	Endpoint        Endpoint
	ClientRequestID string
	// Alternates are other engines to notify while Endpoint is out of reach: by the platform's
	// protocol any engine takes a release and passes it to the engine that holds the state.
	Alternates        []Endpoint
	AlternateDelay    time.Duration // after which Alternates are tried
	AlternateInterval time.Duration // from one alternate to the next
	Deadline          time.Time     // after which the release is given up
}

// ErrReleaseUnsupported is returned for a release at an engine whose kind holds no state.
var ErrReleaseUnsupported = errors.New("engines of this kind take no releases")

// Transport makes attempts at engines. No method blocks; results are reported later, from another
// goroutine.
type Transport interface {
	// Start sends the request. One of first and ended is called once: first when
	// events begin to come, ended when the attempt is over without any.
	Start(a Attempt, first func(Stream), ended func(Result)) Handle
	// Release has an engine release held state, with retries until it has answered, the deadline
	// has passed or stop is called. done is called once, with nil if the engine answered, and with
	// ErrNoRelease if engines of its kind hold no state.
	Release(r Release, done func(error)) (stop func())
	// Probe requests a load report from an engine.
	Probe(at Endpoint, done func(routing.Status, *routing.LoadReport))
}

// Directory provides the list of engines, through Core.UpdateEndpoints.
type Directory interface {
	// Subscribe asks for changes from now on, where they are delivered only on request.
	Subscribe()
}

// Endpoint is an engine as a directory lists it.
type Endpoint struct {
	routing.EngineInfo
	Addr      string
	StartedAt time.Time // last start; zero means long ago
}
