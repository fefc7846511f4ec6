package roles

import (
	"cmp"
	"slices"
	"time"
)

// Forecast is the share of the demand that will be served in time, over the horizon and at its
// worst.
type Forecast struct {
	Mean float64
	Min  float64 `json:"Worst"`
}

// maxUtilization is the utilization of a stage past which requests are late.
const maxUtilization = 0.9

// servedShare returns the share of a demand that a capacity serves in time.
func servedShare(capacity, demand [2]float64) float64 {
	served := 1.0
	for s := range capacity {
		if demand[s] > 0 {
			served = min(served, maxUtilization*capacity[s]/demand[s])
		}
	}
	return served
}

// expectedForecast averages the forecast over the usual errors of the demand at both stages.
// Service falls beyond the capacity and gains nothing below it: by the mean demand alone a split
// that is just enough for one stage would look as good as one with a margin.
func (p *Planner) expectedForecast(c *Change, noise [2]float64, horizon time.Duration) Forecast {
	const cases = 4 // higher or lower demand at either stage
	var mean Forecast
	for i := range cases {
		demand := p.demand
		for s := range demand {
			if i>>s&1 == 0 {
				demand[s] += noise[s]
			} else {
				demand[s] = max(0, demand[s]-noise[s])
			}
		}
		one := p.forecast(c, demand, horizon)
		mean.Mean += one.Mean / cases
		mean.Min += one.Min / cases
	}
	return mean
}

// forecast returns the service over a horizon under a demand, with a change or, if c is nil,
// without one. Changes under way are taken to succeed.
func (p *Planner) forecast(c *Change, demand [2]float64, horizon time.Duration) Forecast {
	const step = time.Second
	f := Forecast{Min: 1}
	sum, n := 0.0, 0
	for t := time.Duration(0); t == 0 || t < horizon; t += step {
		served := servedShare(p.capacityAfter(t, c), demand)
		sum += served
		f.Min = min(f.Min, served)
		n++
	}
	f.Mean = sum / float64(max(n, 1))
	return f
}

// capacityAfter returns the capacity by stage a time after a change began, nil for none.
func (p *Planner) capacityAfter(t time.Duration, c *Change) (capacity [2]float64) {
	for _, e := range p.engines {
		switch {
		case e.Role == Mixed || !e.Ready && !e.Changing:
		case e.Changing: // at an unknown point of its change: taken as halfway through its drain
			capacity[e.Role.Opposite()] += p.relativeRate(e, e.Role.Opposite()) * p.warmthInChange(t+p.settings.DrainTime/2)
		case c != nil && e.ID == c.Engine:
			capacity[c.To] += p.relativeRate(e, c.To) * p.warmthInChange(t)
		default:
			capacity[e.Role] += p.relativeRate(e, e.Role)
		}
	}
	return capacity
}

// warmthInChange returns the share of its warm rate that an engine has in its new role a time
// after its change began.
func (p *Planner) warmthInChange(t time.Duration) float64 {
	t -= p.settings.DrainTime
	switch {
	case t < 0:
		return 0
	case t >= p.settings.WarmUp:
		return 1
	}
	return p.settings.warmthAfter(t)
}

// OptimalSplit returns how many engines each stage should have to serve a demand best, for a
// fixed split or to compare plans with: it weighs all splits of so many engines.
func OptimalSplit(engines int, demand [2]float64) (prefill, decode int) {
	type split struct {
		prefill int
		worst   float64 // demand an engine, at the stage where it is higher
	}
	var all []split
	for n := 1; n < engines; n++ {
		all = append(all, split{n, max(demand[Prefill]/float64(n), demand[Decode]/float64(engines-n))})
	}
	if len(all) == 0 {
		return engines, 0
	}
	best := slices.MinFunc(all, func(a, b split) int { return cmp.Compare(a.worst, b.worst) })
	return best.prefill, engines - best.prefill
}
