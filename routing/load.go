package routing

import (
	"math"
	"time"
)

const (
	heldStateWeight       = 0.2             // of a prompt token to prefill; held state takes memory and a port
	manyGatewaysThreshold = 10              // among fewer, own load tells the queue and latencies add but noise
	backlogEWMAWeight     = 0.5             // weight of one prefill: two in a row are rare
	backlogHalfLife       = 8 * time.Second // about as long as a session lasts
	reportHalfLife        = time.Second     // in which a report loses half of its weight
)

// engineReport is the latest load report of one engine, and what this router has sent there since. It
// reads and changes nothing else. Outcomes and probes feed it, and so does every send; load estimation
// asks.
type engineReport struct {
	latest                           LoadReport
	receivedAt                       Time
	memorySentSince, tokensSentSince float64 // memory, and tokens to prefill, sent since
}

// update takes a report, if there is one.
func (p *engineReport) update(report *LoadReport, now Time) {
	if report != nil {
		*p = engineReport{latest: *report, receivedAt: now}
	}
}

// confidence is how far the report is still believed, from 1 to 0.
func (p *engineReport) confidence(now Time) float64 {
	return math.Exp2(-(now - p.receivedAt).Seconds() / reportHalfLife.Seconds())
}

// age is how long ago it came.
func (p *engineReport) age(now Time) time.Duration { return now - p.receivedAt }

// discountedWaitingTokens is the reported number of waiting tokens times the confidence in the report; 0 if
// there is no report.
func (p *engineReport) discountedWaitingTokens(now Time) float64 {
	if p.latest.WaitingTokens == nil {
		return 0
	}
	return *p.latest.WaitingTokens * p.confidence(now)
}

// recordSent takes what was sent: tokens to prefill, and memory.
func (p *engineReport) recordSent(tokens, memory float64) {
	p.tokensSentSince += tokens
	p.memorySentSince += memory
}

// backlogEstimate is how many tokens more, or fewer, than typical a prefill has lately waited for at an
// engine beside this router's own: what the other routers have sent there. It reads and changes
// nothing else. Finished prefills feed it; load estimation asks.
type backlogEstimate struct {
	tokens    float64 // at the latest sample
	sampledAt Time
}

func (b *backlogEstimate) observe(tokens float64, now Time) {
	current := b.decayed(now)
	b.tokens, b.sampledAt = current+(tokens-current)*backlogEWMAWeight, now
}

// decayed is the estimate as of now; it fades.
func (b *backlogEstimate) decayed(now Time) float64 {
	return b.tokens * math.Exp2(-(now-b.sampledAt).Seconds()/backlogHalfLife.Seconds())
}

// queuedTokens is the load ahead of a new prefill, in tokens: this router's own or, if more, what was
// reported and sent since. As a report ages, the peers' mean takes the place of what it said.
func (r *Router) queuedTokens(e *engine) float64 {
	own := e.prefillTokens + heldStateWeight*e.heldTokens
	if e.report.latest.WaitingTokens != nil {
		weight := r.latency.reportedTokenWeight(e.role())
		return max(own, weight*r.reportedWaitingTokens(e)+e.report.tokensSentSince)
	}
	if r.set.Gateways < manyGatewaysThreshold { // own load is a good part of all, and newer
		return own
	}
	return own + max(0, e.backlog.decayed(r.now))
}

// reportedQueueTokens is how many tokens a reported queue holds beyond this router's own. It ranks
// prefill engines and extends how long a prefill is waited for, but rejects nothing: the typical time
// for a token includes it already.
func (r *Router) reportedQueueTokens(e *engine) float64 {
	if e.report.latest.QueueLength == nil {
		return 0
	}
	tokensEach := max(r.latency.meanPrefillTokens(e.role()), prefillOverheadTokens)
	return max(0, *e.report.latest.QueueLength*tokensEach*e.report.confidence(r.now)-e.prefillTokens)
}

// reportedWaitingTokens is how many tokens a report shows waiting, as far as it is still believed.
func (r *Router) reportedWaitingTokens(e *engine) float64 {
	if e.report.latest.WaitingTokens == nil {
		return 0
	}
	mean := r.pool(e.role()).waitingTokens
	return mean + (*e.report.latest.WaitingTokens-mean)*e.report.confidence(r.now)
}

// memoryUsage estimates what share of an engine's memory is in use, by its report and this router's own
// work.
func (r *Router) memoryUsage(e *engine) float64 {
	capacity := max(e.kind.Memory, 1)
	own := e.answerMemory * float64(r.set.Gateways) / capacity
	if e.report.latest.MemoryUsed == nil {
		return own
	}
	return own + (*e.report.latest.MemoryUsed+e.report.memorySentSince/capacity-own)*e.report.confidence(r.now)
}
