package heldstate

import "maps"

// StateHolder returns the engine whose state waits for a decode engine, "" if there is none.
func (l *Ledger) StateHolder() string { return l.stateHolder }

// PrefillCompleted records that a prompt has been read and its state waits at an engine.
func (l *Ledger) PrefillCompleted(engine string, now Time) {
	l.noAttemptSince = now
	e := &engineEntry{}
	if old := l.entries[engine]; old != nil { // an earlier read there may still run on
		e.attemptLost, e.prefillMayRun = old.attemptLost, old.prefillMayRun
	}
	l.entries[engine] = e
	if !l.finished {
		l.stateHolder = engine
	}
}

// AttemptLost records that an attempt ended without an answer: it may have left a state or,
// where it is a read that runs on, may leave one later.
func (l *Ledger) AttemptLost(engine string, reads bool) {
	e := l.entries[engine]
	if e == nil {
		e = &engineEntry{}
		l.entries[engine] = e
	}
	e.attemptLost, e.delivered, e.lastRelease = true, 0, 0
	e.prefillMayRun = e.prefillMayRun || reads
}

// AttemptFailed records that an engine answered an attempt with an error.
func (l *Ledger) AttemptFailed(engine string) {
	if l.entries[engine] == nil {
		l.entries[engine] = &engineEntry{}
	}
}

// AnswerStarted records that an answer has begun, so the state was fetched. Should the answer
// break, the engines are told all the same.
func (l *Ledger) AnswerStarted() { l.stateHolder = "" }

// AnswerCompleted records that an answer is complete, with which engines release everything else.
// A cancelled read that may run on stays recorded, and so does a detached state.
func (l *Ledger) AnswerCompleted() {
	l.stateHolder = ""
	maps.DeleteFunc(l.entries, func(_ string, e *engineEntry) bool { return !e.detached && !e.prefillMayRun })
}

// Detach has the waiting state released while the request goes on at an engine that fetches
// none.
func (l *Ledger) Detach() {
	if e := l.entries[l.stateHolder]; e != nil {
		e.detached, e.releaseForced = true, true
	}
	l.stateHolder = ""
}

// StateMissing records that a decode engine found no state. The prefill engine may only have been out of the
// decode engine's reach, so it is told to release all the same.
func (l *Ledger) StateMissing() { l.stateHolder = "" }

// Finish records that the request has its final answer.
func (l *Ledger) Finish() {
	if l.finished {
		return
	}
	l.finished, l.stateHolder = true, ""
	l.resetUndelivered()
}

// AttemptConfirmedUntil records that an attempt was certainly out until now.
func (l *Ledger) AttemptConfirmedUntil(now Time) { l.noAttemptSince = now }

// SetAttemptState says whether an attempt of the request is out.
func (l *Ledger) SetAttemptState(out AttemptState, now Time) {
	if l.attemptState == Confirmed && out != Confirmed || l.noAttemptSince == 0 {
		l.noAttemptSince = now
	}
	if l.attemptState != NoAttempt && out == NoAttempt {
		l.resetUndelivered()
	}
	if l.attemptState != out {
		l.reachChecked = false
	}
	l.attemptState = out
}

// resetUndelivered makes releases due at once that were delivered only while an attempt may have
// been waiting for the state.
func (l *Ledger) resetUndelivered() {
	for _, e := range l.entries {
		if e.delivered == 0 {
			e.lastRelease = 0
		}
	}
}
