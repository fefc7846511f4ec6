package watch

import "time"

// Timing contains the timeouts and the backoff of a watch whose source pushes changes and heartbeats.
type Timing struct {
	ResponseTimeout time.Duration // time without a response after which a request is retried
	IdleTimeout     time.Duration // time without a line after which a watch is reconnected
	InitialBackoff  time.Duration // mean backoff after the first failure; doubles with each further failure
	MaxBackoff      time.Duration // longest mean backoff
	Jitter          float64       // each backoff is random, within its mean plus or minus this fraction
}

// The response timeout and the longest mean backoff are fractions of the drain grace. A request sent just
// before the source recovers is lost, so that an announced drain may be received only after one timeout and
// one backoff.
const (
	responseFraction   = 0.25
	maxBackoffFraction = 0.4
	defaultGrace       = 2 * time.Second
	minGrace           = 400 * time.Millisecond
	maxGrace           = 5 * time.Second
	backoffJitter      = 0.5
	idleFactor         = 1.3 // heartbeat intervals without a line after which the connection counts as broken
)

// TimingFor returns the timing for a drain grace and the interval of the source's heartbeats. The drain grace
// is the time after the announcement of a drain within which requests to the engine must end (0 for unknown).
// The first response of a source that has recovered arrives within nine tenths of the grace, if the source
// responds immediately.
func TimingFor(grace, heartbeat time.Duration) Timing {
	if grace <= 0 {
		grace = defaultGrace
	}
	grace = min(max(grace, minGrace), maxGrace)
	fractionOf := func(fraction float64) time.Duration { return time.Duration(fraction * float64(grace)) }
	return Timing{
		ResponseTimeout: fractionOf(responseFraction), IdleTimeout: time.Duration(idleFactor * float64(heartbeat)),
		InitialBackoff: min(100*time.Millisecond, fractionOf(maxBackoffFraction)), MaxBackoff: fractionOf(maxBackoffFraction), Jitter: backoffJitter,
	}
}

// MaxDelay returns the longest time from the recovery of the source to its next response.
func (t Timing) MaxDelay() time.Duration {
	return t.ResponseTimeout + time.Duration((1+t.Jitter)*float64(t.MaxBackoff))
}
