package roles

import (
	"fmt"
	"time"
)

// Change is a planned role change of one engine.
type Change struct {
	Engine   string
	Rack     int
	From, To Role
}

// Plan is a decision and its reason. Arrays are indexed by stage, and their values are in engines.
type Plan struct {
	Change                    *Change // nil if no change is planned
	Reason                    string
	Demand                    [2]float64
	Noise                     [2]float64 // standard deviation of the demand
	Capacity                  [2]float64
	WithoutChange, WithChange Forecast // served fraction of the demand
}

// A change that reverses the direction of the latest one must gain more for some time: otherwise an
// engine would change back and forth with the noise when the mix lies between two splits.
const (
	reversalGainFactor = 4.0
	reversalHorizons   = 2 // horizons during which the factor applies
)

// A change may temporarily lower the served fraction of demand by maxServiceDrop, or by more as long
// as the fraction is at least acceptableService.
const (
	maxServiceDrop    = 0.05
	acceptableService = 0.97
)

// Plan returns the next change, at most one per call. The forecast assumes that changes in progress
// succeed.
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
	if p.lastTargetRole != to && now.Sub(p.lastStartAt) < p.settings.ReversalDelay && !p.lastStartAt.IsZero() {
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
		to, p.demand[to], plan.Capacity[to], from, p.demand[from], plan.Capacity[from],
		plan.WithoutChange.Mean, plan.WithChange.Mean)
	return plan
}

// blockedReason returns the reason why no change may be planned at present, "" if one may.
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

// rejectionReason returns the reason why a change is not worth its cost, "" if it is.
func (p *Planner) rejectionReason(now time.Time, c *Change, plan Plan, after Forecast, horizon time.Duration) string {
	if p.settings.Strategy == Predictive {
		gain := after.Mean - plan.WithoutChange.Mean
		pessimisticGain := p.pessimisticGain(c, plan.Noise, horizon)
		if gain < p.minGain(now, c.To) || pessimisticGain <= 0 {
			return fmt.Sprintf("a change would gain %.3f, %.3f at the low end of the demand: not beyond the noise",
				gain, pessimisticGain)
		}
	}
	if after.Min < plan.WithoutChange.Min-maxServiceDrop && after.Min < acceptableService {
		return fmt.Sprintf("its loss would push service down to %.2f meanwhile", after.Min)
	}
	return ""
}

// pessimisticGain returns the gain of a change if the demand differs by its standard deviation in the
// direction that is unfavourable for the change.
func (p *Planner) pessimisticGain(c *Change, noise [2]float64, horizon time.Duration) float64 {
	low := p.demand
	low[c.To] = max(0, low[c.To]-noise[c.To])
	low[c.From] += noise[c.From]
	return p.forecast(c, low, horizon).Mean - p.forecast(nil, low, horizon).Mean
}

// minGain returns the minimum gain of a change to a role.
func (p *Planner) minGain(now time.Time, to Role) float64 {
	if p.lastTargetRole != to && !p.lastStartAt.IsZero() &&
		now.Sub(p.lastStartAt) < reversalHorizons*p.settings.Horizon {
		return p.settings.MinGain * reversalGainFactor
	}
	return p.settings.MinGain
}

// capacity returns the capacity of the engines in service, by stage.
func (p *Planner) capacity() [2]float64 {
	var c [2]float64
	for _, e := range p.engines {
		if e.Role != Mixed && e.Ready && !e.Changing {
			c[e.Role] += p.relativeRate(e, e.Role)
		}
	}
	return c
}

// The parameters of Threshold and QueueBalance.
const (
	busyThreshold   = 0.85 // load from which a stage is busy
	idleThreshold   = 0.7  // maximum load of the other stage, once it has one engine fewer
	minLoadLead     = 0.5  // in load plus seconds of queue, by which one stage must exceed the other
	maxQueueSeconds = 4.0  // of one engine; more is not counted
	minCapacity     = 1e-9 // avoids a division by zero
)

// bottleneck returns the stage that should get an engine, or the reason why none should.
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
	reducedCapacity := plan.Capacity[from] - 1
	switch p.settings.Strategy {
	case Threshold:
		if load[to] < busyThreshold || reducedCapacity <= 0 || plan.Demand[from]/reducedCapacity > idleThreshold {
			return to, "no stage is busy while the other is not"
		}
	case QueueBalance:
		if queue[to]+load[to]-queue[from]-load[from] < minLoadLead || reducedCapacity <= 0 {
			return to, "the queues are near enough to each other"
		}
	default:
		if plan.WithoutChange.Mean > 1-p.settings.MinGain {
			return to, "all that is asked can be served as it is"
		}
	}
	return to, ""
}
