package routing

import (
	"math"
	"time"
)

const (
	heldStateWeight   = 0.2             // of a prompt token to prefill; held state takes memory and a port
	manyGateways      = 10              // among fewer, own load tells the queue and latencies add but noise
	backlogEWMAWeight = 0.5             // weight of one read: two in a row are rare
	backlogHalfLife   = 8 * time.Second // about as long as a session lasts
	reportHalfLife    = time.Second     // in which a report loses half of its weight
)

// queuedTokens is the load ahead of a new prefill, in tokens: this router's own or, if more, what was
// reported and sent since. As a report ages, the peers' mean takes the place of what it said.
func (r *Router) queuedTokens(e *engine) float64 {
	own := e.prefillTokens + heldStateWeight*e.heldTokens
	if e.report.WaitingTokens != nil {
		return max(own, r.roles[e.role()].reportWeight.tokenWeight()*r.reportedTokens(e)+e.tokensSinceReport)
	}
	if r.set.Gateways < manyGateways { // own load is a good part of all, and newer
		return own
	}
	return own + max(0, r.othersBacklog(e))
}

// reportedQueueTokens is how many tokens a reported queue holds beyond this router's own. It ranks
// prefill engines and extends how long a prefill is waited for, but rejects nothing: the usual time
// for a token includes it already.
func (r *Router) reportedQueueTokens(e *engine) float64 {
	if e.report.QueueLength == nil {
		return 0
	}
	tokensEach := max(r.roles[e.role()].prefillTokens, stepOverheadTokens)
	return max(0, *e.report.QueueLength*tokensEach*r.reportTrust(e)-e.prefillTokens)
}

// reportedTokens is how many tokens a report shows waiting, as far as it is still believed.
func (r *Router) reportedTokens(e *engine) float64 {
	if e.report.WaitingTokens == nil {
		return 0
	}
	usual := r.pool(e.role()).waitingTokens
	return usual + (*e.report.WaitingTokens-usual)*r.reportTrust(e)
}

// reportTrust is how far an engine's report is still believed, from 1 to 0.
func (r *Router) reportTrust(e *engine) float64 {
	return math.Exp2(-(r.now - e.reportAt).Seconds() / reportHalfLife.Seconds())
}

// othersBacklog is how many tokens more, or fewer, than usual a read has lately waited out
// at an engine beside this router's own: what the others have sent there.
func (r *Router) othersBacklog(e *engine) float64 {
	return e.backlog * math.Exp2(-(r.now-e.backlogAt).Seconds()/backlogHalfLife.Seconds())
}

func (r *Router) recordReport(e *engine, rep *LoadReport) {
	if e != nil && rep != nil {
		e.report, e.reportAt, e.memorySinceReport, e.tokensSinceReport = *rep, r.now, 0, 0
	}
}
