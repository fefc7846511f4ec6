package routing

import (
	"cmp"
	"math"
	"time"
)

const (
	defaultSecondsPerToken = 1e-4            // before the first prefill has ended
	prefillOverheadTokens  = 300.0           // what a prefill costs in tokens, however short it is
	meanEWMAWeight         = 0.1             // weight of one sample in the typical figures
	maxSampleRatio         = 3.0             // a sample counts as at most this many times the typical
	decodeWaitHalfLife     = time.Second     // of the typical decode wait, while no answer begins
	slowdownThreshold      = 1.8             // a pace within this of the peers' median is chance, not slowness
	maxSlowdown            = 20.0            // bounds what one sample can do
	latencyRatioEWMAWeight = 0.25            // weight of one pace sample
	latencyRatioHalfLife   = 5 * time.Second // a pace with no fresh sample halves its excess in this time
)

// latencyModel is what is typical of the engines of each role. It reads and changes nothing else.
// Finished prefills and first tokens feed it; placement, timeouts and load estimation ask.
type latencyModel struct {
	roles [RoleMixed + 1]roleLatency
}

// roleLatency is what is typical of the engines of one role.
type roleLatency struct {
	prefillSeconds, prefillTokens float64 // of a prefill, with what was queued ahead of it
	firstTokenSeconds             float64 // of a decode engine
	firstTokenAt                  Time    // of the latest sample of it
	reportRegression              reportRegression
}

// observePrefill takes one prefill: its own tokens, those with the queue ahead of it, those of the queue
// that a report had shown, and its time.
func (m *latencyModel) observePrefill(role Role, own, tokens, reported, seconds float64) {
	m.roles[role].reportRegression.observe(reported, own, seconds)
	updateMean(&m.roles[role].prefillSeconds, seconds)
	updateMean(&m.roles[role].prefillTokens, tokens)
}

// observeFirstToken takes the time of one first token at an engine that decodes.
func (m *latencyModel) observeFirstToken(role Role, seconds float64, now Time) {
	updateMean(&m.roles[role].firstTokenSeconds, seconds)
	m.roles[role].firstTokenAt = now
}

// secondsPerToken is the typical time for a token; an untried role counts as quick as another.
func (m *latencyModel) secondsPerToken(role Role) float64 {
	for _, l := range []*roleLatency{&m.roles[role], &m.roles[RolePrefill], &m.roles[RoleMixed]} {
		if l.prefillTokens > 0 {
			return l.prefillSeconds / l.prefillTokens
		}
	}
	return defaultSecondsPerToken
}

// meanPrefillTokens is how many tokens a typical prefill has, with the queue ahead of it.
func (m *latencyModel) meanPrefillTokens(role Role) float64 { return m.roles[role].prefillTokens }

// reportedTokenWeight is what a token that a report shows waiting counts against one to prefill.
func (m *latencyModel) reportedTokenWeight(role Role) float64 {
	return m.roles[role].reportRegression.tokenWeight()
}

// meanSeconds is the typical time of an attempt in a phase.
func (m *latencyModel) meanSeconds(role Role, p phase) float64 {
	if p == decoding {
		return m.roles[role].firstTokenSeconds
	}
	return m.roles[role].prefillSeconds
}

// decodeWait is the typical time to a first token at the decode engines, in seconds. It fades while no
// answer begins.
func (m *latencyModel) decodeWait(now Time) float64 {
	l := &m.roles[RoleDecode]
	return l.firstTokenSeconds * math.Exp2(-(now-l.firstTokenAt).Seconds()/decodeWaitHalfLife.Seconds())
}

// updateMean takes a sample into a typical figure.
func updateMean(typical *float64, sample float64) {
	*typical = cmp.Or(*typical, sample)
	// Bounded: one slow engine is not the pool.
	*typical += (min(sample, maxSampleRatio**typical) - *typical) * meanEWMAWeight
}

// latencyRatioEstimate is an engine's time per token against the typical of its role. It reads and changes
// nothing else. Finished prefills and first tokens feed it; the slowdown of an engine asks.
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

// decayed is the pace as of now, back towards 1 with time.
func (p *latencyRatioEstimate) decayed(now Time) float64 {
	return 1 + (p.ratio-1)*math.Exp2(-(now-p.sampledAt).Seconds()/latencyRatioHalfLife.Seconds())
}

// recordPrefill takes one sample of the time that an engine needs for a prefill into all estimates.
func (r *Router) recordPrefill(e *engine, req *request, ownTokens float64, took time.Duration) {
	role, seconds := e.role(), took.Seconds()
	tokens := req.queuedTokensAhead + ownTokens + prefillOverheadTokens
	perToken := r.latency.secondsPerToken(role)
	e.backlog.observe(seconds/perToken-tokens, r.now)
	e.latencyRatio.observe(seconds/tokens/perToken, r.now)
	r.latency.observePrefill(role, ownTokens+prefillOverheadTokens, tokens, req.reportedTokensAhead, seconds)
}

// decodeWait is the typical wait for a first token while fresh, in seconds, or the wait at half of the
// decode engines now.
func (r *Router) decodeWait() float64 {
	return max(r.latency.decodeWait(r.now), r.pool(RoleDecode).oldestAge)
}

// slowdown is how many times slower than its peers an engine is, 1 if it is not clear.
func (r *Router) slowdown(e *engine) float64 {
	s := 1.0
	if p := e.latencyRatio.decayed(r.now) / max(r.pool(e.role()).latencyRatio, 0.1); p > slowdownThreshold {
		s = p
	}
	if overdue := e.maxAgeRatio(r.now); overdue > overdueRatio && e.noResponseSince(e.oldestInFlight().sentAt) {
		s = max(s, overdue)
	}
	return min(s, maxSlowdown)
}
