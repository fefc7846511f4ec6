package roles

import "time"

// mixPhases estimates how long the mix of demand leans to one stage before it leans to the
// other. A change that takes effect after the mix has turned back is worse than none.
type mixPhases struct {
	meanDecodeFraction float64 // of all demand, by meanMixTimeConstant
	direction          int     // 1 while the mix leans to decode, -1 to prefill, 0 while unknown
	since              time.Time
	expectedLength     time.Duration // of a phase
	completed          int
	observedAt         time.Time
}

// The parameters of phases.
const (
	shiftThreshold      = 0.04 // distance from the mean from which on the mix leans
	meanMixTimeConstant = 10 * time.Minute
	minCompletedPhases  = 3   // before the typical length counts
	lastPhaseWeight     = 0.5 // in the typical length
	overduePhaseFactor  = 1.5 // times the typical length, after which a phase counts as of unknown length
)

// observe takes in the demand in engines at a time.
func (p *mixPhases) observe(now time.Time, demand [2]float64) {
	sum := demand[Prefill] + demand[Decode]
	if sum <= 0 {
		return
	}
	decodeFraction := demand[Decode] / sum
	if p.observedAt.IsZero() {
		p.meanDecodeFraction = decodeFraction
	} else {
		p.meanDecodeFraction += (decodeFraction - p.meanDecodeFraction) * ewmaWeight(now.Sub(p.observedAt), meanMixTimeConstant)
	}
	p.observedAt = now
	direction := 0
	switch {
	case decodeFraction > p.meanDecodeFraction+shiftThreshold:
		direction = 1
	case decodeFraction < p.meanDecodeFraction-shiftThreshold:
		direction = -1
	}
	if direction == 0 || direction == p.direction {
		return
	}
	if p.direction != 0 {
		length := now.Sub(p.since)
		if p.completed == 0 {
			p.expectedLength = length
		}
		p.expectedLength += time.Duration(lastPhaseWeight * float64(length-p.expectedLength))
		p.completed++
	}
	p.direction, p.since = direction, now
}

// remaining returns how much longer the present phase is expected to last, at most limit, and
// limit if that is unknown.
func (p *mixPhases) remaining(now time.Time, limit time.Duration) time.Duration {
	if p.completed < minCompletedPhases {
		return limit
	}
	elapsed := now.Sub(p.since)
	if float64(elapsed) > overduePhaseFactor*float64(p.expectedLength) {
		return limit
	}
	return min(limit, max(p.expectedLength-elapsed, 0))
}
