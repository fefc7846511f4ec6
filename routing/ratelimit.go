package routing

import "time"

const (
	// rejectionBackoff is how long an engine that rejected a request receives no other with its rateLimitKey.
	rejectionBackoff = 150 * time.Millisecond
	// rateLimitedThreshold is the fraction of attempts rejected above which a key may be rate limited. It
	// exceeds what full engines reject by chance.
	rateLimitedThreshold = 0.25
	// rateLimitedPeerRatio is the maximum ratio of another key's rejected fraction to that of a rate limited
	// key: in an overload, engines reject all keys alike.
	rateLimitedPeerRatio = 0.2
	// rateLimitBackoff replaces rejectionBackoff for a rate limit, which lasts longer than a full queue.
	rateLimitBackoff = 10 * time.Second
)

// rateLimits detects engines that limit the rate of a tenant's class, from the outcomes of attempts. It
// reads and changes no other state. The retry decision and the backoff after a rejection read it.
type rateLimits struct {
	rejectedFraction map[string]float64 // of attempts, by rateLimitKey
}

// rejectionBackoffs records the backoffs of one engine after rejections. It reads and changes no other
// state. Rejections start a backoff; the choice of eligible engines reads it.
type rejectionBackoffs struct {
	until map[string]Time // by rateLimitKey
}

func (b *rejectionBackoffs) start(key string, until Time) { b.until[key] = until }

func (b *rejectionBackoffs) active(key string, now Time) bool { return b.until[key] > now }

// rateLimitKey identifies the tenant and class whose rate an engine may limit. No name contains the separator
// byte, so different pairs of names never give the same key.
func rateLimitKey(req *request) string { return req.Tenant + "\x00" + req.Request.Class }

// observe records whether an attempt with a key was rejected.
func (l *rateLimits) observe(key string, rejected bool) {
	sample := 0.0
	if rejected {
		sample = 1
	}
	l.rejectedFraction[key] += (sample - l.rejectedFraction[key]) * meanEWMAWeight
}

// limited reports whether engines reject requests with a key far more often than those with another key.
// The engines then have free capacity, and another attempt is cheap; in an overload all keys are rejected
// alike. The rule may be harmful if one tenant sends far more than the others.
func (l *rateLimits) limited(key string) bool {
	rate := l.rejectedFraction[key]
	for _, peerRate := range l.rejectedFraction {
		if rate > rateLimitedThreshold && peerRate < rateLimitedPeerRatio*rate {
			return true
		}
	}
	return false
}

// backoff is how long an engine that rejected a request with a key receives no other with that key.
func (l *rateLimits) backoff(key string) time.Duration {
	if l.limited(key) {
		return rateLimitBackoff
	}
	return rejectionBackoff
}
