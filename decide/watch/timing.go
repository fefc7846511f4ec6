package watch

import "time"

// Timing is the timeouts and backoff of a watch whose source pushes changes and heartbeats.
type Timing struct {
	ResponseTimeout time.Duration // a request without a response by then is retried
	IdleTimeout     time.Duration // a watch without a line by then is reconnected
	InitialBackoff  time.Duration // mean backoff after the first failure; it doubles
	MaxBackoff      time.Duration // longest mean backoff
	Jitter          float64       // each backoff is drawn from its mean plus or minus this share
}

// Shares of the drain grace for a response and for the longest mean backoff. A request made
// just before the source recovers is lost, so a drain is learned after one of each.
const (
	responseFraction   = 0.25
	maxBackoffFraction = 0.4
	defaultGrace       = 2 * time.Second
	minGrace           = 400 * time.Millisecond
	maxGrace           = 5 * time.Second
	backoffJitter      = 0.5
	idleFactor         = 1.3 // times the heartbeat, after which the connection counts as broken
)

// TimingFor returns the timing for a drain grace, the time after the announcement of a drain
// by which requests to the engine must have ended (0 for unknown), and the interval of the
// source's heartbeats. A source that has recovered, and responds at once, is heard within
// nine tenths of the grace.
func TimingFor(grace, heartbeat time.Duration) Timing {
	if grace <= 0 {
		grace = defaultGrace
	}
	grace = min(max(grace, minGrace), maxGrace)
	fractionOf := func(share float64) time.Duration { return time.Duration(share * float64(grace)) }
	return Timing{
		ResponseTimeout: fractionOf(responseFraction), IdleTimeout: time.Duration(idleFactor * float64(heartbeat)),
		InitialBackoff: min(100*time.Millisecond, fractionOf(maxBackoffFraction)), MaxBackoff: fractionOf(maxBackoffFraction), Jitter: backoffJitter,
	}
}

// MaxDelay is the longest time from the recovery of the source to its next response.
func (t Timing) MaxDelay() time.Duration {
	return t.ResponseTimeout + time.Duration((1+t.Jitter)*float64(t.MaxBackoff))
}
