package roles

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Planner follows demand and decides on changes. It is not safe for concurrent use.
type Planner struct {
	settings        Settings
	observedAt      time.Time
	estimator       demandEstimator
	phases          mixPhases
	demand          [2]float64
	demandKnown     bool       // enough has been seen to know it
	meanDemand      [2]float64 // it, smoothed
	meanError       [2]float64 // smoothed error of the level, sign included
	meanSquareError [2]float64 // smoothed square of the error
	engines         []Engine
	histories       map[string]*history
	rates           rates
	recentStarts    []time.Time // of changes in the last hour
	lastRole        Role        // what the latest change was to
	lastStart       time.Time
}

// NewPlanner returns a planner; an error names the setting that can't be used.
func NewPlanner(s Settings) (*Planner, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &Planner{settings: s, estimator: demandEstimator{timeConstant: s.DemandTimeConstant}, histories: map[string]*history{}}, nil
}

// relativeRate is what an engine can do in a role, against a usual one.
func (p *Planner) relativeRate(e Engine, r Role) float64 {
	if e.Role == Mixed {
		return 0 // it does either as it comes; the stages are planned without it
	}
	return p.rates.relative(e.ID, r)
}

// history is what is remembered of an engine.
type history struct {
	changedAt     time.Time // of its last change, also one that failed
	excludedUntil time.Time // until then it is not asked again
	observedAt    time.Time // last
	changing      bool      // as last seen
	role          Role      // the same
}

func (p *Planner) historyOf(id string) *history {
	h := p.histories[id]
	if h == nil {
		h = &history{}
		p.histories[id] = h
	}
	return h
}

// Observe takes in how engines are seen now, and what has been asked and served by class.
func (p *Planner) Observe(now time.Time, engines []Engine, traffic []Traffic) {
	var work [2]float64
	p.rates.observe(engines)
	for _, e := range engines {
		// A change may begin and end between two looks: its new role still shows it.
		h := p.historyOf(e.ID)
		if ended := h.changing && !e.Changing; ended || !h.observedAt.IsZero() && h.role != e.Role {
			h.changedAt = now
		}
		h.observedAt, h.changing, h.role = now, e.Changing, e.Role
		if e.Role != Mixed && (e.Ready || e.Changing) { // one that drains still works
			work[e.Role] += p.relativeRate(e, e.Role) * e.currentWarmth() * max(e.Utilization, e.MemoryUsed*memoryWeight)
		}
	}
	span := now.Sub(p.observedAt)
	if p.observedAt.IsZero() {
		span = 0
	}
	if seen, known := p.estimator.observe(span, traffic, work); known {
		fade := ewmaWeight(span, p.settings.DemandTimeConstant)
		for s := range seen {
			if !p.demandKnown {
				p.meanDemand[s] = seen[s]
			}
			wrong := seen[s] - p.meanDemand[s]
			p.meanDemand[s] += wrong * fade
			p.meanSquareError[s] += (wrong*wrong - p.meanSquareError[s]) * fade
			p.meanError[s] += (wrong - p.meanError[s]) * fade
		}
		p.demand, p.demandKnown = seen, true
		p.phases.observe(now, seen)
	}
	p.observedAt, p.engines = now, slices.Clone(engines)
	maps.DeleteFunc(p.histories, func(_ string, h *history) bool {
		last := h.observedAt
		if h.changedAt.After(last) {
			last = h.changedAt
		}
		return now.Sub(last) > p.settings.MinDwell+p.settings.RefusalBackoff
	})
}

// currentWarmth is the share of its power that an engine has now.
func (e Engine) currentWarmth() float64 {
	if e.Warmth > 0 {
		return e.Warmth
	}
	return 1
}

// memoryWeight is how much a full memory counts as a full engine: past it requests are
// turned away though slots are free.
const memoryWeight = 0.95

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

// Begun notes that a change was begun, by this planner's owner or another.
func (p *Planner) Begun(now time.Time, c Change) {
	p.recentStarts = append(p.recentStarts, now)
	p.lastRole, p.lastStart = c.To, now
	p.historyOf(c.Engine).changedAt = now
}

// Ended notes how a change has ended, by this planner's owner or another.
func (p *Planner) Ended(now time.Time, engine string, done bool) {
	h := p.historyOf(engine)
	if h.changedAt = now; !done {
		h.excludedUntil = now.Add(p.settings.RefusalBackoff)
	}
}

// startsLastHour returns how many changes were begun in the last hour.
func (p *Planner) startsLastHour(now time.Time) int {
	p.recentStarts = slices.DeleteFunc(p.recentStarts, func(t time.Time) bool { return now.Sub(t) >= time.Hour })
	return len(p.recentStarts)
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

// candidate returns the engine whose change to a role costs least, or why none may.
func (p *Planner) candidate(now time.Time, to Role) (*Change, string) {
	from := to.Other()
	racks := map[int]*rackCounts{}
	changing, movable, givers := 0, 0, 0
	for _, e := range p.engines {
		r := racks[e.Rack]
		if r == nil {
			r = &rackCounts{}
			racks[e.Rack] = r
		}
		if e.Changing {
			r.changing++
			changing++
		}
		if e.Role != Mixed {
			r.engines++
			movable++
		}
		if e.Role == from && e.Ready && !e.Changing {
			givers++
		}
		if e.Role != Mixed && e.Ready && !e.Changing {
			r.ready[e.Role]++
		}
	}
	if changing >= maxChanging(p.settings.MaxFleetShare, movable) {
		return nil, fmt.Sprintf("%d engines of the fleet are in change", changing)
	}
	if givers <= 1 {
		return nil, "the last engine of " + from.String() + " work stays"
	}
	why := "no engine may change"
	var best *Engine
	cost := 0.0
	for i, e := range p.engines {
		r := racks[e.Rack]
		switch {
		case e.Role != from || !e.Ready || e.Changing:
			continue
		case e.Pinned:
			why = "pinned by an operator"
		case now.Before(p.historyOf(e.ID).excludedUntil):
			why = "those left have refused or failed to change"
		case !p.historyOf(e.ID).changedAt.IsZero() && now.Sub(p.historyOf(e.ID).changedAt) < p.settings.MinDwell:
			why = "those left have changed too lately"
		case r.changing >= maxChanging(p.settings.MaxRackShare, r.engines):
			why = "enough of their rack is in change"
		case r.ready[from] <= 1 && r.ready[to] >= 1:
			why = "the last of their rack stays: its states would have to leave the rack"
		default:
			// The rack with most to give and least of what is wanted, then the engine that is
			// better at the new work, then the least to drain.
			c := float64(r.ready[to]) - float64(r.ready[from]) + (p.relativeRate(e, from)-p.relativeRate(e, to))*rateWeight + e.Utilization*utilizationWeight
			if best == nil || c < cost || c == cost && e.ID < best.ID {
				best, cost = &p.engines[i], c
			}
		}
	}
	if best == nil {
		return nil, why
	}
	return &Change{Engine: best.ID, Rack: best.Rack, From: from, To: to}, ""
}

const (
	rateWeight        = 2.0
	utilizationWeight = 0.3
)

type rackCounts struct {
	engines, changing int
	ready             [2]int
}

// maxChanging is how many of so many may be in change at once.
func maxChanging(part float64, of int) int { return max(1, int(part*float64(of))) }

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
