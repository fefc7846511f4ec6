package routing

import (
	"cmp"
	"slices"
	"time"
)

const (
	maxFreshReportAge = 300 * time.Millisecond // an engine with a more recent report is not probed
	probeTimeout      = 40 * time.Millisecond  // maximum wait for the result of a probe
)

// probeState records the latest probe of an engine. Placement sends probes.
type probeState struct {
	sentAt, answeredAt Time
}

func (p *probeState) recordSent(now Time)   { p.sentAt = now }
func (p *probeState) recordResult(now Time) { p.answeredAt = now }

// pending reports whether the result of the latest probe is outstanding and probeTimeout has not expired.
func (p *probeState) pending(now Time) bool {
	return p.sentAt > p.answeredAt && now-p.sentAt < probeTimeout
}

// probeBeforePlacement probes the prefill engine of minimum cost, at most once per request, if its load
// report is old: each of many gateways uses an engine too rarely to estimate its queue. It reports whether
// the request must wait for the result, for probeTimeout at most.
func (r *Router) probeBeforePlacement(req *request, pool []*engine, cost func(*engine) float64) bool {
	if !r.set.CanProbe || r.set.Gateways < manyGatewaysThreshold || req.probedEngine != nil || len(pool) < 2 {
		return false
	}
	e := slices.MinFunc(pool, func(a, b *engine) int { return cmp.Compare(cost(a), cost(b)) })
	req.probedEngine = e
	if e.report.age(r.now) < maxFreshReportAge {
		return false
	}
	if !e.probe.pending(r.now) {
		e.probe.recordSent(r.now)
		r.emit(Probe{Engine: e.Name})
	}
	return true
}

// onProbeResult records the load report of a probe and dispatches the requests that waited only for it.
func (r *Router) onProbeResult(event ProbeResult) {
	e := r.engines.byName[event.Engine]
	if e == nil {
		return
	}
	e.report.update(event.Report, r.now)
	e.probe.recordResult(r.now)
	for _, req := range r.holdQueue.removeAll() {
		if req.phase == awaitingPrefill && req.probedEngine != nil && !req.probedEngine.probe.pending(r.now) {
			r.dispatchPrefill(req)
		} else {
			r.holdQueue.add(req)
		}
	}
}
