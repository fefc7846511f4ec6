package roles

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wellgw/decide/setting"
)

var t0 = time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)

// fleet returns so many prefill and decode engines over two racks, all idle.
func fleet(prefill, decode int) []Engine {
	var list []Engine
	for i := range prefill + decode {
		e := Engine{ID: string(rune('a' + i)), Rack: i % 2, Ready: true}
		if i >= prefill {
			e.Role = Decode
		}
		list = append(list, e)
	}
	return list
}

func load(list []Engine, role Role, util, queue float64) {
	for i := range list {
		if list[i].Role == role {
			list[i].Utilization, list[i].QueueSeconds = util, queue
		}
	}
}

func planner(t testing.TB, change func(*Settings)) *Planner {
	t.Helper()
	set := DefaultSettings()
	if change != nil {
		change(&set)
	}
	p, err := NewPlanner(set)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// total is what has been asked and served of one class.
type total struct{ Traffic }

// second adds what is asked and served in a second, of which a share is refused, while
// engines are as busy as they are.
func (all *total) second(list []Engine, refused float64) []Traffic {
	t := Traffic{Requested: 10, Served: 10 * (1 - refused)}
	for _, e := range list {
		switch busy := 1000 * max(e.Utilization, e.MemoryUsed*memoryWeight); e.Role {
		case Prefill:
			t.ServedPromptTokens += busy
		case Decode:
			t.OutputTokens += busy
		}
	}
	t.PromptTokens = t.ServedPromptTokens / (1 - refused)
	all.add(t)
	return []Traffic{all.Traffic}
}

func (all *total) add(t Traffic) {
	all.Class = "c"
	all.Requested, all.PromptTokens, all.Served = all.Requested+t.Requested, all.PromptTokens+t.PromptTokens, all.Served+t.Served
	all.ServedPromptTokens, all.OutputTokens = all.ServedPromptTokens+t.ServedPromptTokens, all.OutputTokens+t.OutputTokens
}

// watch has a planner see a fleet for a while and returns its plan.
func watch(p *Planner, list []Engine, refused float64, span time.Duration) (Plan, time.Time) {
	now, all := t0, &total{}
	for ; now.Sub(t0) < span; now = now.Add(time.Second) {
		p.Observe(now, list, all.second(list, refused))
	}
	return p.Plan(now), now
}

func TestPlans(t *testing.T) {
	busyPrefill := func(list []Engine) { load(list, Prefill, 1, 0); load(list, Decode, 0.3, 0) }
	for name, c := range map[string]struct {
		prefill, decode int
		refused         float64
		set             func(*Settings)
		change          func([]Engine)
		want            string // the engine's role to be, and part of the reason
	}{
		"all is well":                  {4, 6, 0, nil, func(l []Engine) { load(l, Prefill, 0.6, 0); load(l, Decode, 0.7, 0) }, "can be served as it is"},
		"prompts are rejected":         {3, 7, 0.3, nil, busyPrefill, "read: read work needs"},
		"outputs are rejected":         {6, 4, 0.3, nil, func(l []Engine) { load(l, Prefill, 0.3, 0); load(l, Decode, 1, 0) }, "write: write work needs"},
		"both are short of engines":    {5, 5, 0.4, nil, func(l []Engine) { load(l, Prefill, 1, 0); load(l, Decode, 1, 0) }, "not beyond the noise"},
		"the last of a role stays":     {9, 1, 0.4, nil, func(l []Engine) { load(l, Prefill, 1, 0); load(l, Decode, 0.1, 0) }, "the last engine of write work stays"},
		"the last of each rack stays":  {8, 2, 0.4, nil, func(l []Engine) { load(l, Prefill, 1, 0); load(l, Decode, 0.1, 0) }, "the last of their rack stays"},
		"a pin keeps":                  {3, 7, 0.3, nil, func(l []Engine) { busyPrefill(l); pin(l, Decode) }, "pinned"},
		"enough of the fleet changes":  {3, 7, 0.3, nil, func(l []Engine) { busyPrefill(l); l[8].Changing, l[9].Changing = true, true }, "of the fleet are in change"},
		"enough of the rack changes":   {3, 7, 0.4, func(s *Settings) { s.MaxFleetFraction, s.MaxRackFraction = 1, 0.01 }, func(l []Engine) { busyPrefill(l); l[8].Changing, l[9].Changing = true, true }, "of their rack is in change"},
		"those that changed lately":    {3, 7, 0.3, nil, busyPrefill, "too lately"},
		"those that refused":           {3, 7, 0.3, nil, busyPrefill, "refused or failed"},
		"mixed engines never change":   {0, 0, 0.3, nil, nil, "no engine is seen"},
		"a loss that would hurt more":  {3, 4, 0.2, nil, func(l []Engine) { load(l, Prefill, 1, 0); load(l, Decode, 0.85, 0) }, "not beyond the noise"},
		"threshold, one stage is busy": {3, 7, 0, func(s *Settings) { s.Strategy = Threshold }, busyPrefill, "read: read work needs"},
		"threshold, neither is":        {3, 7, 0, func(s *Settings) { s.Strategy = Threshold }, func(l []Engine) { load(l, Prefill, 0.8, 0); load(l, Decode, 0.1, 0) }, "no stage is busy"},
		"queue balance":                {3, 7, 0, func(s *Settings) { s.Strategy = QueueBalance }, func(l []Engine) { busyPrefill(l); load(l, Prefill, 1, 3) }, "read: read work needs"},
		"queues that are near":         {3, 7, 0, func(s *Settings) { s.Strategy = QueueBalance }, func(l []Engine) { load(l, Prefill, 0.5, 0); load(l, Decode, 0.5, 0) }, "near enough"},
		"a memory that is full counts": {6, 4, 0.2, nil, func(l []Engine) {
			load(l, Prefill, 0.3, 0)
			each(l, func(e *Engine) {
				if e.Role == Decode {
					e.Utilization, e.MemoryUsed = 0.5, 1
				}
			})
		}, "write: write work needs"},
	} {
		t.Run(name, func(t *testing.T) {
			list := fleet(c.prefill, c.decode)
			if c.change != nil {
				c.change(list)
			}
			p := planner(t, c.set)
			for _, e := range list {
				switch {
				case strings.Contains(name, "changed lately"):
					p.ChangeEnded(t0, e.ID, true)
				case strings.Contains(name, "refused"):
					p.ChangeEnded(t0.Add(-time.Minute), e.ID, false)
				}
			}
			plan, _ := watch(p, list, c.refused, 40*time.Second)
			got := plan.Reason
			if plan.Change != nil {
				got = plan.Change.To.String() + ": " + got
			}
			if !strings.Contains(got, c.want) || strings.Contains(c.want, ": ") != (plan.Change != nil) {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

// A swing is known from what is asked within a few seconds, though the engines of the
// stage that rises can do no more and those behind it are let do less.
func TestDemandCountsRequested(t *testing.T) {
	d := demandEstimator{timeConstant: 8 * time.Second}
	var lookup, order total
	ask := func(lookups, orders, readBusy, writeBusy, served float64) [2]float64 {
		lookup.add(Traffic{"", lookups, lookups * 200, lookups * served, lookups * served * 200, lookups * served * 100})
		order.add(Traffic{"", orders, orders * 1000, orders * served, orders * served * 1000, orders * served * 20})
		order.Class = "order"
		got, _ := d.observe(time.Second, []Traffic{lookup.Traffic, order.Traffic}, [2]float64{readBusy, writeBusy})
		return got
	}
	// 1,000 prompt tokens a second, or 100 of an answer, are an engine's work.
	var got [2]float64
	for range 60 {
		got = ask(8, 2, 3.6, 8.4, 1)
	}
	if math.Abs(got[Prefill]-3.6) > 0.1 || math.Abs(got[Decode]-8.4) > 0.1 {
		t.Errorf("at rest: %v", got)
	}
	for range 20 { // half is turned away: 8,400 prompt tokens are asked for, 4,200 are read
		got = ask(2, 8, 4.2, 1.8, 0.5)
	}
	if math.Abs(got[Prefill]-8.4) > 0.9 || math.Abs(got[Decode]-3.6) > 0.9 {
		t.Errorf("20 s after a swing: %v", got)
	}
	if _, known := (&demandEstimator{timeConstant: time.Second}).observe(time.Second, nil, [2]float64{}); known {
		t.Error("a demand is known from nothing")
	}
}

// A mix that has turned every 12 s is expected to turn again; one that has stayed for
// longer than usual, or has not turned often enough, is expected to stay.
func TestPhases(t *testing.T) {
	var p mixPhases
	now, most := t0, 90*time.Second
	lean := func(decode float64, seconds int) {
		for range seconds {
			now = now.Add(time.Second)
			p.observe(now, [2]float64{10 - decode, decode})
		}
	}
	check := func(what string, low, high time.Duration) {
		t.Helper()
		if got := p.remaining(now, most); got < low || got > high {
			t.Errorf("%s: %v, want %v to %v", what, got, low, high)
		}
	}
	lean(5, 10)
	check("nothing is known", most, most)
	for i := range 6 {
		lean([]float64{3, 7}[i%2], 12)
	}
	lean(3, 4)
	check("after 4 s of 12", 7*time.Second, 9*time.Second)
	lean(3, 20)
	check("it has stayed", most, most)
	p.observe(now, [2]float64{})
}

// Rates are read from engines' own accounts: the slow one counts for less, one that is
// cold or has begun anew tells nothing.
func TestRates(t *testing.T) {
	var r rates
	list := fleet(3, 2)
	for n := range 20 {
		for i := range list {
			list[i].BusySeconds += 3
			list[i].Tokens += 3000
		}
		list[0].Tokens -= 2000 // a third as fast
		if n == 10 {
			list[1].Tokens, list[1].BusySeconds = 0, 0
		}
		if list[2].ThroughputFraction = 0.3; n > 5 { // warm, and as fast, from then on
			list[2].ThroughputFraction = 0
		}
		r.observe(list)
	}
	for id, want := range map[string]float64{"a": 1. / 3, "b": 1, "c": 1, "d": 1, "nobody": 1} {
		if got := r.relative(id, Prefill); math.Abs(got-want) > 0.02 {
			t.Errorf("%s: %v, want %v", id, got, want)
		}
	}
	if got := r.relative("a", Decode); math.Abs(got-1./3) > 0.02 {
		t.Errorf("in a role that it has not had: %v", got)
	}
	r.observe(list[1:])
	if len(r.byEngine) != 4 {
		t.Error("one that has gone is not forgotten")
	}
}

// A mixed engine keeps its place whatever is asked for; beside the only one of a rack the
// last of a role may not go either.
func TestLastMixedEngineOfRack(t *testing.T) {
	list := fleet(2, 2) // one of each in both racks
	list = append(list, Engine{ID: "m", Rack: 0, Role: Mixed, Ready: true, Utilization: 1})
	load(list, Prefill, 1, 0)
	load(list, Decode, 0.1, 0)
	plan, _ := watch(planner(t, nil), list, 0.4, 40*time.Second)
	if plan.Change != nil || !strings.Contains(plan.Reason, "the last of their rack stays") {
		t.Errorf("%+v", plan)
	}
}

// A burst of one kind comes just as half a rack drains away from it: what is under way
// is not counted as lost, and no further engine goes.
func TestBurstDuringRackDrain(t *testing.T) {
	p := planner(t, func(s *Settings) { s.MaxFleetFraction = 0.5 })
	list := fleet(4, 6)
	load(list, Prefill, 1, 0)
	load(list, Decode, 0.4, 0)
	now, all := t0, &total{}
	see := func(seconds int, refused float64) Plan {
		for range seconds {
			now = now.Add(time.Second)
			p.Observe(now, list, all.second(list, refused))
		}
		return p.Plan(now)
	}
	if plan := see(40, 0.2); plan.Change == nil || plan.Change.To != Prefill {
		t.Fatalf("%+v", plan)
	}
	for _, i := range []int{4, 6} { // two of the three decode engines of rack 0
		list[i].Changing = true
		p.ChangeStarted(now, Change{Engine: list[i].ID, From: Decode, To: Prefill})
	}
	load(list, Prefill, 0.3, 0)
	load(list, Decode, 1, 3)
	if plan := see(20, 0.4); plan.Change != nil && plan.Change.To == Prefill {
		t.Errorf("one more is taken from the kind that is asked for: %+v", plan)
	}
}

// What is made of an engine whose roster, own word and record of a change disagree.
func TestAssess(t *testing.T) {
	set := DefaultSettings()
	sight := func(change func(*Observation)) Observation {
		x := Observation{ID: "e", InService: true, Role: "read", Slots: 4, Running: 3, Queue: 1}
		change(&x)
		return x
	}
	for name, c := range map[string]struct {
		sight Observation
		want  Engine
		known bool
	}{
		"in service":                         {sight(func(*Observation) {}), Engine{ID: "e", Ready: true, Utilization: 0.5, QueueSeconds: 0.25}, true},
		"cold":                               {sight(func(x *Observation) { x.Uptime = 7 * time.Second }), Engine{ID: "e", Ready: true, Utilization: 0.5, QueueSeconds: 0.25, ThroughputFraction: 0.66}, true},
		"it drains":                          {sight(func(x *Observation) { x.InService, x.Change = false, &ActiveChange{RoutingPaused: true, Role: "read"} }), Engine{ID: "e", Changing: true, Utilization: 0.5, QueueSeconds: 0.25}, true},
		"has flipped, the record has not":    {sight(func(x *Observation) { x.Role, x.Change = "write", &ActiveChange{RoutingPaused: true, Role: "read"} }), Engine{ID: "e", Ready: true, Changing: true, Utilization: 0.5, QueueSeconds: 0.25}, true},
		"the record has, the roster has not": {sight(func(x *Observation) { x.InService, x.Change = false, &ActiveChange{Role: "write"} }), Engine{ID: "e", Role: Decode, Ready: true, Utilization: 0.5, QueueSeconds: 0.25, ThroughputFraction: 0.32}, true},
		"another role":                       {sight(func(x *Observation) { x.Role = "both" }), Engine{}, false},
	} {
		got, known := set.PlannedEngine(c.sight)
		if got.ThroughputFraction = math.Round(got.ThroughputFraction*100) / 100; got != c.want || known != c.known {
			t.Errorf("%s: %+v, %v, want %+v", name, got, known, c.want)
		}
	}
}

func pin(list []Engine, r Role) {
	each(list, func(e *Engine) { e.Pinned = e.Pinned || e.Role == r })
}

func each(list []Engine, do func(*Engine)) {
	for i := range list {
		do(&list[i])
	}
}

func TestSettingsAreNamed(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"strategy":        func(s *Settings) { s.Strategy = "guess" },
		"rack_part":       func(s *Settings) { s.MaxRackFraction = 0 },
		"changes_an_hour": func(s *Settings) { s.MaxPerHour = 0 },
		"horizon_ms":      func(s *Settings) { s.Horizon = time.Second },
		"smooth_ms":       func(s *Settings) { s.DemandTimeConstant = 0 },
	} {
		set := DefaultSettings()
		change(&set)
		var wrong setting.Error
		if _, err := NewPlanner(set); !errors.As(err, &wrong) || !strings.Contains(wrong.Field, field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// Whatever is seen, a plan never takes the last engine of a role, one that is pinned,
// mixed, in change or has changed lately, nor more than may change at once or in an hour.
func TestGuardsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := DefaultSettings()
		set.Strategy = rapid.SampledFrom([]Strategy{Threshold, QueueBalance, Predictive}).Draw(t, "strategy")
		set.MaxPerHour = rapid.IntRange(1, 6).Draw(t, "an hour")
		p, err := NewPlanner(set)
		if err != nil {
			t.Fatal(err)
		}
		list := fleet(rapid.IntRange(1, 6).Draw(t, "prefill"), rapid.IntRange(1, 6).Draw(t, "decode"))
		for i := range list {
			list[i].Pinned = rapid.IntRange(0, 6).Draw(t, "pinned") == 0
			if rapid.IntRange(0, 8).Draw(t, "mixed") == 0 {
				list[i].Role = Mixed
			}
		}
		var begun []time.Time
		since := map[string]time.Time{}
		now, all := t0, &total{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "s")) * time.Second)
			for i := range list {
				list[i].Utilization = rapid.Float64Range(0, 1).Draw(t, "util")
				list[i].QueueSeconds = rapid.Float64Range(0, 3).Draw(t, "queue")
				if list[i].Changing && rapid.Bool().Draw(t, "ends") {
					list[i].Changing, list[i].Role, since[list[i].ID] = false, list[i].Role.Opposite(), now
				}
			}
			p.Observe(now, list, all.second(list, rapid.Float64Range(0, 0.9).Draw(t, "refused")))
			plan := p.Plan(now)
			if plan.Change == nil {
				if plan.Reason == "" {
					t.Fatal("nothing is done and nothing said")
				}
				continue
			}
			left, changing, movable := 0, 0, 0
			for _, e := range list {
				if e.Role == plan.Change.From && !e.Changing {
					left++
				}
				if e.Role != Mixed {
					movable++
				}
				if e.Changing {
					changing++
				}
			}
			for i := range list {
				e := &list[i]
				if e.ID != plan.Change.Engine {
					continue
				}
				if e.Pinned || e.Changing || e.Role != plan.Change.From || left < 2 || !since[e.ID].IsZero() && now.Sub(since[e.ID]) < set.MinDwell {
					t.Fatalf("%+v was chosen, %d of its role", *e, left)
				}
				e.Changing, since[e.ID] = true, now
			}
			if changing+1 > max(1, int(set.MaxFleetFraction*float64(movable))) {
				t.Fatalf("%d in change of %d", changing+1, movable)
			}
			begun = append(begun, now)
			p.ChangeStarted(now, *plan.Change)
			if n := len(begun); n > set.MaxPerHour && now.Sub(begun[n-1-set.MaxPerHour]) < time.Hour {
				t.Fatalf("%d changes in an hour", set.MaxPerHour+1)
			}
		}
	})
}
