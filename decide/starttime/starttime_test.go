package starttime

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// wall converts a time since the start of the test to the wall clock, without steps.
func wall(d time.Duration) time.Time { return time.UnixMilli(1_700_000_000_000).Add(d) }

func TestStart(t *testing.T) {
	const s, hour = time.Second, time.Hour
	type list struct {
		at            time.Duration // when the list is read
		step          time.Duration // offset of the wall clock then
		reportedStart time.Duration
		want          Time
	}
	for name, lists := range map[string][]list{
		"no step":                          {{100 * s, 0, 98 * s, 98 * s}},
		"reported again":                   {{100 * s, 0, 98 * s, 98 * s}, {200 * s, 0, 98 * s, 98 * s}},
		"reported again after a step":      {{100 * s, 0, 98 * s, 98 * s}, {200 * s, hour, 98 * s, 98 * s}, {300 * s, -hour, 98 * s, 98 * s}},
		"restart after a step forward":     {{100 * s, 0, 50 * s, 50 * s}, {200 * s, hour, 198 * s, 198 * s}},
		"restart after a step back":        {{100 * s, 0, 50 * s, 50 * s}, {200 * s, -hour, 198 * s, 200 * s}},
		"new engine after a step forward":  {{200 * s, hour, 198 * s, 198 * s}},
		"start by a clock stepped forward": {{200 * s, hour, 198*s + hour, 200 * s}},
		"start by a clock stepped back":    {{200 * s, -hour, 198*s - hour, 198 * s}},
		"start in the future":              {{100 * s, 0, 400 * s, 100 * s}, {500 * s, 0, 400 * s, 100 * s}},
		"restart with an earlier start":    {{100 * s, 0, 50 * s, 50 * s}, {200 * s, 0, 20 * s, 100 * s}},
	} {
		table := New(Clock{Now: 0, Wall: wall(0)})
		for n, l := range lists {
			got := table.Start("e", wall(l.reportedStart), Clock{Now: l.at, Wall: wall(l.at + l.step)})
			if got != l.want {
				t.Errorf("%s, list %d: started at %v, want %v", name, n, got, l.want)
			}
		}
	}
	if at := New(Clock{}).Start("e", time.Time{}, Clock{Now: time.Hour}); at != Unknown {
		t.Errorf("no reported start: %v", at)
	}
}

// For any steps of the wall clock, the start of an engine that restarts is not before its previous start was
// last reported, nor after its new start was first read. A list that reports the same start again does not
// change it.
func TestStartUnderRandomSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(Clock{Wall: wall(0)})
		now, step, reportedStart := time.Duration(0), time.Duration(0), time.Duration(-time.Minute)
		last, lastReported := table.Start("e", wall(reportedStart), Clock{Now: now, Wall: wall(now)}), now
		for range rapid.IntRange(1, 20).Draw(t, "lists") {
			now += time.Duration(rapid.IntRange(1, 60_000).Draw(t, "pause ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "steps") {
				step = time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "step s")) * time.Second
			}
			restarted := rapid.Bool().Draw(t, "restarts")
			if restarted {
				reportedStart = now - time.Duration(rapid.IntRange(0, 5000).Draw(t, "age ms"))*time.Millisecond
			}
			reported := wall(reportedStart)
			if restarted && rapid.Bool().Draw(t, "reported by the stepped clock") {
				reportedStart += step
				reported = wall(reportedStart)
			}
			got := table.Start("e", reported, Clock{Now: now, Wall: wall(now + step)})
			if !restarted && got != last {
				t.Fatalf("reported again: start %v, previously %v", got, last)
			}
			if got > now || restarted && got != last && got < lastReported {
				t.Fatalf("start %v; previous start last reported at %v, new one read at %v", got, lastReported, now)
			}
			last, lastReported = got, now
		}
	})
}

func TestTableIsBounded(t *testing.T) {
	table := New(Clock{Wall: wall(0)})
	for n := range MaxEngines + 100 {
		table.Start(strconv.Itoa(n), wall(0), Clock{Now: time.Second, Wall: wall(time.Second)})
	}
	if len(table.starts) != MaxEngines || len(table.insertionOrder) != MaxEngines {
		t.Errorf("%d engines, %d names in insertion order", len(table.starts), len(table.insertionOrder))
	}
}
