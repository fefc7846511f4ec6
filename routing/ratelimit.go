package routing

import "time"

const (
	rejectionBackoff     = 150 * time.Millisecond // an engine that rejected a request gets no like one
	rateLimitedThreshold = 0.25                   // of attempts rejected, above what full engines bring
	rateLimitedPeerRatio = 0.2                    // of it for others: in an overload all are rejected alike
	rateLimitBackoff     = 10 * time.Second       // the same where the engine limits a rate, which lasts
)

// rateLimits detects engines that limit the rate of a tenant's class, from the outcomes of attempts. It
// reads and changes nothing else. The retry decision and the backoff after a rejection ask it.
type rateLimits struct {
	rejectedFraction map[string]float64 // of attempts, by rateLimitKey
}

// rejectionBackoffs tells which requests one engine has lately rejected. It reads and changes nothing
// else. Rejections start a backoff; the choice of eligible engines asks.
type rejectionBackoffs struct {
	until map[string]Time // by rateLimitKey
}

func (b *rejectionBackoffs) start(key string, until Time) { b.until[key] = until }

func (b *rejectionBackoffs) active(key string, now Time) bool { return b.until[key] > now }

// rateLimitKey names what an engine may limit the rate of. No name holds the byte between the
// two, so that other names never give the same key.
func rateLimitKey(req *request) string { return req.Tenant + "\x00" + req.Request.Class }

// observe takes the outcome of an attempt.
func (l *rateLimits) observe(key string, rejected bool) {
	sample := 0.0
	if rejected {
		sample = 1
	}
	l.rejectedFraction[key] += (sample - l.rejectedFraction[key]) * meanEWMAWeight
}

// limited reports whether engines reject requests of a key far more often than others: then they have
// room, and another attempt is cheap. In an overload all are rejected alike. It could do harm where one
// tenant sends far more than the others.
func (l *rateLimits) limited(key string) bool {
	mine := l.rejectedFraction[key]
	for _, others := range l.rejectedFraction {
		if mine > rateLimitedThreshold && others < rateLimitedPeerRatio*mine {
			return true
		}
	}
	return false
}

// backoff is how long an engine that rejected a request of a key gets no like one.
func (l *rateLimits) backoff(key string) time.Duration {
	if l.limited(key) {
		return rateLimitBackoff
	}
	return rejectionBackoff
}
