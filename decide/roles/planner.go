package roles

import (
	"maps"
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
