package ejection

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wellgw/routing"
)

func on(name string, up routing.Time) routing.EngineInfo {
	return routing.EngineInfo{Name: name, Phase: routing.PhaseActive, StartTime: up}
}

func TestCalls(t *testing.T) {
	const now = routing.Time(time.Hour)
	for _, c := range []struct {
		name   string
		calls  func(b *Set) bool // the last call's answer
		want   bool
		out    []string
		phase  routing.Phase
		cameUp routing.Time
	}{
		{"never listed", func(b *Set) bool { _, ok := b.Call("x", true, now); return ok }, false, nil, routing.PhaseActive, 0},
		{"out", func(b *Set) bool { _, ok := b.Call("e1", true, now); return ok }, true, []string{"e1"}, routing.PhaseDraining, 0},
		{"out twice", func(b *Set) bool { b.Call("e1", true, now); _, ok := b.Call("e1", true, now); return ok }, true, []string{"e1"}, routing.PhaseDraining, 0},
		{"out twice, back once", func(b *Set) bool {
			b.Call("e1", true, now)
			b.Call("e1", true, now)
			_, ok := b.Call("e1", false, now+time.Second)
			return ok
		}, true, nil, routing.PhaseActive, now + time.Second},
		{"back without an ejection", func(b *Set) bool { _, ok := b.Call("e1", false, now); return ok }, true, nil, routing.PhaseActive, 0},
		{"taken from a file", func(b *Set) bool { b.Take([]string{"e1", "gone"}, now); return true }, true, []string{"e1", "gone"}, routing.PhaseDraining, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := New()
			b.See("e1")
			if got := c.calls(b); got != c.want {
				t.Errorf("answer %v, want %v", got, c.want)
			}
			if !slices.Equal(b.Names(), c.out) && len(b.Names())+len(c.out) > 0 {
				t.Errorf("out %v, want %v", b.Names(), c.out)
			}
			s := b.Show(on("e1", 0))
			if s.Phase != c.phase || s.StartTime != c.cameUp {
				t.Errorf("shown %+v, want phase %v came up %v", s, c.phase, c.cameUp)
			}
		})
	}
}

// After an ejection, a start that the list showed during it stands; without one the
// engine is shown as started at its return, until the list shows a later start.
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
		b := New()
		b.See("e1")
		b.Call("e1", true, 10)
		b.Call("e1", false, 20)
		for i, up := range c.lists {
			if s := b.Show(on("e1", up)); s.StartTime != c.want[i] {
				t.Errorf("%s, look %d: came up %v, want %v", c.name, i, s.StartTime, c.want[i])
			}
		}
	}
}

// Whatever the calls and lists, an engine is shown on only while it is not out,
// and a call on a name never listed changes nothing.
func TestEjectionsPersist(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New()
		names := []string{"a", "b", "c", "d"}
		out := map[string]bool{}
		listed := map[string]bool{}
		now := routing.Time(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += routing.Time(rapid.IntRange(0, 1000).Draw(t, "dt"))
			n := rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				b.See(n)
				listed[n] = true
			case 1, 2:
				o := rapid.Bool().Draw(t, "out")
				_, ok := b.Call(n, o, now)
				if ok != (listed[n] || out[n]) {
					t.Fatalf("call on %s answered %v", n, ok)
				}
				if ok {
					out[n] = o
				}
			case 3:
				s := b.Show(on(n, 0))
				if (s.Phase == routing.PhaseActive) == out[n] {
					t.Fatalf("%s shown %v while out is %v", n, s.Phase, out[n])
				}
			}
		}
	})
}
