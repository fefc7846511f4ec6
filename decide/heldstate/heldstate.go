// Package heldstate decides when engines are sent a release for the state that they may hold for one
// request.
//
// A prefill leaves state at its engine. An attempt at a decode engine fetches it; otherwise it must be
// released within the held-state limit, which counts while no attempt is known to be in flight. A Ledger is the
// single owner of that duty for one request: it records which engines may hold state, since when and
// how certainly, until each release has been delivered. It does no I/O and reads no clock.
//
// An attempt is in flight from the time when its last byte was written until it ends or, if it was
// cancelled and its connection is kept open, until that is closed. While one is, an engine's release
// has no effect on the state that the attempt waits for.
package heldstate

import "time"

// Time is a point on the caller's clock, as the duration since an arbitrary origin.
type Time = time.Duration

// Margins of the ledger, which no setting changes.
const (
	// MaxCancelDelay is how long an engine may take to learn that an attempt was cancelled. A
	// release that overtakes the cancel has no effect, so it is sent again after this.
	MaxCancelDelay = 150 * time.Millisecond
	// MinReleaseInterval is the least time between two releases at one engine.
	MinReleaseInterval = 100 * time.Millisecond
	// maxDrainWait is for how many held-state limits a draining gateway waits for an engine that is
	// out of reach, and minDrainWait for how long at least: network partitions last seconds, however
	// short the limit is.
	maxDrainWait = 4
	minDrainWait = 2 * time.Second
)

// Limits are the durations a ledger works with. They follow from the settings.
type Limits struct {
	HeldStateLimit      time.Duration // longest that state may be held with no attempt in flight
	HeldStateSlack      time.Duration // by which it may be exceeded, by hold-ups and the release's transit
	ReleaseTimeout      time.Duration // for which a release is retried at an engine out of reach
	MaxCancelledPrefill time.Duration // for which a prefill may run on once its engine knows of the cancel
}

// engineEntry is what the ledger knows of one engine that may hold state.
type engineEntry struct {
	attemptLost   bool // an attempt ended without an answer: there may be no state, or not yet
	detached      bool // no attempt will fetch the state, and an answer does not release it
	releaseForced bool // one release is due although an attempt may be in flight
	prefillMayRun bool // a cancelled prefill may run on: its state may appear after a release
	dueSince      Time // since when the release is due; 0 while it is not
	releasing     bool // a release is in flight
	delivered     int  // releases delivered with no attempt in flight
	firstDelivery Time // when the first of them was
	lastRelease   Time // when the latest of them was
	lastAttempted Time // when the latest was that may have had no effect, as an attempt may have been in flight
	givenUp       bool // the release was not delivered within ReleaseTimeout
}

// Ledger records what engines may hold for one request. Use New. It is not safe for concurrent use.
type Ledger struct {
	limits         Limits
	entries        map[string]*engineEntry
	stateHolder    string // the engine whose state the request continues with; "" for none
	finished       bool   // the request has its final answer
	attemptState   attemptState
	noAttemptSince Time // since when no attempt has certainly been in flight
}

// New returns an empty ledger.
func New(limits Limits) *Ledger {
	return &Ledger{limits: limits, entries: map[string]*engineEntry{}}
}
