package routing

import "slices"

// poolStats summarises the usable engines of a role. It is cached during an event. oldestAge is in seconds;
// overdue is the age of the oldest attempt divided by its expected time.
type poolStats struct {
	engines, warmEngines                          int
	latencyRatio, failureRate, oldestAge, overdue float64 // lower quartile of the failure rate, else medians
	waitingTokens                                 float64 // mean of the reports
}

// pool returns the statistics of the engines of a role. The failure rate is the lower quartile: it rises if
// failures have a common cause, but not if only a few engines fail.
func (r *Router) pool(role Role) *poolStats {
	stats := &r.pools[role]
	if stats.engines > 0 {
		return stats
	}
	var ratio, fail, age, overdue []float64
	for e := range r.engines.usableByRole(role) {
		stats.engines++
		if !r.inSlowStart(e) {
			stats.warmEngines++
		}
		fail = append(fail, e.failures.failureRate())
		age = append(age, e.oldestAgeSeconds(r.now))
		overdue = append(overdue, e.ageRatio(r.now))
		ratio = append(ratio, e.latencyRatio.decayed(r.now))
		stats.waitingTokens += e.report.discountedWaitingTokens(r.now)
	}
	stats.waitingTokens /= float64(max(stats.engines, 1))
	stats.latencyRatio, stats.oldestAge, stats.overdue = median(ratio, 1), median(age, 0), median(overdue, 1)
	if slices.Sort(fail); len(fail) > 0 {
		stats.failureRate = fail[len(fail)/4]
	}
	return stats
}

// median returns the median of the values, or fallback if there are none.
func median(values []float64, fallback float64) float64 {
	if len(values) == 0 {
		return fallback
	}
	slices.Sort(values)
	return values[len(values)/2]
}
