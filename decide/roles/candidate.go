package roles

import (
	"fmt"
	"time"
)

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
