package roles

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Planner estimates the demand and plans role changes. It is not safe for concurrent use.
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
	meanError       [2]float64 // signed error of meanDemand, smoothed
	meanSquareError [2]float64

	recentStarts   []time.Time // of changes in the last hour
	lastTargetRole Role        // of the latest change
	lastStartAt    time.Time   // of the latest change
}

// NewPlanner returns a planner. An error names the invalid setting.
func NewPlanner(s Settings) (*Planner, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &Planner{
		settings: s, estimator: demandEstimator{timeConstant: s.DemandTimeConstant},
		histories: map[string]*history{},
	}, nil
}

// relativeRate returns an engine's rate in a role as a multiple of the median rate.
func (p *Planner) relativeRate(e Engine, r Role) float64 {
	if e.Role == Mixed {
		return 0 // mixed engines are not planned
	}
	return p.rates.relative(e.ID, r)
}

// history is the record of earlier changes and observations of an engine.
type history struct {
	changedAt     time.Time // start or end of its latest change, successful or failed
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

// memoryWeight is the utilization that full memory is equivalent to: an engine with full memory
// rejects requests even when slots are free.
const memoryWeight = 0.95

// Observe updates the planner with the current state of the engines and the totals of traffic by class.
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

// observeEngines updates rates and histories, and returns the number of busy engines by stage.
func (p *Planner) observeEngines(now time.Time, engines []Engine) (busy [2]float64) {
	p.rates.observe(engines)
	for _, e := range engines {
		h := p.historyOf(e.ID)
		ended := h.changing && !e.Changing
		// A change that started and ended between two observations.
		missedChange := !h.observedAt.IsZero() && h.role != e.Role
		if ended || missedChange {
			h.changedAt = now
		}
		h.observedAt, h.changing, h.role = now, e.Changing, e.Role
		if e.Role != Mixed && (e.Ready || e.Changing) { // a draining engine still serves requests
			busy[e.Role] += p.relativeRate(e, e.Role) * e.currentThroughput() *
				max(e.Utilization, e.MemoryUsed*memoryWeight)
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

// noise returns the standard deviation of the demand. Persistent errors of one sign are a trend, not
// noise, and are subtracted.
func (p *Planner) noise() (noise [2]float64) {
	for s := range noise {
		noise[s] = math.Sqrt(max(0, p.meanSquareError[s]-p.meanError[s]*p.meanError[s]))
	}
	return noise
}

// ChangeStarted records the start of a change, by this leader or an earlier one.
func (p *Planner) ChangeStarted(now time.Time, c Change) {
	p.recentStarts = append(p.recentStarts, now)
	p.lastTargetRole, p.lastStartAt = c.To, now
	p.historyOf(c.Engine).changedAt = now
}

// ChangeEnded records the end of a change, by this leader or an earlier one.
func (p *Planner) ChangeEnded(now time.Time, engine string, done bool) {
	h := p.historyOf(engine)
	h.changedAt = now
	if !done {
		h.excludedUntil = now.Add(p.settings.RefusalBackoff)
	}
}

// startsLastHour returns the number of changes that were started in the last hour.
func (p *Planner) startsLastHour(now time.Time) int {
	p.recentStarts = slices.DeleteFunc(p.recentStarts, func(t time.Time) bool { return now.Sub(t) >= time.Hour })
	return len(p.recentStarts)
}
