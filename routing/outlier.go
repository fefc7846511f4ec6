package routing

import (
	"time"
)

const (
	failureEWMAWeight = 0.3                    // of one outcome; two failures in a row pass the threshold
	ejectionThreshold = 0.35                   // above this, and twice the peers' mean, an engine is ejected
	recoveryThreshold = 0.15                   // below this an engine that was ejected is trusted again
	initialEjection   = 800 * time.Millisecond // first ejection; doubles, as most troubles outlast it
	maxEjection       = 6400 * time.Millisecond
)

// recordOutcome takes every outcome of an attempt into the engine's statistics, so that engines that
// fail, reset, reject or stay silent are avoided, be it towards this router alone. Where a common
// cause fails all alike, recordResult ejects none and eligible keeps half.
func (r *Router) recordOutcome(e *engine, req *request, event Outcome) {
	if event.Status != StatusTimeout && event.Status != StatusCancelled && event.Status != StatusNotSent {
		e.lastHeard = r.now
	}
	r.rateLimits.observe(rateLimitKey(req), event.Status == StatusRejected)
	switch event.Status {
	case StatusPrefilled:
		e.lastCompletedSentAt = max(e.lastCompletedSentAt, req.sentAt)
		r.recordResult(e, 0, 1)
		r.recordPrefill(e, req, float64(req.PromptTokens-event.CachedTokens), event.Latency)
		r.recordThroughput(e, r.meanPrompt[req.Class])
	case StatusServed:
		r.recordResult(e, 0, 1)
	case StatusError:
		r.recordResult(e, 1, 1)
	case StatusTimeout:
		if e.lastHeard <= req.sentAt { // silent since; a busy engine is not to blame
			r.recordResult(e, 1, 1)
		}
	case StatusReset, StatusConnectFailed:
		r.recordResult(e, 1, 2) // the process is down: two outcomes' worth
	case StatusRejected:
		if !event.StateMissing {
			e.rejectingUntil[rateLimitKey(req)] = r.now + r.rateLimits.backoff(rateLimitKey(req))
		}
	}
}

// recordResult takes a failure, 1, or a success, 0, into an engine's failure rate, as often as it
// counts, and ejects the engine if it fails far more than its peers.
func (r *Router) recordResult(e *engine, v float64, times int) {
	for range times {
		e.failureRate += (v - e.failureRate) * failureEWMAWeight
	}
	r.pools[e.role()] = poolStats{}
	if v == 0 && e.failureRate < recoveryThreshold {
		e.ejectionPeriod = 0
	}
	if v > 0 && e.usable && r.isOutlier(e) && r.now >= e.ejectedUntil {
		e.ejectionPeriod = min(max(2*e.ejectionPeriod, initialEjection), maxEjection)
		e.ejectedUntil = r.now + e.ejectionPeriod
	}
}

// isOutlier reports whether an engine fails far more than its peers.
func (r *Router) isOutlier(e *engine) bool {
	return e.failureRate > ejectionThreshold && e.failureRate > 2*r.pool(e.role()).failureRate
}

// trusted reports whether an engine may take ordinary work. An ejected one comes back on trial, with
// one request at a time until its failure rate is below recoveryThreshold.
func (r *Router) trusted(e *engine) bool {
	if r.now < e.ejectedUntil {
		return false
	}
	return e.ejectionPeriod == 0 || len(e.inFlight) == 0
}
