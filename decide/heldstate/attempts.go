package heldstate

import "maps"

// StateHolder returns the engine whose state waits for an attempt at a decode engine, "" if there is
// none.
func (l *Ledger) StateHolder() string { return l.stateHolder }

// PrefillCompleted records that an engine has prefilled the prompt, and that its state waits there
// since its answer came, or may have come.
func (l *Ledger) PrefillCompleted(engine string, answered Time) {
	l.noAttemptSince = answered
	e := &engineEntry{}
	if previous := l.entries[engine]; previous != nil { // an earlier prefill there may still run on
		e.attemptLost, e.prefillMayRun = previous.attemptLost, previous.prefillMayRun
		if previous.releasing { // it must not free this state: see ReleasesToCancel
			e.releasing, e.pendingSince = true, answered
		}
	}
	l.entries[engine] = e
	if !l.finished {
		l.stateHolder = engine
	}
}

// AttemptLost records that an attempt ended without an answer: it may have left state or, where the
// engine prefills and runs on, may leave it later.
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

// AnswerStarted records that an answer has begun, so the state was fetched. Should the answer break
// off, the engines are sent releases all the same.
func (l *Ledger) AnswerStarted() { l.stateHolder = "" }

// AnswerCompleted records that an answer is complete, upon which engines release all state by
// themselves. A cancelled prefill that may run on stays recorded, and so does detached state.
func (l *Ledger) AnswerCompleted() {
	l.stateHolder = ""
	maps.DeleteFunc(l.entries, func(_ string, e *engineEntry) bool { return !e.detached && !e.prefillMayRun })
}

// Detach has the waiting state released while the request continues at an engine that fetches none.
func (l *Ledger) Detach() {
	if e := l.entries[l.stateHolder]; e != nil {
		e.detached, e.releaseForced = true, true
	}
	l.stateHolder = ""
}

// StateMissing records that a decode engine found no state. The prefill engine may only have been out
// of the decode engine's reach, so it is sent a release all the same.
func (l *Ledger) StateMissing() { l.stateHolder = "" }

// Finish records that the request has its final answer: no attempt follows.
func (l *Ledger) Finish() {
	if l.finished {
		return
	}
	l.finished, l.stateHolder = true, ""
	l.resetUncertainReleases()
}

// resetUncertainReleases forgets the releases that were sent while an attempt may have been waiting for the
// state: what they were to release is due at once.
func (l *Ledger) resetUncertainReleases() {
	for _, e := range l.entries {
		e.lastUncertainAt = 0
	}
}
