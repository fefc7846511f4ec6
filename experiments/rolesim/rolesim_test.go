package rolesim

import (
	"testing"
	"time"

	"wellgw/decide/roles"
)

func day(mix func(time.Duration) float64) Day {
	return Day{
		Engines: 10, Racks: 2, Rate: 95, Lookups: mix, For: 40 * time.Minute, Phase: 5 * time.Minute, Noise: 0.1,
		Drain: 8 * time.Second, Cold: 14 * time.Second, ColdShare: 0.32, Seed: 3,
	}
}

// bestFixed returns the best service in the worst phase of any split that stands.
func bestFixed(d Day) Result {
	var best Result
	for n := 1; n < d.Engines; n++ {
		r := Play(d, Classes(), n, nil)
		if worst(r) > worst(best) {
			best = r
		}
	}
	return best
}

func worst(r Result) float64 {
	low := 1.0
	if len(r.Phases) == 0 {
		return 0
	}
	for _, p := range r.Phases {
		low = min(low, p)
	}
	return low
}

func planned(t *testing.T, d Day, s roles.Strategy, change func(*roles.Settings)) Result {
	t.Helper()
	set := roles.DefaultSettings()
	set.Strategy = s
	if change != nil {
		change(&set)
	}
	decide, err := Planned(set)
	if err != nil {
		t.Fatal(err)
	}
	n, _ := roles.OptimalSplit(d.Engines, Demand(d, Classes(), 0))
	return Play(d, Classes(), n, decide)
}

// Moving engines beats the best split that stands by 10 points in the worst phase, and
// costs at most 2 where the mix stands still.
func TestRoleChangesBeatFixedSplit(t *testing.T) {
	swing := day(Swing(5 * time.Minute))
	fixed, moving := bestFixed(swing), planned(t, swing, roles.Predictive, nil)
	if worst(moving) < worst(fixed)+0.1 {
		t.Errorf("worst phase %.3f, fixed %.3f", worst(moving), worst(fixed))
	}
	for _, x := range []float64{0.2, 0.5, 0.8} {
		still := day(Still(x))
		fixed, moving := bestFixed(still), planned(t, still, roles.Predictive, nil)
		if moving.Service < fixed.Service-0.02 {
			t.Errorf("mix %v: %.3f, fixed %.3f", x, moving.Service, fixed.Service)
		}
	}
}

// A mix that swings faster than a change takes brings no thrashing.
func TestNoThrashing(t *testing.T) {
	fast := day(Swing(12 * time.Second))
	if r := planned(t, fast, roles.Predictive, nil); r.Changes > 20 {
		t.Errorf("%d changes in %v", r.Changes, fast.For)
	}
	bounded := planned(t, day(Swing(3*time.Minute)), roles.Threshold, func(s *roles.Settings) { s.MaxPerHour = 5 })
	if bounded.Changes > 5 {
		t.Errorf("%d changes in less than an hour, 5 allowed", bounded.Changes)
	}
}

func TestSameSeedSameDay(t *testing.T) {
	d := day(Wave(10 * time.Minute))
	a, b := planned(t, d, roles.Predictive, nil), planned(t, d, roles.Predictive, nil)
	if a.Service != b.Service || a.Changes != b.Changes {
		t.Errorf("%v and %v", a, b)
	}
}
