package fleetsim

import (
	"math"
	"time"
)

// allowanceSpan is how much of its quota a tenant may save up, as time.
const allowanceSpan = 2 * time.Second

// allowance is what a tenant may still ask for within its quota: a token bucket.
type allowance struct {
	rate   float64 // requests a second
	tokens float64
	at     time.Duration
}

func newAllowance(rate float64) *allowance {
	return &allowance{rate: rate, tokens: rate * allowanceSpan.Seconds()}
}

// take tells whether one more request lies within the quota.
func (a *allowance) take(now time.Duration) bool {
	a.tokens = min(a.tokens+a.rate*(now-a.at).Seconds(), a.rate*allowanceSpan.Seconds())
	a.at = now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// goldenPart spreads numbers evenly over the unit interval by its multiples.
const goldenPart = math.Phi - 1

// tenant returns the tenant of a session, by number; -1 where there are none. It draws nothing:
// sessions are the same with and without tenants.
func (d *Deployment) tenant(session int) int {
	_, at := math.Modf(goldenPart * float64(session+1))
	for i, part := range d.TenantShares {
		if at -= part; at < 0 || i == len(d.TenantShares)-1 {
			return i
		}
	}
	return -1
}

// tenantName returns a tenant's name, "" for none.
func (d *Deployment) tenantName(tenant int) string {
	if tenant < 0 {
		return ""
	}
	return d.Settings.Tenants[tenant].Name
}
