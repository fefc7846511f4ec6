package core

import (
	"testing"
	"time"
)

// An event observed right after a pause may have occurred at the start of the pause, but at most maxStall
// earlier. An event observed while the core is running occurred when it was observed.
func TestEarliestAfterStall(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name                     string
		lastRoundEnd, roundStart int
		observedAt, want         int
	}{
		{"no pause", 100, 101, 101, 101},
		{"a short pause", 100, 140, 140, 100},
		{"observed by a goroutine that resumed before the core's", 100, 140, 139, 100},
		{"a pause longer than maxStall", 100, 900, 900, 750},
		{"observed before the pause", 100, 140, 99, 99},
		{"observed later than minStall after the pause", 100, 140, 150, 150},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d stallDetector
			d.endRound(at(c.lastRoundEnd))
			d.beginRound(at(c.roundStart))
			if got := d.earliestEventTime(at(c.observedAt), maxStall); !got.Equal(at(c.want)) {
				t.Errorf("earliest event time %v, want %v", got.Sub(start), at(c.want).Sub(start))
			}
		})
	}
}
