package soak

import (
	"sync"
	"time"
)

// Book is what the checker goes by: what clients, engines and the operators' side saw, on one clock.
type Observations struct {
	mu                 sync.Mutex
	start              time.Time
	Requests           []*Request
	Conns              []*Connection
	Attempts           []*Attempt
	HeldStates         []*HeldState
	DrainNotices       []DrainNotice
	Processes          []*ProcessRecord
	Drains             []*Drain
	IncompleteRequests []IncompleteRequest
	DescriptorLeaks    []DescriptorLeak
	Ejections          []*Ejection
}

func newObservations() *Observations { return &Observations{start: time.Now()} }

// now is the time on the book's clock.
func (b *Observations) now() time.Duration { return time.Since(b.start) }

func (b *Observations) locked(do func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	do()
}

// Never is later than anything.
const Never = time.Duration(1<<63 - 1)

// Request is one request as its client saw it.
type Request struct {
	ID           string
	Gateway      int
	Sent         time.Duration // its last byte
	Deadline     time.Duration // as told to the gateway
	ClientClosed time.Duration // the client closed its connection; Never
	FirstByte    time.Duration // first byte of the answer; Never
	Ended        time.Duration // last byte of the answer, or the connection's end; Never
	Status       int           // 0 for none
	Complete     bool          // the answer came to its end
	LateEvents   int           // events that came too late
	Conn         *Connection
}

// Connection is a client's connection as its client saw it.
type Connection struct {
	Gateway int
	Opened  time.Duration
	Closed  time.Duration // the client saw its end, or ended it; Never
}

// Attempt is one attempt as its engine saw it.
type Attempt struct {
	ID            string
	Engine        int
	Decode        bool
	FirstByte     time.Duration // first byte
	LastByte      time.Duration // last byte
	Deadline      time.Duration // as the engine was told
	Ran           bool          // a decode engine began to answer
	FaultInjected bool          // the engine hung or broke it
	Ended         time.Duration // Never while it runs
}

// State is a read state that an engine holds.
type HeldState struct {
	ID    string
	From  time.Duration
	Until time.Duration // fetched or released; Never

	AnswerLost bool // on its way to the gateway, whose attempt is out until it gives it up
}

// Span is a stretch of time.
type Span struct{ From, To time.Duration }

// Told is when discovery told a gateway that an engine drains.
type DrainNotice struct {
	Gateway, Engine int
	At              time.Duration // written to the gateway
	Since           time.Duration // discovery had it
	Until           time.Duration // it was told to be back; Never
}

// Life is one process of a gateway.
type ProcessRecord struct {
	Gateway     int
	Started     time.Duration
	Ready       time.Duration // Never
	Terminated  time.Duration // SIGTERM; Never
	Killed      time.Duration // SIGKILL; Never
	Ended       time.Duration // Never
	CrashReason string        // how it ended by itself, where it should not have
	Stops       []Span        // SIGSTOP to SIGCONT
}

// Drain is a drain by call.
type Drain struct {
	Gateway           int
	At                time.Duration // the call was answered
	Until             time.Duration // `active`, or the end of the process; Never
	HealthyInDrain    time.Duration // first yes after the drain's 4 s; Never
	ActiveAt          time.Duration // `active` was answered with yes; Never
	HealthyAfter      time.Duration // first yes after that; Never
	DrainInterrupted  bool          // something else was done to the process before the drain was judged
	ActiveInterrupted bool          // the same, before the return was
}

// Hostile is a client that stopped in the middle of a request and stayed.
type IncompleteRequest struct {
	Gateway int
	Since   time.Duration
	Ended   time.Duration // answered or closed; Never
}

// Open is a process with more descriptors open after its traffic than before.
type DescriptorLeak struct {
	Gateway       int
	At            time.Duration
	Before, After int
}

// Ejection is an engine that operators took out at one gateway.
type Ejection struct {
	Gateway, Engine int
	At              time.Duration // from when on nothing new may go there, but for the grace
	Until           time.Duration // the call back or, where the call out was told no, the end of the process; Never
}
