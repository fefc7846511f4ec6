package routing

import (
	"cmp"
	"slices"
	"time"
)

const (
	maxFreshReportAge = 300 * time.Millisecond // a younger report needs no probe
	probeTimeout      = 40 * time.Millisecond  // after which a probe is not waited for
)

// probeState is the latest probe of one engine. It reads and changes nothing else. Placement sends
// probes; their results end them.
type probeState struct {
	sentAt, answeredAt Time
}

func (p *probeState) recordSent(now Time)   { p.sentAt = now }
func (p *probeState) recordResult(now Time) { p.answeredAt = now }

// pending reports whether a result is still waited for.
func (p *probeState) pending(now Time) bool {
	return p.sentAt > p.answeredAt && now-p.sentAt < probeTimeout
}

// probeBeforePlacement probes the prefill engine of least cost, once per request, if its load report is
// old: one of many gateways uses each engine too seldom to estimate its queue. It reports whether the
// request is queued until the engine answers, or for probeTimeout at most.
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

// onProbeResult takes a report and places the requests that waited for it alone.
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
