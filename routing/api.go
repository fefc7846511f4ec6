// Package routing decides, for one router of a two-stage model service, which
// prefill engine takes a prompt, which decode engine answers it, and what is refused.
//
// This file is the whole interface: the settings, the events a router is told,
// and the actions it answers with. The decisions are in policy.go.
package routing

import "time"

// Time is a point on the router's clock, as the span since an arbitrary origin.
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
	RoleMixed        // does either, or a whole request by itself
)

// Effect says what repeating a request of a class may do.
type Effect uint8

// The effects a class may have.
const (
	EffectIdempotent   Effect = iota // may be repeated at will
	EffectDeduplicated               // repeats are dropped within a group and a window
	EffectAtMostOnce                 // must not run twice
)

// DedupScope is the set of engines that drop each other's repeats of a guarded request.
type DedupScope uint8

// The groups of a guarded class.
const (
	DedupAllEngines DedupScope = iota
	DedupZone
	DedupCell
)

// Class describes one class of requests.
type Class struct {
	Name                     string
	FirstTokenObjective      time.Duration // first token within this earns the full worth
	FirstTokenPerPromptToken time.Duration // added to Aim for each prompt token
	TokenIntervalObjective   time.Duration // wanted interval between tokens
	PriorityWeight           float64       // worth of one request
	Effect                   Effect
	DedupScope               DedupScope
	DedupWindow              time.Duration // how long a guarded repeat is remembered
}

// Kind describes one kind of engine.
type Kind struct {
	Name   string
	Role   Role
	Memory float64 // tokens; 0 when not told
}

// Tenant describes a customer's share.
type Tenant struct {
	Name  string
	Quota float64 // requests per second within its share, over all routers
}

// QuotaStatus is how a tenant stands with its quota, in requests.
type QuotaStatus struct {
	Burst     float64       // that may come at once
	Remaining float64       // of these
	ResetIn   time.Duration // until all of them are there again
}

// Settings are the figures a router is given at its start.
type Settings struct {
	Zone     string
	Zones    []string
	Gateways int // how many routers share the pools
	Classes  []Class
	Kinds    []Kind
	Tenants  []Tenant

	OverQuotaWeight float64       // worth of traffic above a quota, as a fraction
	MustSubscribe   bool          // the roster is delivered only on request
	CanCancel       bool          // CancelAttempt is allowed
	CanRetryAfter   bool          // Refuse may advise a wait
	MaxRetryAfter   time.Duration // longest advice that clients honour
	MaxAttempts     int           // attempts per request
	CanProbe        bool          // Probe is allowed, and its report tells an engine's queue
	DecodePrefills  bool          // a decode engine that gets a request with no state reads its prompt itself

	SlowStartPeriod   time.Duration // a started engine is warm after this
	SlowStartCapacity float64       // least share of its capacity at the start
	OverloadWindow    time.Duration // span over which a cold engine's load is counted
	OverloadMultiple  float64       // times its capacity that makes it fall over
	HeldStateLimit    time.Duration // longest a state may wait with no attempt out
	SendDelay         time.Duration // longest from a Send to its arrival: what may not come late is not sent
	Tick              time.Duration // least interval between events
}

// Event is something a router is told.
type Event interface{ isEvent() }

// Action is something a router asks for.
type Action interface{ isAction() }

// Phase is an engine's state on the roster.
type Phase uint8

// The phases of an engine.
const (
	PhaseActive Phase = iota
	PhaseDraining
	PhaseRemoved
)

// EngineInfo is an engine's entry on the roster.
type EngineInfo struct {
	Name, Kind, Zone string
	Cell             int
	Weight           float64 // size against others of its role
	StartTime        Time    // last start; 0 means long ago
	Phase            Phase
}

// EngineListScope says what a Roster event holds.
type EngineListScope uint8

// The scopes of a Roster event.
const (
	EngineListDelta EngineListScope = iota
	EngineListSnapshot
	EngineListStale  // the full list as last held, possibly stale
	EngineListFailed // a call failed; no entries
)

// EngineList reports the engines that discovery knows.
type EngineList struct {
	Scope   EngineListScope
	Engines []EngineInfo
}

// Request is a client's try that now needs one final answer.
type Request struct {
	ID           RequestID
	Class        string
	Tenant       string
	Session      string // "" = none
	Prefix       string // beginning shared with other sessions; "" = none
	PrefixLen    int
	PromptTokens int           // tokens
	MaxTokens    int           // most the answer may hold
	DurationHint time.Duration // rough length of the answer at the class's pace; 0 = none
	TTL          time.Duration // until the client gives up this try
	Retry        bool          // the client marks it as a repeat
	Reconnect    bool          // the client continues a broken or moved stream
}

// LoadReport is an engine's word on its load; nil fields were not reported.
type LoadReport struct {
	Latency       *time.Duration // recent service time
	MemoryUsed    *float64       // share of memory held
	WaitingTokens *float64       // prompt tokens that wait to be read or fetched
	QueueLength   *float64       // requests that wait
	Utilization   *float64       // share of slots in use
}

// Status is how an attempt or probe ended.
type Status uint8

// The statuses of an Outcome.
const (
	StatusServed        Status = iota
	StatusPrefilled            // the prompt is read and its state waits at the prefill engine
	StatusError                // the engine failed it; it may have run
	StatusRejected             // turned away; it never ran
	StatusTimeout              // no answer in time; it may have run
	StatusConnectFailed        // no connection; it never ran
	StatusReset                // the connection broke; it may have run
	StatusCancelled            // withdrawn; it may have run
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
	CachedTokens int  // prompt tokens found kept, with StatusRead and StatusServed
	StateMissing bool // with StatusFull: there was no state to fetch
	Report       *LoadReport
}

// FirstToken reports that an attempt's answer has begun to stream.
type FirstToken struct {
	ID      RequestID
	Attempt int
	Engine  string
	Latency time.Duration
}

// ClientGone reports that the client has left or its time is over.
type ClientGone struct{ ID RequestID }

// GatewaysChanged reports how many routers share the pools from now on.
type GatewaysChanged struct{ Gateways int }

// ShuttingDown reports that the gateway is about to end: nothing more is sent, and what comes
// from now on is refused. What a decode engine may be about to answer is waited for until Last.
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

// ReservationResult answers a place asked for ahead of a read.
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

// Send makes an attempt at an engine. A Limit of 0 lasts until the client gives up.
type Send struct {
	ID      RequestID
	Engine  string
	Timeout time.Duration
}

// Reject is a final answer: not done, and trying again is harmless.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // 0 = no advice
	OverQuota  bool          // because the tenant's quota is spent
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID RequestID }

// CancelAttempt stops waiting for an attempt.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// Release lets go of all that is held for a request and no attempt waits for.
type Release struct{ ID RequestID }

// SetTimer asks for a TimerFired event.
type SetTimer struct {
	In   time.Duration
	Name string
}

// Probe asks an engine for its load.
type Probe struct{ Engine string }

// Subscribe asks discovery for changes from now on.
type Subscribe struct{}

func (Send) isAction()          {}
func (Reject) isAction()        {}
func (Fail) isAction()          {}
func (CancelAttempt) isAction() {}
func (Release) isAction()       {}
func (SetTimer) isAction()      {}
func (Probe) isAction()         {}
func (Subscribe) isAction()     {}
