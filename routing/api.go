// Package routing implements the routing decisions of one gateway in front of a disaggregated model
// service: which prefill engine processes a prompt, which decode engine streams the answer, and which
// requests are rejected.
//
// A Router receives events and returns actions. It does no I/O, reads no clock and starts no goroutines:
// its caller supplies the time and carries out the actions.
//
// This file defines the interface of the package: settings, events and actions.
package routing

import "time"

// Time is a point on the router's monotonic clock, as the duration since an arbitrary origin.
type Time = time.Duration

// RequestID identifies a request. The caller assigns it.
type RequestID uint32

// Role is the stage of a request that an engine kind serves.
type Role uint8

// The roles of an engine kind. Engines with RoleNone receive no requests.
const (
	RoleNone    Role = iota
	RolePrefill      // prefills prompts and holds the resulting state until a decode engine fetches it
	RoleDecode       // fetches held state and streams answers
	RoleMixed        // prefills, decodes, or does both for one request
)

// Effect states whether a request of a class may be executed more than once.
type Effect uint8

// The effects of a class.
const (
	EffectIdempotent   Effect = iota // may be executed any number of times
	EffectDeduplicated               // engines within DedupScope drop duplicates for DedupWindow
	EffectAtMostOnce                 // must not be executed twice
)

// DedupScope is the set of engines among which duplicates of an EffectDeduplicated request are dropped.
type DedupScope uint8

// The scopes of deduplication.
const (
	DedupAllEngines DedupScope = iota
	DedupZone
	DedupCell
)

// Class configures one class of requests.
type Class struct {
	Name                     string
	FirstTokenObjective      time.Duration // objective for the time to first token
	FirstTokenPerPromptToken time.Duration // added to FirstTokenObjective for each prompt token
	TokenIntervalObjective   time.Duration // objective for the time between tokens
	PriorityWeight           float64       // relative to the other classes
	Effect                   Effect
	DedupScope               DedupScope
	DedupWindow              time.Duration // how long engines drop duplicates of a request
}

// EngineKind configures one kind of engine.
type EngineKind struct {
	Name   string
	Role   Role
	Memory float64 // in tokens; 0 if unknown
}

// Tenant configures the quota of one tenant.
type Tenant struct {
	Name  string
	Quota float64 // requests per second, summed over all gateways
}

// QuotaStatus is the state of a tenant's quota, in requests.
type QuotaStatus struct {
	Burst     float64       // maximum number of requests in a burst
	Remaining float64       // requests left of Burst
	ResetIn   time.Duration // until Remaining reaches Burst without further requests
}

// Settings configures a Router.
type Settings struct {
	Zone     string
	Zones    []string
	Gateways int // number of gateways that share the engines; each runs one router
	Classes  []Class
	Kinds    []EngineKind
	Tenants  []Tenant

	OverQuotaWeight float64       // factor on the priority weight of requests above their tenant's quota
	MustSubscribe   bool          // the engine list is delivered only after Subscribe
	CanCancel       bool          // CancelAttempt is supported
	CanRetryAfter   bool          // Reject may set RetryAfter
	MaxRetryAfter   time.Duration // longest RetryAfter that clients honour
	MaxAttempts     int           // maximum number of attempts per request
	CanProbe        bool          // Probe is supported and its report contains the queue of the engine
	DecodePrefills  bool          // a decode engine prefills the prompt of a request without held state

	SlowStartPeriod   time.Duration // time after its start during which an engine is in slow start
	SlowStartCapacity float64       // capacity in slow start, as a fraction of the full capacity
	OverloadWindow    time.Duration // window over which the load of an engine in slow start is summed
	// OverloadMultiple is the load within OverloadWindow at which an engine in slow start fails, as a
	// multiple of its capacity in slow start.
	OverloadMultiple float64
	HeldStateLimit   time.Duration // maximum time that an engine may hold state while no attempt is in flight
	// MaxSendDelay is the maximum time from a Send to the arrival of the attempt at the engine. An attempt
	// that could arrive after the end of DedupWindow is not sent.
	MaxSendDelay time.Duration
	TickInterval time.Duration // minimum interval of timers
}

// Event is an input to a Router.
type Event interface{ isEvent() }

// Action is an output of a Router that its caller carries out.
type Action interface{ isAction() }

// Phase is the lifecycle state of an engine on the engine list.
type Phase uint8

// The phases of an engine.
const (
	PhaseActive Phase = iota
	PhaseDraining
	PhaseRemoved
)

// EngineInfo is the entry of an engine on the engine list.
type EngineInfo struct {
	Name, Kind, Zone string
	Cell             int
	Weight           float64 // capacity relative to other engines of its role
	StartTime        Time    // most recent start; 0 means that it is long past
	Phase            Phase
}

// EngineListScope is the extent of an EngineList event.
type EngineListScope uint8

// The scopes of an EngineList event.
const (
	EngineListDelta EngineListScope = iota
	EngineListSnapshot
	EngineListStale  // the complete list from the last successful update, possibly outdated
	EngineListFailed // the request to service discovery failed; no entries
)

// EngineList reports the engines from service discovery.
type EngineList struct {
	Scope   EngineListScope
	Engines []EngineInfo
}

// Request is the request of a client. It must get exactly one final answer.
type Request struct {
	ID           RequestID
	Class        string
	Tenant       string
	Session      string // "" = none
	Prefix       string // identifies a prompt prefix that several sessions share; "" = none
	PrefixLen    int    // tokens
	PromptTokens int
	MaxTokens    int           // upper bound on the tokens of the answer
	DurationHint time.Duration // estimated duration of the answer at TokenIntervalObjective; 0 = none
	TTL          time.Duration // time until the client's deadline
	Retry        bool          // marked by the client as a retry
	Reconnect    bool          // resumes an interrupted or migrated stream
}

// LoadReport is a load report of an engine. Nil fields were not reported.
type LoadReport struct {
	Latency       *time.Duration // recent service time
	MemoryUsed    *float64       // fraction of memory in use
	WaitingTokens *float64       // prompt tokens that wait for prefill, or whose state waits for a decode engine
	QueueLength   *float64       // waiting requests
	Utilization   *float64       // fraction of slots in use
}

// Status is the result of an attempt or probe.
type Status uint8

// The statuses of an Outcome.
const (
	StatusServed        Status = iota
	StatusPrefilled            // prefill completed; the prefill engine holds the state
	StatusError                // failed by the engine; it may have been executed
	StatusRejected             // rejected by the engine; it was not executed
	StatusTimeout              // no answer within the timeout; it may have been executed
	StatusConnectFailed        // no connection; it was not executed
	StatusReset                // the connection was closed or reset; it may have been executed
	StatusCancelled            // cancelled by the gateway; it may have been executed
	StatusNotSent              // not sent
)

// Outcome reports the end of an attempt.
type Outcome struct {
	ID           RequestID
	Attempt      int
	Engine       string
	Status       Status
	Latency      time.Duration
	Final        bool // the client has received its final answer
	CachedTokens int  // prompt tokens found in the prefix cache, for StatusPrefilled and StatusServed
	StateMissing bool // for StatusRejected: the prefill engine no longer had the state
	Report       *LoadReport
}

// FirstToken reports the first token of an attempt's answer.
type FirstToken struct {
	ID      RequestID
	Attempt int
	Engine  string
	Latency time.Duration
}

// ClientGone reports that the client has disconnected or that its deadline has passed.
type ClientGone struct{ ID RequestID }

// GatewaysChanged reports a new number of gateways that share the engines.
type GatewaysChanged struct{ Gateways int }

// ShuttingDown reports that the gateway is shutting down: the router starts no attempts and rejects new
// requests. Requests in flight at a decode engine may be answered soon and are abandoned only if Final is
// set.
type ShuttingDown struct{ Final bool }

// TimerFired reports that a timer has expired.
type TimerFired struct{ Name string }

// ProbeResult reports the result of a Probe.
type ProbeResult struct {
	Engine  string
	Status  Status
	Latency time.Duration
	Report  *LoadReport
}

// ReservationResult reports whether a decode slot was reserved before a prefill.
type ReservationResult struct {
	ID      RequestID
	Granted bool
}

// PeerMessage is a message from another router.
type PeerMessage struct {
	From    int
	Payload []byte
}

func (EngineList) isEvent()        {}
func (Request) isEvent()           {}
func (Outcome) isEvent()           {}
func (FirstToken) isEvent()        {}
func (ClientGone) isEvent()        {}
func (GatewaysChanged) isEvent()   {}
func (ShuttingDown) isEvent()      {}
func (TimerFired) isEvent()        {}
func (ProbeResult) isEvent()       {}
func (ReservationResult) isEvent() {}
func (PeerMessage) isEvent()       {}

// Send starts an attempt at an engine. With a Timeout of 0 only the client's deadline bounds it.
type Send struct {
	ID      RequestID
	Engine  string
	Timeout time.Duration
}

// Reject is a final answer: the request had no effect or is safe to retry.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // 0 = none
	OverQuota  bool          // the tenant has exhausted its quota
}

// Fail is a final answer for a request that may have been executed.
type Fail struct{ ID RequestID }

// CancelAttempt cancels an attempt in flight.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// Release releases the state that engines hold for a request and that no attempt is going to fetch.
type Release struct{ ID RequestID }

// SetTimer requests a TimerFired event.
type SetTimer struct {
	After time.Duration
	Name  string
}

// Probe requests a LoadReport from an engine.
type Probe struct{ Engine string }

// Subscribe requests updates of the engine list from service discovery.
type Subscribe struct{}

func (Send) isAction()          {}
func (Reject) isAction()        {}
func (Fail) isAction()          {}
func (CancelAttempt) isAction() {}
func (Release) isAction()       {}
func (SetTimer) isAction()      {}
func (Probe) isAction()         {}
func (Subscribe) isAction()     {}
