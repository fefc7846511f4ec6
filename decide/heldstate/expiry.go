package heldstate

import "time"

// Parts of the slack that are left for a release that is due: the process may be held up before it writes
// that, and it has to arrive, if need be by way of another engine.
const (
	stallReserve    = 150 * time.Millisecond
	deliveryReserve = 50 * time.Millisecond
)

// maxStateWait returns for how long state may wait for a decode engine before it is released.
func (l *Ledger) maxStateWait() time.Duration {
	return l.limits.HeldStateLimit + max(0, l.limits.HeldStateSlack-stallReserve-deliveryReserve)
}

// expiresAt returns when the waiting state has to be released, unless an attempt is certainly in flight by
// then; false if none waits.
func (l *Ledger) expiresAt() (at Time, ok bool) {
	if l.stateHolder == "" || l.attemptState == confirmed {
		return 0, false
	}
	return l.noAttemptSince + l.maxStateWait(), true
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
