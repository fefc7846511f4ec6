package heldstate

import "time"

// minStateWait is for how long state waits at least, as far as half of the slack allows: with a limit
// of a few milliseconds no attempt could fetch it in time.
const minStateWait = 50 * time.Millisecond

// stateWait returns for how long state may wait for a decode engine before it is released. That is the
// limit itself: the slack is for a process that is held up on reading the answer or on writing the
// release, and for the release's transit.
func (l *Ledger) stateWait() time.Duration {
	return max(l.limits.HeldStateLimit, min(l.limits.HeldStateLimit+l.limits.HeldStateSlack/2, minStateWait))
}

// expiresAt returns when the waiting state has to be released, unless an attempt is certainly in flight by
// then; false if none waits.
func (l *Ledger) expiresAt() (at Time, ok bool) {
	if l.stateHolder == "" || l.attemptState == confirmed {
		return 0, false
	}
	return l.noAttemptSince + l.stateWait(), true
}

// Expired reports whether state has waited for a decode engine as long as it may.
func (l *Ledger) Expired(now Time) bool {
	at, ok := l.expiresAt()
	return ok && now >= at
}

// Expire has the state released. Where an attempt may be in flight, one release is sent without giving
// the state up: it has no effect if the attempt has arrived and fetched it.
func (l *Ledger) Expire(now Time) {
	if l.attemptState == noAttempt {
		l.stateHolder = ""
		return
	}
	l.noAttemptSince = now
	for _, e := range l.entries {
		e.releaseForced = true
	}
}
