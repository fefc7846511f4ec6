package roles

import "time"

// mixPhases estimates the duration of a phase, in which the mix of demand is shifted from its mean
// towards one stage. A change that takes effect after the mix has shifted back is worse than none.
type mixPhases struct {
	meanDecodeFraction float64 // of the total demand, smoothed with meanMixTimeConstant
	direction          int     // 1 while the mix is shifted to decode, -1 to prefill, 0 before the first shift
	since              time.Time
	expectedLength     time.Duration // of a phase, smoothed
	completed          int           // phases
	observedAt         time.Time
}

// The parameters of mixPhases.
const (
	shiftThreshold      = 0.04 // minimum distance of a shifted mix from the mean
	meanMixTimeConstant = 10 * time.Minute
	minCompletedPhases  = 3   // before the expected length is used
	lastPhaseWeight     = 0.5 // weight of the latest phase in the expected length
	overduePhaseFactor  = 1.5 // in expected lengths; a longer phase counts as one of unknown length
)

// observe updates the estimate with the demand, in engines, at a time.
func (p *mixPhases) observe(now time.Time, demand [2]float64) {
	sum := demand[Prefill] + demand[Decode]
	if sum <= 0 {
		return
	}
	decodeFraction := demand[Decode] / sum
	if p.observedAt.IsZero() {
		p.meanDecodeFraction = decodeFraction
	} else {
		p.meanDecodeFraction += (decodeFraction - p.meanDecodeFraction) *
			ewmaWeight(now.Sub(p.observedAt), meanMixTimeConstant)
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

// remaining returns the expected remaining duration of the current phase, at most limit, and limit if
// it is unknown.
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
