package watch

import "time"

// Pace is how a source that pushes changes, with an empty line now and then, is tended.
type Pace struct {
	Answer  time.Duration // a call without an answer by then is given up and made anew
	Silence time.Duration // a watch without a line by then is broken
	First   time.Duration // mean pause after the first failure; it doubles
	Most    time.Duration // mean of the longest
	Spread  float64       // each pause is drawn from this part below to above its mean
}

// The parts of the grace that an answer and the longest mean pause may take. A call made
// just before the source has come back is lost, so a drain is learned after one of each.
const (
	graceAnswer = 0.25
	gracePause  = 0.4
	graceUsual  = 2 * time.Second
	graceLeast  = 400 * time.Millisecond
	graceMost   = 5 * time.Second
	paceSpread  = 0.5
	beatSpare   = 1.3 // of the span between lines, after which silence is a break
)

// PaceFor returns the pace for sends that must end so long after a drain was announced (0: not
// said), where a line comes every beat at least. With it a source that has come back, and
// answers at once, is heard within nine tenths of the grace.
func PaceFor(grace, beat time.Duration) Pace {
	if grace <= 0 {
		grace = graceUsual
	}
	grace = min(max(grace, graceLeast), graceMost)
	part := func(x float64) time.Duration { return time.Duration(x * float64(grace)) }
	return Pace{
		Answer: part(graceAnswer), Silence: time.Duration(beatSpare * float64(beat)),
		First: min(100*time.Millisecond, part(gracePause)), Most: part(gracePause), Spread: paceSpread,
	}
}

// Worst is the longest from when the source is back until it is asked and answers.
func (p Pace) Worst() time.Duration {
	return p.Answer + time.Duration((1+p.Spread)*float64(p.Most))
}
