package routing

import (
	"cmp"
	"slices"
	"time"
)

const (
	freshReportAge = 300 * time.Millisecond // a younger report needs no probe
	probeTimeout   = 40 * time.Millisecond  // after which a probe is not waited for
)

// probeFirst probes the likeliest prefill engine, once a request, where its report is old: among many
// gateways each uses it too seldom to know its queue. The request is held until the engine answers, or
// for probeTimeout.
func (r *Router) probeFirst(req *request, pool []*engine, cost func(*engine) float64) bool {
	if !r.set.CanProbe || r.set.Gateways < manyGateways || req.probed != nil || len(pool) < 2 {
		return false
	}
	e := slices.MinFunc(pool, func(a, b *engine) int { return cmp.Compare(cost(a), cost(b)) })
	req.probed = []*engine{e}
	if r.now-e.reportAt < freshReportAge {
		return false
	}
	if !r.probePending(e) {
		e.probedAt = r.now
		r.emit(Probe{Engine: e.Name})
	}
	return true
}

func (r *Router) probePending(e *engine) bool {
	return e.probedAt > e.probeAnsweredAt && r.now-e.probedAt < probeTimeout
}

// onProbeResult takes a report and places the requests that waited for it alone.
func (r *Router) onProbeResult(event ProbeResult) {
	e := r.engines[event.Engine]
	if e == nil {
		return
	}
	r.recordReport(e, event.Report)
	e.probeAnsweredAt = r.now
	for _, req := range r.held.takeAll() {
		if req.phase == awaitingPrefill && len(req.probed) > 0 && !slices.ContainsFunc(req.probed, r.probePending) {
			r.toPrefill(req)
		} else {
			r.held.add(req)
		}
	}
}
