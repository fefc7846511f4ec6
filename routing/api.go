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
	EffectFree       Effect = iota // may be repeated at will
	EffectGuarded                  // repeats are dropped within a group and a window
	EffectSingleShot               // must not run twice
)

// Group is the set of engines that drop each other's repeats of a guarded request.
type Group uint8

// The groups of a guarded class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of requests.
type Class struct {
	Name        string
	Aim         time.Duration // first token within this earns the full worth
	AimPerToken time.Duration // added to Aim for each prompt token
	TokenAim    time.Duration // wanted interval between tokens
	Gain        float64       // worth of one request
	Effect      Effect
	Group       Group
	Window      time.Duration // how long a guarded repeat is remembered
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

// Standing is how a tenant stands with its quota, in requests.
type Standing struct {
	Most float64       // that may come at once
	Left float64       // of these
	Full time.Duration // until all of them are there again
}

// Settings are the figures a router is given at its start.
type Settings struct {
	Zone    string
	Zones   []string
	Routers int // how many routers share the pools
	Classes []Class
	Kinds   []Kind
	Tenants []Tenant

	OverShareWorth float64       // worth of traffic above a quota, as a fraction
	MustSubscribe  bool          // the roster is delivered only on request
	CanCancel      bool          // CancelAttempt is allowed
	CanRetryAfter  bool          // Refuse may advise a wait
	MaxRetryAfter  time.Duration // longest advice that clients honour
	MaxAttempts    int           // attempts per request
	CanProbe       bool          // Probe is allowed, and its report tells an engine's queue
	DecodePrefills bool          // a decode engine that gets a request with no state reads its prompt itself

	Cold         time.Duration // a started engine is warm after this
	ColdShare    float64       // least share of its capacity at the start
	Fall         time.Duration // span over which a cold engine's load is counted
	FallMultiple float64       // times its capacity that makes it fall over
	PinLimit     time.Duration // longest a state may wait with no attempt out
	SendDelay    time.Duration // longest from a Send to its arrival: what may not come late is not sent
	Tick         time.Duration // least interval between events
}

// Event is something a router is told.
type Event interface{ isEvent() }

// Action is something a router asks for.
type Action interface{ isAction() }

// Phase is an engine's state on the roster.
type Phase uint8

// The phases of an engine.
const (
	PhaseOn Phase = iota
	PhaseDraining
	PhaseOff
)

// EngineInfo is an engine's entry on the roster.
type EngineInfo struct {
	Name, Kind, Zone string
	Cell             int
	Weight           float64 // size against others of its role
	CameUp           Time    // last start; 0 means long ago
	Phase            Phase
}

// RosterScope says what a Roster event holds.
type RosterScope uint8

// The scopes of a Roster event.
const (
	RosterChanges RosterScope = iota
	RosterFull
	RosterCached // the full list as last held, possibly stale
	RosterFailed // a call failed; no entries
)

// Roster reports the engines that discovery knows.
type Roster struct {
	Scope   RosterScope
	Engines []EngineInfo
}

// Request is a client's try that now needs one final answer.
type Request struct {
	ID        RequestID
	Class     string
	Tenant    string
	Session   string // "" = none
	Prefix    string // beginning shared with other sessions; "" = none
	PrefixLen int
	Prompt    int           // tokens
	MaxTokens int           // most the answer may hold
	Hint      time.Duration // rough length of the answer at the class's pace; 0 = none
	TTL       time.Duration // until the client gives up this try
	Repeat    bool          // the client marks it as a repeat
	Reconnect bool          // the client continues a broken or moved stream
}

// Report is an engine's word on its load; nil fields were not reported.
type Report struct {
	Latency       *time.Duration // recent service time
	Memory        *float64       // share of memory held
	WaitingTokens *float64       // prompt tokens that wait to be read or fetched
	Queue         *float64       // requests that wait
	Util          *float64       // share of slots in use
}

// Status is how an attempt or probe ended.
type Status uint8

// The statuses of an Outcome.
const (
	StatusServed    Status = iota
	StatusRead             // the prompt is read and its state waits at the prefill engine
	StatusError            // the engine failed it; it may have run
	StatusFull             // turned away; it never ran
	StatusTimeout          // no answer in time; it may have run
	StatusNoConnect        // no connection; it never ran
	StatusReset            // the connection broke; it may have run
	StatusCancelled        // withdrawn; it may have run
	StatusUnsent           // never sent
)

// Outcome reports how an attempt ended.
type Outcome struct {
	ID      RequestID
	Attempt int
	Engine  string
	Status  Status
	Latency time.Duration
	Final   bool // the request has its final answer
	Kept    int  // prompt tokens found kept, with StatusRead and StatusServed
	NoState bool // with StatusFull: there was no state to fetch
	Report  *Report
}

// FirstToken reports that an attempt's answer has begun to stream.
type FirstToken struct {
	ID      RequestID
	Attempt int
	Engine  string
	Latency time.Duration
}

// Gone reports that the client has left or its time is over.
type Gone struct{ ID RequestID }

// Peers reports how many routers share the pools from now on.
type Peers struct{ Routers int }

// Closing reports that the gateway is about to end: nothing more is sent, and what comes
// from now on is refused. What a decode engine may be about to answer is waited for until Last.
type Closing struct{ Last bool }

// TimerFired reports that a timer is due.
type TimerFired struct{ Name string }

// ProbeResult answers a Probe.
type ProbeResult struct {
	Engine  string
	Status  Status
	Latency time.Duration
	Report  *Report
}

// PlaceNote answers a place asked for ahead of a read.
type PlaceNote struct {
	ID   RequestID
	Held bool
}

// PeerMessage is a payload from another router.
type PeerMessage struct {
	From    int
	Payload []byte
}

func (Roster) isEvent()      {}
func (Request) isEvent()     {}
func (Outcome) isEvent()     {}
func (FirstToken) isEvent()  {}
func (Gone) isEvent()        {}
func (Peers) isEvent()       {}
func (Closing) isEvent()     {}
func (TimerFired) isEvent()  {}
func (ProbeResult) isEvent() {}
func (PlaceNote) isEvent()   {}
func (PeerMessage) isEvent() {}

// Send makes an attempt at an engine. A Limit of 0 lasts until the client gives up.
type Send struct {
	ID     RequestID
	Engine string
	Limit  time.Duration
}

// Refuse is a final answer: not done, and trying again is harmless.
type Refuse struct {
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
func (Refuse) isAction()        {}
func (Fail) isAction()          {}
func (CancelAttempt) isAction() {}
func (Release) isAction()       {}
func (SetTimer) isAction()      {}
func (Probe) isAction()         {}
func (Subscribe) isAction()     {}
