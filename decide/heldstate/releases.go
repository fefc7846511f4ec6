package heldstate

import (
	"maps"
	"slices"
)

// ReleasesDue returns the engines that must be sent a release now, sorted by name. The caller reports the end
// of each release with ReleaseEnded.
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

// ReleaseDeadline returns the time at which retries of the release in flight at an engine stop.
func (l *Ledger) ReleaseDeadline(engine string) Time {
	if e := l.entries[engine]; e != nil {
		return e.pendingSince + l.limits.ReleaseTimeout
	}
	return 0
}

// ReleaseEnded records that a release ended: it was delivered, cancelled, or abandoned at its deadline.
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

// ReleasesToCancel returns the engines, sorted by name, whose release in flight must be cancelled because an
// attempt has been written: the release could free the state of the next prefill.
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

// RepeatReleases schedules another release at every engine that may hold state. It is called when an attempt
// ends that may have been waiting for the state, because earlier releases then had no effect.
func (l *Ledger) RepeatReleases() {
	for _, e := range l.entries {
		e.deliveredCount, e.lastDeliveredAt, e.lastUncertainAt = 0, 0, 0
	}
}

// DropEngine records that an engine neither holds state nor will hold any, because engines of its kind accept
// no releases.
func (l *Ledger) DropEngine(engine string) {
	delete(l.entries, engine)
	if l.stateHolder == engine {
		l.stateHolder = ""
	}
}

// Completed reports whether the request has its final answer and no release is pending or in flight.
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

// BlocksDrain reports whether a draining gateway must wait for a release. It waits for a release that has not
// been delivered, and for one that must be repeated because it may have arrived before a cancellation or
// because a prefill may still run and create state after the gateway has ended. It does not wait for engines
// that have been unreachable for drainWaitFactor times the held-state limit, and at least minDrainWait.
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
