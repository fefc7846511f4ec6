package roles

import (
	"cmp"
	"slices"
	"time"
)

// maxUtilization is the share of a stage that can be used before requests come late.
const maxUtilization = 0.9

// servedShare is what part of a demand so many engines serve.
func servedShare(have, demand [2]float64) float64 {
	served := 1.0
	for s := range have {
		if demand[s] > 0 {
			served = min(served, maxUtilization*have[s]/demand[s])
		}
	}
	return served
}

// expectedForecast is foresee over the usual errors of the demand at both stages. Service falls off
// past what engines can do and gains nothing before: at the mean of the demand alone, a split
// that is just enough for one stage would look as good as one with room.
func (p *Planner) expectedForecast(c *Change, noise [2]float64, horizon time.Duration) Forecast {
	var f Forecast
	for i := range 4 {
		demand := p.demand
		for s := range demand {
			if i>>s&1 == 0 {
				demand[s] += noise[s]
			} else {
				demand[s] = max(0, demand[s]-noise[s])
			}
		}
		one := p.forecast(c, demand, horizon)
		f.Mean += one.Mean / 4
		f.Worst += one.Worst / 4
	}
	return f
}

// forecast returns the service over a horizon under a demand, with a change or, if c is
// nil, without one. Changes under way end as planned.
func (p *Planner) forecast(c *Change, demand [2]float64, horizon time.Duration) Forecast {
	const step = time.Second
	f := Forecast{Worst: 1}
	sum, n := 0.0, 0
	for t := time.Duration(0); t == 0 || t < horizon; t += step {
		var have [2]float64
		for _, e := range p.engines {
			switch {
			case e.Role == Mixed || !e.Ready && !e.Changing:
			case e.Changing: // it is somewhere in its change: taken as half way
				have[e.Role.Other()] += p.relativeRate(e, e.Role.Other()) * p.warmUpShare(t+p.settings.DrainTime/2)
			case c != nil && e.ID == c.Engine:
				have[c.To] += p.relativeRate(e, c.To) * p.warmUpShare(t)
			default:
				have[e.Role] += p.relativeRate(e, e.Role)
			}
		}
		served := servedShare(have, demand)
		sum += served
		f.Worst = min(f.Worst, served)
		n++
	}
	f.Mean = sum / float64(max(n, 1))
	return f
}

// warmUpShare is the share of its power that an engine has in its new role at a time after
// its change began.
func (p *Planner) warmUpShare(t time.Duration) float64 {
	t -= p.settings.DrainTime
	switch {
	case t < 0:
		return 0
	case t >= p.settings.WarmUp:
		return 1
	}
	return p.settings.ColdThroughput + (1-p.settings.ColdThroughput)*float64(t)/float64(p.settings.WarmUp)
}

// OptimalSplit returns how many engines each stage should have to serve a demand best, for an
// oracle or a fixed split: it weighs all splits of so many engines.
func OptimalSplit(engines int, demand [2]float64) (prompt, answer int) {
	type split struct {
		engines int
		worst   float64
	}
	var all []split
	for n := 1; n < engines; n++ {
		all = append(all, split{n, max(demand[Prefill]/float64(n), demand[Decode]/float64(engines-n))})
	}
	if len(all) == 0 {
		return engines, 0
	}
	best := slices.MinFunc(all, func(a, b split) int { return cmp.Compare(a.worst, b.worst) })
	return best.engines, engines - best.engines
}
