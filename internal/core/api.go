// Package core carries requests from a front to the engines that the routing policy names, and
// their outcomes back. It knows no protocol: fronts submit requests and take answers, a Transport
// makes attempts at engines and reports their results.
//
// One goroutine owns the router, the clock, the timers and the request table. All others reach it
// through one queue, and it never waits for I/O.
package core

import (
	"context"
	"errors"
	"sync/atomic"
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

// Traffic counts the requests of one class since the start.
type Traffic struct {
	Asked, Prompt                int // requests, and their prompt tokens
	Served, ServedPrompt, Output int // the same of completed requests; tokens of their answers
}

// Observer is notified of each request's final answer. It must not block.
type Observer interface {
	Answered(q Request, a Answer, verdict string)
}

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
	Written func()
	// ClientGone reports whether the client has disconnected. It is checked right before the first
	// byte is written; if so, nothing is written and the attempt ends as StatusNotSent.
	ClientGone func() bool
}

// Handle is an attempt under way.
type Handle interface {
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
	Alternates         []Endpoint
	AlternatesAfter    time.Duration // after which Alternates are tried
	AlternatesInterval time.Duration // from one alternate to the next
	Deadline           time.Time     // after which the release is given up
}

// ErrNoRelease is returned for a release at an engine whose kind holds no state.
var ErrNoRelease = errors.New("engines of this kind take no releases")

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
	// Reach checks whether an engine can be reached, with a new connection, as an idle one does not
	// show a network partition. An engine that refuses the connection counts as reached.
	Reach(at Endpoint, done func(reached bool))
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

// Limits are the limits that the core itself enforces.
type Limits struct {
	DeadlineSlack  time.Duration          // after the deadline, within which an answer still counts
	HeldStateLimit time.Duration          // longest that state may be held with no attempt in flight
	HeldStateSlack time.Duration          // by which it may be exceeded while a release is in transit
	ReachTimeout   time.Duration          // of Transport.Reach
	MaxAttempts    int                    // of one request
	ServesAlone    func(kind string) bool // engines of this kind serve requests on their own and fetch no state; nil: all fetch
}

// Submit hands a request to the core, which calls f.Answer exactly once unless Ticket.ClientGone is
// called first. The ticket identifies the request from then on.
func (c *Core) Submit(q Request, f Front) *Ticket {
	t := &Ticket{core: c}
	c.post(requestSubmitted{t, q, f})
	return t
}

// Ticket identifies a submitted request.
type Ticket struct {
	core    *Core
	request *requestState // owned by the core's goroutine
	gone    atomic.Bool   // the client has disconnected
}

// ClientGone reports that the client has disconnected before its answer. No attempt begins from
// then on, however long the core's queue is.
func (t *Ticket) ClientGone() {
	t.gone.Store(true)
	t.core.post(clientLeft{t})
}

// Finish reports how the stream of a Streaming answer ended. Relay calls it; a front that reads the
// stream by itself must call it once, after Stream.Close or the stream's end.
func (t *Ticket) Finish(r Result) { t.core.post(streamEnded{t, r}) }

// MayHaveRun reports whether an attempt was sent that is not known to have been rejected; true if
// the core has ended.
func (t *Ticket) MayHaveRun(ctx context.Context) bool {
	never := runQuery(ctx, t.core, func() bool { return t.request != nil && !t.request.mayHaveRun() })
	return !never
}

// Relay forwards a stream's events to write until it ends, and reports the end to the core. It
// returns nil only if the stream was forwarded completely. When ctx ends, the client has
// disconnected: the attempt is closed at once, even while no event comes.
func (t *Ticket) Relay(ctx context.Context, s Stream, write func([]byte) error) error {
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	defer s.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := s.Read(buf)
		if n > 0 {
			if werr := write(buf[:n]); werr != nil {
				s.Close()
				t.Finish(Result{Status: routing.StatusCancelled, Cause: werr})
				return werr
			}
		}
		if err == nil {
			continue
		}
		r := s.Result()
		if ctx.Err() != nil && r.Status != routing.StatusServed {
			r.Status = routing.StatusCancelled
		}
		t.Finish(r)
		if r.Status == routing.StatusServed {
			return nil
		}
		return err
	}
}
