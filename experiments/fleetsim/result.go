package fleetsim

import (
	"math"
	"time"
)

// Result is what came of a deployment's day.
type Result struct {
	Service   float64      // worth served in time over worth asked, late answers in part
	ByClass   []float64    // the same by class
	ByTenant  [][2]float64 // worth asked within each tenant's quota, and what of it was earned
	Worst10   float64      // the worst 10 s of it
	BySecond  [][2]float64 // worth asked in each second, and what of it was earned
	Requests  int
	Refused   int      // tries
	Probes    int      // of engines
	Conns     int      // opened between gateways and engines
	Sent      []int    // attempts by engine
	Late      int      // requests
	Broken    []string // rules, the first few
	Decisions []string // if asked for
}

func (w *world) sum() Result {
	d := w.deployment
	asked, earned := make([]float64, len(d.Classes)), make([]float64, len(d.Classes))
	bySecond := make([][2]float64, int(d.Length/time.Second)+1)
	w.res.ByTenant = make([][2]float64, len(d.Settings.Tenants))
	for _, c := range w.calls {
		if c.at < d.Warm {
			continue
		}
		if c.inShare {
			t := &w.res.ByTenant[c.tenant]
			t[0], t[1] = t[0]+c.worth, t[1]+c.earned
		}
		w.res.Requests++
		asked[c.class] += c.worth
		earned[c.class] += c.earned
		s := &bySecond[int(c.at/time.Second)]
		s[0], s[1] = s[0]+c.worth, s[1]+c.earned
		if c.late {
			w.res.Late++
		}
	}
	all, got := 0.0, 0.0
	for i := range asked {
		all, got = all+asked[i], got+earned[i]
		w.res.ByClass = append(w.res.ByClass, earned[i]/math.Max(asked[i], 1e-9))
	}
	w.res.BySecond = bySecond
	for _, e := range w.engines {
		w.res.Sent = append(w.res.Sent, e.sends)
	}
	w.res.Service, w.res.Worst10 = got/math.Max(all, 1e-9), 1
	for i := int(d.Warm / time.Second); i+10 < len(bySecond); i++ {
		a, g := 0.0, 0.0
		for _, s := range bySecond[i : i+10] {
			a, g = a+s[0], g+s[1]
		}
		w.res.Worst10 = math.Min(w.res.Worst10, g/math.Max(a, 1e-9))
	}
	return w.res
}
