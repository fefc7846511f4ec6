// Package core carries requests from a front to the engines that the decision
// module names, and their outcomes back. It knows no wire: fronts hand it
// requests and take answers, engines make attempts and report how they went.
//
// One goroutine owns the module, the clock, the timers and the table of
// requests. All others reach it through one queue, and it never waits for I/O.
package core

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"wellgw/routing"
)

// Request is what a front has taken from a client.
type Request struct {
	routing.Request        // the core fills in ID; TTL counts from Arrived
	ClientRequestID string // the id by which client and engines know it
	Arrived         time.Time
	Payload         Payload
}

// Payload is what the engines get to see of a request. The core only passes it on.
type Payload struct {
	Method, Target        string
	Body                  []byte
	Header                [][2]string // of the client's own, for its engine
	Unary                 bool        // the answer is one body, not a stream of events
	BufferUntilFirstToken bool        // events before the first token may be held back until it comes
}

// Verdict says which final answer a request gets.
type Verdict uint8

// The final answers.
const (
	Rejected         Verdict = iota // not done, and trying again is harmless
	Failed                          // nothing is promised
	DeadlineExceeded                // failed by the core itself: the deadline has passed, or the gateway ends
	Duplicate                       // never begun: a request of that id is in hand
	Streaming                       // the events of one attempt follow
)

// Answer is the one final answer to a request.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration        // with Refused: when to come back; 0 = no advice
	OverQuota  bool                 // with Refused: the tenant's budget is spent
	Stream     Stream               // with Serving; the front must call Ticket.Relay or Ticket.Finish
	Status     routing.Status       // else how the latest attempt ended
	Cause      error                // and why, as far as its engine said
	Quota      *routing.QuotaStatus // of the tenant with its quota; nil without one
	MayHaveRun bool                 // an attempt has been out that is not known to have been turned away
}

// Front takes the one final answer to a request. Answer must not block.
type Front interface {
	Answer(Answer)
}

// Traffic is what has been asked and served of one class since the start.
type Traffic struct {
	Asked, Prompt                int // requests, and prompt tokens of these
	Served, ServedPrompt, Output int // the same of those that were served whole; tokens of their answers
}

// Observer is told of each request's one final answer. It must not block.
type Observer interface {
	Answered(q Request, a Answer, verdict string)
}

// Stream is an attempt's answer from its first event on.
type Stream interface {
	// Read returns events as they come, io.EOF after the last chunk only.
	Read(p []byte) (int, error)
	// Result tells what the stream said of itself; it is valid once Read has
	// returned an error.
	Result() Result
	// Close gives the rest up. It may be called at any time, and twice.
	Close() error
}

// Result is how an attempt ended at its engine.
type Result struct {
	Status       routing.Status
	CachedTokens int  // prompt tokens found kept
	OutputTokens int  // tokens of the answer, if the engine said so
	StateMissing bool // with StatusFull: there was no state to fetch
	Report       *routing.LoadReport
	Cause        error // for the log
}

// Attempt is one try at one engine.
type Attempt struct {
	ClientRequestID string
	Number          int
	Endpoint        Endpoint
	Timeout         time.Duration // how long the gateway will wait
	Payload         Payload
	// Connected is called once there is a connection and before anything is written to
	// it, which waits for its return; nil for nothing to wait for.
	Connected func()
	// Written is called once the last byte has been written.
	Written func()
	// ClientGone tells whether the client has gone. It is asked right before the first byte is
	// written; then nothing is, and the attempt ends as unsent.
	ClientGone func() bool
}

// Handle is an attempt under way.
type Handle interface {
	// Cancel gives the attempt up and closes its connection at once. It may be called twice.
	Cancel()
	// Withdraw does the same if nothing has been written yet, and tells whether that is so;
	// otherwise it does nothing.
	Withdraw() bool
}

// Release is what an engine is to be told: to let go of all that it holds for a request.
type Release struct {
	Endpoint        Endpoint
	ClientRequestID string
	// Alternates are engines to be told as long as At is not: by the platform's protocol any
	// engine takes a release and lets go at whatever engine the state is held.
	Alternates         []Endpoint
	AlternatesAfter    time.Duration // from now on
	AlternatesInterval time.Duration // from one that was told to the next
	Deadline           time.Time     // when it is to be given up
}

// ErrNoRelease is how a release ends at an engine whose kind takes none: it holds nothing.
var ErrNoRelease = errors.New("engines of this kind take no releases")

// Transport makes attempts. No method blocks; what comes of a call is told later,
// from another goroutine.
type Transport interface {
	// Start sends the request. One of first and ended is called once: first when
	// events begin to come, ended when the attempt is over without any.
	Start(a Attempt, first func(Stream), ended func(Result)) Handle
	// Release tells an engine to let go, trying again until it has been told, the time is
	// over or stop is called. done is called once, with nil if the engine was told, and with
	// ErrNoRelease if engines of its kind hold nothing.
	Release(r Release, done func(error)) (stop func())
	// Reach finds out whether an engine is reached: by a connection of its own, as an idle one
	// does not show a cut. One that refuses it is.
	Reach(at Endpoint, done func(reached bool))
	// Probe asks an engine for its load.
	Probe(at Endpoint, done func(routing.Status, *routing.LoadReport))
}

// Directory tells the core which engines there are, through Core.Roster.
type Directory interface {
	// Subscribe asks for changes from now on, where they come only on request.
	Subscribe()
}

// Endpoint is an engine as a directory knows it.
type Endpoint struct {
	routing.EngineInfo
	Addr      string
	StartedAt time.Time // last start; zero means long ago
}

// Limits are what the core itself needs of the settings.
type Limits struct {
	DeadlineSlack  time.Duration          // past the deadline an answer still counts for this long
	HeldStateLimit time.Duration          // longest a state may be held with no attempt out
	HeldStateSlack time.Duration          // and by how much it may be passed while a release arrives
	ReachTimeout   time.Duration          // how long Engine.Reach takes at most
	MaxAttempts    int                    // attempts for one request
	ServesAlone    func(kind string) bool // engines of a kind serve whole requests and fetch no state; nil: all fetch
}

// Submit hands a request to the core, which will call f.Answer exactly once
// unless Gone is said first. The ticket names the request from then on.
func (c *Core) Submit(q Request, f Front) *Ticket {
	t := &Ticket{core: c}
	c.post(func() { c.submit(t, q, f) })
	return t
}

// Ticket names a request that the core has taken.
type Ticket struct {
	core    *Core
	request *request    // owned by the core's goroutine
	left    atomic.Bool // the client has gone
}

// ClientGone tells that the client has left before its answer. No attempt is begun from then on,
// however long the core's queue is.
func (t *Ticket) ClientGone() {
	t.left.Store(true)
	t.core.post(func() { t.core.gone(t.request) })
}

// Finish tells how the stream of a Serving answer ended. Relay calls it; a front that
// reads the stream otherwise must call it once, after Stream.Close or the stream's end.
func (t *Ticket) Finish(r Result) { t.core.post(func() { t.core.streamEnded(t.request, r) }) }

// MayHaveRun tells whether an attempt has been out that is not known to have been turned away;
// true if the core has ended.
func (t *Ticket) MayHaveRun(ctx context.Context) bool {
	never := query(ctx, t.core, func() bool { return t.request != nil && !t.request.mayRun() })
	return !never
}

// Relay passes a stream's events to write until it ends, and tells the core how.
// It returns nil only if the whole stream was passed on. When ctx ends, the
// client has gone: the attempt is closed at once, though no event may come.
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
