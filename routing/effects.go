package routing

import "time"

// effectRecord records the attempts of one request that may have run. It reads and changes no other state.
// Sends and outcomes update it; the choice of eligible engines, retries and final answers read it.
type effectRecord struct {
	runs []possibleRun // in order of sending
}

// possibleRun is an attempt that may have run on its engine.
type possibleRun struct {
	zone   string
	cell   int
	sentAt Time
}

// add records an attempt that is being sent to a decode or mixed engine.
func (f *effectRecord) add(e *engine, now Time) {
	f.runs = append(f.runs, possibleRun{e.Zone, e.Cell, now})
}

// removeLatest removes the latest attempt after its outcome proved that it had no effect.
func (f *effectRecord) removeLatest() {
	if n := len(f.runs); n > 0 {
		f.runs = f.runs[:n-1]
	}
}

// allows reports whether the class's effect permits another attempt at e, which is sent now and arrives
// within delay. An at-most-once request permits none after an attempt that may have run; a deduplicated one
// only where the engines drop the duplicate.
func (f *effectRecord) allows(class *Class, e *engine, now Time, delay time.Duration) bool {
	if class.Effect == EffectIdempotent {
		return true
	}
	for _, run := range f.runs {
		switch {
		case class.Effect == EffectAtMostOnce,
			now+delay-run.sentAt >= class.DedupWindow, // it may arrive after the window
			class.DedupScope == DedupZone && run.zone != e.Zone,
			class.DedupScope == DedupCell && run.cell != e.Cell:
			return false
		}
	}
	return true
}

// forbidsRetry reports whether no further attempt is allowed at any engine.
func (f *effectRecord) forbidsRetry(class *Class) bool {
	return len(f.runs) > 0 && class.Effect == EffectAtMostOnce
}

// clientMayRetry reports whether the client may retry the request: either it has had no effect, or a
// duplicate is harmless or dropped by every engine. The class is nil if it is unknown.
func (f *effectRecord) clientMayRetry(class *Class) bool {
	if len(f.runs) == 0 || class == nil || class.Effect == EffectIdempotent {
		return true
	}
	return class.Effect == EffectDeduplicated && class.DedupScope == DedupAllEngines
}

// provesNoEffect reports whether a status proves that the attempt had no effect.
func provesNoEffect(s Status) bool {
	return s == StatusRejected || s == StatusConnectFailed || s == StatusNotSent || s == StatusPrefilled
}
