package routing

import (
	"math"
	"time"
)

const (
	stateWeight = 0.2             // a waiting state holds memory and a port but is read already
	ownEnough   = 10              // among fewer routers own load tells a queue, and reads add but noise
	behindStep  = 0.5             // weight of one read: two in a row are rare
	behindFade  = 8 * time.Second // about as long as a session lasts
	reportFade  = time.Second     // in which a report's word loses half of its weight
)

// queue is the load before a new read, in tokens: this router's own or, if more, what was
// reported and sent since. As a report ages, the peers' mean takes the place of what it said.
func (r *Router) queue(w *engine) float64 {
	own := w.readTokens + stateWeight*w.stateTokens
	if w.report.WaitingTokens != nil {
		return max(own, r.stages[w.role()].reads.worth()*r.reported(w)+w.readSince)
	}
	if r.set.Gateways < ownEnough { // own load is a good part of all, and newer
		return own
	}
	return own + max(0, r.behind(w))
}

// queued is how many tokens a reported queue holds beyond this router's own. It ranks prefill engines
// and sets how long a read is waited for, but turns nothing away: perToken holds it already.
func (r *Router) queued(w *engine) float64 {
	if w.report.QueueLength == nil {
		return 0
	}
	return max(0, *w.report.QueueLength*max(r.stages[w.role()].read, leastRead)*r.fresh(w)-w.readTokens)
}

// reported is how many tokens a report shows waiting, as far as it is still believed.
func (r *Router) reported(w *engine) float64 {
	if w.report.WaitingTokens == nil {
		return 0
	}
	usual := r.survey(w.role()).waiting
	return usual + (*w.report.WaitingTokens-usual)*r.fresh(w)
}

// fresh is how far an engine's report is still believed, from 1 to 0.
func (r *Router) fresh(w *engine) float64 {
	return math.Exp2(-(r.now - w.reportAt).Seconds() / reportFade.Seconds())
}

// behind is how many tokens more, or fewer, than usual a read has lately waited out
// at an engine beside this router's own: what the others have sent there.
func (r *Router) behind(w *engine) float64 {
	return w.behind * math.Exp2(-(r.now-w.behindAt).Seconds()/behindFade.Seconds())
}

func (r *Router) noteReport(w *engine, rep *LoadReport) {
	if w != nil && rep != nil {
		w.report, w.reportAt, w.sentSince, w.readSince = *rep, r.now, 0, 0
	}
}
