package watch

import "time"

// Timing is how a source that pushes changes, with an empty line now and then, is tended.
type Timing struct {
	ResponseTimeout time.Duration // a call without an answer by then is given up and made anew
	IdleTimeout     time.Duration // a watch without a line by then is broken
	InitialBackoff  time.Duration // mean pause after the first failure; it doubles
	MaxBackoff      time.Duration // mean of the longest
	Jitter          float64       // each pause is drawn from this part below to above its mean
}

// The parts of the grace that an answer and the longest mean pause may take. A call made
// just before the source has come back is lost, so a drain is learned after one of each.
const (
	responseShare = 0.25
	backoffShare  = 0.4
	defaultGrace  = 2 * time.Second
	minGrace      = 400 * time.Millisecond
	maxGrace      = 5 * time.Second
	backoffJitter = 0.5
	idleFactor    = 1.3 // of the span between lines, after which silence is a break
)

// TimingFor returns the pace for sends that must end so long after a drain was announced (0: not
// said), where a line comes every beat at least. With it a source that has come back, and
// answers at once, is heard within nine tenths of the grace.
func TimingFor(grace, beat time.Duration) Timing {
	if grace <= 0 {
		grace = defaultGrace
	}
	grace = min(max(grace, minGrace), maxGrace)
	part := func(x float64) time.Duration { return time.Duration(x * float64(grace)) }
	return Timing{
		ResponseTimeout: part(responseShare), IdleTimeout: time.Duration(idleFactor * float64(beat)),
		InitialBackoff: min(100*time.Millisecond, part(backoffShare)), MaxBackoff: part(backoffShare), Jitter: backoffJitter,
	}
}

// MaxDelay is the longest from when the source is back until it is asked and answers.
func (t Timing) MaxDelay() time.Duration {
	return t.ResponseTimeout + time.Duration((1+t.Jitter)*float64(t.MaxBackoff))
}
