package fleetsim

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wellgw/routing"
)

// long leaves a test out of the short run, which comes after the whole one.
func long(t *testing.T) {
	if testing.Short() {
		t.Skip("in the whole run")
	}
}

func TestSameSeedSameResult(t *testing.T) {
	for seed := range uint64(3) {
		a, b := Play(Draw(seed), Module, true), Play(Draw(seed), Module, true)
		if !reflect.DeepEqual(a, b) {
			t.Errorf("seed %d: two plays differ", seed)
		}
	}
}

func TestModuleKeepsTheRules(t *testing.T) {
	long(t)
	for seed := range uint64(12) {
		if r := Play(Draw(seed), Module, false); len(r.Broken) > 0 || r.Requests < 100 {
			t.Errorf("seed %d: %d requests, broken: %q", seed, r.Requests, r.Broken)
		}
	}
}

// Names tell the module nothing: with those of site, classes, kinds and zones changed, it
// decides the same.
func TestDecisionsIgnoreNames(t *testing.T) {
	for seed := range uint64(4) {
		d, other := Draw(seed), Draw(seed)
		other.rename()
		a, b := Play(d, Module, true), Play(other, Module, true)
		if len(a.Decisions) < 1000 || !reflect.DeepEqual(a.Decisions, b.Decisions) {
			t.Errorf("seed %d: %d and %d decisions, or others", seed, len(a.Decisions), len(b.Decisions))
		}
	}
}

// rename gives all names that tell nothing new ones, in another order of the alphabet.
func (d *Deployment) rename() {
	swap := strings.NewReplacer("zone-0", "yard", "zone-1", "hill", "zone-2", "bay",
		"kind-0", "writerly", "kind-1", "prompt", "kind-2", "answer", "class-0", "place-order", "class-1", "b", "class-2", "a").Replace
	d.Name = "another"
	for _, list := range [][]string{d.Zones, d.Gateways} {
		for i := range list {
			list[i] = swap(list[i])
		}
	}
	for i := range d.Engines {
		d.Engines[i].Zone = swap(d.Engines[i].Zone)
	}
	for i := range d.Kinds {
		d.Kinds[i].Name = swap(d.Kinds[i].Name)
		d.Settings.Kinds[i].Name = d.Kinds[i].Name
	}
	for i := range d.Classes {
		d.Classes[i].Name = swap(d.Classes[i].Name)
		d.Settings.Classes[i].Name = d.Classes[i].Name
	}
}

// breaker is a plain policy that breaks one rule.
type breaker struct {
	Decider
	how func(ev routing.Event, out []routing.Action) []routing.Action
}

func (b breaker) Handle(now routing.Time, ev routing.Event) []routing.Action {
	return b.how(ev, b.Decider.Handle(now, ev))
}

// A checker that cannot fail is none: each rule is broken by a policy made for it.
func TestCheckersDetectFaults(t *testing.T) {
	day := func(what string) *Deployment {
		d := Draw(2)
		d.Troubles = []Trouble{{What: what, At: 18 * time.Second, For: 6 * time.Second, Part: 0.5, Size: 2}}
		d.Grace, d.Notice = 500*time.Millisecond, 300*time.Millisecond
		for i := range d.Classes {
			d.Classes[i].Effect = routing.EffectAtMostOnce
			d.Settings.Classes[i].Effect = routing.EffectAtMostOnce
		}
		return d
	}
	for _, c := range []struct {
		name, trouble, want string
		careless            bool // takes every class for one that may be repeated
		how                 func(ev routing.Event, out []routing.Action) []routing.Action
	}{
		{"silent", Flush, "got no final answer", false, func(ev routing.Event, out []routing.Action) []routing.Action {
			if _, ok := ev.(routing.Request); ok {
				return nil
			}
			return out
		}},
		{"two at once", Flush, "two attempts", false, func(_ routing.Event, out []routing.Action) []routing.Action {
			return append(out, out...)
		}},
		{"pins", Flush, "stayed pinned", false, func(ev routing.Event, out []routing.Action) []routing.Action {
			if o, ok := ev.(routing.Outcome); ok && o.Status == routing.StatusPrefilled {
				return nil
			}
			return out
		}},
		{"sends after the end", Flush, "which has ended", false, func(ev routing.Event, out []routing.Action) []routing.Action {
			if o, ok := ev.(routing.Outcome); ok && o.Final {
				out = append(out, routing.Send{ID: o.ID, Engine: o.Engine})
			}
			return out
		}},
		{"runs twice", Crash, "may run twice", true, func(_ routing.Event, out []routing.Action) []routing.Action { return out }},
		{"ignores drains", Drain, "after its drain was told", false, nil},
	} {
		d := day(c.trouble)
		policy := func(set routing.Settings, seed uint64) Decider {
			if c.careless {
				set.Classes = nil
			}
			p := Baselines()[1].Policy(set, seed)
			if c.how == nil {
				return deaf{p}
			}
			return breaker{p, c.how}
		}
		if got := strings.Join(Play(d, policy, false).Broken, "\n"); !strings.Contains(got, c.want) {
			t.Errorf("%s: the checkers saw %q", c.name, got)
		}
	}
}

// deaf hears of no change of the list.
type deaf struct{ Decider }

func (p deaf) Handle(now routing.Time, ev routing.Event) []routing.Action {
	if e, ok := ev.(routing.EngineList); ok && e.Scope == routing.EngineListDelta {
		return nil
	}
	return p.Decider.Handle(now, ev)
}

// At the edges of what can be set the module neither panics nor breaks a rule.
func TestEdges(t *testing.T) {
	long(t)
	rapid.Check(t, func(t *rapid.T) {
		d := Draw(rapid.Uint64Range(0, 1<<20).Draw(t, "seed"))
		d.Warm, d.Length = 0, 6*time.Second
		for i := range d.Troubles {
			d.Troubles[i].At, d.Troubles[i].For = time.Duration(1+i)*time.Second, 2*time.Second
		}
		edge := func(name string) bool { return rapid.Bool().Draw(t, name) }
		if edge("one reader") {
			kept := d.Engines[:1]
			for _, e := range d.Engines[1:] {
				if e.Kind > 0 {
					kept = append(kept, e)
				}
			}
			d.Engines = kept
		}
		if edge("no writer in the first cell") {
			for i := range d.Engines {
				if d.Engines[i].Kind > 0 {
					d.Engines[i].Cell = max(d.Engines[i].Cell, 1)
				}
			}
		}
		if edge("attempts") {
			d.Settings.MaxAttempts = rapid.IntRange(1, 2).Draw(t, "most")
		}
		if edge("no retries") {
			d.Retries = 0
		}
		if edge("no grace") {
			d.Grace = 0
		}
		if edge("memory of one prompt") {
			for i := range d.Kinds {
				d.Kinds[i].Memory = 9000
				d.Settings.Kinds[i].Memory = 9000
			}
		}
		if edge("no memory told") {
			for i := range d.Settings.Kinds {
				d.Settings.Kinds[i].Memory = 0
			}
		}
		if edge("little time to hold") {
			d.Settings.HeldStateLimit = 20 * time.Millisecond
		}
		if r := Play(d, Module, false); len(r.Broken) > 0 {
			t.Fatalf("broken: %q", r.Broken)
		}
	})
}
