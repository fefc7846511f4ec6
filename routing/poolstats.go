package routing

import "slices"

// poolStats summarises the engines of a role. It holds for one event.
type poolStats struct {
	engines, warmEngines                          int
	latencyRatio, failureRate, oldestAge, overdue float64 // the failure rate of the better quarter, else medians
	waitingTokens                                 float64 // mean of the reports
}

// pool summarises a role's engines, once an event at most. The failure rate is that of the better
// quarter: a common cause shows there too, a few failing engines do not.
func (r *Router) pool(role Role) *poolStats {
	stats := &r.pools[role]
	if stats.engines > 0 {
		return stats
	}
	var pace, fail, age, overdue []float64
	for e := range r.engines.usableByRole(role) {
		stats.engines++
		if !r.inSlowStart(e) {
			stats.warmEngines++
		}
		fail = append(fail, e.failures.failureRate())
		age = append(age, e.oldestAgeSeconds(r.now))
		overdue = append(overdue, e.maxAgeRatio(r.now))
		pace = append(pace, e.latencyRatio.decayed(r.now))
		stats.waitingTokens += e.report.discountedWaitingTokens(r.now)
	}
	stats.waitingTokens /= float64(max(stats.engines, 1))
	stats.latencyRatio, stats.oldestAge, stats.overdue = median(pace, 1), median(age, 0), median(overdue, 1)
	if slices.Sort(fail); len(fail) > 0 {
		stats.failureRate = fail[len(fail)/4]
	}
	return stats
}

// median returns the middle of the values, or none if there are none.
func median(values []float64, none float64) float64 {
	if len(values) == 0 {
		return none
	}
	slices.Sort(values)
	return values[len(values)/2]
}
