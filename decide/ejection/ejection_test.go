package ejection

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wellgw/routing"
)

func active(name string, up routing.Time) routing.EngineInfo {
	return routing.EngineInfo{Name: name, Phase: routing.PhaseActive, StartTime: up}
}

func TestCommands(t *testing.T) {
	const now = routing.Time(time.Hour)
	for _, c := range []struct {
		name      string
		commands  func(set *Set) bool // returns the last command's answer
		want      bool
		out       []string
		phase     routing.Phase
		startTime routing.Time
	}{
		{"never listed", func(set *Set) bool { _, ok := set.SetEjected("x", true, now); return ok }, false, nil, routing.PhaseActive, 0},
		{"out", func(set *Set) bool { _, ok := set.SetEjected("e1", true, now); return ok }, true, []string{"e1"}, routing.PhaseDraining, 0},
		{"out twice", func(set *Set) bool {
			set.SetEjected("e1", true, now)
			_, ok := set.SetEjected("e1", true, now)
			return ok
		}, true, []string{"e1"}, routing.PhaseDraining, 0},
		{"out twice, back once", func(set *Set) bool {
			set.SetEjected("e1", true, now)
			set.SetEjected("e1", true, now)
			_, ok := set.SetEjected("e1", false, now+time.Second)
			return ok
		}, true, nil, routing.PhaseActive, now + time.Second},
		{"back without an ejection", func(set *Set) bool { _, ok := set.SetEjected("e1", false, now); return ok }, true, nil, routing.PhaseActive, 0},
		{"taken from a file", func(set *Set) bool { set.Replace([]string{"e1", "gone"}, now); return true }, true, []string{"e1", "gone"}, routing.PhaseDraining, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := New()
			set.Register("e1")
			if got := c.commands(set); got != c.want {
				t.Errorf("answer %v, want %v", got, c.want)
			}
			if !slices.Equal(set.Names(), c.out) && len(set.Names())+len(c.out) > 0 {
				t.Errorf("out %v, want %v", set.Names(), c.out)
			}
			s := set.EffectiveInfo(active("e1", 0))
			if s.Phase != c.phase || s.StartTime != c.startTime {
				t.Errorf("shown %+v, want phase %v started %v", s, c.phase, c.startTime)
			}
		})
	}
}

// After an ejection, a start that the list showed during it is kept; without one the engine counts as
// started when it was restored, until the list shows a later start.
func TestReturnedEngineIsCold(t *testing.T) {
	for _, c := range []struct {
		name  string
		lists []routing.Time // the list's starts, one look after another
		want  []routing.Time
	}{
		{"no restart seen", []routing.Time{5, 5}, []routing.Time{20, 20}},
		{"restart seen during the ejection", []routing.Time{15, 5}, []routing.Time{15, 5}},
		{"restart seen after the return", []routing.Time{5, 30, 5}, []routing.Time{20, 30, 5}},
	} {
		set := New()
		set.Register("e1")
		set.SetEjected("e1", true, 10)
		set.SetEjected("e1", false, 20)
		for i, up := range c.lists {
			if s := set.EffectiveInfo(active("e1", up)); s.StartTime != c.want[i] {
				t.Errorf("%s, look %d: started %v, want %v", c.name, i, s.StartTime, c.want[i])
			}
		}
	}
}

// Whatever the commands and lists, an engine is active only while it is not ejected, and a command about
// a name that was never listed changes nothing.
func TestEjectionsPersist(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := New()
		names := []string{"a", "b", "c", "d"}
		out := map[string]bool{}
		listed := map[string]bool{}
		now := routing.Time(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += routing.Time(rapid.IntRange(0, 1000).Draw(t, "dt"))
			n := rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				set.Register(n)
				listed[n] = true
			case 1, 2:
				o := rapid.Bool().Draw(t, "out")
				_, ok := set.SetEjected(n, o, now)
				if ok != (listed[n] || out[n]) {
					t.Fatalf("command about %s answered %v", n, ok)
				}
				if ok {
					out[n] = o
				}
			case 3:
				s := set.EffectiveInfo(active(n, 0))
				if (s.Phase == routing.PhaseActive) == out[n] {
					t.Fatalf("%s shown %v while out is %v", n, s.Phase, out[n])
				}
			}
		}
	})
}
