package roles

import "slices"

// rates are how fast each engine is in each role, as its own account of tokens and
// slot-seconds tells. An engine is held to be usual until that is known; in a role that
// it has not had it is held to be as fast, against the others, as in the one it has.
type rates struct {
	byEngine map[string]*[2]rate
	median   [2]float64 // the middle engine's, in tokens a slot-second
}

type rate struct {
	lastTokens, lastBusySeconds float64 // as last seen
	perSecond                   float64 // smoothed; 0 = not known
}

// The figures of rates.
const (
	minBusySeconds  = 2.0 // slot-seconds between two readings of a rate
	rateEWMAWeight  = 0.2 // of what it was, a reading
	maxRelativeRate = 4.0 // times the middle engine's, past which an account is not believed
)

// observe takes in the accounts of all engines.
func (r *rates) observe(engines []Engine) {
	if r.byEngine == nil {
		r.byEngine = map[string]*[2]rate{}
	}
	listed := make(map[string]bool, len(engines))
	var all [2][]float64
	for _, e := range engines {
		if listed[e.ID] = true; e.Role == Mixed {
			continue
		}
		if r.byEngine[e.ID] == nil {
			r.byEngine[e.ID] = &[2]rate{}
		}
		m := &r.byEngine[e.ID][e.Role]
		tokens, busy := e.Tokens-m.lastTokens, e.BusySeconds-m.lastBusySeconds
		switch {
		case tokens < 0 || busy < 0: // it has started, or taken its role, anew
			m.lastTokens, m.lastBusySeconds = e.Tokens, e.BusySeconds
		case busy >= minBusySeconds && !e.Changing && e.currentWarmth() == 1: // one that is cold tells nothing
			updateEWMA(&m.perSecond, tokens/busy, rateEWMAWeight, m.perSecond > 0)
			m.lastTokens, m.lastBusySeconds = e.Tokens, e.BusySeconds
		case e.currentWarmth() < 1:
			m.lastTokens, m.lastBusySeconds = e.Tokens, e.BusySeconds
		}
		if m.perSecond > 0 {
			all[e.Role] = append(all[e.Role], m.perSecond)
		}
	}
	for s, list := range all {
		if len(list) > 0 {
			slices.Sort(list)
			r.median[s] = list[len(list)/2]
		}
	}
	for id := range r.byEngine {
		if !listed[id] {
			delete(r.byEngine, id)
		}
	}
}

// relative is an engine's rate in a role against the middle engine's, 1 if it is not known.
func (r *rates) relative(id string, role Role) float64 {
	m := r.byEngine[id]
	if m == nil {
		return 1
	}
	for _, s := range []Role{role, role.Other()} {
		if m[s].perSecond > 0 && r.median[s] > 0 {
			return min(max(m[s].perSecond/r.median[s], 1/maxRelativeRate), maxRelativeRate)
		}
	}
	return 1
}
