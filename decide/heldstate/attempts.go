package heldstate

import "maps"

// StateHolder returns the engine that holds state for a future attempt at a decode engine; "" for none.
func (l *Ledger) StateHolder() string { return l.stateHolder }

// PrefillCompleted records that an engine has prefilled the prompt and holds the resulting state.
// answeredAt is the earliest time at which its answer may have arrived; the held-state limit runs from then.
func (l *Ledger) PrefillCompleted(engine string, answeredAt Time) {
	l.noAttemptSince = answeredAt
	e := &engineEntry{}
	if previous := l.entries[engine]; previous != nil { // an earlier prefill at this engine may still run
		e.attemptLost, e.prefillMayRun = previous.attemptLost, previous.prefillMayRun
		if previous.releasing { // this release must not free the new state: see ReleasesToCancel
			e.releasing, e.pendingSince = true, answeredAt
		}
	}
	l.entries[engine] = e
	if !l.finished {
		l.stateHolder = engine
	}
}

// AttemptLost records that an attempt ended without an answer. The engine may hold state for it or, if it
// prefills and the prefill still runs, may create state later.
func (l *Ledger) AttemptLost(engine string, prefills bool) {
	e := l.entries[engine]
	if e == nil {
		e = &engineEntry{}
		l.entries[engine] = e
	}
	e.attemptLost, e.deliveredCount, e.lastDeliveredAt, e.lastUncertainAt = true, 0, 0, 0
	e.prefillMayRun = e.prefillMayRun || prefills
}

// AttemptFailed records that an engine answered an attempt with an error.
func (l *Ledger) AttemptFailed(engine string) {
	if l.entries[engine] == nil {
		l.entries[engine] = &engineEntry{}
	}
}

// AnswerStarted records that an answer has begun, which implies that the state was fetched. If the answer is
// interrupted, the engines are still sent releases.
func (l *Ledger) AnswerStarted() { l.stateHolder = "" }

// AnswerCompleted records that an answer is complete. Engines then release all state without a release from
// the gateway. Detached state and cancelled prefills that may still run remain recorded.
func (l *Ledger) AnswerCompleted() {
	l.stateHolder = ""
	maps.DeleteFunc(l.entries, func(_ string, e *engineEntry) bool { return !e.detached && !e.prefillMayRun })
}

// Detach schedules a release of the held state because the request continues at an engine that fetches none.
func (l *Ledger) Detach() {
	if e := l.entries[l.stateHolder]; e != nil {
		e.detached, e.releaseForced = true, true
	}
	l.stateHolder = ""
}

// StateMissing records that a decode engine found no state. The prefill engine may only have been
// unreachable from the decode engine and may still hold the state, so it is sent a release nevertheless.
func (l *Ledger) StateMissing() { l.stateHolder = "" }

// Finish records that the request has its final answer and that no further attempt follows.
func (l *Ledger) Finish() {
	if l.finished {
		return
	}
	l.finished, l.stateHolder = true, ""
	l.resetUncertainReleases()
}

// resetUncertainReleases clears the record of releases that were sent while an attempt may have been waiting
// for the state, so that those releases are repeated without delay.
func (l *Ledger) resetUncertainReleases() {
	for _, e := range l.entries {
		e.lastUncertainAt = 0
	}
}
