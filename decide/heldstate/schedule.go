package heldstate

import "time"

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
