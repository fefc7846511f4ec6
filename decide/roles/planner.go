package roles

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Planner follows the demand and decides on changes. It is not safe for concurrent use.
type Planner struct {
	settings   Settings
	observedAt time.Time
	engines    []Engine
	histories  map[string]*history // by engine
	rates      rates

	estimator       demandEstimator
	phases          mixPhases
	demand          [2]float64
	demandKnown     bool
	meanDemand      [2]float64 // smoothed
	meanError       [2]float64 // of meanDemand, smoothed, with its sign
	meanSquareError [2]float64

	recentStarts []time.Time // of changes in the last hour
	lastRole     Role        // to which the latest change was
	lastStart    time.Time   // of the latest change
}

// NewPlanner returns a planner. An error names the setting that can't be used.
func NewPlanner(s Settings) (*Planner, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &Planner{settings: s, estimator: demandEstimator{timeConstant: s.DemandTimeConstant}, histories: map[string]*history{}}, nil
}

// relativeRate returns what an engine can do in a role, in engines of the median rate.
func (p *Planner) relativeRate(e Engine, r Role) float64 {
	if e.Role == Mixed {
		return 0 // the stages are planned without the engines that do both
	}
	return p.rates.relative(e.ID, r)
}

// history is what is remembered of an engine.
type history struct {
	changedAt     time.Time // its latest change, failed or not
	excludedUntil time.Time // after a failed change
	observedAt    time.Time
	changing      bool // as last observed
	role          Role // as last observed
}

func (p *Planner) historyOf(id string) *history {
	h := p.histories[id]
	if h == nil {
		h = &history{}
		p.histories[id] = h
	}
	return h
}

// memoryWeight is how much a full memory counts as a full engine: past it requests are rejected
// though slots are free.
const memoryWeight = 0.95

// Observe takes in the present state of the engines and the totals of traffic by class.
func (p *Planner) Observe(now time.Time, engines []Engine, traffic []Traffic) {
	busy := p.observeEngines(now, engines)
	span := now.Sub(p.observedAt)
	if p.observedAt.IsZero() {
		span = 0
	}
	if demand, known := p.estimator.observe(span, traffic, busy); known {
		p.observeDemand(now, span, demand)
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

// observeEngines updates rates and histories, and returns the engines at work by stage.
func (p *Planner) observeEngines(now time.Time, engines []Engine) (busy [2]float64) {
	p.rates.observe(engines)
	for _, e := range engines {
		h := p.historyOf(e.ID)
		ended := h.changing && !e.Changing
		unseen := !h.observedAt.IsZero() && h.role != e.Role // a change that began and ended between two observations
		if ended || unseen {
			h.changedAt = now
		}
		h.observedAt, h.changing, h.role = now, e.Changing, e.Role
		if e.Role != Mixed && (e.Ready || e.Changing) { // one that drains still works
			busy[e.Role] += p.relativeRate(e, e.Role) * e.currentWarmth() * max(e.Utilization, e.MemoryUsed*memoryWeight)
		}
	}
	return busy
}

// observeDemand updates the smoothed demand and its errors.
func (p *Planner) observeDemand(now time.Time, span time.Duration, demand [2]float64) {
	weight := ewmaWeight(span, p.settings.DemandTimeConstant)
	for s := range demand {
		if !p.demandKnown {
			p.meanDemand[s] = demand[s]
		}
		deviation := demand[s] - p.meanDemand[s]
		p.meanDemand[s] += deviation * weight
		p.meanSquareError[s] += (deviation*deviation - p.meanSquareError[s]) * weight
		p.meanError[s] += (deviation - p.meanError[s]) * weight
	}
	p.demand, p.demandKnown = demand, true
	p.phases.observe(now, demand)
}

// noise returns the usual error of the demand. An error of one sign again and again is a trend
// and does not count.
func (p *Planner) noise() (noise [2]float64) {
	for s := range noise {
		noise[s] = math.Sqrt(max(0, p.meanSquareError[s]-p.meanError[s]*p.meanError[s]))
	}
	return noise
}

// ChangeStarted records that a change was begun, by this leader or an earlier one.
func (p *Planner) ChangeStarted(now time.Time, c Change) {
	p.recentStarts = append(p.recentStarts, now)
	p.lastRole, p.lastStart = c.To, now
	p.historyOf(c.Engine).changedAt = now
}

// ChangeEnded records how a change has ended, by this leader or an earlier one.
func (p *Planner) ChangeEnded(now time.Time, engine string, done bool) {
	h := p.historyOf(engine)
	h.changedAt = now
	if !done {
		h.excludedUntil = now.Add(p.settings.RefusalBackoff)
	}
}

// startsLastHour returns how many changes were begun in the last hour.
func (p *Planner) startsLastHour(now time.Time) int {
	p.recentStarts = slices.DeleteFunc(p.recentStarts, func(t time.Time) bool { return now.Sub(t) >= time.Hour })
	return len(p.recentStarts)
}
