package roles

import (
	"maps"
	"slices"
)

// rates are how fast each engine is in each role, by the tokens and slot-seconds that it
// reports. An engine counts as of the median rate until its own is known, and in a role that it
// has not had as relatively fast as in the one that it has.
type rates struct {
	byEngine map[string]*[2]rate
	median   [2]float64 // of all engines, by role
}

// rate is an engine's rate in one role.
type rate struct {
	lastTokens, lastBusySeconds float64 // as of the latest reading
	perSecond                   float64 // smoothed tokens a slot-second; 0 = unknown
}

// The parameters of rates.
const (
	minBusySeconds  = 2.0 // slot-seconds between two readings
	rateEWMAWeight  = 0.2 // of a reading
	maxRelativeRate = 4.0 // times the median; a report beyond that is not believed
)

// observe takes in the reports of all engines.
func (r *rates) observe(engines []Engine) {
	if r.byEngine == nil {
		r.byEngine = map[string]*[2]rate{}
	}
	listed := make(map[string]bool, len(engines))
	var known [2][]float64
	for _, e := range engines {
		listed[e.ID] = true
		if e.Role == Mixed {
			continue
		}
		if r.byEngine[e.ID] == nil {
			r.byEngine[e.ID] = &[2]rate{}
		}
		own := &r.byEngine[e.ID][e.Role]
		own.observe(e)
		if own.perSecond > 0 {
			known[e.Role] = append(known[e.Role], own.perSecond)
		}
	}
	for s, list := range known {
		if len(list) > 0 {
			slices.Sort(list)
			r.median[s] = list[len(list)/2]
		}
	}
	maps.DeleteFunc(r.byEngine, func(id string, _ *[2]rate) bool { return !listed[id] })
}

// observe takes in an engine's report. The rate of a cold or changing engine is not read.
func (r *rate) observe(e Engine) {
	tokens, busy := e.Tokens-r.lastTokens, e.BusySeconds-r.lastBusySeconds
	restarted := tokens < 0 || busy < 0 // the engine, or its role
	cold := e.currentWarmth() < 1
	read := !restarted && busy >= minBusySeconds && !e.Changing && e.currentWarmth() == 1
	if read {
		updateEWMA(&r.perSecond, tokens/busy, rateEWMAWeight, r.perSecond > 0)
	}
	if restarted || read || cold {
		r.lastTokens, r.lastBusySeconds = e.Tokens, e.BusySeconds
	}
}

// relative returns an engine's rate in a role over the median, 1 if it is unknown.
func (r *rates) relative(id string, role Role) float64 {
	own := r.byEngine[id]
	if own == nil {
		return 1
	}
	for _, s := range []Role{role, role.Opposite()} {
		if own[s].perSecond > 0 && r.median[s] > 0 {
			return min(max(own[s].perSecond/r.median[s], 1/maxRelativeRate), maxRelativeRate)
		}
	}
	return 1
}
