package routing

import (
	"math"
	"time"
)

const (
	heldStateWeight       = 0.2             // relative to a token to prefill; state occupies memory and a port
	manyGatewaysThreshold = 10              // below it, own load reflects the queue better than latencies do
	backlogEWMAWeight     = 0.5             // of one prefill; high, as two in a row at an engine are rare
	backlogHalfLife       = 8 * time.Second // about the duration of a session
	reportHalfLife        = time.Second     // time in which the confidence in a report halves
)

// engineReport is the latest load report of an engine and the work that this router has sent to the engine
// since then. Reports arrive with outcomes and probe results; load estimation uses them.
type engineReport struct {
	latest                           LoadReport
	receivedAt                       Time
	memorySentSince, tokensSentSince float64 // memory and tokens to prefill of requests sent after the report
}

// update replaces the report and resets the counts of sent work. It ignores a nil report.
func (p *engineReport) update(report *LoadReport, now Time) {
	if report != nil {
		*p = engineReport{latest: *report, receivedAt: now}
	}
}

// confidence is the weight of the report: 1 on receipt, halved every reportHalfLife.
func (p *engineReport) confidence(now Time) float64 {
	return math.Exp2(-(now - p.receivedAt).Seconds() / reportHalfLife.Seconds())
}

// age is the time since the report was received.
func (p *engineReport) age(now Time) time.Duration { return now - p.receivedAt }

// discountedWaitingTokens is the reported number of waiting tokens times the confidence in the report; 0 if
// there is no report.
func (p *engineReport) discountedWaitingTokens(now Time) float64 {
	if p.latest.WaitingTokens == nil {
		return 0
	}
	return *p.latest.WaitingTokens * p.confidence(now)
}

// recordSent adds sent work: tokens to prefill and memory.
func (p *engineReport) recordSent(tokens, memory float64) {
	p.tokensSentSince += tokens
	p.memorySentSince += memory
}

// backlogEstimate estimates the queue at an engine from requests of other routers: the tokens that recent
// prefills waited for in addition to those of this router, relative to the mean, so that it can be
// negative. Finished prefills add samples; load estimation uses it.
type backlogEstimate struct {
	tokens    float64 // at the latest sample
	sampledAt Time
}

func (b *backlogEstimate) observe(tokens float64, now Time) {
	decayed := b.decayed(now)
	b.tokens, b.sampledAt = decayed+(tokens-decayed)*backlogEWMAWeight, now
}

// decayed is the estimate now. It decays towards 0 while no samples are added.
func (b *backlogEstimate) decayed(now Time) float64 {
	return b.tokens * math.Exp2(-(now-b.sampledAt).Seconds()/backlogHalfLife.Seconds())
}

// queuedTokens is the load ahead of a new prefill, in tokens: that of this router or, if larger, the
// reported load plus the tokens sent since the report. As a report ages, the mean of the peers' reports
// replaces it. Without reports, the backlog estimate is added if there are many gateways.
func (r *Router) queuedTokens(e *engine) float64 {
	own := e.prefillTokens + heldStateWeight*e.heldTokens
	if e.report.latest.WaitingTokens != nil {
		weight := r.latency.reportedTokenWeight(e.role())
		return max(own, weight*r.reportedWaitingTokens(e)+e.report.tokensSentSince)
	}
	if r.set.Gateways < manyGatewaysThreshold { // own load is a large fraction of the total and more recent
		return own
	}
	return own + max(0, e.backlog.decayed(r.now))
}

// reportedQueueTokens is the number of tokens in a reported queue beyond those of this router. It affects
// the ranking of prefill engines and the timeout of a prefill, but never rejects requests, since the mean
// time per token already includes the queue.
func (r *Router) reportedQueueTokens(e *engine) float64 {
	if e.report.latest.QueueLength == nil {
		return 0
	}
	tokensPerRequest := max(r.latency.meanPrefillTokens(e.role()), prefillOverheadTokens)
	return max(0, *e.report.latest.QueueLength*tokensPerRequest*e.report.confidence(r.now)-e.prefillTokens)
}

// reportedWaitingTokens is the reported number of waiting tokens, which tends to the mean of the peers as
// confidence in the report decays.
func (r *Router) reportedWaitingTokens(e *engine) float64 {
	if e.report.latest.WaitingTokens == nil {
		return 0
	}
	mean := r.pool(e.role()).waitingTokens
	return mean + (*e.report.latest.WaitingTokens-mean)*e.report.confidence(r.now)
}

// memoryUsage estimates the fraction of an engine's memory in use, from its report and the work of this
// router.
func (r *Router) memoryUsage(e *engine) float64 {
	capacity := max(e.kind.Memory, 1)
	own := e.answerMemory * float64(r.set.Gateways) / capacity
	if e.report.latest.MemoryUsed == nil {
		return own
	}
	return own + (*e.report.latest.MemoryUsed+e.report.memorySentSince/capacity-own)*e.report.confidence(r.now)
}
