package routing

import (
	"math"
	"time"
)

const (
	slowStartMargin        = 0.7              // part of the budget used, as routers' estimates differ
	throughputTimeConstant = 8 * time.Second  // over which the throughput of warm engines is averaged
	peakTimeConstant       = 90 * time.Second // in which the peak fades where no such rate is seen again
)

type slowStartSend struct {
	at     Time
	weight float64
}

// slowStartAdmits bounds this router's sends to an engine in slow start, within any OverloadWindow, by
// the throughput that it has seen at warm peers, so that all routers' sends add up to less than what
// overloads the engine. Where that is less than one request, a draw decides once a window whether to
// send one: the first ones of many routers would overload it. It could starve a pool in which all
// engines are in slow start.
func (r *Router) slowStartAdmits(e *engine, weight float64) bool {
	// They are in order of time.
	for len(e.slowStartSends) > 0 && r.now-e.slowStartSends[0].at > r.set.OverloadWindow {
		e.slowStartSends = e.slowStartSends[1:]
	}
	if !r.inSlowStart(e) {
		return true
	}
	limit := slowStartMargin * r.roles[e.role()].peakThroughput * r.set.OverloadWindow.Seconds() *
		r.set.OverloadMultiple * r.set.SlowStartCapacity
	if len(e.slowStartSends) == 0 && limit < weight {
		// no window common to all routers
		window := float64(r.now)/float64(r.set.OverloadWindow) + r.uniformDraw(0, e.Name)
		return r.uniformDraw(RequestID(window), e.Name) < limit/weight
	}
	for _, s := range e.slowStartSends {
		weight += s.weight
	}
	return weight <= limit
}

// recordThroughput takes work done by a warm engine into the throughput of its role and keeps the peak.
func (r *Router) recordThroughput(e *engine, weight float64) {
	if r.inSlowStart(e) {
		return
	}
	st := &r.roles[e.role()]
	dt := (r.now - st.throughputAt).Seconds()
	st.throughputAt = r.now
	st.throughputSum = st.throughputSum*math.Exp(-dt/throughputTimeConstant.Seconds()) + weight
	rate := st.throughputSum / throughputTimeConstant.Seconds() / float64(max(r.pool(e.role()).warm, 1))
	st.peakThroughput = max(st.peakThroughput*math.Exp(-dt/peakTimeConstant.Seconds()), rate)
}

func (r *Router) inSlowStart(e *engine) bool {
	return e.StartTime != 0 && r.now-e.StartTime < r.set.SlowStartPeriod
}
