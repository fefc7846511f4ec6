package routing

import "time"

// effectRecord holds the attempts of one request that may have run. It reads and changes nothing else.
// Sends and outcomes feed it; the choice of eligible engines, retries and final answers ask.
type effectRecord struct {
	runs []possibleRun // in order of sending
}

// possibleRun is an attempt that may have run.
type possibleRun struct {
	zone string
	cell int
	sent Time
}

// add takes an attempt that is being sent to an engine that decodes.
func (f *effectRecord) add(e *engine, now Time) {
	f.runs = append(f.runs, possibleRun{e.Zone, e.Cell, now})
}

// removeLatest drops the latest attempt, which has proved not to have run.
func (f *effectRecord) removeLatest() {
	if n := len(f.runs); n > 0 {
		f.runs = f.runs[:n-1]
	}
}

// allows reports whether another attempt, at e, keeps to the class's effect: none where it must not run
// twice, and only where engines drop the duplicate otherwise. It is sent now and arrives within delay.
func (f *effectRecord) allows(class *Class, e *engine, now Time, delay time.Duration) bool {
	if class.Effect == EffectIdempotent {
		return true
	}
	for _, run := range f.runs {
		switch {
		case class.Effect == EffectAtMostOnce,
			now+delay-run.sent >= class.DedupWindow, // it might arrive after the window
			class.DedupScope == DedupZone && run.zone != e.Zone,
			class.DedupScope == DedupCell && run.cell != e.Cell:
			return false
		}
	}
	return true
}

// forbidsRetry reports whether no further attempt is allowed, wherever it goes.
func (f *effectRecord) forbidsRetry(class *Class) bool {
	return len(f.runs) > 0 && class.Effect == EffectAtMostOnce
}

// clientMayRetry reports whether the client may send the request again: it has had no effect, or its
// duplicate is harmless or dropped at every engine. The class is nil if it is not known.
func (f *effectRecord) clientMayRetry(class *Class) bool {
	if len(f.runs) == 0 || class == nil || class.Effect == EffectIdempotent {
		return true
	}
	return class.Effect == EffectDeduplicated && class.DedupScope == DedupAllEngines
}

// provesNoEffect reports whether an outcome proves that the attempt had no effect.
func provesNoEffect(s Status) bool {
	return s == StatusRejected || s == StatusConnectFailed || s == StatusNotSent || s == StatusPrefilled
}
