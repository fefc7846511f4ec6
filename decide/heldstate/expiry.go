package heldstate

import "time"

// Parts of the slack that are reserved for sending a release: the process may stall before it writes the
// release, and the delivery takes time, possibly through an alternate engine.
const (
	stallReserve    = 150 * time.Millisecond
	deliveryReserve = 50 * time.Millisecond
)

// maxStateWait returns the maximum time for which state may wait for a decode engine before it is released.
func (l *Ledger) maxStateWait() time.Duration {
	return l.limits.HeldStateLimit + max(0, l.limits.HeldStateSlack-stallReserve-deliveryReserve)
}

// expiresAt returns when the held state must be released, unless an attempt is confirmed to be in flight at
// that time. ok is false if no state is waiting or an attempt is confirmed.
func (l *Ledger) expiresAt() (at Time, ok bool) {
	if l.stateHolder == "" || l.attemptState == confirmed {
		return 0, false
	}
	return l.noAttemptSince + l.maxStateWait(), true
}

// Expired reports whether the held state has reached the maximum wait for a decode engine.
func (l *Ledger) Expired(now Time) bool {
	at, ok := l.expiresAt()
	return ok && now >= at
}

// Expire schedules a release of the held state. If an attempt may be in flight, one release is sent while the
// state remains available to the attempt: the release has no effect if the attempt has fetched the state.
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
