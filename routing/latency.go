package routing

import (
	"cmp"
	"math"
	"time"
)

const (
	defaultSecondsPerToken = 1e-4            // before the first prefill has ended
	stepOverheadTokens     = 300.0           // what a prefill costs in tokens, however short it is
	typicalEWMAWeight      = 0.1             // weight of one sample in the typical figures
	maxSampleRatio         = 3.0             // a sample counts as at most this many times the typical
	decodeWaitHalfLife     = time.Second     // of the typical decode wait, while no answer begins
	slowThreshold          = 1.8             // a pace within this of the peers' median is chance, not slowness
	maxSlowdown            = 20.0            // bounds what one sample can do
	paceEWMAWeight         = 0.25            // weight of one pace sample
	paceHalfLife           = 5 * time.Second // a pace with no fresh sample halves its excess in this time
)

// roleStats is what is typical of the engines of a role.
type roleStats struct {
	prefillSeconds, prefillTokens float64 // of a prefill
	firstTokenSeconds             float64 // of a decode engine
	throughputSum                 float64 // tokens done by warm engines, fading
	throughputAt, firstTokenAt    Time
	peakThroughput                float64 // best tokens a second for each warm engine
	reportWeight                  reportRegression
}

// updateTypical takes a sample into a typical figure.
func (r *Router) updateTypical(usual *float64, v float64) {
	*usual = cmp.Or(*usual, v)
	*usual += (min(v, maxSampleRatio**usual) - *usual) * typicalEWMAWeight // one slow engine is not the pool
}

// recordPrefill takes one sample of the time that an engine needs for a prefill.
func (r *Router) recordPrefill(e *engine, req *request, toRead float64, took time.Duration) {
	st := &r.roles[e.role()]
	tokens := req.queuedAhead + toRead + stepOverheadTokens
	st.reportWeight.observe(req.reportedAhead, toRead+stepOverheadTokens, took.Seconds())
	behind := took.Seconds()/r.secondsPerToken(e.role()) - tokens
	e.backlog, e.backlogAt = r.othersBacklog(e)+(behind-r.othersBacklog(e))*backlogEWMAWeight, r.now
	r.recordPace(e, took.Seconds()/tokens/r.secondsPerToken(e.role()))
	r.updateTypical(&st.prefillSeconds, took.Seconds())
	r.updateTypical(&st.prefillTokens, tokens)
}

// secondsPerToken is the usual time for a token; an untried role counts as quick as the other.
func (r *Router) secondsPerToken(role Role) float64 {
	for _, st := range []*roleStats{&r.roles[role], &r.roles[RolePrefill], &r.roles[RoleMixed]} {
		if st.prefillTokens > 0 {
			return st.prefillSeconds / st.prefillTokens
		}
	}
	return defaultSecondsPerToken
}

// decodeWait is the typical wait for a first token while fresh, in seconds, or the wait at half of the
// decode engines now.
func (r *Router) decodeWait() float64 {
	st := &r.roles[RoleDecode]
	usual := st.firstTokenSeconds * math.Exp2(-(r.now-st.firstTokenAt).Seconds()/decodeWaitHalfLife.Seconds())
	return max(usual, r.pool(RoleDecode).oldestAge)
}

// recordPace takes one sample of an engine's time against the usual of its role.
func (r *Router) recordPace(e *engine, ratio float64) {
	e.pace = r.currentPace(e)
	e.pace += (min(ratio, maxSlowdown) - e.pace) * paceEWMAWeight
	e.paceAt = r.now
}

func (r *Router) currentPace(e *engine) float64 {
	return 1 + (e.pace-1)*math.Exp2(-(r.now-e.paceAt).Seconds()/paceHalfLife.Seconds())
}

// slowdown is how many times slower than its peers an engine is, 1 if it is not clear.
func (r *Router) slowdown(e *engine) float64 {
	s := 1.0
	if p := r.currentPace(e) / max(r.pool(e.role()).pace, 0.1); p > slowThreshold {
		s = p
	}
	if lag := r.overdue(e); lag > overdueRatio && e.lastHeard <= e.oldestInFlight().sentAt {
		s = max(s, lag)
	}
	return min(s, maxSlowdown)
}
