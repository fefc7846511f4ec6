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

// expiresAt returns when state has to be released, unless an attempt is certainly in flight by then;
// false if none may be held.
func (l *Ledger) expiresAt() (at Time, ok bool) {
	if l.attemptState == confirmed {
		return 0, false
	}
	if l.stateHolder != "" {
		return l.noAttemptSince + l.stateWait(), true
	}
	prefill, ok := l.unansweredPrefill()
	return max(prefill.WrittenAt, l.noAttemptSince) + l.stateWait(), ok
}

// Expired reports whether state has waited for a decode engine as long as it may, or may have.
func (l *Ledger) Expired(now Time) bool {
	at, ok := l.expiresAt()
	return ok && now >= at
}

// Expire has the state released. Where an attempt may be in flight, one release is sent without giving
// the state up: it has no effect if the attempt has arrived and fetched it. Where the answer to a
// prefill may be lost, its engine is sent one as well.
func (l *Ledger) Expire(now Time) {
	if l.attemptState == noAttempt {
		l.stateHolder = ""
		return
	}
	l.noAttemptSince = now
	for _, f := range l.flights {
		if f.Prefills {
			l.entry(f.Engine)
		}
	}
	for _, e := range l.entries {
		e.releaseForced = true
	}
}
