package roles

import (
	"fmt"
	"time"
)

// The weights of what a change costs, beside one for each engine by which a rack has more of the
// wanted role than of the other.
const (
	rateWeight        = 2.0 // of the rate lost by the change
	utilizationWeight = 0.3 // of the work to drain
)

// rackCounts counts the engines of a rack, or of the fleet, without the mixed ones.
type rackCounts struct {
	engines, changing int
	ready             [2]int // in service and not in change, by role
}

func (c *rackCounts) add(e Engine) {
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

// maxChanging returns how many of so many engines may be in change at once.
func maxChanging(share float64, engines int) int { return max(1, int(share*float64(engines))) }

// candidate returns the engine whose change to a role costs least, or why none may change.
func (p *Planner) candidate(now time.Time, to Role) (*Change, string) {
	from := to.Opposite()
	fleet, racks := &rackCounts{}, map[int]*rackCounts{}
	for _, e := range p.engines {
		if racks[e.Rack] == nil {
			racks[e.Rack] = &rackCounts{}
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
		if why := p.exclusionReason(now, e, rack, to); why != "" {
			reason = why
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

// exclusionReason returns why an engine in service may not change to a role, "" if it may.
func (p *Planner) exclusionReason(now time.Time, e Engine, rack *rackCounts, to Role) string {
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

// changeCost ranks candidates: first the rack with most of the present role and least of the
// wanted one, then the engine that is better at the new role, then the one with least to drain.
func (p *Planner) changeCost(e Engine, rack *rackCounts, to Role) float64 {
	from := e.Role
	return float64(rack.ready[to]) - float64(rack.ready[from]) + (p.relativeRate(e, from)-p.relativeRate(e, to))*rateWeight + e.Utilization*utilizationWeight
}
