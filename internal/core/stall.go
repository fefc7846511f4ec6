package core

import "time"

// maxStall is the longest stall of the process, caused by a busy machine or a stop signal, that delays the
// observation of an event. A longer pause of the core's goroutine means that it was idle.
const maxStall = 150 * time.Millisecond

// minStall is the shortest pause that is recorded. A busy core runs more often than that.
const minStall = 2 * time.Millisecond

// stallDetector records the latest pause of the core's goroutine. During a pause the core was idle or the
// process was stalled. The two can't be distinguished, so an event observed right after a pause may have
// occurred as early as the start of the pause. stallDetector is owned by the core's goroutine.
type stallDetector struct {
	lastRoundEnd         time.Time // when the goroutine completed its latest round
	pauseStart, pauseEnd time.Time // of the latest pause
}

// beginRound records that the core's goroutine starts to handle messages.
func (d *stallDetector) beginRound(now time.Time) {
	if now.Sub(d.lastRoundEnd) >= minStall {
		d.pauseStart, d.pauseEnd = d.lastRoundEnd, now
	}
}

// endRound records that the core's goroutine has handled all due messages.
func (d *stallDetector) endRound(now time.Time) { d.lastRoundEnd = now }

// earliestEventTime returns the earliest time at which an event may have occurred that was observed at
// observedAt: if that was right after a pause, the start of the pause, but at most maxAge before
// observedAt; otherwise observedAt.
func (d *stallDetector) earliestEventTime(observedAt time.Time, maxAge time.Duration) time.Time {
	if observedAt.Before(d.pauseStart) || observedAt.After(d.pauseEnd.Add(minStall)) {
		return observedAt
	}
	if oldest := observedAt.Add(-maxAge); oldest.After(d.pauseStart) {
		return oldest
	}
	return d.pauseStart
}
