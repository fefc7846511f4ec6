package heldstate

import "time"

// repeatInterval returns the time between two releases at an engine where a prefill may run on.
func (l *Ledger) repeatInterval() time.Duration {
	return max(l.limits.HeldStateLimit, MinReleaseInterval)
}

// releasableAt returns from when on an engine may be sent a release; false if it may not. One release
// frees all state that no attempt waits for, at whatever engine it is held. So none is sent for what
// an earlier attempt may have left while state waits for a decode engine, and while an attempt may be
// in flight none before it has to be.
func (l *Ledger) releasableAt(e *engineEntry) (at Time, ok bool) {
	switch {
	case l.finished || e.releaseForced:
		return 0, true
	case l.stateHolder != "" || l.attemptState == confirmed:
		return 0, false
	case l.attemptState == unconfirmed:
		return l.noAttemptSince + l.stateWait(), true
	}
	return 0, true
}

// nextRelease returns when the next release at an engine is due; false if none is.
func (l *Ledger) nextRelease(e *engineEntry) (at Time, ok bool) {
	from, ok := l.releasableAt(e)
	if !ok || e.releasing || e.givenUp {
		return 0, false
	}
	if e.releaseForced {
		return from, true
	}
	if e.lastAttempted > 0 {
		from = max(from, e.lastAttempted+l.repeatInterval())
	}
	if e.delivered == 0 {
		return from, true
	}
	at, ok = l.nextRepeat(e)
	return max(from, at), ok
}

// nextRepeat returns when a release that was delivered is due once more; false if it is not.
func (l *Ledger) nextRepeat(e *engineEntry) (at Time, ok bool) {
	at, ok = l.afterCancels(e)
	prefillMayRun := e.prefillMayRun && e.lastRelease < e.firstDelivery+l.limits.MaxCancelledPrefill
	if repeat := e.lastRelease + l.repeatInterval(); prefillMayRun && (!ok || repeat < at) {
		return repeat, true
	}
	return at, ok
}

// afterCancels returns when a release is due again because the latest may have overtaken the cancel
// of an attempt at another engine: until that engine knows of it, the attempt waits for the state,
// and a release does not free it.
func (l *Ledger) afterCancels(e *engineEntry) (at Time, ok bool) {
	for _, other := range l.entries {
		if !other.attemptLost || other.delivered == 0 {
			continue
		}
		if known := other.firstDelivery + MaxCancelDelay; e.lastRelease < known && (!ok || known < at) {
			at, ok = known, true
		}
	}
	return at, ok
}

// NextUpdate returns when ReleasesDue or Expired may change by time alone; false if
// only an event changes them.
func (l *Ledger) NextUpdate() (at Time, ok bool) {
	consider := func(t Time) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	for _, e := range l.entries {
		if t, due := l.nextRelease(e); due {
			consider(t)
		}
	}
	if expires, runs := l.expiresAt(); runs {
		consider(expires)
	}
	return at, ok
}
