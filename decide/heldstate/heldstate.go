// Package heldstate decides when engines are told to release the read states that they may
// hold for one request.
//
// A read leaves a state at its engine. An attempt at a decode engine fetches it; otherwise it must be
// released within the pin limit, counted while no attempt is out. A Ledger is the single owner
// of that duty for one request: it records which engines may hold something, since when and how
// certainly, until each release has been delivered. It does no I/O and reads no clock.
package heldstate

import (
	"maps"
	"slices"
	"time"
)

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

// StateHolder returns the engine whose state waits for a decode engine, "" if there is none.
func (l *Ledger) StateHolder() string { return l.stateHolder }

// PrefillCompleted records that a prompt has been read and its state waits at an engine.
func (l *Ledger) PrefillCompleted(engine string, now Time) {
	l.noAttemptSince = now
	e := &engineEntry{}
	if old := l.entries[engine]; old != nil { // an earlier read there may still run on
		e.attemptLost, e.prefillMayRun = old.attemptLost, old.prefillMayRun
	}
	l.entries[engine] = e
	if !l.finished {
		l.stateHolder = engine
	}
}

// AttemptLost records that an attempt ended without an answer: it may have left a state or,
// where it is a read that runs on, may leave one later.
func (l *Ledger) AttemptLost(engine string, reads bool) {
	e := l.entries[engine]
	if e == nil {
		e = &engineEntry{}
		l.entries[engine] = e
	}
	e.attemptLost, e.delivered, e.lastRelease = true, 0, 0
	e.prefillMayRun = e.prefillMayRun || reads
}

// AttemptFailed records that an engine answered an attempt with an error.
func (l *Ledger) AttemptFailed(engine string) {
	if l.entries[engine] == nil {
		l.entries[engine] = &engineEntry{}
	}
}

// AnswerStarted records that an answer has begun, so the state was fetched. Should the answer
// break, the engines are told all the same.
func (l *Ledger) AnswerStarted() { l.stateHolder = "" }

// AnswerCompleted records that an answer is complete, with which engines release everything else.
// A cancelled read that may run on stays recorded, and so does a detached state.
func (l *Ledger) AnswerCompleted() {
	l.stateHolder = ""
	maps.DeleteFunc(l.entries, func(_ string, e *engineEntry) bool { return !e.detached && !e.prefillMayRun })
}

// Detach has the waiting state released while the request goes on at an engine that fetches
// none.
func (l *Ledger) Detach() {
	if e := l.entries[l.stateHolder]; e != nil {
		e.detached, e.releaseForced = true, true
	}
	l.stateHolder = ""
}

// StateMissing records that a decode engine found no state. The prefill engine may only have been out of the
// decode engine's reach, so it is told to release all the same.
func (l *Ledger) StateMissing() { l.stateHolder = "" }

// Finish records that the request has its final answer.
func (l *Ledger) Finish() {
	if l.finished {
		return
	}
	l.finished, l.stateHolder = true, ""
	l.resetUndelivered()
}

// resetUndelivered makes releases due at once that were delivered only while an attempt may have
// been waiting for the state.
func (l *Ledger) resetUndelivered() {
	for _, e := range l.entries {
		if e.delivered == 0 {
			e.lastRelease = 0
		}
	}
}

// RepeatReleases makes a release due at every engine: an attempt that may have been waiting for
// the state until now, so that no release had an effect, has ended.
func (l *Ledger) RepeatReleases() {
	for _, e := range l.entries {
		e.delivered, e.lastRelease = 0, 0
	}
}

// AttemptConfirmedUntil records that an attempt was certainly out until now.
func (l *Ledger) AttemptConfirmedUntil(now Time) { l.noAttemptSince = now }

// SetAttemptState says whether an attempt of the request is out.
func (l *Ledger) SetAttemptState(out AttemptState, now Time) {
	if l.attemptState == Confirmed && out != Confirmed || l.noAttemptSince == 0 {
		l.noAttemptSince = now
	}
	if l.attemptState != NoAttempt && out == NoAttempt {
		l.resetUndelivered()
	}
	if l.attemptState != out {
		l.reachChecked = false
	}
	l.attemptState = out
}

// expiresAt is when the waiting state has to be released unless an attempt is certainly out by
// then. Half of the slack is left for the release.
func (l *Ledger) expiresAt() Time {
	return l.noAttemptSince + l.limits.HeldStateLimit + l.limits.HeldStateSlack/2
}

// expiryRuns tells whether the time of a waiting state is running.
func (l *Ledger) expiryRuns() bool { return l.stateHolder != "" && l.attemptState != Confirmed }

// Expired tells whether the state has waited for a decode engine as long as it may.
func (l *Ledger) Expired(now Time) bool { return l.expiryRuns() && now >= l.expiresAt() }

// Expire has the waiting state released. Where an attempt may be out, one release is sent
// without giving the state up: it has no effect if the attempt has arrived.
func (l *Ledger) Expire(now Time) {
	if l.attemptState == NoAttempt {
		l.stateHolder = ""
		return
	}
	l.noAttemptSince = now
	for _, e := range l.entries {
		e.releaseForced = true
	}
}

// reachCheckAt is when an unconfirmed attempt's engine has to be checked: early enough for a result
// before the state expires.
func (l *Ledger) reachCheckAt() Time {
	return max(l.noAttemptSince+l.limits.HeldStateLimit/reachCheckDivisor, l.expiresAt()-l.limits.ReachTimeout)
}

// needsReachCheck tells whether a check can avoid a release under an attempt. Such a release may
// take the state from an attempt that waits in its engine's queue.
func (l *Ledger) needsReachCheck() bool {
	return l.attemptState == Unconfirmed && !l.reachChecked && !l.finished && len(l.entries) > 0
}

// ReachCheckDue tells, once for each unconfirmed attempt, that its engine has to be checked now. If
// the engine is in reach, the caller reports it with SetOut.
func (l *Ledger) ReachCheckDue(now Time) bool {
	due := l.needsReachCheck() && now >= l.reachCheckAt()
	l.reachChecked = l.reachChecked || due
	return due
}

// repeatInterval is the time between two releases at an engine where a read may run on.
func (l *Ledger) repeatInterval() time.Duration {
	return max(l.limits.HeldStateLimit, MinReleaseInterval)
}

// releasableAt returns from when on an engine may be told to release; false if it may not.
// One release frees everything that no attempt waits for, at whatever engine it is held. So
// none is sent for what an earlier attempt may have left while a state waits for a decode engine, and
// none before it has to be while an attempt may be reading.
func (l *Ledger) releasableAt(e *engineEntry) (at Time, ok bool) {
	switch {
	case l.finished || e.releaseForced:
		return 0, true
	case l.stateHolder != "" || l.attemptState == Confirmed:
		return 0, false
	case l.attemptState == Unconfirmed:
		return l.expiresAt(), true
	}
	return 0, true
}

// nextRelease returns when a release at an engine is due; false if none is.
func (l *Ledger) nextRelease(e *engineEntry) (at Time, ok bool) {
	from, ok := l.releasableAt(e)
	if !ok || e.releasing || e.givenUp {
		return 0, false
	}
	switch {
	case e.releaseForced || e.delivered == 0 && e.lastRelease == 0:
		return from, true
	case e.delivered == 0:
		return max(from, e.lastRelease+l.repeatInterval()), true
	}
	at, ok = l.nextRepeat(e)
	return max(from, at), ok
}

// nextRepeat returns when a delivered release is due once more; false if it is not.
func (l *Ledger) nextRepeat(e *engineEntry) (at Time, ok bool) {
	at, ok = l.afterCancels(e)
	readMayRun := e.prefillMayRun && e.lastRelease < e.firstDelivery+l.limits.MaxCancelledPrefill
	if repeat := e.lastRelease + l.repeatInterval(); readMayRun && (!ok || repeat < at) {
		return repeat, true
	}
	return at, ok
}

// afterCancels returns when a release is due again because the latest may have overtaken the
// cancel of an attempt at another engine: until that engine knows, the attempt waits for the
// state, and a release does not free it.
func (l *Ledger) afterCancels(e *engineEntry) (at Time, ok bool) {
	for _, other := range l.entries {
		if !other.attemptLost || other.delivered == 0 {
			continue
		}
		if known := other.firstDelivery + CancelTransit; e.lastRelease < known && (!ok || known < at) {
			at, ok = known, true
		}
	}
	return at, ok
}

// ReleasesDue returns the engines that are to be told to release now, in order of name. The caller
// reports the end of each release with ReleaseEnded.
func (l *Ledger) ReleasesDue(now Time) []string {
	var due []string
	for _, name := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[name]
		if at, ok := l.nextRelease(e); !ok || at > now {
			continue
		}
		if e.dueSince == 0 {
			e.dueSince = now
		}
		e.releasing = true
		due = append(due, name)
	}
	return due
}

// ReleaseDeadline returns when a release that is under way at an engine is to be given up.
func (l *Ledger) ReleaseDeadline(engine string) Time {
	if e := l.entries[engine]; e != nil {
		return e.dueSince + l.limits.ReleaseTimeout
	}
	return 0
}

// ReleaseEnded records how a release ended: delivered, cancelled, or given up in time.
func (l *Ledger) ReleaseEnded(engine string, delivered bool, now Time) {
	e := l.entries[engine]
	if e == nil || !e.releasing {
		return
	}
	e.releasing, e.releaseForced = false, false
	switch {
	case delivered && !l.finished && l.attemptState != NoAttempt:
		e.lastRelease = now // an attempt may have been waiting for the state: it counts for nothing
	case delivered:
		if e.delivered++; e.delivered == 1 {
			e.firstDelivery = now
		}
		e.lastRelease = now
	case now >= e.dueSince+l.limits.ReleaseTimeout:
		e.givenUp = true
	}
}

// ReleasesToCancel returns the engines whose release under way must not meet an attempt that has
// just gone out.
func (l *Ledger) ReleasesToCancel(now Time) []string {
	var engines []string
	for name, e := range l.entries {
		if at, ok := l.releasableAt(e); e.releasing && (!ok || at > now) {
			engines = append(engines, name)
		}
	}
	slices.Sort(engines)
	return engines
}

// NextUpdate returns when Due, Expired or CheckDue may have something new to say; false if only an
// event can bring that.
func (l *Ledger) NextUpdate() (at Time, ok bool) {
	earliest := func(t Time) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	for _, e := range l.entries {
		if t, due := l.nextRelease(e); due {
			earliest(t)
		}
	}
	if l.expiryRuns() {
		earliest(l.expiresAt())
	}
	if l.needsReachCheck() {
		earliest(l.reachCheckAt())
	}
	return at, ok
}

// Completed tells whether the request is over and nothing is left to release.
func (l *Ledger) Completed() bool {
	if !l.finished {
		return false
	}
	for _, e := range l.entries {
		if _, due := l.nextRelease(e); due || e.releasing {
			return false
		}
	}
	return true
}

// DropEngine records that an engine holds nothing and never will, as engines of its kind take no
// releases.
func (l *Ledger) DropEngine(engine string) {
	delete(l.entries, engine)
	if l.stateHolder == engine {
		l.stateHolder = ""
	}
}

// BlocksDrain tells whether a draining gateway has to wait for a release: one that has not been
// delivered yet, or that has to be repeated, as it may have overtaken a cancel or as a read may
// run on and leave a state when the gateway has ended. Engines out of reach for several pin
// limits are not waited for.
func (l *Ledger) BlocksDrain(now Time) bool {
	for _, e := range l.entries {
		undelivered := e.delivered == 0 && (e.dueSince == 0 || now < e.dueSince+maxDrainWait*l.limits.HeldStateLimit)
		_, repeated := l.nextRepeat(e)
		if !e.givenUp && (undelivered || e.delivered > 0 && repeated) {
			return true
		}
	}
	return false
}
