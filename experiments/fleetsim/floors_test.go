package fleetsim

import (
	"fmt"
	"strings"
	"testing"

	"wellgw/routing"
)

// The floors of the standing test, against what a plain policy serves on the same day.
const (
	floorOfClass = 0.5     // of each class, and of the classes of each effect
	floorOfThird = 0.2     // of each third of the day
	floorOfQuota = 1.0 / 3 // of each tenant's requests within its quota
	tenantLeast  = 0.05    // of the worth within quotas; a tenant with less is not looked at
	leastServed  = 0.3     // where the plain policy itself serves less, nothing is asked
)

// served is the part of some worth that was earned.
type served struct{ asked, earned float64 }

func (s served) part() float64 { return s.earned / max(s.asked, 1e-9) }

// thirds adds up a day by thirds.
func thirds(r Result) (sums [3]served) {
	for i, second := range r.BySecond {
		third := &sums[min(3*i/max(len(r.BySecond), 1), 2)]
		third.asked += second[0]
		third.earned += second[1]
	}
	return sums
}

// starved tells what a policy serves too little of, against another.
func starved(d *Deployment, got, plain Result) (found []string) {
	check := func(what string, part, floor, plain float64) {
		if plain >= leastServed && part < floor*plain {
			found = append(found, fmt.Sprintf("%s: %.2f of the worth is served, by the plain policy %.2f", what, part, plain))
		}
	}
	effects := map[routing.Effect][2]float64{}
	for i, class := range d.Classes {
		check("class "+class.Name, got.ByClass[i], floorOfClass, plain.ByClass[i])
		sum := effects[class.Effect]
		effects[class.Effect] = [2]float64{sum[0] + got.ByClass[i], sum[1] + plain.ByClass[i]}
	}
	for effect, sum := range effects {
		check("effect "+effectName(effect), sum[0], floorOfClass, sum[1])
	}
	within := 0.0
	for _, worth := range plain.ByTenant {
		within += worth[0]
	}
	for i, worth := range plain.ByTenant {
		if worth[0] >= tenantLeast*within {
			check("tenant "+d.Settings.Tenants[i].Name, served{worth[0], got.ByTenant[i][1]}.part(), floorOfQuota, served{worth[0], worth[1]}.part())
		}
	}
	mine, theirs := thirds(got), thirds(plain)
	for i := range mine {
		check(fmt.Sprint("third ", i+1, " of the day"), mine[i].part(), floorOfThird, theirs[i].part())
	}
	return found
}

// fewest is the plain policy that floors are measured against.
func fewest(t *testing.T) Policy {
	for _, b := range Baselines() {
		if b.Name == "fewest in hand" {
			return b.Policy
		}
	}
	t.Fatal("there is no such policy")
	return nil
}

// No class, effect or third of a day is starved.
func TestServiceFloors(t *testing.T) {
	testFloors(t, Draw)
}

// testFloors plays deployments under the module and under the plain policy.
func testFloors(t *testing.T, draw func(uint64) *Deployment) {
	long(t)
	for seed := range uint64(12) {
		got, plain := Play(draw(seed), Module, false), Play(draw(seed), fewest(t), false)
		if found := starved(draw(seed), got, plain); len(found) > 0 {
			t.Errorf("seed %d: %q", seed, found)
		}
	}
}

// withTenants draws a deployment that three tenants share. The largest asks for twice its quota,
// the others stay within theirs.
func withTenants(seed uint64) *Deployment {
	d := Draw(seed)
	d.Settings.OverQuotaWeight = 0.2
	for _, t := range []struct {
		name         string
		share, quota float64
	}{{"over", 0.6, 0.3}, {"within", 0.3, 0.4}, {"small", 0.1, 0.15}} {
		d.TenantShares = append(d.TenantShares, t.share)
		d.Settings.Tenants = append(d.Settings.Tenants, routing.Tenant{Name: t.name, Quota: t.quota * d.Rate})
	}
	return d
}

// No tenant is starved of what it asks for within its quota, nor by one that asks for more.
func TestServiceFloorByTenant(t *testing.T) {
	testFloors(t, withTenants)
}

// late turns requests away from a moment on.
type late struct {
	Decider
	from routing.Time
}

func (l late) Handle(now routing.Time, ev routing.Event) []routing.Action {
	if q, is := ev.(routing.Request); is && now > l.from {
		return []routing.Action{routing.Reject{ID: q.ID}}
	}
	return l.Decider.Handle(now, ev)
}

// What starves is seen: a policy that turns one class away, and one that serves only the
// first part of the day.
func TestServiceFloorsDetectStarvation(t *testing.T) {
	const seed = 2 // a day on which a plain policy serves all
	d := withTenants(seed)
	plain := Play(withTenants(seed), fewest(t), false)
	day := routing.Time(len(plain.BySecond)) * routing.Time(1e9)
	for what, policy := range map[string]Policy{
		"class " + d.Classes[0].Name: func(set routing.Settings, seed uint64) Decider {
			return picky{Module(set, seed), func(q routing.Request) bool { return q.Class == d.Classes[0].Name }}
		},
		"tenant small": func(set routing.Settings, seed uint64) Decider {
			return picky{Module(set, seed), func(q routing.Request) bool { return q.Tenant == "small" }}
		},
		"third 3": func(set routing.Settings, seed uint64) Decider { return late{Module(set, seed), day / 2} },
	} {
		found := strings.Join(starved(d, Play(withTenants(seed), policy, false), plain), "; ")
		if !strings.Contains(found, what) {
			t.Errorf("%s: found %q", what, found)
		}
	}
}
