package routing

import "time"

const (
	failureEWMAWeight = 0.3                    // of one outcome; two failures in a row pass the threshold
	ejectionThreshold = 0.35                   // above this, and twice the peers' rate, an engine is ejected
	recoveryThreshold = 0.15                   // below this an engine that was ejected is trusted again
	initialEjection   = 800 * time.Millisecond // first ejection; doubles, as most troubles outlast it
	maxEjection       = 6400 * time.Millisecond
)

// failureRecord is the failure rate of one engine and its outlier ejection. It reads and changes nothing
// else. Outcomes and cancelled attempts feed it; the choice of eligible engines asks.
type failureRecord struct {
	rate           float64       // of attempts, an EWMA
	ejectionPeriod time.Duration // of the latest ejection; 0 once the engine has recovered
	ejectedUntil   Time
}

func (f *failureRecord) failureRate() float64 { return f.rate }

// observe takes a failure, 1, or a success, 0, as often as it counts.
func (f *failureRecord) observe(failure float64, times int) {
	for range times {
		f.rate += (failure - f.rate) * failureEWMAWeight
	}
	if failure == 0 && f.rate < recoveryThreshold {
		f.ejectionPeriod = 0
	}
}

func (f *failureRecord) eject(now Time) {
	f.ejectionPeriod = min(max(2*f.ejectionPeriod, initialEjection), maxEjection)
	f.ejectedUntil = now + f.ejectionPeriod
}

func (f *failureRecord) ejected(now Time) bool { return now < f.ejectedUntil }

// recovering reports whether an engine was ejected and has not recovered yet.
func (f *failureRecord) recovering() bool { return f.ejectionPeriod != 0 }

// recordOutcome takes every outcome of an attempt into the engine's statistics, so that engines that
// fail, reset, reject or stay silent are avoided, be it towards this router alone. Where a common
// cause fails all alike, recordResult ejects none and eligible keeps half.
func (r *Router) recordOutcome(e *engine, req *request, event Outcome) {
	if event.Status != StatusTimeout && event.Status != StatusCancelled && event.Status != StatusNotSent {
		e.recordResponse(r.now)
	}
	key := rateLimitKey(req)
	r.rateLimits.observe(key, event.Status == StatusRejected)
	switch event.Status {
	case StatusPrefilled:
		e.recordSuccess(req.sentAt)
		r.recordResult(e, 0, 1)
		r.recordPrefill(e, req, float64(req.PromptTokens-event.CachedTokens), event.Latency)
		r.recordThroughput(e, r.meanPrompt.mean(req.Class))
	case StatusServed:
		r.recordResult(e, 0, 1)
	case StatusError:
		r.recordResult(e, 1, 1)
	case StatusTimeout:
		if e.noResponseSince(req.sentAt) { // a busy engine has not failed
			r.recordResult(e, 1, 1)
		}
	case StatusReset, StatusConnectFailed:
		r.recordResult(e, 1, 2) // the process is down: it counts twice
	case StatusRejected:
		if !event.StateMissing {
			e.backoffs.start(key, r.now+r.rateLimits.backoff(key))
		}
	}
}

// recordResult takes a failure, 1, or a success, 0, into an engine's failure rate, as often as it
// counts, and ejects the engine if it fails far more than its peers.
func (r *Router) recordResult(e *engine, failure float64, times int) {
	e.failures.observe(failure, times)
	r.pools[e.role()] = poolStats{} // the peers' rate has changed
	if failure > 0 && e.usable && r.isOutlier(e) && !e.failures.ejected(r.now) {
		e.failures.eject(r.now)
	}
}

// isOutlier reports whether an engine fails far more than its peers.
func (r *Router) isOutlier(e *engine) bool {
	rate := e.failures.failureRate()
	return rate > ejectionThreshold && rate > 2*r.pool(e.role()).failureRate
}

// available reports whether an engine may take ordinary work. An ejected one comes back on trial, with
// one request at a time until its failure rate is below recoveryThreshold.
func (r *Router) available(e *engine) bool {
	if e.failures.ejected(r.now) {
		return false
	}
	return !e.failures.recovering() || len(e.inFlight) == 0
}
