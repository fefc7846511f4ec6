// Package heldstate schedules the releases that a gateway sends to engines for the state that they may
// hold for one request.
//
// A prefill creates held state at its engine. An attempt at a decode engine fetches that state; otherwise
// it must be released within the held-state limit, which runs only while no attempt is known to be in
// flight. A Ledger is the only component that schedules the releases of one request: it records which
// engines may hold state, since when and with which certainty, until each release has been delivered. The
// package does no I/O and reads no clock.
//
// An attempt is in flight from the time when its last byte is written until it ends or, if it is cancelled
// while its connection remains open, until that connection is closed. During that time, a release at an
// engine has no effect on the state that the attempt waits for.
package heldstate

import "time"

// Time is a point on the caller's clock, expressed as the duration since an arbitrary origin.
type Time = time.Duration

// Fixed timing parameters of the ledger. No setting changes them.
const (
	// MaxCancelDelay is the longest time until an engine processes the cancellation of an attempt. A
	// release that arrives before the cancellation has no effect, so it is repeated after this delay.
	MaxCancelDelay = 150 * time.Millisecond
	// MinReleaseInterval is the minimum time between two releases at one engine.
	MinReleaseInterval = 100 * time.Millisecond
	// A draining gateway waits for an unreachable engine for drainWaitFactor times the held-state limit,
	// and for at least minDrainWait: network partitions last seconds, regardless of the limit.
	drainWaitFactor = 4
	minDrainWait    = 2 * time.Second
)

// Limits are the durations that a ledger works with. They are derived from the settings.
type Limits struct {
	HeldStateLimit time.Duration // maximum time for which state may be held with no attempt in flight
	HeldStateSlack time.Duration // tolerated excess, for process stalls and release delivery
	ReleaseTimeout time.Duration // time for which a release is retried at an unreachable engine
	// MaxCancelledPrefill is the maximum run time of a prefill after its engine has processed the cancellation.
	MaxCancelledPrefill time.Duration
}

// engineEntry records what the ledger knows about one engine that may hold state.
type engineEntry struct {
	attemptLost      bool // an attempt ended without an answer: state may be absent or appear later
	detached         bool // no attempt will fetch the state, and a complete answer does not release it
	releaseForced    bool // one release is sent even if an attempt may be in flight
	prefillMayRun    bool // a cancelled prefill may still run: its state may appear after a release
	pendingSince     Time // start of the pending release; 0 for none
	releasing        bool // a release is in flight
	deliveredCount   int  // number of releases delivered while no attempt was in flight
	firstDeliveredAt Time // time of the first of these deliveries
	lastDeliveredAt  Time // time of the latest of these deliveries
	lastUncertainAt  Time // latest delivery while an attempt may have been in flight; it may have had no effect
	abandoned        bool // the release was not delivered within ReleaseTimeout
}

// Ledger records which engines may hold state for one request. Use New. It is not safe for concurrent use.
type Ledger struct {
	limits         Limits
	entries        map[string]*engineEntry
	stateHolder    string // engine whose state the request continues with; "" for none
	finished       bool   // the request has its final answer
	attemptState   attemptState
	noAttemptSince Time // start of the period in which no attempt is confirmed to be in flight
}

// New returns an empty ledger.
func New(limits Limits) *Ledger {
	return &Ledger{limits: limits, entries: map[string]*engineEntry{}}
}
