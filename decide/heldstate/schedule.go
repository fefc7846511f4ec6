package heldstate

import "time"

// repeatInterval returns the time between two releases at an engine where a prefill may still run.
func (l *Ledger) repeatInterval() time.Duration {
	return max(l.limits.HeldStateLimit, MinReleaseInterval)
}

// releasableAt returns the earliest time at which an engine may be sent a release; ok is false if it may not
// be sent one. One release frees all state of the request that no attempt waits for, at any engine. Therefore
// no release for state of an earlier attempt is sent while state waits for a decode engine, and while an
// attempt may be in flight none is sent before the maximum wait has elapsed.
func (l *Ledger) releasableAt(e *engineEntry) (at Time, ok bool) {
	switch {
	case l.finished || e.releaseForced:
		return 0, true
	case l.stateHolder != "" || l.attemptState == confirmed:
		return 0, false
	case l.attemptState == unconfirmed:
		return l.noAttemptSince + l.maxStateWait(), true
	}
	return 0, true
}

// nextReleaseAt returns the time of the next release at an engine; ok is false if none is scheduled.
func (l *Ledger) nextReleaseAt(e *engineEntry) (at Time, ok bool) {
	earliest, ok := l.releasableAt(e)
	if !ok || e.releasing || e.abandoned {
		return 0, false
	}
	if e.releaseForced {
		return earliest, true
	}
	if e.lastUncertainAt > 0 {
		earliest = max(earliest, e.lastUncertainAt+l.repeatInterval())
	}
	if e.deliveredCount == 0 {
		return earliest, true
	}
	at, ok = l.nextRepeatAt(e)
	return max(earliest, at), ok
}

// nextRepeatAt returns when a delivered release must be repeated; ok is false if it need not be.
func (l *Ledger) nextRepeatAt(e *engineEntry) (at Time, ok bool) {
	at, ok = l.repeatAfterCancelAt(e)
	prefillMayRun := e.prefillMayRun && e.lastDeliveredAt < e.firstDeliveredAt+l.limits.MaxCancelledPrefill
	if repeat := e.lastDeliveredAt + l.repeatInterval(); prefillMayRun && (!ok || repeat < at) {
		return repeat, true
	}
	return at, ok
}

// repeatAfterCancelAt returns when a release must be repeated because the latest one may have arrived before
// the cancellation of an attempt at another engine. Until that engine processes the cancellation, the attempt
// waits for the state, and a release does not free it.
func (l *Ledger) repeatAfterCancelAt(e *engineEntry) (at Time, ok bool) {
	for _, cancelled := range l.entries {
		if !cancelled.attemptLost || cancelled.deliveredCount == 0 {
			continue
		}
		if processedAt := cancelled.firstDeliveredAt + MaxCancelDelay; e.lastDeliveredAt < processedAt &&
			(!ok || processedAt < at) {
			at, ok = processedAt, true
		}
	}
	return at, ok
}

// NextUpdate returns the earliest time at which the results of ReleasesDue or Expired may change without an
// event; ok is false if only an event can change them.
func (l *Ledger) NextUpdate() (at Time, ok bool) {
	consider := func(t Time) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	for _, e := range l.entries {
		if t, due := l.nextReleaseAt(e); due {
			consider(t)
		}
	}
	if expires, waiting := l.expiresAt(); waiting {
		consider(expires)
	}
	return at, ok
}
