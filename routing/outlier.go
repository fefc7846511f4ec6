package routing

import "time"

const (
	failureEWMAWeight = 0.3                    // of one outcome; two failures in a row exceed the threshold
	ejectionThreshold = 0.35                   // rate for an ejection, if also twice that of the peers
	recoveryThreshold = 0.15                   // rate below which an ejected engine has recovered
	initialEjection   = 800 * time.Millisecond // doubles on each repetition, as most faults last longer
	maxEjection       = 6400 * time.Millisecond
)

// failureRecord is the failure rate of an engine and its outlier ejection. Outcomes and cancelled attempts
// add samples; the choice of eligible engines uses it.
type failureRecord struct {
	rate           float64       // EWMA of failures per attempt
	ejectionPeriod time.Duration // duration of the last ejection; 0 after recovery
	ejectedUntil   Time
}

func (f *failureRecord) failureRate() float64 { return f.rate }

// observe adds a failure (1) or a success (0) to the rate the given number of times.
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

// recovering reports whether the engine has been ejected and has not recovered since.
func (f *failureRecord) recovering() bool { return f.ejectionPeriod != 0 }

// recordOutcome records the outcome of an attempt in the statistics of the engine, so that engines that
// fail, reset connections, reject requests or do not respond are avoided, even if only this router is
// affected. If all engines fail from a common cause, recordResult ejects none and eligible returns at
// least half of them.
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
		if e.noResponseSince(req.sentAt) { // an engine that responded to other attempts is busy, not failed
			r.recordResult(e, 1, 1)
		}
	case StatusReset, StatusConnectFailed:
		r.recordResult(e, 1, 2) // the process is probably down, so that it counts twice
	case StatusRejected:
		if !event.StateMissing {
			e.backoffs.start(key, r.now+r.rateLimits.backoff(key))
		}
	}
}

// recordResult adds a failure (1) or a success (0) to the failure rate of an engine the given number of
// times, and ejects the engine if its failure rate far exceeds that of its peers.
func (r *Router) recordResult(e *engine, failure float64, times int) {
	e.failures.observe(failure, times)
	r.pools[e.role()] = poolStats{} // invalidates the failure rate of the pool
	if failure > 0 && e.usable && r.isOutlier(e) && !e.failures.ejected(r.now) {
		e.failures.eject(r.now)
	}
}

// isOutlier reports whether the failure rate of an engine far exceeds that of its peers.
func (r *Router) isOutlier(e *engine) bool {
	rate := e.failures.failureRate()
	return rate > ejectionThreshold && rate > 2*r.pool(e.role()).failureRate
}

// available reports whether outlier ejection permits a request to an engine. After its ejection an engine
// receives one request at a time until its failure rate is below recoveryThreshold.
func (r *Router) available(e *engine) bool {
	if e.failures.ejected(r.now) {
		return false
	}
	return !e.failures.recovering() || len(e.inFlight) == 0
}
