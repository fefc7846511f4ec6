package routing

import (
	"math"
	"time"
)

const (
	heldStateWeight   = 0.2             // of a prompt token to prefill; held state takes memory and a port
	manyGateways      = 10              // among fewer, own load tells the queue and latencies add but noise
	backlogEWMAWeight = 0.5             // weight of one prefill: two in a row are rare
	backlogHalfLife   = 8 * time.Second // about as long as a session lasts
	reportHalfLife    = time.Second     // in which a report loses half of its weight
)

// engineReport is the latest load report of one engine, and what this router has sent there since. It
// reads and changes nothing else. Outcomes and probes feed it, and so does every send; load estimation
// asks.
type engineReport struct {
	latest                   LoadReport
	at                       Time
	memorySince, tokensSince float64 // memory, and tokens to prefill, sent since
}

// take takes a report, if there is one.
func (p *engineReport) take(report *LoadReport, now Time) {
	if report != nil {
		*p = engineReport{latest: *report, at: now}
	}
}

// trust is how far the report is still believed, from 1 to 0.
func (p *engineReport) trust(now Time) float64 {
	return math.Exp2(-(now - p.at).Seconds() / reportHalfLife.Seconds())
}

// age is how long ago it came.
func (p *engineReport) age(now Time) time.Duration { return now - p.at }

// trustedWaiting is the reported number of waiting tokens as far as it is still believed, 0 for none.
func (p *engineReport) trustedWaiting(now Time) float64 {
	if p.latest.WaitingTokens == nil {
		return 0
	}
	return *p.latest.WaitingTokens * p.trust(now)
}

// addSent takes what was sent: tokens to prefill, and memory.
func (p *engineReport) addSent(tokens, memory float64) {
	p.tokensSince += tokens
	p.memorySince += memory
}

// backlogEstimate is how many tokens more, or fewer, than typical a prefill has lately waited for at an
// engine beside this router's own: what the other routers have sent there. It reads and changes
// nothing else. Finished prefills feed it; load estimation asks.
type backlogEstimate struct {
	tokens float64 // at the latest sample
	at     Time
}

func (b *backlogEstimate) observe(tokens float64, now Time) {
	current := b.current(now)
	b.tokens, b.at = current+(tokens-current)*backlogEWMAWeight, now
}

// current is the estimate as of now; it fades.
func (b *backlogEstimate) current(now Time) float64 {
	return b.tokens * math.Exp2(-(now-b.at).Seconds()/backlogHalfLife.Seconds())
}

// queuedTokens is the load ahead of a new prefill, in tokens: this router's own or, if more, what was
// reported and sent since. As a report ages, the peers' mean takes the place of what it said.
func (r *Router) queuedTokens(e *engine) float64 {
	own := e.prefillTokens + heldStateWeight*e.heldTokens
	if e.report.latest.WaitingTokens != nil {
		weight := r.latency.reportedTokenWeight(e.role())
		return max(own, weight*r.reportedTokens(e)+e.report.tokensSince)
	}
	if r.set.Gateways < manyGateways { // own load is a good part of all, and newer
		return own
	}
	return own + max(0, e.backlog.current(r.now))
}

// reportedQueueTokens is how many tokens a reported queue holds beyond this router's own. It ranks
// prefill engines and extends how long a prefill is waited for, but rejects nothing: the typical time
// for a token includes it already.
func (r *Router) reportedQueueTokens(e *engine) float64 {
	if e.report.latest.QueueLength == nil {
		return 0
	}
	tokensEach := max(r.latency.typicalPrefillTokens(e.role()), stepOverheadTokens)
	return max(0, *e.report.latest.QueueLength*tokensEach*e.report.trust(r.now)-e.prefillTokens)
}

// reportedTokens is how many tokens a report shows waiting, as far as it is still believed.
func (r *Router) reportedTokens(e *engine) float64 {
	if e.report.latest.WaitingTokens == nil {
		return 0
	}
	mean := r.pool(e.role()).waitingTokens
	return mean + (*e.report.latest.WaitingTokens-mean)*e.report.trust(r.now)
}

// memoryFill estimates what share of an engine's memory is in use, by its report and this router's own
// work.
func (r *Router) memoryFill(e *engine) float64 {
	capacity := max(e.kind.Memory, 1)
	own := e.answerMemory * float64(r.set.Gateways) / capacity
	if e.report.latest.MemoryUsed == nil {
		return own
	}
	return own + (*e.report.latest.MemoryUsed+e.report.memorySince/capacity-own)*e.report.trust(r.now)
}
