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

// probeState is the latest probe of one engine. It reads and changes nothing else. Placement sends
// probes; their results end them.
type probeState struct {
	sentAt, answeredAt Time
}

func (p *probeState) sent(now Time)     { p.sentAt = now }
func (p *probeState) answered(now Time) { p.answeredAt = now }

// pending reports whether a result is still waited for.
func (p *probeState) pending(now Time) bool {
	return p.sentAt > p.answeredAt && now-p.sentAt < probeTimeout
}

// probeFirst probes the likeliest prefill engine, once a request, where its report is old: among many
// gateways each uses it too seldom to know its queue. The request is held until the engine answers, or
// for probeTimeout.
func (r *Router) probeFirst(req *request, pool []*engine, cost func(*engine) float64) bool {
	if !r.set.CanProbe || r.set.Gateways < manyGateways || req.probedEngine != nil || len(pool) < 2 {
		return false
	}
	e := slices.MinFunc(pool, func(a, b *engine) int { return cmp.Compare(cost(a), cost(b)) })
	req.probedEngine = e
	if e.report.age(r.now) < freshReportAge {
		return false
	}
	if !e.probe.pending(r.now) {
		e.probe.sent(r.now)
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
	e.report.take(event.Report, r.now)
	e.probe.answered(r.now)
	for _, req := range r.holdQueue.removeAll() {
		if req.phase == awaitingPrefill && req.probedEngine != nil && !req.probedEngine.probe.pending(r.now) {
			r.dispatchPrefill(req)
		} else {
			r.holdQueue.add(req)
		}
	}
}
