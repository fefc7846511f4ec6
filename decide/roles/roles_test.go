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

// fleet returns idle prefill and decode engines, alternating between two racks.
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

func setLoad(list []Engine, role Role, util, queue float64) {
	for i := range list {
		if list[i].Role == role {
			list[i].Utilization, list[i].QueueSeconds = util, queue
		}
	}
}

func newTestPlanner(t testing.TB, change func(*Settings)) *Planner {
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

// trafficTotals accumulates the traffic of one class.
type trafficTotals struct{ Traffic }

// addSecond adds the traffic of one second, of which a fraction is rejected, while the engines serve
// tokens in proportion to their utilization, and returns the totals.
func (all *trafficTotals) addSecond(list []Engine, rejected float64) []Traffic {
	t := Traffic{Requested: 10, Served: 10 * (1 - rejected)}
	for _, e := range list {
		switch busy := 1000 * max(e.Utilization, e.MemoryUsed*memoryWeight); e.Role {
		case Prefill:
			t.ServedPromptTokens += busy
		case Decode:
			t.OutputTokens += busy
		}
	}
	t.PromptTokens = t.ServedPromptTokens / (1 - rejected)
	all.add(t)
	return []Traffic{all.Traffic}
}

func (all *trafficTotals) add(t Traffic) {
	all.Class = "c"
	all.Requested, all.PromptTokens, all.Served = all.Requested+t.Requested, all.PromptTokens+t.PromptTokens, all.Served+t.Served
	all.ServedPromptTokens, all.OutputTokens = all.ServedPromptTokens+t.ServedPromptTokens, all.OutputTokens+t.OutputTokens
}

// observeAndPlan calls Observe once per second for a span and returns the plan and its time.
func observeAndPlan(p *Planner, list []Engine, rejected float64, span time.Duration) (Plan, time.Time) {
	now, all := t0, &trafficTotals{}
	for ; now.Sub(t0) < span; now = now.Add(time.Second) {
		p.Observe(now, list, all.addSecond(list, rejected))
	}
	return p.Plan(now), now
}

func TestPlans(t *testing.T) {
	busyPrefill := func(list []Engine) { setLoad(list, Prefill, 1, 0); setLoad(list, Decode, 0.3, 0) }
	for name, c := range map[string]struct {
		prefill, decode int
		rejected        float64
		set             func(*Settings)
		change          func([]Engine)
		want            string // the engine's new role, if any, and part of the reason
	}{
		"capacity suffices":                  {4, 6, 0, nil, func(l []Engine) { setLoad(l, Prefill, 0.6, 0); setLoad(l, Decode, 0.7, 0) }, "can be served as it is"},
		"prefill is overloaded":              {3, 7, 0.3, nil, busyPrefill, "read: read work needs"},
		"decode is overloaded":               {6, 4, 0.3, nil, func(l []Engine) { setLoad(l, Prefill, 0.3, 0); setLoad(l, Decode, 1, 0) }, "write: write work needs"},
		"both stages are overloaded":         {5, 5, 0.4, nil, func(l []Engine) { setLoad(l, Prefill, 1, 0); setLoad(l, Decode, 1, 0) }, "not beyond the noise"},
		"last engine of a role":              {9, 1, 0.4, nil, func(l []Engine) { setLoad(l, Prefill, 1, 0); setLoad(l, Decode, 0.1, 0) }, "the last engine of write work stays"},
		"last engine of a role in each rack": {8, 2, 0.4, nil, func(l []Engine) { setLoad(l, Prefill, 1, 0); setLoad(l, Decode, 0.1, 0) }, "the last of their rack stays"},
		"pinned":                             {3, 7, 0.3, nil, func(l []Engine) { busyPrefill(l); pin(l, Decode) }, "pinned"},
		"fleet limit reached":                {3, 7, 0.3, nil, func(l []Engine) { busyPrefill(l); l[8].Changing, l[9].Changing = true, true }, "of the fleet are in change"},
		"rack limit reached":                 {3, 7, 0.4, func(s *Settings) { s.MaxFleetFraction, s.MaxRackFraction = 1, 0.01 }, func(l []Engine) { busyPrefill(l); l[8].Changing, l[9].Changing = true, true }, "of their rack is in change"},
		"changed lately":                     {3, 7, 0.3, nil, busyPrefill, "too lately"},
		"refused":                            {3, 7, 0.3, nil, busyPrefill, "refused or failed"},
		"no engines":                         {0, 0, 0.3, nil, nil, "no engine is seen"},
		"loss exceeds gain":                  {3, 4, 0.2, nil, func(l []Engine) { setLoad(l, Prefill, 1, 0); setLoad(l, Decode, 0.85, 0) }, "not beyond the noise"},
		"threshold, one stage busy":          {3, 7, 0, func(s *Settings) { s.Strategy = Threshold }, busyPrefill, "read: read work needs"},
		"threshold, no stage busy":           {3, 7, 0, func(s *Settings) { s.Strategy = Threshold }, func(l []Engine) { setLoad(l, Prefill, 0.8, 0); setLoad(l, Decode, 0.1, 0) }, "no stage is busy"},
		"queue balance, queues differ":       {3, 7, 0, func(s *Settings) { s.Strategy = QueueBalance }, func(l []Engine) { busyPrefill(l); setLoad(l, Prefill, 1, 3) }, "read: read work needs"},
		"queue balance, queues similar":      {3, 7, 0, func(s *Settings) { s.Strategy = QueueBalance }, func(l []Engine) { setLoad(l, Prefill, 0.5, 0); setLoad(l, Decode, 0.5, 0) }, "near enough"},
		"decode memory is full": {6, 4, 0.2, nil, func(l []Engine) {
			setLoad(l, Prefill, 0.3, 0)
			updateAll(l, func(e *Engine) {
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
			p := newTestPlanner(t, c.set)
			for _, e := range list {
				switch {
				case strings.Contains(name, "changed lately"):
					p.ChangeEnded(t0, e.ID, true)
				case strings.Contains(name, "refused"):
					p.ChangeEnded(t0.Add(-time.Minute), e.ID, false)
				}
			}
			plan, _ := observeAndPlan(p, list, c.rejected, 40*time.Second)
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

// TestDemandIncludesRejectedRequests checks that the estimate follows a shift of the mix within 20 s
// although the overloaded prefill stage rejects half of the requests, so that its engines show only
// the served half of the demand and decode engines receive less work.
func TestDemandIncludesRejectedRequests(t *testing.T) {
	d := demandEstimator{timeConstant: 8 * time.Second}
	var lookupTotals, orderTotals trafficTotals
	observe := func(lookups, orders, readBusy, writeBusy, served float64) [2]float64 {
		lookupTotals.add(Traffic{"", lookups, lookups * 200, lookups * served, lookups * served * 200, lookups * served * 100})
		orderTotals.add(Traffic{"", orders, orders * 1000, orders * served, orders * served * 1000, orders * served * 20})
		orderTotals.Class = "order"
		got, _ := d.observe(time.Second, []Traffic{lookupTotals.Traffic, orderTotals.Traffic}, [2]float64{readBusy, writeBusy})
		return got
	}
	// One engine prefills 1,000 prompt tokens or decodes 100 output tokens per second.
	var got [2]float64
	for range 60 {
		got = observe(8, 2, 3.6, 8.4, 1)
	}
	if math.Abs(got[Prefill]-3.6) > 0.1 || math.Abs(got[Decode]-8.4) > 0.1 {
		t.Errorf("before the shift: demand %v, want 3.6 and 8.4", got)
	}
	for range 20 { // half is rejected: 8,400 prompt tokens are requested, 4,200 are prefilled
		got = observe(2, 8, 4.2, 1.8, 0.5)
	}
	if math.Abs(got[Prefill]-8.4) > 0.9 || math.Abs(got[Decode]-3.6) > 0.9 {
		t.Errorf("20 s after the shift: demand %v, want 8.4 and 3.6", got)
	}
	if _, known := (&demandEstimator{timeConstant: time.Second}).observe(time.Second, nil, [2]float64{}); known {
		t.Error("demand known without traffic")
	}
}

// TestPhases checks that a mix with phases of 12 s is expected to shift again after 12 s, whereas the
// remaining duration is unknown in a longer phase and before enough phases have completed.
func TestPhases(t *testing.T) {
	var p mixPhases
	now, limit := t0, 90*time.Second
	observeMix := func(decode float64, seconds int) {
		for range seconds {
			now = now.Add(time.Second)
			p.observe(now, [2]float64{10 - decode, decode})
		}
	}
	check := func(what string, low, high time.Duration) {
		t.Helper()
		if got := p.remaining(now, limit); got < low || got > high {
			t.Errorf("%s: %v remaining, want %v to %v", what, got, low, high)
		}
	}
	observeMix(5, 10)
	check("no phase completed", limit, limit)
	for i := range 6 {
		observeMix([]float64{3, 7}[i%2], 12)
	}
	observeMix(3, 4)
	check("4 s into a phase", 7*time.Second, 9*time.Second)
	observeMix(3, 20)
	check("phase longer than expected", limit, limit)
	p.observe(now, [2]float64{})
}

// TestRates checks that rates follow the engines' reports: a slow engine has a low rate, and the rate
// of one that is cold or has restarted is not measured.
func TestRates(t *testing.T) {
	var r rates
	list := fleet(3, 2)
	for n := range 20 {
		for i := range list {
			list[i].BusySeconds += 3
			list[i].Tokens += 3000
		}
		list[0].Tokens -= 2000 // one third of the rate
		if n == 10 {
			list[1].Tokens, list[1].BusySeconds = 0, 0
		}
		if list[2].ThroughputFraction = 0.3; n > 5 { // warm, with the same rate as the others
			list[2].ThroughputFraction = 0
		}
		r.observe(list)
	}
	for id, want := range map[string]float64{"a": 1. / 3, "b": 1, "c": 1, "d": 1, "unknown": 1} {
		if got := r.relative(id, Prefill); math.Abs(got-want) > 0.02 {
			t.Errorf("%s: relative rate %v, want %v", id, got, want)
		}
	}
	if got := r.relative("a", Decode); math.Abs(got-1./3) > 0.02 {
		t.Errorf("role without a measurement: relative rate %v, want 1/3", got)
	}
	r.observe(list[1:])
	if len(r.byEngine) != 4 {
		t.Error("rate of a removed engine was not deleted")
	}
}

// TestMixedEngineDoesNotReplaceLastOfRole checks that a mixed engine never changes, and that a rack
// with a mixed engine must still keep its last engine of each role.
func TestMixedEngineDoesNotReplaceLastOfRole(t *testing.T) {
	list := fleet(2, 2) // one of each in both racks
	list = append(list, Engine{ID: "m", Rack: 0, Role: Mixed, Ready: true, Utilization: 1})
	setLoad(list, Prefill, 1, 0)
	setLoad(list, Decode, 0.1, 0)
	plan, _ := observeAndPlan(newTestPlanner(t, nil), list, 0.4, 40*time.Second)
	if plan.Change != nil || !strings.Contains(plan.Reason, "the last of their rack stays") {
		t.Errorf("%+v", plan)
	}
}

// TestBurstDuringRackDrain checks a burst of decode work while two of the three decode engines of a
// rack are draining to become prefill engines: no further decode engine may change.
func TestBurstDuringRackDrain(t *testing.T) {
	p := newTestPlanner(t, func(s *Settings) { s.MaxFleetFraction = 0.5 })
	list := fleet(4, 6)
	setLoad(list, Prefill, 1, 0)
	setLoad(list, Decode, 0.4, 0)
	now, all := t0, &trafficTotals{}
	observeAndPlan := func(seconds int, rejected float64) Plan {
		for range seconds {
			now = now.Add(time.Second)
			p.Observe(now, list, all.addSecond(list, rejected))
		}
		return p.Plan(now)
	}
	if plan := observeAndPlan(40, 0.2); plan.Change == nil || plan.Change.To != Prefill {
		t.Fatalf("%+v", plan)
	}
	for _, i := range []int{4, 6} { // two of the three decode engines of rack 0
		list[i].Changing = true
		p.ChangeStarted(now, Change{Engine: list[i].ID, From: Decode, To: Prefill})
	}
	setLoad(list, Prefill, 0.3, 0)
	setLoad(list, Decode, 1, 3)
	if plan := observeAndPlan(20, 0.4); plan.Change != nil && plan.Change.To == Prefill {
		t.Errorf("another decode engine changes during a burst of decode work: %+v", plan)
	}
}

// TestPlannedEngine checks the planner's input for an engine whose roster, report and change record
// disagree.
func TestPlannedEngine(t *testing.T) {
	set := DefaultSettings()
	newObservation := func(change func(*Observation)) Observation {
		x := Observation{ID: "e", InService: true, Role: "read", Slots: 4, Running: 3, Queue: 1}
		change(&x)
		return x
	}
	for name, c := range map[string]struct {
		observation Observation
		want        Engine
		known       bool
	}{
		"in service":                         {newObservation(func(*Observation) {}), Engine{ID: "e", Ready: true, Utilization: 0.5, QueueSeconds: 0.25}, true},
		"cold":                               {newObservation(func(x *Observation) { x.Uptime = 7 * time.Second }), Engine{ID: "e", Ready: true, Utilization: 0.5, QueueSeconds: 0.25, ThroughputFraction: 0.66}, true},
		"draining":                           {newObservation(func(x *Observation) { x.InService, x.Change = false, &ActiveChange{RoutingPaused: true, Role: "read"} }), Engine{ID: "e", Changing: true, Utilization: 0.5, QueueSeconds: 0.25}, true},
		"new role reported but not recorded": {newObservation(func(x *Observation) { x.Role, x.Change = "write", &ActiveChange{RoutingPaused: true, Role: "read"} }), Engine{ID: "e", Ready: true, Changing: true, Utilization: 0.5, QueueSeconds: 0.25}, true},
		"new role recorded but not in the roster": {newObservation(func(x *Observation) { x.InService, x.Change = false, &ActiveChange{Role: "write"} }), Engine{ID: "e", Role: Decode, Ready: true, Utilization: 0.5, QueueSeconds: 0.25, ThroughputFraction: 0.32}, true},
		"unplanned role": {newObservation(func(x *Observation) { x.Role = "both" }), Engine{}, false},
	} {
		got, known := set.PlannedEngine(c.observation)
		if got.ThroughputFraction = math.Round(got.ThroughputFraction*100) / 100; got != c.want || known != c.known {
			t.Errorf("%s: %+v, %v, want %+v", name, got, known, c.want)
		}
	}
}

func pin(list []Engine, r Role) {
	updateAll(list, func(e *Engine) { e.Pinned = e.Pinned || e.Role == r })
}

func updateAll(list []Engine, do func(*Engine)) {
	for i := range list {
		do(&list[i])
	}
}

func TestValidateNamesField(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"strategy":        func(s *Settings) { s.Strategy = "unknown" },
		"rack_part":       func(s *Settings) { s.MaxRackFraction = 0 },
		"changes_an_hour": func(s *Settings) { s.MaxPerHour = 0 },
		"horizon_ms":      func(s *Settings) { s.Horizon = time.Second },
		"smooth_ms":       func(s *Settings) { s.DemandTimeConstant = 0 },
	} {
		set := DefaultSettings()
		change(&set)
		var fieldError setting.Error
		if _, err := NewPlanner(set); !errors.As(err, &fieldError) || !strings.Contains(fieldError.Field, field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// TestPlansRespectLimits checks under random observations that a plan never changes the last engine of
// a role or one that is pinned, mixed, changing or changed less than MinDwell ago, and that it never
// exceeds the limits on simultaneous changes and on changes per hour.
func TestPlansRespectLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := DefaultSettings()
		set.Strategy = rapid.SampledFrom([]Strategy{Threshold, QueueBalance, Predictive}).Draw(t, "strategy")
		set.MaxPerHour = rapid.IntRange(1, 6).Draw(t, "max per hour")
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
		var starts []time.Time
		changedAt := map[string]time.Time{}
		now, all := t0, &trafficTotals{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
			for i := range list {
				list[i].Utilization = rapid.Float64Range(0, 1).Draw(t, "util")
				list[i].QueueSeconds = rapid.Float64Range(0, 3).Draw(t, "queue")
				if list[i].Changing && rapid.Bool().Draw(t, "ends") {
					list[i].Changing, list[i].Role, changedAt[list[i].ID] = false, list[i].Role.Opposite(), now
				}
			}
			p.Observe(now, list, all.addSecond(list, rapid.Float64Range(0, 0.9).Draw(t, "rejected")))
			plan := p.Plan(now)
			if plan.Change == nil {
				if plan.Reason == "" {
					t.Fatal("no change and no reason")
				}
				continue
			}
			sameRole, changing, changeable := 0, 0, 0
			for _, e := range list {
				if e.Role == plan.Change.From && !e.Changing {
					sameRole++
				}
				if e.Role != Mixed {
					changeable++
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
				if e.Pinned || e.Changing || e.Role != plan.Change.From || sameRole < 2 || !changedAt[e.ID].IsZero() && now.Sub(changedAt[e.ID]) < set.MinDwell {
					t.Fatalf("%+v was chosen, with %d engines of its role", *e, sameRole)
				}
				e.Changing, changedAt[e.ID] = true, now
			}
			if changing+1 > max(1, int(set.MaxFleetFraction*float64(changeable))) {
				t.Fatalf("%d of %d engines are changing", changing+1, changeable)
			}
			starts = append(starts, now)
			p.ChangeStarted(now, *plan.Change)
			if n := len(starts); n > set.MaxPerHour && now.Sub(starts[n-1-set.MaxPerHour]) < time.Hour {
				t.Fatalf("%d changes within an hour", set.MaxPerHour+1)
			}
		}
	})
}
