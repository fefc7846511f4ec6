package roles

import (
	"fmt"
	"math"
	"time"
)

// Change is one change that is wanted.
type Change struct {
	Engine   string
	Rack     int
	From, To Role
}

// Forecast is the service that is foreseen: the share of what is asked that is served
// in time, over the horizon and at its worst.
type Forecast struct{ Mean, Worst float64 }

// Plan is what was decided, and why.
type Plan struct {
	Change        *Change // nil: none
	Reason        string
	Demand        [2]float64 // smoothed, in engines
	Noise         [2]float64 // its usual error
	Capacity      [2]float64 // in engines
	Before, After Forecast   // without the change, and with it
}

// Plan decides on the next change. At most one is wanted at a time; changes under way
// count as done in what is foreseen.
func (p *Planner) Plan(now time.Time) Plan {
	out := Plan{Demand: p.demand, Capacity: p.capacity()}
	for s := range out.Noise {
		// What is wrong by the same sign again and again is a trend, not noise.
		out.Noise[s] = math.Sqrt(max(0, p.meanSquareError[s]-p.meanError[s]*p.meanError[s]))
	}
	horizon := p.phases.remaining(now, p.settings.Horizon)
	out.Before = p.expectedForecast(nil, out.Noise, horizon)
	out.After = out.Before
	if len(p.engines) == 0 {
		out.Reason = "no engine is seen"
		return out
	}
	if !p.demandKnown {
		out.Reason = "too little is known of the demand yet"
		return out
	}
	if n := p.startsLastHour(now); n >= p.settings.MaxPerHour {
		out.Reason = fmt.Sprintf("%d changes in the last hour are enough", n)
		return out
	}
	needy, why := p.bottleneck(out)
	if why != "" {
		out.Reason = why
		return out
	}
	if p.lastRole != needy && now.Sub(p.lastStart) < p.settings.ReversalDelay && !p.lastStart.IsZero() {
		out.Reason = "the latest change went the other way and has yet to settle"
		return out
	}
	c, why := p.candidate(now, needy)
	if c == nil {
		out.Reason = why
		return out
	}
	out.After = p.expectedForecast(c, out.Noise, horizon)
	gain := out.After.Mean - out.Before.Mean
	if p.settings.Strategy == Predictive {
		// The demand may be wrong by its usual error; the gain has to outlast that.
		low := p.demand
		low[needy] = max(0, low[needy]-out.Noise[needy])
		low[needy.Other()] += out.Noise[needy.Other()]
		sure := p.forecast(c, low, horizon).Mean - p.forecast(nil, low, horizon).Mean
		least := p.settings.MinGain
		if p.lastRole != needy && !p.lastStart.IsZero() && now.Sub(p.lastStart) < reversalHorizons*p.settings.Horizon {
			least *= reversalGainFactor
		}
		if gain < least || sure <= 0 {
			out.Reason = fmt.Sprintf("a change would gain %.3f, %.3f at the low end of the demand: not beyond the noise", gain, sure)
			out.After = out.Before
			return out
		}
	}
	if out.After.Worst < out.Before.Worst-maxDip && out.After.Worst < serviceFloor {
		out.Reason = fmt.Sprintf("its loss would push service down to %.2f meanwhile", out.After.Worst)
		out.After = out.Before
		return out
	}
	out.Change = c
	out.Reason = fmt.Sprintf("%s work needs %.1f of %.1f engines, %s work %.1f of %.1f; service %.3f, with the change %.3f",
		needy, p.demand[needy], out.Capacity[needy], needy.Other(), p.demand[needy.Other()], out.Capacity[needy.Other()], out.Before.Mean, out.After.Mean)
	return out
}

// A change that undoes the latest one has to gain more for a while: a mix that stands
// between two splits would have an engine go to and fro with the noise.
const (
	reversalGainFactor = 4.0
	reversalHorizons   = 2 // horizons
)

// A change may push service down for a while by so much, or if it stays above the floor.
const (
	maxDip       = 0.05
	serviceFloor = 0.97
)

func (p *Planner) capacity() [2]float64 {
	var c [2]float64
	for _, e := range p.engines {
		if e.Role != Mixed && e.Ready && !e.Changing {
			c[e.Role] += p.relativeRate(e, e.Role)
		}
	}
	return c
}

// The thresholds of the two simpler strategies.
const (
	busyThreshold   = 0.85
	idleThreshold   = 0.7
	queueLead       = 0.5
	maxQueueSeconds = 4.0 // seconds; a longer queue says no more
)

// bottleneck returns the stage that should get an engine, or why none should.
func (p *Planner) bottleneck(plan Plan) (Role, string) {
	var load, queue [2]float64
	for s := range load {
		load[s] = plan.Demand[s] / max(plan.Capacity[s], 1e-9)
	}
	for _, e := range p.engines {
		if e.Role != Mixed && e.Ready {
			queue[e.Role] += min(e.QueueSeconds, maxQueueSeconds) / max(plan.Capacity[e.Role], 1e-9)
		}
	}
	needy := Prefill
	if load[Decode] > load[Prefill] {
		needy = Decode
	}
	give := needy.Other()
	left := plan.Capacity[give] - 1
	switch p.settings.Strategy {
	case Threshold:
		if load[needy] < busyThreshold || left <= 0 || plan.Demand[give]/left > idleThreshold {
			return needy, "no stage is busy while the other is not"
		}
	case QueueBalance:
		if queue[needy]+load[needy]-queue[give]-load[give] < queueLead || left <= 0 {
			return needy, "the queues are near enough to each other"
		}
	default:
		if plan.Before.Mean > 1-p.settings.MinGain {
			return needy, "all that is asked can be served as it is"
		}
	}
	return needy, ""
}
