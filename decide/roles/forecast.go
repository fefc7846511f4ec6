package roles

import (
	"cmp"
	"slices"
	"time"
)

// Forecast is the fraction of the demand that will be served in time: its mean over the horizon, and
// its minimum.
type Forecast struct {
	Mean float64
	Min  float64 `json:"Worst"`
}

// maxUtilization is the utilization of a stage above which requests are late.
const maxUtilization = 0.9

// servedFraction returns the fraction of a demand that a capacity serves in time.
func servedFraction(capacity, demand [2]float64) float64 {
	served := 1.0
	for s := range capacity {
		if demand[s] > 0 {
			served = min(served, maxUtilization*capacity[s]/demand[s])
		}
	}
	return served
}

// expectedForecast averages the forecast over demand that is higher and lower by its standard
// deviation, at both stages. Demand above the capacity lowers the served fraction, while demand below
// it does not raise it: by the mean demand alone, a split that barely suffices for one stage would
// rate as high as one with a margin.
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
		sample := p.forecast(c, demand, horizon)
		mean.Mean += sample.Mean / cases
		mean.Min += sample.Min / cases
	}
	return mean
}

// forecast returns the forecast over a horizon for a demand, with the change c or, if c is nil,
// without one. It assumes that changes in progress succeed.
func (p *Planner) forecast(c *Change, demand [2]float64, horizon time.Duration) Forecast {
	const step = time.Second
	f := Forecast{Min: 1}
	sum, n := 0.0, 0
	for t := time.Duration(0); t == 0 || t < horizon; t += step {
		served := servedFraction(p.capacityAfter(t, c), demand)
		sum += served
		f.Min = min(f.Min, served)
		n++
	}
	f.Mean = sum / float64(max(n, 1))
	return f
}

// capacityAfter returns the capacity by stage at time t after the start of the change c, nil for none.
func (p *Planner) capacityAfter(t time.Duration, c *Change) (capacity [2]float64) {
	for _, e := range p.engines {
		switch {
		case e.Role == Mixed || !e.Ready && !e.Changing:
		case e.Changing: // the progress of its change is unknown: assume half of its drain
			capacity[e.Role.Opposite()] += p.relativeRate(e, e.Role.Opposite()) *
				p.throughputInChange(t+p.settings.DrainTime/2)
		case c != nil && e.ID == c.Engine:
			capacity[c.To] += p.relativeRate(e, c.To) * p.throughputInChange(t)
		default:
			capacity[e.Role] += p.relativeRate(e, e.Role)
		}
	}
	return capacity
}

// throughputInChange returns the fraction of its warm throughput that an engine has in its new role at
// time t after the start of its change.
func (p *Planner) throughputInChange(t time.Duration) float64 {
	t -= p.settings.DrainTime
	switch {
	case t < 0:
		return 0
	case t >= p.settings.WarmUp:
		return 1
	}
	return p.settings.warmUpThroughput(t)
}

// OptimalSplit returns the number of engines of each stage with the lowest maximum of demand per
// engine, for a fixed split or as a reference for plans. It evaluates all splits.
func OptimalSplit(engines int, demand [2]float64) (prefill, decode int) {
	type split struct {
		prefill int
		maxLoad float64 // demand per engine, at the stage where it is higher
	}
	var all []split
	for n := 1; n < engines; n++ {
		all = append(all, split{n, max(demand[Prefill]/float64(n), demand[Decode]/float64(engines-n))})
	}
	if len(all) == 0 {
		return engines, 0
	}
	best := slices.MinFunc(all, func(a, b split) int { return cmp.Compare(a.maxLoad, b.maxLoad) })
	return best.prefill, engines - best.prefill
}
