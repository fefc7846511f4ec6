package roster

import "time"

// GatewayCount smooths how many gateways share the engines. An increase counts at once: each
// gateway then uses a smaller part of a cold engine's budget, which is safe. A decrease
// counts once it has lasted for the hold time: a gateway whose health check flapped still
// sends. The zero value is not usable; see NewGatewayCount.
type GatewayCount struct {
	count      int
	holdTime   time.Duration
	lowerCount int // the highest count since it fell; 0 if it has not fallen
	lowerSince time.Time
}

// NewGatewayCount starts from the number in the operator's file, at least 1.
func NewGatewayCount(n int, hold time.Duration) *GatewayCount {
	return &GatewayCount{count: max(n, 1), holdTime: hold}
}

// Count returns the smoothed number of gateways.
func (c *GatewayCount) Count() int { return c.count }

// Observe takes a count and reports whether the smoothed one changed. A count of 0 can't be,
// as this gateway is one, and is ignored.
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

// Tick applies a decrease that has lasted and reports whether the count changed.
func (c *GatewayCount) Tick(now time.Time) bool {
	if c.lowerCount == 0 || now.Sub(c.lowerSince) < c.holdTime {
		return false
	}
	c.count, c.lowerCount = c.lowerCount, 0
	return true
}
