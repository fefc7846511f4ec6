package ejection

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wellgw/routing"
)

func active(name string, startTime routing.Time) routing.EngineInfo {
	return routing.EngineInfo{Name: name, Phase: routing.PhaseActive, StartTime: startTime}
}

func TestCommands(t *testing.T) {
	const now = routing.Time(time.Hour)
	for _, c := range []struct {
		name      string
		commands  func(set *Set) bool // returns the result of the last command
		accepted  bool
		ejected   []string
		phase     routing.Phase
		startTime routing.Time
	}{
		{"name never listed", func(set *Set) bool { _, ok := set.SetEjected("x", true, now); return ok }, false, nil, routing.PhaseActive, 0},
		{"eject", func(set *Set) bool { _, ok := set.SetEjected("e1", true, now); return ok }, true, []string{"e1"}, routing.PhaseDraining, 0},
		{"eject twice", func(set *Set) bool {
			set.SetEjected("e1", true, now)
			_, ok := set.SetEjected("e1", true, now)
			return ok
		}, true, []string{"e1"}, routing.PhaseDraining, 0},
		{"eject twice, restore once", func(set *Set) bool {
			set.SetEjected("e1", true, now)
			set.SetEjected("e1", true, now)
			_, ok := set.SetEjected("e1", false, now+time.Second)
			return ok
		}, true, nil, routing.PhaseActive, now + time.Second},
		{"restore without an ejection", func(set *Set) bool { _, ok := set.SetEjected("e1", false, now); return ok }, true, nil, routing.PhaseActive, 0},
		{"replaced set", func(set *Set) bool { set.Replace([]string{"e1", "unlisted"}, now); return true }, true, []string{"e1", "unlisted"}, routing.PhaseDraining, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := New()
			set.Register("e1")
			if got := c.commands(set); got != c.accepted {
				t.Errorf("accepted %v, want %v", got, c.accepted)
			}
			if !slices.Equal(set.Names(), c.ejected) && len(set.Names())+len(c.ejected) > 0 {
				t.Errorf("ejected %v, want %v", set.Names(), c.ejected)
			}
			info := set.EffectiveInfo(active("e1", 0))
			if info.Phase != c.phase || info.StartTime != c.startTime {
				t.Errorf("effective info %+v, want phase %v, start time %v", info, c.phase, c.startTime)
			}
		})
	}
}

// A start time that the list showed during an ejection is retained. Without one, the time of the restoration
// is the start time until the list shows a later start.
func TestRestoredEngineHasColdCache(t *testing.T) {
	for _, c := range []struct {
		name         string
		listedStarts []routing.Time // start times in consecutive engine lists
		wantStarts   []routing.Time
	}{
		{"no restart observed", []routing.Time{5, 5}, []routing.Time{20, 20}},
		{"restart observed during the ejection", []routing.Time{15, 5}, []routing.Time{15, 5}},
		{"restart observed after the restoration", []routing.Time{5, 30, 5}, []routing.Time{20, 30, 5}},
	} {
		set := New()
		set.Register("e1")
		set.SetEjected("e1", true, 10)
		set.SetEjected("e1", false, 20)
		for i, listedStart := range c.listedStarts {
			if s := set.EffectiveInfo(active("e1", listedStart)); s.StartTime != c.wantStarts[i] {
				t.Errorf("%s, list %d: start time %v, want %v", c.name, i, s.StartTime, c.wantStarts[i])
			}
		}
	}
}

// For any sequence of commands and lists, an engine is active only while it is not ejected, and a command with
// a name that was never listed changes nothing.
func TestEjectionsPersist(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := New()
		names := []string{"a", "b", "c", "d"}
		ejected := map[string]bool{}
		listed := map[string]bool{}
		now := routing.Time(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += routing.Time(rapid.IntRange(0, 1000).Draw(t, "dt"))
			n := rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0:
				set.Register(n)
				listed[n] = true
			case 1, 2:
				eject := rapid.Bool().Draw(t, "eject")
				_, ok := set.SetEjected(n, eject, now)
				if ok != (listed[n] || ejected[n]) {
					t.Fatalf("command for %s: accepted %v", n, ok)
				}
				if ok {
					ejected[n] = eject
				}
			case 3:
				s := set.EffectiveInfo(active(n, 0))
				if (s.Phase == routing.PhaseActive) == ejected[n] {
					t.Fatalf("%s: phase %v while ejected is %v", n, s.Phase, ejected[n])
				}
			}
		}
	})
}
