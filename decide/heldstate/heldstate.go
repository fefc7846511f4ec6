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
	// RepeatLeast is the least time between two releases at one engine.
	RepeatLeast = 100 * time.Millisecond

	checkPart    = 4 // an engine is checked after this part of the pin limit at the earliest
	urgentLimits = 4 // pin limits for which a draining gateway waits for an engine out of reach
)

// Limits are the durations a ledger works with. They follow from the settings.
type Limits struct {
	Pin     time.Duration // a state may be held this long while no attempt is out
	Slack   time.Duration // and this much longer, which is left for the release to arrive
	GiveUp  time.Duration // a release is retried this long at an engine out of reach
	Reach   time.Duration // the longest that a check of whether an engine is in reach takes
	ReadFor time.Duration // a cancelled read may run on this long once its engine knows
}

// entry is one engine that may hold something.
type entry struct {
	uncertain bool // the attempt ended without an answer: there may be no state, or not yet
	detached  bool // no attempt will fetch it, and an answer does not release it
	forced    bool // one release is due although an attempt may be out
	reads     bool // a read may run on there: its state may appear after a release
	due       Time // since when it is to be released; 0 while it is not
	inFlight  bool // a release is under way
	delivered int  // releases delivered with no attempt out
	first     Time // delivery of the first of them
	last      Time // delivery of the latest release of any kind
	abandoned bool // the release was not delivered in time
}

// Ledger records what engines may hold for one request. Use New.
type Ledger struct {
	limits  Limits
	entries map[string]*entry
	holder  string // the engine whose state the request continues with; "" for none
	over    bool   // the request has its final answer
	out     Out
	exposed Time // since when no attempt has certainly been out
	checked bool // the engine of an unconfirmed attempt has been checked
}

// Out says whether an attempt of the request is out.
type Out uint8

// The values of Out.
const (
	None Out = iota
	// Unconfirmed means that an attempt was written but its engine has not been heard since: a
	// connection that was idle does not show a network partition, so it may never have arrived.
	Unconfirmed
	Confirmed // the engine has been heard since the attempt was written
)

// New returns an empty ledger.
func New(limits Limits) *Ledger {
	return &Ledger{limits: limits, entries: map[string]*entry{}}
}

// Holder returns the engine whose state waits for a decode engine, "" if there is none.
func (l *Ledger) Holder() string { return l.holder }

// ReadDone records that a prompt has been read and its state waits at an engine.
func (l *Ledger) ReadDone(engine string, now Time) {
	l.exposed = now
	e := &entry{}
	if old := l.entries[engine]; old != nil { // an earlier read there may still run on
		e.uncertain, e.reads = old.uncertain, old.reads
	}
	l.entries[engine] = e
	if !l.over {
		l.holder = engine
	}
}

// AttemptLost records that an attempt ended without an answer: it may have left a state or,
// where it is a read that runs on, may leave one later.
func (l *Ledger) AttemptLost(engine string, reads bool) {
	e := l.entries[engine]
	if e == nil {
		e = &entry{}
		l.entries[engine] = e
	}
	e.uncertain, e.delivered, e.last = true, 0, 0
	e.reads = e.reads || reads
}

// AttemptFailed records that an engine answered an attempt with an error.
func (l *Ledger) AttemptFailed(engine string) {
	if l.entries[engine] == nil {
		l.entries[engine] = &entry{}
	}
}

// AnswerBegan records that an answer has begun, so the state was fetched. Should the answer
// break, the engines are told all the same.
func (l *Ledger) AnswerBegan() { l.holder = "" }

// AnswerDone records that an answer is complete, with which engines release everything else.
// A cancelled read that may run on stays recorded, and so does a detached state.
func (l *Ledger) AnswerDone() {
	l.holder = ""
	maps.DeleteFunc(l.entries, func(_ string, e *entry) bool { return !e.detached && !e.reads })
}

// Detach has the waiting state released while the request goes on at an engine that fetches
// none.
func (l *Ledger) Detach() {
	if e := l.entries[l.holder]; e != nil {
		e.detached, e.forced = true, true
	}
	l.holder = ""
}

// NoState records that a decode engine found no state. The prefill engine may only have been out of the
// decode engine's reach, so it is told to release all the same.
func (l *Ledger) NoState() { l.holder = "" }

// Finish records that the request has its final answer.
func (l *Ledger) Finish() {
	if l.over {
		return
	}
	l.over, l.holder = true, ""
	l.resetPacing()
}

// resetPacing makes releases due at once that were delivered only while an attempt may have
// been waiting for the state.
func (l *Ledger) resetPacing() {
	for _, e := range l.entries {
		if e.delivered == 0 {
			e.last = 0
		}
	}
}

// ReleaseAgain makes a release due at every engine: an attempt that may have been waiting for
// the state until now, so that no release had an effect, has ended.
func (l *Ledger) ReleaseAgain() {
	for _, e := range l.entries {
		e.delivered, e.last = 0, 0
	}
}

// WasOut records that an attempt was certainly out until now.
func (l *Ledger) WasOut(now Time) { l.exposed = now }

// SetOut says whether an attempt of the request is out.
func (l *Ledger) SetOut(out Out, now Time) {
	if l.out == Confirmed && out != Confirmed || l.exposed == 0 {
		l.exposed = now
	}
	if l.out != None && out == None {
		l.resetPacing()
	}
	if l.out != out {
		l.checked = false
	}
	l.out = out
}

// expiresAt is when the waiting state has to be released unless an attempt is certainly out by
// then. Half of the slack is left for the release.
func (l *Ledger) expiresAt() Time { return l.exposed + l.limits.Pin + l.limits.Slack/2 }

// mayExpire tells whether the time of a waiting state is running.
func (l *Ledger) mayExpire() bool { return l.holder != "" && l.out != Confirmed }

// Expired tells whether the state has waited for a decode engine as long as it may.
func (l *Ledger) Expired(now Time) bool { return l.mayExpire() && now >= l.expiresAt() }

// Expire has the waiting state released. Where an attempt may be out, one release is sent
// without giving the state up: it has no effect if the attempt has arrived.
func (l *Ledger) Expire(now Time) {
	if l.out == None {
		l.holder = ""
		return
	}
	l.exposed = now
	for _, e := range l.entries {
		e.forced = true
	}
}

// checkAt is when an unconfirmed attempt's engine has to be checked: early enough for a result
// before the state expires.
func (l *Ledger) checkAt() Time {
	return max(l.exposed+l.limits.Pin/checkPart, l.expiresAt()-l.limits.Reach)
}

// needsCheck tells whether a check can avoid a release under an attempt. Such a release may
// take the state from an attempt that waits in its engine's queue.
func (l *Ledger) needsCheck() bool {
	return l.out == Unconfirmed && !l.checked && !l.over && len(l.entries) > 0
}

// CheckDue tells, once for each unconfirmed attempt, that its engine has to be checked now. If
// the engine is in reach, the caller reports it with SetOut.
func (l *Ledger) CheckDue(now Time) bool {
	due := l.needsCheck() && now >= l.checkAt()
	l.checked = l.checked || due
	return due
}

// period is the time between two releases at an engine where a read may run on.
func (l *Ledger) period() time.Duration { return max(l.limits.Pin, RepeatLeast) }

// releasableAt returns from when on an engine may be told to release; false if it may not.
// One release frees everything that no attempt waits for, at whatever engine it is held. So
// none is sent for what an earlier attempt may have left while a state waits for a decode engine, and
// none before it has to be while an attempt may be reading.
func (l *Ledger) releasableAt(e *entry) (at Time, ok bool) {
	switch {
	case l.over || e.forced:
		return 0, true
	case l.holder != "" || l.out == Confirmed:
		return 0, false
	case l.out == Unconfirmed:
		return l.expiresAt(), true
	}
	return 0, true
}

// nextRelease returns when a release at an engine is due; false if none is.
func (l *Ledger) nextRelease(e *entry) (at Time, ok bool) {
	from, ok := l.releasableAt(e)
	if !ok || e.inFlight || e.abandoned {
		return 0, false
	}
	switch {
	case e.forced || e.delivered == 0 && e.last == 0:
		return from, true
	case e.delivered == 0:
		return max(from, e.last+l.period()), true
	}
	at, ok = l.nextRepeat(e)
	return max(from, at), ok
}

// nextRepeat returns when a delivered release is due once more; false if it is not.
func (l *Ledger) nextRepeat(e *entry) (at Time, ok bool) {
	at, ok = l.afterCancels(e)
	readMayRun := e.reads && e.last < e.first+l.limits.ReadFor
	if repeat := e.last + l.period(); readMayRun && (!ok || repeat < at) {
		return repeat, true
	}
	return at, ok
}

// afterCancels returns when a release is due again because the latest may have overtaken the
// cancel of an attempt at another engine: until that engine knows, the attempt waits for the
// state, and a release does not free it.
func (l *Ledger) afterCancels(e *entry) (at Time, ok bool) {
	for _, other := range l.entries {
		if !other.uncertain || other.delivered == 0 {
			continue
		}
		if known := other.first + CancelTransit; e.last < known && (!ok || known < at) {
			at, ok = known, true
		}
	}
	return at, ok
}

// Due returns the engines that are to be told to release now, in order of name. The caller
// reports the end of each release with ReleaseEnded.
func (l *Ledger) Due(now Time) []string {
	var due []string
	for _, name := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[name]
		if at, ok := l.nextRelease(e); !ok || at > now {
			continue
		}
		if e.due == 0 {
			e.due = now
		}
		e.inFlight = true
		due = append(due, name)
	}
	return due
}

// Until returns when a release that is under way at an engine is to be given up.
func (l *Ledger) Until(engine string) Time {
	if e := l.entries[engine]; e != nil {
		return e.due + l.limits.GiveUp
	}
	return 0
}

// ReleaseEnded records how a release ended: delivered, cancelled, or given up in time.
func (l *Ledger) ReleaseEnded(engine string, delivered bool, now Time) {
	e := l.entries[engine]
	if e == nil || !e.inFlight {
		return
	}
	e.inFlight, e.forced = false, false
	switch {
	case delivered && !l.over && l.out != None:
		e.last = now // an attempt may have been waiting for the state: it counts for nothing
	case delivered:
		if e.delivered++; e.delivered == 1 {
			e.first = now
		}
		e.last = now
	case now >= e.due+l.limits.GiveUp:
		e.abandoned = true
	}
}

// Superseded returns the engines whose release under way must not meet an attempt that has
// just gone out.
func (l *Ledger) Superseded(now Time) []string {
	var engines []string
	for name, e := range l.entries {
		if at, ok := l.releasableAt(e); e.inFlight && (!ok || at > now) {
			engines = append(engines, name)
		}
	}
	slices.Sort(engines)
	return engines
}

// Next returns when Due, Expired or CheckDue may have something new to say; false if only an
// event can bring that.
func (l *Ledger) Next() (at Time, ok bool) {
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
	if l.mayExpire() {
		earliest(l.expiresAt())
	}
	if l.needsCheck() {
		earliest(l.checkAt())
	}
	return at, ok
}

// Done tells whether the request is over and nothing is left to release.
func (l *Ledger) Done() bool {
	if !l.over {
		return false
	}
	for _, e := range l.entries {
		if _, due := l.nextRelease(e); due || e.inFlight {
			return false
		}
	}
	return true
}

// Forget records that an engine holds nothing and never will, as engines of its kind take no
// releases.
func (l *Ledger) Forget(engine string) {
	delete(l.entries, engine)
	if l.holder == engine {
		l.holder = ""
	}
}

// Urgent tells whether a draining gateway has to wait for a release: one that has not been
// delivered yet, or that has to be repeated, as it may have overtaken a cancel or as a read may
// run on and leave a state when the gateway has ended. Engines out of reach for several pin
// limits are not waited for.
func (l *Ledger) Urgent(now Time) bool {
	for _, e := range l.entries {
		undelivered := e.delivered == 0 && (e.due == 0 || now < e.due+urgentLimits*l.limits.Pin)
		_, repeated := l.nextRepeat(e)
		if !e.abandoned && (undelivered || e.delivered > 0 && repeated) {
			return true
		}
	}
	return false
}
