package core

import "time"

// maxStall is for how long the process may be held up, by a busy machine or a stop signal, between what
// happens and its own clock. A longer pause of the core was idleness.
const maxStall = 150 * time.Millisecond

// minStall is the shortest pause that is noted: the core runs more often than that while it is busy.
const minStall = 2 * time.Millisecond

// stallDetector notes the latest pause of the core's goroutine. In a pause the core was idle, or the process
// was held up; which of the two can't be told, so that what is seen right after it may be as old as its
// begin. It is owned by the core's goroutine.
type stallDetector struct {
	lastRoundEnd         time.Time // when the goroutine ended its latest round
	pauseStart, pauseEnd time.Time // of the latest pause
}

// beginRound records that the core's goroutine begins a round.
func (d *stallDetector) beginRound(now time.Time) {
	if now.Sub(d.lastRoundEnd) >= minStall {
		d.pauseStart, d.pauseEnd = d.lastRoundEnd, now
	}
}

// endRound records that the core's goroutine ends a round.
func (d *stallDetector) endRound(now time.Time) { d.lastRoundEnd = now }

// earliestEventTime returns since when something may have been waiting that was seen at a time: right after a pause
// since the pause began, but no longer than most.
func (d *stallDetector) earliestEventTime(seen time.Time, most time.Duration) time.Time {
	if seen.Before(d.pauseStart) || seen.After(d.pauseEnd.Add(minStall)) {
		return seen
	}
	if longest := seen.Add(-most); longest.After(d.pauseStart) {
		return longest
	}
	return d.pauseStart
}
