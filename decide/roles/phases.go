package roles

import "time"

// mixPhases follows how long the mix leans to one stage before it leans to the other. A
// change that takes effect after the mix has turned back is worse than none.
type mixPhases struct {
	meanDecodeShare float64 // share of the answer stage in all demand, slowly
	side            int     // to which the mix leans; 0 while that is not known
	since           time.Time
	usualLength     time.Duration // usual, of a phase
	turns           int
	observedAt      time.Time
}

// The figures of phases.
const (
	leanThreshold       = 0.04 // this far from the mean the mix leans
	meanMixTimeConstant = 10 * time.Minute
	minTurns            = 3   // turns, before a usual length is believed
	lastPhaseWeight     = 0.5 // of the usual length that the latest phase makes up
	overduePhaseFactor  = 1.5 // times the usual length, after which a phase is another kind
)

// observe takes in the demand at a time.
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
			p.usualLength = took
		}
		p.usualLength += time.Duration(lastPhaseWeight * float64(took-p.usualLength))
		p.turns++
	}
	p.side, p.since = side, now
}

// remaining is how much longer the mix is expected to stay as it is, most if that is not known.
func (p *mixPhases) remaining(now time.Time, most time.Duration) time.Duration {
	if p.turns < minTurns {
		return most
	}
	in := now.Sub(p.since)
	if float64(in) > overduePhaseFactor*float64(p.usualLength) {
		return most
	}
	return min(most, max(p.usualLength-in, 0))
}
