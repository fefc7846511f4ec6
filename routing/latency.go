package routing

import (
	"cmp"
	"math"
	"time"
)

const (
	defaultSecondsPerToken = 1e-4            // until the first prefill has completed
	prefillOverheadTokens  = 300.0           // fixed cost of a prefill, in tokens
	meanEWMAWeight         = 0.1             // weight of one sample in the means of this package
	maxSampleRatio         = 3.0             // a sample counts as at most this multiple of the mean
	decodeWaitHalfLife     = time.Second     // of the decode wait while no first tokens arrive
	slowdownThreshold      = 1.8             // lower ratios to the median of the peers are random variation
	maxSlowdown            = 20.0            // upper bound, which limits the effect of one sample
	latencyRatioEWMAWeight = 0.25            // weight of one sample of the latency ratio
	latencyRatioHalfLife   = 5 * time.Second // without new samples the deviation from 1 halves in this time
)

// latencyModel keeps mean latencies of the engines of each role, from finished prefills and first tokens.
// Placement, timeouts and load estimation use it.
type latencyModel struct {
	roles [RoleMixed + 1]roleLatency
}

// roleLatency holds the mean latencies of the engines of one role.
type roleLatency struct {
	prefillSeconds, prefillTokens float64 // of a prefill, including the queue ahead of it
	firstTokenSeconds             float64 // time to the first token at a decode engine
	firstTokenAt                  Time    // time of the latest sample of firstTokenSeconds
	reportRegression              reportRegression
}

// observePrefill adds a sample of one prefill. own counts the tokens of the prefill, tokens includes the
// queue ahead of it, and reported counts the tokens of that queue according to the load report.
func (m *latencyModel) observePrefill(role Role, own, tokens, reported, seconds float64) {
	m.roles[role].reportRegression.observe(reported, own, seconds)
	updateMean(&m.roles[role].prefillSeconds, seconds)
	updateMean(&m.roles[role].prefillTokens, tokens)
}

// observeFirstToken adds a sample of the time to first token at an engine that decodes.
func (m *latencyModel) observeFirstToken(role Role, seconds float64, now Time) {
	updateMean(&m.roles[role].firstTokenSeconds, seconds)
	m.roles[role].firstTokenAt = now
}

// secondsPerToken is the mean time per token of a prefill and the queue ahead of it. For a role without
// samples it is that of prefill engines, or else that of mixed engines.
func (m *latencyModel) secondsPerToken(role Role) float64 {
	for _, l := range []*roleLatency{&m.roles[role], &m.roles[RolePrefill], &m.roles[RoleMixed]} {
		if l.prefillTokens > 0 {
			return l.prefillSeconds / l.prefillTokens
		}
	}
	return defaultSecondsPerToken
}

// meanPrefillTokens is the mean number of tokens of a prefill, including the queue ahead of it.
func (m *latencyModel) meanPrefillTokens(role Role) float64 { return m.roles[role].prefillTokens }

// reportedTokenWeight is the weight of a waiting token in a load report, relative to a token to prefill.
func (m *latencyModel) reportedTokenWeight(role Role) float64 {
	return m.roles[role].reportRegression.tokenWeight()
}

// meanSeconds is the mean duration of an attempt in a phase; for decoding, until the first token.
func (m *latencyModel) meanSeconds(role Role, p phase) float64 {
	if p == decoding {
		return m.roles[role].firstTokenSeconds
	}
	return m.roles[role].prefillSeconds
}

// decodeWait is the mean time to first token at the decode engines, in seconds. It decays while no first
// tokens arrive.
func (m *latencyModel) decodeWait(now Time) float64 {
	l := &m.roles[RoleDecode]
	return l.firstTokenSeconds * math.Exp2(-(now-l.firstTokenAt).Seconds()/decodeWaitHalfLife.Seconds())
}

// updateMean adds a sample to an exponentially weighted mean.
func updateMean(mean *float64, sample float64) {
	*mean = cmp.Or(*mean, sample)
	// The cap prevents one slow engine from dominating the mean of the pool.
	*mean += (min(sample, maxSampleRatio**mean) - *mean) * meanEWMAWeight
}

// latencyRatioEstimate is the time per token of an engine, relative to the mean of its role. Finished
// prefills and first tokens add samples; Router.slowdown uses it.
type latencyRatioEstimate struct {
	ratio     float64 // at the latest sample
	sampledAt Time
}

func newLatencyRatioEstimate() latencyRatioEstimate { return latencyRatioEstimate{ratio: 1} }

func (p *latencyRatioEstimate) observe(ratio float64, now Time) {
	p.ratio = p.decayed(now)
	p.ratio += (min(ratio, maxSlowdown) - p.ratio) * latencyRatioEWMAWeight
	p.sampledAt = now
}

// decayed is the ratio now. It decays towards 1 while no samples are added.
func (p *latencyRatioEstimate) decayed(now Time) float64 {
	return 1 + (p.ratio-1)*math.Exp2(-(now-p.sampledAt).Seconds()/latencyRatioHalfLife.Seconds())
}

// recordPrefill adds the duration of a prefill at an engine to all estimates.
func (r *Router) recordPrefill(e *engine, req *request, ownTokens float64, took time.Duration) {
	role, seconds := e.role(), took.Seconds()
	tokens := req.queuedTokensAhead + ownTokens + prefillOverheadTokens
	perToken := r.latency.secondsPerToken(role)
	e.backlog.observe(seconds/perToken-tokens, r.now)
	e.latencyRatio.observe(seconds/tokens/perToken, r.now)
	r.latency.observePrefill(role, ownTokens+prefillOverheadTokens, tokens, req.reportedTokensAhead, seconds)
}

// decodeWait is the expected wait for a first token, in seconds: the larger of the decayed mean and the
// median age of the oldest attempts in flight at the decode engines.
func (r *Router) decodeWait() float64 {
	return max(r.latency.decodeWait(r.now), r.pool(RoleDecode).oldestAge)
}

// slowdown is the latency of an engine as a multiple of that of its peers, or 1 if the difference is not
// significant. If the oldest attempt in flight is overdue and the engine has not responded since it was
// sent, the slowdown is at least the age of the attempt divided by its expected time.
func (r *Router) slowdown(e *engine) float64 {
	s := 1.0
	if p := e.latencyRatio.decayed(r.now) / max(r.pool(e.role()).latencyRatio, 0.1); p > slowdownThreshold {
		s = p
	}
	if overdue := e.ageRatio(r.now); overdue > overdueRatio && e.noResponseSince(e.oldestInFlight().sentAt) {
		s = max(s, overdue)
	}
	return min(s, maxSlowdown)
}
