package roster

import "time"

// GatewayCount smooths how many gateways share the engines. More are trusted at once: each
// then takes a smaller part of a cold engine's budget, which is the safe side. Fewer
// are trusted once they have stayed fewer for a while: a gateway whose check has
// flapped still sends. The zero value is not usable; see NewPeers.
type GatewayCount struct {
	count      int
	holdTime   time.Duration
	lowerCount int // the most that was seen since the count fell; 0 if it has not
	lowerSince time.Time
}

// NewGatewayCount starts from the number that the operator's file gives, at least 1.
func NewGatewayCount(n int, hold time.Duration) *GatewayCount {
	return &GatewayCount{count: max(n, 1), holdTime: hold}
}

// Count returns how many gateways there are held to be.
func (p *GatewayCount) Count() int { return p.count }

// Observe takes a count in and tells whether it changed what is held. A count of 0
// can't be: this gateway is one; it is no news.
func (p *GatewayCount) Observe(now time.Time, n int) bool {
	switch {
	case n < 1:
		return false
	case n >= p.count:
		changed := n > p.count
		p.count, p.lowerCount = n, 0
		return changed
	case p.lowerCount == 0:
		p.lowerCount, p.lowerSince = n, now
	default:
		p.lowerCount = max(p.lowerCount, n)
	}
	return p.Tick(now)
}

// Tick lets time pass and tells whether the count has changed.
func (p *GatewayCount) Tick(now time.Time) bool {
	if p.lowerCount == 0 || now.Sub(p.lowerSince) < p.holdTime {
		return false
	}
	p.count, p.lowerCount = p.lowerCount, 0
	return true
}
