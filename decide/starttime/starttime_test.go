package starttime

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// wall is a true time on the machines' wall clock.
func wall(d time.Duration) time.Time { return time.UnixMilli(1_700_000_000_000).Add(d) }

func TestStart(t *testing.T) {
	const s, hour = time.Second, time.Hour
	type list struct {
		at, step, stamp time.Duration // true time, how far the wall clock is off then, what is stated
		want            Time
	}
	for name, lists := range map[string][]list{
		"no step":                         {{100 * s, 0, 98 * s, 98 * s}},
		"stated again":                    {{100 * s, 0, 98 * s, 98 * s}, {200 * s, 0, 98 * s, 98 * s}},
		"stated again after a step":       {{100 * s, 0, 98 * s, 98 * s}, {200 * s, hour, 98 * s, 98 * s}, {300 * s, -hour, 98 * s, 98 * s}},
		"restart after a step forward":    {{100 * s, 0, 50 * s, 50 * s}, {200 * s, hour, 198 * s, 198 * s}},
		"restart after a step back":       {{100 * s, 0, 50 * s, 50 * s}, {200 * s, -hour, 198 * s, 200 * s}},
		"new engine after a step forward": {{200 * s, hour, 198 * s, 198 * s}},
		"stamps by the stepped clock":     {{200 * s, hour, 198*s + hour, 200 * s}},
		"stamps by one put back":          {{200 * s, -hour, 198*s - hour, 198 * s}},
		"a stamp of the future":           {{100 * s, 0, 400 * s, 100 * s}, {500 * s, 0, 400 * s, 100 * s}},
		"restart that seems older":        {{100 * s, 0, 50 * s, 50 * s}, {200 * s, 0, 20 * s, 100 * s}},
	} {
		table := New(Clock{Now: 0, Wall: wall(0)})
		for n, l := range lists {
			got := table.Start("e", wall(l.stamp), Clock{Now: l.at, Wall: wall(l.at + l.step)})
			if got != l.want {
				t.Errorf("%s, list %d: started at %v, want %v", name, n, got, l.want)
			}
		}
	}
	if at := New(Clock{}).Start("e", time.Time{}, Clock{Now: time.Hour}); at != Unknown {
		t.Errorf("no stamp: %v", at)
	}
}

// Whatever steps the wall clock takes, an engine that restarts is never taken to have started
// before its former start was last stated, nor after its new one was first read; and no list that
// states the same moves it.
func TestStartUnderDrawnSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(Clock{Wall: wall(0)})
		now, step, stamp := time.Duration(0), time.Duration(0), time.Duration(-time.Minute)
		last, seen := table.Start("e", wall(stamp), Clock{Now: now, Wall: wall(now)}), now
		for range rapid.IntRange(1, 20).Draw(t, "lists") {
			now += time.Duration(rapid.IntRange(1, 60_000).Draw(t, "pause ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "steps") {
				step = time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "step s")) * time.Second
			}
			restarted := rapid.Bool().Draw(t, "restarts")
			if restarted {
				stamp = now - time.Duration(rapid.IntRange(0, 5000).Draw(t, "age ms"))*time.Millisecond
			}
			stated := wall(stamp)
			if restarted && rapid.Bool().Draw(t, "stamped by the stepped clock") {
				stamp += step
				stated = wall(stamp)
			}
			got := table.Start("e", stated, Clock{Now: now, Wall: wall(now + step)})
			if !restarted && got != last {
				t.Fatalf("stated again: %v, before %v", got, last)
			}
			if got > now || restarted && got != last && got < seen {
				t.Fatalf("started at %v; last stated before at %v, read at %v", got, seen, now)
			}
			last, seen = got, now
		}
	})
}

func TestTableIsBounded(t *testing.T) {
	table := New(Clock{Wall: wall(0)})
	for n := range MaxEngines + 100 {
		table.Start(strconv.Itoa(n), wall(0), Clock{Now: time.Second, Wall: wall(time.Second)})
	}
	if len(table.starts) != MaxEngines || len(table.insertionOrder) != MaxEngines {
		t.Errorf("%d engines, %d in order", len(table.starts), len(table.insertionOrder))
	}
}
