package roles

import "time"

// mixPhases estimates how long the mix of demand leans to one stage before it leans to the
// other. A change that takes effect after the mix has turned back is worse than none.
type mixPhases struct {
	meanDecodeShare float64 // of all demand, by meanMixTimeConstant
	side            int     // 1 while the mix leans to decode, -1 to prefill, 0 while unknown
	since           time.Time
	typicalLength   time.Duration // of a phase
	turns           int
	observedAt      time.Time
}

// The parameters of phases.
const (
	leanThreshold       = 0.04 // distance from the mean from which on the mix leans
	meanMixTimeConstant = 10 * time.Minute
	minTurns            = 3   // before the typical length counts
	lastPhaseWeight     = 0.5 // in the typical length
	overduePhaseFactor  = 1.5 // times the typical length, after which a phase counts as of unknown length
)

// observe takes in the demand in engines at a time.
func (p *mixPhases) observe(now time.Time, demand [2]float64) {
	sum := demand[Prefill] + demand[Decode]
	if sum <= 0 {
		return
	}
	share := demand[Decode] / sum
	if p.observedAt.IsZero() {
		p.meanDecodeShare = share
	} else {
		p.meanDecodeShare += (share - p.meanDecodeShare) * ewmaWeight(now.Sub(p.observedAt), meanMixTimeConstant)
	}
	p.observedAt = now
	side := 0
	switch {
	case share > p.meanDecodeShare+leanThreshold:
		side = 1
	case share < p.meanDecodeShare-leanThreshold:
		side = -1
	}
	if side == 0 || side == p.side {
		return
	}
	if p.side != 0 {
		took := now.Sub(p.since)
		if p.turns == 0 {
			p.typicalLength = took
		}
		p.typicalLength += time.Duration(lastPhaseWeight * float64(took-p.typicalLength))
		p.turns++
	}
	p.side, p.since = side, now
}

// remaining returns how much longer the present phase is expected to last, at most limit, and
// limit if that is unknown.
func (p *mixPhases) remaining(now time.Time, limit time.Duration) time.Duration {
	if p.turns < minTurns {
		return limit
	}
	elapsed := now.Sub(p.since)
	if float64(elapsed) > overduePhaseFactor*float64(p.typicalLength) {
		return limit
	}
	return min(limit, max(p.typicalLength-elapsed, 0))
}
