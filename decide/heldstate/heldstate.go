// Package heldstate decides when engines are told to release the read states that they may
// hold for one request.
//
// A read leaves a state at its engine. An attempt at a decode engine fetches it; otherwise it must be
// released within the pin limit, counted while no attempt is out. A Ledger is the single owner
// of that duty for one request: it records which engines may hold something, since when and how
// certainly, until each release has been delivered. It does no I/O and reads no clock.
package heldstate

import "time"

// Time is a point on the caller's clock, as the duration since an arbitrary origin.
type Time = time.Duration

// Margins of the ledger.
const (
	// CancelTransit is how long an engine may take to learn that an attempt was cancelled. A
	// release that overtakes the cancel has no effect, so it is sent again after this.
	CancelTransit = 150 * time.Millisecond
	// MinReleaseInterval is the least time between two releases at one engine.
	MinReleaseInterval = 100 * time.Millisecond

	reachCheckDivisor = 4 // an engine is checked after this part of the pin limit at the earliest
	maxDrainWait      = 4 // pin limits for which a draining gateway waits for an engine out of reach
)

// Limits are the durations a ledger works with. They follow from the settings.
type Limits struct {
	HeldStateLimit      time.Duration // a state may be held this long while no attempt is out
	HeldStateSlack      time.Duration // and this much longer, which is left for the release to arrive
	ReleaseTimeout      time.Duration // a release is retried this long at an engine out of reach
	ReachTimeout        time.Duration // the longest that a check of whether an engine is in reach takes
	MaxCancelledPrefill time.Duration // a cancelled read may run on this long once its engine knows
}

// engineEntry is one engine that may hold something.
type engineEntry struct {
	attemptLost   bool // the attempt ended without an answer: there may be no state, or not yet
	detached      bool // no attempt will fetch it, and an answer does not release it
	releaseForced bool // one release is due although an attempt may be out
	prefillMayRun bool // a read may run on there: its state may appear after a release
	dueSince      Time // since when it is to be released; 0 while it is not
	releasing     bool // a release is under way
	delivered     int  // releases delivered with no attempt out
	firstDelivery Time // delivery of the first of them
	lastRelease   Time // delivery of the latest release of any kind
	givenUp       bool // the release was not delivered in time
}

// Ledger records what engines may hold for one request. Use New.
type Ledger struct {
	limits         Limits
	entries        map[string]*engineEntry
	stateHolder    string // the engine whose state the request continues with; "" for none
	finished       bool   // the request has its final answer
	attemptState   AttemptState
	noAttemptSince Time // since when no attempt has certainly been out
	reachChecked   bool // the engine of an unconfirmed attempt has been checked
}

// AttemptState says whether an attempt of the request is out.
type AttemptState uint8

// The values of Out.
const (
	NoAttempt AttemptState = iota
	// Unconfirmed means that an attempt was written but its engine has not been heard since: a
	// connection that was idle does not show a network partition, so it may never have arrived.
	Unconfirmed
	Confirmed // the engine has been heard since the attempt was written
)

// New returns an empty ledger.
func New(limits Limits) *Ledger {
	return &Ledger{limits: limits, entries: map[string]*engineEntry{}}
}
