package roles

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"testing"
	"time"
)

// randomSettings returns random settings with any of the strategies.
func randomSettings(rng *rand.Rand) Settings {
	set := DefaultSettings()
	set.Strategy = Strategy([]string{"threshold", "queue-balance", "predictive", "predictive"}[rng.IntN(4)])
	set.MaxPerHour = 1 + rng.IntN(30)
	set.MinDwell = time.Duration(rng.IntN(90)) * time.Second
	set.ReversalDelay = time.Duration(rng.IntN(30)) * time.Second
	set.MaxFleetFraction = 0.2 + rng.Float64()*0.5
	set.MaxRackFraction = 0.2 + rng.Float64()*0.5
	set.MinGain = rng.Float64() * 0.03
	return set
}

// randomFleet is a fleet in three racks with random load and random role changes.
type randomFleet struct {
	rng        *rand.Rand
	engines    []Engine
	traffic    [2]Traffic // two classes: a sum over more would depend on the iteration order of a map
	changeEnds map[string]time.Time
}

func newRandomFleet(rng *rand.Rand) *randomFleet {
	f := &randomFleet{rng: rng, traffic: [2]Traffic{{Class: "chat"}, {Class: "batch"}}, changeEnds: map[string]time.Time{}}
	for i := range 6 + rng.IntN(12) {
		e := Engine{ID: fmt.Sprintf("e%02d", i), Rack: rng.IntN(3), Role: Role(rng.IntN(2)), Ready: true, Pinned: rng.IntN(9) == 0}
		if rng.IntN(12) == 0 {
			e.Role = Role(2)
		}
		f.engines = append(f.engines, e)
	}
	return f
}

// advanceSecond advances the fleet by one second of random load, of which decodeFraction is decode
// work, and returns the totals of traffic.
func (f *randomFleet) advanceSecond(now time.Time, decodeFraction float64) []Traffic {
	for i := range f.engines {
		e := &f.engines[i]
		if end, on := f.changeEnds[e.ID]; on && now.After(end) {
			delete(f.changeEnds, e.ID)
			e.Changing, e.Role, e.Tokens, e.BusySeconds, e.ThroughputFraction = false, e.Role.Opposite(), 0, 0, 0.3
		}
		if e.ThroughputFraction > 0 {
			if e.ThroughputFraction += 0.05; e.ThroughputFraction >= 1 {
				e.ThroughputFraction = 0
			}
		}
		e.Utilization, e.QueueSeconds, e.MemoryUsed = f.rng.Float64(), f.rng.Float64()*3, f.rng.Float64()
		if stageFraction := [...]float64{1 - decodeFraction, decodeFraction, 0.5}[e.Role]; stageFraction > 0.5 {
			e.Utilization = min(1, e.Utilization+0.6)
		}
		e.BusySeconds += e.Utilization * 4
		e.Tokens += e.Utilization * 4 * (500 + 1000*f.rng.Float64())
		e.Ready = f.rng.IntN(40) > 0
	}
	for i := range f.traffic {
		t := &f.traffic[i]
		n := float64(f.rng.IntN(30))
		served := n * (0.6 + 0.4*f.rng.Float64())
		t.Requested, t.Served = t.Requested+n, t.Served+served
		t.PromptTokens, t.ServedPromptTokens = t.PromptTokens+n*900*(1-decodeFraction), t.ServedPromptTokens+served*900*(1-decodeFraction)
		t.OutputTokens += served * 200 * decodeFraction
	}
	return f.traffic[:]
}

func writePlan(w io.Writer, p Plan) {
	if c := p.Change; c != nil {
		fmt.Fprintln(w, c.Engine, c.Rack, uint8(c.From), uint8(c.To), c.From.String(), c.To.String())
	}
	fmt.Fprintln(w, p.Reason)
	for _, x := range []float64{
		p.Demand[0], p.Demand[1], p.Noise[0], p.Noise[1], p.Capacity[0], p.Capacity[1],
		p.WithoutChange.Mean, p.WithoutChange.Min, p.WithChange.Mean, p.WithChange.Min,
	} {
		fmt.Fprintf(w, "%.9g ", x)
	}
	fmt.Fprintln(w)
}

// TestGoldenPlans compares the plans for random fleets with recorded hashes. No name of a Go type or
// field is hashed, so that the hashes remain valid after renames.
func TestGoldenPlans(t *testing.T) {
	changes := 0
	for seed, want := range [...]uint64{
		0xa5cea7adf718919a, 0x6541490fb12c155, 0x90d3650d963cb308, 0x83e80d6280d4deb9,
		0xb037c565254469c1, 0x69d38a9fd63cde2b, 0xb3b17dd5867f6acb, 0xf8a058c55b2525fc,
	} {
		rng, sum := rand.New(rand.NewPCG(uint64(seed), 45)), fnv.New64a()
		p, err := NewPlanner(randomSettings(rng))
		if err != nil {
			t.Fatal(err)
		}
		f := newRandomFleet(rng)
		now, decodeFraction := t0, 0.5
		for n := range 1200 {
			now = now.Add(time.Second)
			if n%(15+seed) == 0 {
				decodeFraction = [...]float64{0.15, 0.85}[n/(15+seed)%2]
			}
			if n%200 == 199 { // remove an engine permanently
				f.engines = f.engines[:max(4, len(f.engines)-1)]
			}
			p.Observe(now, f.engines, f.advanceSecond(now, decodeFraction))
			plan := p.Plan(now)
			writePlan(sum, plan)
			c := plan.Change
			if c == nil {
				continue
			}
			changes++
			p.ChangeStarted(now, *c)
			for i := range f.engines {
				if f.engines[i].ID == c.Engine {
					f.engines[i].Changing = true
					f.changeEnds[c.Engine] = now.Add(time.Duration(5+rng.IntN(20)) * time.Second)
				}
			}
			if rng.IntN(6) == 0 {
				p.ChangeEnded(now.Add(time.Second), c.Engine, rng.IntN(2) == 0)
			}
		}
		if got := sum.Sum64(); got != want {
			t.Errorf("seed %d: %#x, want %#x", seed, got, want)
		}
	}
	if changes < 20 {
		t.Errorf("only %d changes were planned", changes)
	}
}

// TestGoldenPlannedEngines compares the planner's inputs for random observations, and optimal splits,
// with recorded hashes.
func TestGoldenPlannedEngines(t *testing.T) {
	const want = uint64(0x13dd97c8251bb52c)
	rng, sum := rand.New(rand.NewPCG(1, 45)), fnv.New64a()
	names := []string{"read", "write", "both", ""}
	for range 20_000 {
		x := Observation{
			ID: "e", Rack: rng.IntN(4), InService: rng.IntN(2) == 0, Uptime: time.Duration(rng.IntN(20)) * time.Second, Role: names[rng.IntN(4)], Slots: rng.IntN(9),
			Running: rng.IntN(12), Queue: rng.IntN(6), MemoryUsed: rng.Float64(), Tokens: rng.Float64() * 1e6, BusySeconds: rng.Float64() * 1e3, Pinned: rng.IntN(2) == 0,
		}
		if rng.IntN(3) == 0 {
			x.Change = &ActiveChange{RoutingPaused: rng.IntN(2) == 0, Role: names[rng.IntN(4)], RoleAge: time.Duration(rng.IntN(20)-2) * time.Second}
		}
		e, known := randomSettings(rng).PlannedEngine(x)
		fmt.Fprintln(sum, known, e.ID, e.Rack, uint8(e.Role), e.Changing, e.Ready, e.Pinned)
		fmt.Fprintf(sum, "%.9g %.9g %.9g %.9g %.9g %.9g\n", e.Utilization, e.QueueSeconds, e.ThroughputFraction, e.MemoryUsed, e.Tokens, e.BusySeconds)
		fmt.Fprintln(sum, fmt.Sprint(OptimalSplit(rng.IntN(20), [2]float64{rng.Float64() * 9, rng.Float64() * 9})))
	}
	if got := sum.Sum64(); got != want {
		t.Errorf("%#x, want %#x", got, want)
	}
}
