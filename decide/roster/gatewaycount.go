package roster

import "time"

// GatewayCount smooths the number of gateways that share the engines. An increase takes effect immediately:
// each gateway then uses a smaller fraction of a cold engine's budget, which is safe. A decrease takes effect
// after it has lasted for the hold time, because a gateway whose health check flaps still sends requests. The
// zero value is not usable; see NewGatewayCount.
type GatewayCount struct {
	count      int
	holdTime   time.Duration
	lowerCount int // the highest count observed since it fell below count; 0 if it has not fallen
	lowerSince time.Time
}

// NewGatewayCount returns a count that starts at n, the number in the operator's file, or at 1 if n is less.
func NewGatewayCount(n int, holdTime time.Duration) *GatewayCount {
	return &GatewayCount{count: max(n, 1), holdTime: holdTime}
}

// Count returns the smoothed number of gateways.
func (c *GatewayCount) Count() int { return c.count }

// Observe records an observed count and reports whether the smoothed count changed. It ignores 0, which is
// impossible because this gateway is one of them.
func (c *GatewayCount) Observe(now time.Time, n int) bool {
	switch {
	case n < 1:
		return false
	case n >= c.count:
		changed := n > c.count
		c.count, c.lowerCount = n, 0
		return changed
	case c.lowerCount == 0:
		c.lowerCount, c.lowerSince = n, now
	default:
		c.lowerCount = max(c.lowerCount, n)
	}
	return c.Tick(now)
}

// Tick applies a decrease that has lasted for the hold time and reports whether the count changed.
func (c *GatewayCount) Tick(now time.Time) bool {
	if c.lowerCount == 0 || now.Sub(c.lowerSince) < c.holdTime {
		return false
	}
	c.count, c.lowerCount = c.lowerCount, 0
	return true
}
