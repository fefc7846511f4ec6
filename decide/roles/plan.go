package roles

import (
	"fmt"
	"time"
)

// Change is one change that is wanted.
type Change struct {
	Engine   string
	Rack     int
	From, To Role
}

// Plan is what was decided, and why. Pairs are of the prefill and the decode stage, in engines.
type Plan struct {
	Change                    *Change // nil: none
	Reason                    string
	Demand                    [2]float64
	Noise                     [2]float64 // usual error of the demand
	Capacity                  [2]float64
	WithoutChange, WithChange Forecast // without the change, and with it
}

// A change in the other direction than the latest one has to gain more for a while: otherwise a
// mix between two splits would have an engine change to and fro with the noise.
const (
	reversalGainFactor = 4.0
	reversalHorizons   = 2 // horizons for which the factor holds
)

// A change may lower service for a while by maxDip, or more as long as it stays above serviceFloor.
const (
	maxDip       = 0.05
	serviceFloor = 0.97
)

// Plan decides on the next change. At most one is wanted at a time; the forecast counts changes
// under way as done.
func (p *Planner) Plan(now time.Time) Plan {
	plan := Plan{Demand: p.demand, Noise: p.noise(), Capacity: p.capacity()}
	horizon := p.phases.remaining(now, p.settings.Horizon)
	plan.WithoutChange = p.expectedForecast(nil, plan.Noise, horizon)
	plan.WithChange = plan.WithoutChange
	if plan.Reason = p.blockedReason(now); plan.Reason != "" {
		return plan
	}
	var to Role
	if to, plan.Reason = p.bottleneck(plan); plan.Reason != "" {
		return plan
	}
	if p.lastRole != to && now.Sub(p.lastStart) < p.settings.ReversalDelay && !p.lastStart.IsZero() {
		plan.Reason = "the latest change went the other way and has yet to settle"
		return plan
	}
	var change *Change
	if change, plan.Reason = p.candidate(now, to); change == nil {
		return plan
	}
	after := p.expectedForecast(change, plan.Noise, horizon)
	if plan.Reason = p.rejectionReason(now, change, plan, after, horizon); plan.Reason != "" {
		return plan
	}
	plan.Change, plan.WithChange = change, after
	from := to.Opposite()
	plan.Reason = fmt.Sprintf("%s work needs %.1f of %.1f engines, %s work %.1f of %.1f; service %.3f, with the change %.3f",
		to, p.demand[to], plan.Capacity[to], from, p.demand[from], plan.Capacity[from], plan.WithoutChange.Mean, plan.WithChange.Mean)
	return plan
}

// blockedReason returns why no change is planned at all, "" if one may be.
func (p *Planner) blockedReason(now time.Time) string {
	if len(p.engines) == 0 {
		return "no engine is seen"
	}
	if !p.demandKnown {
		return "too little is known of the demand yet"
	}
	if n := p.startsLastHour(now); n >= p.settings.MaxPerHour {
		return fmt.Sprintf("%d changes in the last hour are enough", n)
	}
	return ""
}

// rejectionReason returns why a change is not worth its cost, "" if it is.
func (p *Planner) rejectionReason(now time.Time, c *Change, plan Plan, after Forecast, horizon time.Duration) string {
	if p.settings.Strategy == Predictive {
		gain := after.Mean - plan.WithoutChange.Mean
		lowGain := p.lowGain(c, plan.Noise, horizon)
		if gain < p.minGain(now, c.To) || lowGain <= 0 {
			return fmt.Sprintf("a change would gain %.3f, %.3f at the low end of the demand: not beyond the noise", gain, lowGain)
		}
	}
	if after.Min < plan.WithoutChange.Min-maxDip && after.Min < serviceFloor {
		return fmt.Sprintf("its loss would push service down to %.2f meanwhile", after.Min)
	}
	return ""
}

// lowGain returns a change's gain if the demand is wrong by its usual error, against the change.
func (p *Planner) lowGain(c *Change, noise [2]float64, horizon time.Duration) float64 {
	low := p.demand
	low[c.To] = max(0, low[c.To]-noise[c.To])
	low[c.From] += noise[c.From]
	return p.forecast(c, low, horizon).Mean - p.forecast(nil, low, horizon).Mean
}

// minGain returns the gain that a change to a role must have.
func (p *Planner) minGain(now time.Time, to Role) float64 {
	if p.lastRole != to && !p.lastStart.IsZero() && now.Sub(p.lastStart) < reversalHorizons*p.settings.Horizon {
		return p.settings.MinGain * reversalGainFactor
	}
	return p.settings.MinGain
}

// capacity returns what the engines in service can do, by stage.
func (p *Planner) capacity() [2]float64 {
	var c [2]float64
	for _, e := range p.engines {
		if e.Role != Mixed && e.Ready && !e.Changing {
			c[e.Role] += p.relativeRate(e, e.Role)
		}
	}
	return c
}

// The parameters of the two simpler strategies.
const (
	busyThreshold   = 0.85 // load above which a stage is busy
	idleThreshold   = 0.7  // load up to which the other stage can give an engine
	queueLead       = 0.5  // in load and seconds of queue, by which one stage must exceed the other
	maxQueueSeconds = 4.0  // of one engine that count
	minCapacity     = 1e-9 // in place of none, as a divisor
)

// bottleneck returns the stage that should get an engine, or why none should.
func (p *Planner) bottleneck(plan Plan) (Role, string) {
	var load, queue [2]float64
	for s := range load {
		load[s] = plan.Demand[s] / max(plan.Capacity[s], minCapacity)
	}
	for _, e := range p.engines {
		if e.Role != Mixed && e.Ready {
			queue[e.Role] += min(e.QueueSeconds, maxQueueSeconds) / max(plan.Capacity[e.Role], minCapacity)
		}
	}
	to := Prefill
	if load[Decode] > load[Prefill] {
		to = Decode
	}
	from := to.Opposite()
	left := plan.Capacity[from] - 1
	switch p.settings.Strategy {
	case Threshold:
		if load[to] < busyThreshold || left <= 0 || plan.Demand[from]/left > idleThreshold {
			return to, "no stage is busy while the other is not"
		}
	case QueueBalance:
		if queue[to]+load[to]-queue[from]-load[from] < queueLead || left <= 0 {
			return to, "the queues are near enough to each other"
		}
	default:
		if plan.WithoutChange.Mean > 1-p.settings.MinGain {
			return to, "all that is asked can be served as it is"
		}
	}
	return to, ""
}
