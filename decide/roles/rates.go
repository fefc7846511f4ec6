package roles

import (
	"maps"
	"slices"
)

// rates measures the rate of each engine in each role from the tokens and slot-seconds that it
// reports. An engine counts as one of the median rate until its own rate is known. In a role without
// a measurement, its rate relative to the median is assumed to equal that of its other role.
type rates struct {
	byEngine map[string]*[2]rate
	median   [2]float64 // of all engines, by role
}

// rate is the measured rate of one engine in one role.
type rate struct {
	lastTokens, lastBusySeconds float64 // at the latest measurement
	tokensPerSlotSecond         float64 // smoothed; 0 = unknown
}

// The parameters of rates.
const (
	minBusySeconds  = 2.0 // minimum slot-seconds between two measurements
	rateEWMAWeight  = 0.2 // weight of a new measurement
	maxRelativeRate = 4.0 // times the median; higher values are clamped, as are those below its inverse
)

// observe updates the rates with the reports of all engines.
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
		engineRate := &r.byEngine[e.ID][e.Role]
		engineRate.observe(e)
		if engineRate.tokensPerSlotSecond > 0 {
			known[e.Role] = append(known[e.Role], engineRate.tokensPerSlotSecond)
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

// observe updates the rate with an engine's report. A cold or changing engine is not measured.
func (r *rate) observe(e Engine) {
	tokens, busy := e.Tokens-r.lastTokens, e.BusySeconds-r.lastBusySeconds
	restarted := tokens < 0 || busy < 0 // the engine restarted, or its role changed
	cold := e.currentThroughput() < 1
	usable := !restarted && busy >= minBusySeconds && !e.Changing && e.currentThroughput() == 1
	if usable {
		updateEWMA(&r.tokensPerSlotSecond, tokens/busy, rateEWMAWeight, r.tokensPerSlotSecond > 0)
	}
	if restarted || usable || cold {
		r.lastTokens, r.lastBusySeconds = e.Tokens, e.BusySeconds
	}
}

// relative returns the ratio of an engine's rate in a role to the median, 1 if it is unknown.
func (r *rates) relative(id string, role Role) float64 {
	engineRates := r.byEngine[id]
	if engineRates == nil {
		return 1
	}
	for _, s := range []Role{role, role.Opposite()} {
		if engineRates[s].tokensPerSlotSecond > 0 && r.median[s] > 0 {
			return min(max(engineRates[s].tokensPerSlotSecond/r.median[s], 1/maxRelativeRate), maxRelativeRate)
		}
	}
	return 1
}
