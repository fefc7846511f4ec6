package roles

import (
	"fmt"
	"time"
)

// The weights in the cost of a change. The weight of each engine by which the target role outnumbers
// the present role in the rack is 1.
const (
	rateWeight        = 2.0 // of the relative rate that the engine loses by the change
	utilizationWeight = 0.3 // of the utilization, as the work that must drain
)

// engineCounts counts the prefill and decode engines of a rack or of the fleet.
type engineCounts struct {
	engines, changing int
	ready             [2]int // in service and not changing, by role
}

func (c *engineCounts) add(e Engine) {
	if e.Changing {
		c.changing++
	}
	if e.Role == Mixed {
		return
	}
	c.engines++
	if e.Ready && !e.Changing {
		c.ready[e.Role]++
	}
}

// maxChanging returns how many of a number of engines may change at the same time, at least one.
func maxChanging(fraction float64, engines int) int { return max(1, int(fraction*float64(engines))) }

// candidate returns the change to a role with the lowest cost, or the reason why no engine may change.
func (p *Planner) candidate(now time.Time, to Role) (*Change, string) {
	from := to.Opposite()
	fleet, racks := &engineCounts{}, map[int]*engineCounts{}
	for _, e := range p.engines {
		if racks[e.Rack] == nil {
			racks[e.Rack] = &engineCounts{}
		}
		racks[e.Rack].add(e)
		fleet.add(e)
	}
	if fleet.changing >= maxChanging(p.settings.MaxFleetFraction, fleet.engines) {
		return nil, fmt.Sprintf("%d engines of the fleet are in change", fleet.changing)
	}
	if fleet.ready[from] <= 1 {
		return nil, "the last engine of " + from.String() + " work stays"
	}
	reason := "no engine may change"
	var best *Engine
	bestCost := 0.0
	for i, e := range p.engines {
		if e.Role != from || !e.Ready || e.Changing {
			continue
		}
		rack := racks[e.Rack]
		if exclusion := p.exclusionReason(now, e, rack, to); exclusion != "" {
			reason = exclusion
			continue
		}
		cost := p.changeCost(e, rack, to)
		if best == nil || cost < bestCost || cost == bestCost && e.ID < best.ID {
			best, bestCost = &p.engines[i], cost
		}
	}
	if best == nil {
		return nil, reason
	}
	return &Change{Engine: best.ID, Rack: best.Rack, From: from, To: to}, ""
}

// exclusionReason returns the reason why an engine in service may not change to a role, "" if it may.
func (p *Planner) exclusionReason(now time.Time, e Engine, rack *engineCounts, to Role) string {
	if e.Pinned {
		return "pinned by an operator"
	}
	h := p.historyOf(e.ID)
	switch {
	case now.Before(h.excludedUntil):
		return "those left have refused or failed to change"
	case !h.changedAt.IsZero() && now.Sub(h.changedAt) < p.settings.MinDwell:
		return "those left have changed too lately"
	case rack.changing >= maxChanging(p.settings.MaxRackFraction, rack.engines):
		return "enough of their rack is in change"
	case rack.ready[e.Role] <= 1 && rack.ready[to] >= 1:
		return "the last of their rack stays: its states would have to leave the rack"
	}
	return ""
}

// changeCost returns the cost by which candidates are ranked. The most important term is the excess
// of the target role over the present role in the rack, then the relative rate that the engine loses
// by the change, then the work that it must drain.
func (p *Planner) changeCost(e Engine, rack *engineCounts, to Role) float64 {
	from := e.Role
	return float64(rack.ready[to]) - float64(rack.ready[from]) +
		(p.relativeRate(e, from)-p.relativeRate(e, to))*rateWeight + e.Utilization*utilizationWeight
}
