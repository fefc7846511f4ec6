package heldstate

// expiresAt returns when the waiting state has to be released, unless an attempt is certainly in
// flight by then. Half of the slack is left for the release's transit.
func (l *Ledger) expiresAt() Time {
	return l.noAttemptSince + l.limits.HeldStateLimit + l.limits.HeldStateSlack/2
}

// expiryRuns reports whether the time of a waiting state is running out.
func (l *Ledger) expiryRuns() bool { return l.stateHolder != "" && l.attemptState != Confirmed }

// Expired reports whether the state has waited for a decode engine as long as it may.
func (l *Ledger) Expired(now Time) bool { return l.expiryRuns() && now >= l.expiresAt() }

// Expire has the waiting state released. Where an attempt may be in flight, one release is sent
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

// reachCheckAt returns when the engine of an unconfirmed attempt has to be checked: early enough for
// a result before the state expires.
func (l *Ledger) reachCheckAt() Time {
	return max(l.noAttemptSince+l.limits.HeldStateLimit/reachCheckDivisor, l.expiresAt()-l.limits.ReachTimeout)
}

// needsReachCheck reports whether a check can avoid a release under an attempt. Such a release may
// take the state from an attempt that waits in its engine's queue.
func (l *Ledger) needsReachCheck() bool {
	return l.attemptState == Unconfirmed && !l.reachChecked && !l.finished && len(l.entries) > 0
}

// ReachCheckDue reports, once for each unconfirmed attempt, that its engine has to be checked now. If
// the engine can be reached, the caller records it with SetAttemptState.
func (l *Ledger) ReachCheckDue(now Time) bool {
	due := l.needsReachCheck() && now >= l.reachCheckAt()
	l.reachChecked = l.reachChecked || due
	return due
}
