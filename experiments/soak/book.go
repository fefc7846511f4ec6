package soak

import (
	"sync"
	"time"
)

// Observations is the input of the checker: what clients, engines and operators observed, on one clock.
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

// now returns the time since the start of the observations.
func (b *Observations) now() time.Duration { return time.Since(b.start) }

func (b *Observations) locked(do func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	do()
}

// Never marks an event that did not happen; it sorts after every time.
const Never = time.Duration(1<<63 - 1)

// Request is one request as its client observed it. Its times are Never for an event that did not happen.
type Request struct {
	ID           string
	Gateway      int
	Sent         time.Duration // last byte written
	Deadline     time.Duration // as sent to the gateway
	ClientClosed time.Duration // the client closed its connection
	FirstByte    time.Duration // first byte of the answer
	Ended        time.Duration // last byte of the answer, or the end of the connection
	Status       int           // 0 without an answer
	Complete     bool          // the answer was read to its end
	LateEvents   int           // events that exceeded the event limit
	Conn         *Connection
}

// Connection is one client connection as its client observed it.
type Connection struct {
	Gateway int
	Opened  time.Duration
	Closed  time.Duration // either end closed it; Never while open
}

// Attempt is one attempt as its engine observed it.
type Attempt struct {
	ID            string
	Engine        int
	Decode        bool
	FirstByte     time.Duration // arrival of the first byte
	LastByte      time.Duration // arrival of the last byte
	Deadline      time.Duration // as sent to the engine
	Ran           bool          // a decode engine started to answer
	FaultInjected bool          // the engine hung, or closed the connection, on purpose
	Ended         time.Duration // Never while it runs
}

// HeldState is the held state of one prefill request at an engine.
type HeldState struct {
	ID    string
	From  time.Duration
	Until time.Duration // fetched or released; otherwise Never

	AnswerLost bool // the prefill answer was lost; the gateway's attempt is in flight until it is abandoned
}

// Span is a time interval.
type Span struct{ From, To time.Duration }

// DrainNotice is the time at which discovery informed a gateway that an engine drains.
type DrainNotice struct {
	Gateway, Engine int
	At              time.Duration // written to the gateway
	Since           time.Duration // discovery had the change
	Until           time.Duration // discovery listed the engine as active again; otherwise Never
}

// ProcessRecord is one process of a gateway. Its times are Never for an event that did not happen.
type ProcessRecord struct {
	Gateway     int
	Started     time.Duration
	Ready       time.Duration // first successful health check
	Terminated  time.Duration // SIGTERM
	Killed      time.Duration // SIGKILL
	Ended       time.Duration // exit of the process
	CrashReason string        // why the process exited although nothing stopped it
	Stops       []Span        // SIGSTOP to SIGCONT
}

// Drain is one drain by an operator's command. Its times are Never for an event that did not happen.
type Drain struct {
	Gateway           int
	At                time.Duration // the command was answered
	Until             time.Duration // `active`, or the end of the process; otherwise Never
	HealthyInDrain    time.Duration // first health check that succeeds after the drain's first 4 s
	ActiveAt          time.Duration // `active` was answered with YES; otherwise Never
	HealthyAfter      time.Duration // first successful health check after ActiveAt; otherwise Never
	DrainInterrupted  bool          // another step came before the drain was checked
	ActiveInterrupted bool          // the same, before the return to service was checked
}

// IncompleteRequest is a request whose client sent only part of it and kept the connection open.
type IncompleteRequest struct {
	Gateway int
	Since   time.Duration
	Ended   time.Duration // answered or closed; otherwise Never
}

// DescriptorLeak is a process with more open descriptors after its traffic than before.
type DescriptorLeak struct {
	Gateway       int
	At            time.Duration
	Before, After int
}

// Ejection is a manual ejection of an engine at one gateway.
type Ejection struct {
	Gateway, Engine int
	At              time.Duration // new attempts are allowed until the drain grace after it
	Until           time.Duration // readmission, or exit of a process that refused the ejection; otherwise Never
}
