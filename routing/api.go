// Package routing decides, for one gateway of a two-stage model service, which prefill engine
// reads a prompt, which decode engine streams the answer, and which requests are rejected.
//
// A Router takes events and returns actions. It does no I/O, reads no clock and starts nothing:
// the caller owns it, supplies the time and carries the actions out.
//
// This file is the whole interface: settings, events and actions.
package routing

import "time"

// Time is a point on the router's monotonic clock, as the duration since an arbitrary origin.
type Time = time.Duration

// RequestID names a request; the caller chooses it.
type RequestID uint32

// Role says what a kind of engine does.
type Role uint8

// The roles of an engine kind. A kind with RoleNone is never sent to.
const (
	RoleNone    Role = iota
	RolePrefill      // reads prompts and keeps the read state until it is fetched
	RoleDecode       // fetches read states and streams answers
	RoleMixed        // does either, or serves a request on its own
)

// Effect says what running a request of a class twice may do.
type Effect uint8

// The effects a class may have.
const (
	EffectIdempotent   Effect = iota // may be retried at will
	EffectDeduplicated               // engines drop duplicates within DedupScope and DedupWindow
	EffectAtMostOnce                 // must not run twice
)

// DedupScope is the set of engines among which duplicates of an EffectDeduplicated request are dropped.
type DedupScope uint8

// The scopes of deduplication.
const (
	DedupAllEngines DedupScope = iota
	DedupZone
	DedupCell
)

// Class describes one class of requests.
type Class struct {
	Name                     string
	FirstTokenObjective      time.Duration // time to first token for full credit
	FirstTokenPerPromptToken time.Duration // added to FirstTokenObjective for each prompt token
	TokenIntervalObjective   time.Duration // objective for the interval between tokens
	PriorityWeight           float64       // of one request against those of other classes
	Effect                   Effect
	DedupScope               DedupScope
	DedupWindow              time.Duration // how long engines remember a request to drop its duplicates
}

// EngineKind describes one kind of engine.
type EngineKind struct {
	Name   string
	Role   Role
	Memory float64 // tokens; 0 when not told
}

// Tenant describes a customer's quota.
type Tenant struct {
	Name  string
	Quota float64 // requests per second, over all gateways
}

// QuotaStatus is how a tenant stands with its quota, in requests.
type QuotaStatus struct {
	Burst     float64       // requests that may come at once
	Remaining float64       // of Burst
	ResetIn   time.Duration // until Remaining equals Burst again
}

// Settings are the parameters of a router.
type Settings struct {
	Zone     string
	Zones    []string
	Gateways int // how many gateways share the engines, each with a router
	Classes  []Class
	Kinds    []EngineKind
	Tenants  []Tenant

	OverQuotaWeight float64       // priority weight of traffic above a quota, as a fraction
	MustSubscribe   bool          // the engine list is delivered only on request
	CanCancel       bool          // CancelAttempt is allowed
	CanRetryAfter   bool          // Reject may carry a Retry-After
	MaxRetryAfter   time.Duration // longest Retry-After that clients honour
	MaxAttempts     int           // attempts per request
	CanProbe        bool          // Probe is allowed, and its report tells an engine's queue
	DecodePrefills  bool          // a decode engine that gets a request with no state reads its prompt itself

	SlowStartPeriod   time.Duration // an engine is warm this long after its start
	SlowStartCapacity float64       // of an engine that has just started, as a fraction of its full capacity
	OverloadWindow    time.Duration // over which the load of an engine in slow start is counted
	// OverloadMultiple is how many times its present capacity, within OverloadWindow, makes such an
	// engine fail.
	OverloadMultiple float64
	HeldStateLimit   time.Duration // longest that an engine may hold state with no attempt in flight
	// MaxSendDelay is the longest from a Send to its arrival at the engine. It bounds sends near the
	// end of DedupWindow.
	MaxSendDelay time.Duration
	TickInterval time.Duration // shortest interval between events
}

// Event is an input of a Router.
type Event interface{ isEvent() }

// Action is an output of a Router, to be carried out by its caller.
type Action interface{ isAction() }

// Phase is an engine's state on the engine list.
type Phase uint8

// The phases of an engine.
const (
	PhaseActive Phase = iota
	PhaseDraining
	PhaseRemoved
)

// EngineInfo is an engine's entry on the engine list.
type EngineInfo struct {
	Name, Kind, Zone string
	Cell             int
	Weight           float64 // size against others of its role
	StartTime        Time    // last start; 0 means long ago
	Phase            Phase
}

// EngineListScope says what an EngineList event holds.
type EngineListScope uint8

// The scopes of an EngineList event.
const (
	EngineListDelta EngineListScope = iota
	EngineListSnapshot
	EngineListStale  // the full list as it was last known, possibly stale
	EngineListFailed // a call failed; no entries
)

// EngineList reports engines as service discovery knows them.
type EngineList struct {
	Scope   EngineListScope
	Engines []EngineInfo
}

// Request is a client's request, which needs exactly one final answer.
type Request struct {
	ID           RequestID
	Class        string
	Tenant       string
	Session      string // "" = none
	Prefix       string // names the prompt prefix shared with other sessions; "" = none
	PrefixLen    int    // tokens
	PromptTokens int
	MaxTokens    int           // upper bound on the answer
	DurationHint time.Duration // rough duration of the answer at TokenIntervalObjective; 0 = none
	TTL          time.Duration // until the client gives up
	Retry        bool          // the client marks it as a retry
	Reconnect    bool          // the client resumes a broken or migrated stream
}

// LoadReport is what an engine reports of its load; nil fields were not reported.
type LoadReport struct {
	Latency       *time.Duration // recent service time
	MemoryUsed    *float64       // fraction of memory in use
	WaitingTokens *float64       // prompt tokens that wait for their prefill or for their state to be fetched
	QueueLength   *float64       // requests that wait
	Utilization   *float64       // fraction of slots in use
}

// Status is how an attempt or probe ended.
type Status uint8

// The statuses of an Outcome.
const (
	StatusServed        Status = iota
	StatusPrefilled            // the prompt is read and its state waits at the prefill engine
	StatusError                // the engine failed it; it may have run
	StatusRejected             // rejected by the engine; it never ran
	StatusTimeout              // no answer in time; it may have run
	StatusConnectFailed        // no connection; it never ran
	StatusReset                // the connection broke; it may have run
	StatusCancelled            // cancelled by the gateway; it may have run
	StatusNotSent              // never sent
)

// Outcome reports how an attempt ended.
type Outcome struct {
	ID           RequestID
	Attempt      int
	Engine       string
	Status       Status
	Latency      time.Duration
	Final        bool // the request has its final answer
	CachedTokens int  // prompt tokens found in the prefix cache, with StatusPrefilled and StatusServed
	StateMissing bool // with StatusRejected: there was no state to fetch
	Report       *LoadReport
}

// FirstToken reports that an attempt's answer has begun to stream.
type FirstToken struct {
	ID      RequestID
	Attempt int
	Engine  string
	Latency time.Duration
}

// ClientGone reports that the client has disconnected or its deadline has passed.
type ClientGone struct{ ID RequestID }

// GatewaysChanged reports how many gateways share the engines from now on.
type GatewaysChanged struct{ Gateways int }

// ShuttingDown reports that the gateway is about to exit: no attempt begins and new requests are
// rejected. Requests in flight at a decode engine may be about to be answered: they are given up
// with Final only.
type ShuttingDown struct{ Final bool }

// TimerFired reports that a timer is due.
type TimerFired struct{ Name string }

// ProbeResult answers a Probe.
type ProbeResult struct {
	Engine  string
	Status  Status
	Latency time.Duration
	Report  *LoadReport
}

// ReservationResult reports whether a decode slot was reserved ahead of a prefill.
type ReservationResult struct {
	ID      RequestID
	Granted bool
}

// PeerMessage is a payload from another router.
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

// Send makes an attempt at an engine. A Timeout of 0 lasts until the client gives up.
type Send struct {
	ID      RequestID
	Engine  string
	Timeout time.Duration
}

// Reject is a final answer: the request had no effect or may be retried harmlessly.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // 0 = none
	OverQuota  bool          // the tenant's quota is spent
}

// Fail is a final answer that says nothing about effects: the request may have run.
type Fail struct{ ID RequestID }

// CancelAttempt stops waiting for an attempt.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// Release releases all state that engines hold for a request and that no attempt waits for.
type Release struct{ ID RequestID }

// SetTimer asks for a TimerFired event.
type SetTimer struct {
	After time.Duration
	Name  string
}

// Probe requests a LoadReport from an engine.
type Probe struct{ Engine string }

// Subscribe asks service discovery for changes from now on.
type Subscribe struct{}

func (Send) isAction()          {}
func (Reject) isAction()        {}
func (Fail) isAction()          {}
func (CancelAttempt) isAction() {}
func (Release) isAction()       {}
func (SetTimer) isAction()      {}
func (Probe) isAction()         {}
func (Subscribe) isAction()     {}
