package core

import (
	"testing"
	"time"
)

// What is seen right after a pause may be as old as the pause, within bounds; what is seen while the core
// runs is as old as it looks.
func TestEarliestAfterStall(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name             string
		lastRun, running int
		seen, want       int
	}{
		{"no pause", 100, 101, 101, 101},
		{"a short pause", 100, 140, 140, 100},
		{"seen by a goroutine that ran before the core", 100, 140, 139, 100},
		{"a pause longer than any stall", 100, 900, 900, 750},
		{"seen before the pause", 100, 140, 99, 99},
		{"seen well after it", 100, 140, 150, 150},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d stallDetector
			d.endRound(at(c.lastRun))
			d.beginRound(at(c.running))
			if got := d.earliestEventTime(at(c.seen), maxStall); !got.Equal(at(c.want)) {
				t.Errorf("earliest %v, want %v", got.Sub(start), at(c.want).Sub(start))
			}
		})
	}
}
