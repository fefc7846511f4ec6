package heldstate

import (
	"maps"
	"slices"
)

// ReleasesDue returns the engines that are to be sent a release now, in order of name. The caller
// reports the end of each release with ReleaseEnded.
func (l *Ledger) ReleasesDue(now Time) []string {
	var due []string
	for _, name := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[name]
		if at, ok := l.nextReleaseAt(e); !ok || at > now {
			continue
		}
		if e.pendingSince == 0 {
			e.pendingSince = now
		}
		e.releasing = true
		due = append(due, name)
	}
	return due
}

// ReleaseDeadline returns when the release in flight at an engine is to be given up.
func (l *Ledger) ReleaseDeadline(engine string) Time {
	if e := l.entries[engine]; e != nil {
		return e.pendingSince + l.limits.ReleaseTimeout
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
	case delivered && !l.finished && l.attemptState != noAttempt:
		e.lastUncertainAt = now // an attempt may have been waiting for the state
	case delivered:
		if e.deliveredCount++; e.deliveredCount == 1 {
			e.firstDeliveredAt = now
		}
		e.lastDeliveredAt = now
	case now >= e.pendingSince+l.limits.ReleaseTimeout:
		e.abandoned = true
	}
}

// ReleasesToCancel returns the engines, in order of name, whose release in flight must not meet an
// attempt that has just been written: it could free the state of the next prefill.
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

// RepeatReleases makes a release due at every engine: an attempt has ended that may have been waiting
// for the state until now, so that no release had an effect.
func (l *Ledger) RepeatReleases() {
	for _, e := range l.entries {
		e.deliveredCount, e.lastDeliveredAt, e.lastUncertainAt = 0, 0, 0
	}
}

// DropEngine records that an engine holds no state and never will, as engines of its kind take no
// releases.
func (l *Ledger) DropEngine(engine string) {
	delete(l.entries, engine)
	if l.stateHolder == engine {
		l.stateHolder = ""
	}
}

// Completed reports whether the request has its final answer and nothing is left to release.
func (l *Ledger) Completed() bool {
	if !l.finished {
		return false
	}
	for _, e := range l.entries {
		if _, due := l.nextReleaseAt(e); due || e.releasing {
			return false
		}
	}
	return true
}

// BlocksDrain reports whether a draining gateway has to wait for a release: one that has not been
// delivered yet, or that has to be repeated, as it may have overtaken a cancel or as a prefill may
// run on and leave state when the gateway has ended. Engines that have been out of reach for
// maxDrainWait are not waited for.
func (l *Ledger) BlocksDrain(now Time) bool {
	wait := max(drainWaitFactor*l.limits.HeldStateLimit, minDrainWait)
	for _, e := range l.entries {
		undelivered := e.deliveredCount == 0 && (e.pendingSince == 0 || now < e.pendingSince+wait)
		_, repeated := l.nextRepeatAt(e)
		if !e.abandoned && (undelivered || e.deliveredCount > 0 && repeated) {
			return true
		}
	}
	return false
}
