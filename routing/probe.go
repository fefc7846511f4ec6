package routing

import (
	"cmp"
	"slices"
	"time"
)

const (
	askFresh = 300 * time.Millisecond // a report younger than this is not asked anew
	askWait  = 40 * time.Millisecond  // a probe not answered by then is not waited for
)

// ask probes the likeliest prefill engine, once a request, where its report is old: among many routers
// each sees it too seldom to know its queue. The request is held until it answers, or askWait.
func (r *Router) ask(q *request, pool []*engine, cost func(*engine) float64) bool {
	if !r.set.CanProbe || r.set.Gateways < ownEnough || q.asked != nil || len(pool) < 2 {
		return false
	}
	w := slices.MinFunc(pool, func(a, b *engine) int { return cmp.Compare(cost(a), cost(b)) })
	q.asked = []*engine{w}
	if r.now-w.reportAt < askFresh {
		return false
	}
	if !r.asking(w) {
		w.askedAt = r.now
		r.do(Probe{Engine: w.Name})
	}
	return true
}

func (r *Router) asking(w *engine) bool { return w.askedAt > w.answeredAt && r.now-w.askedAt < askWait }

// onProbed takes a report and sends on what waited for it alone.
func (r *Router) onProbed(e ProbeResult) {
	w := r.engines[e.Engine]
	if w == nil {
		return
	}
	r.noteReport(w, e.Report)
	w.answeredAt = r.now
	held := r.held
	r.held = nil
	for _, q := range held {
		if q.phase == waitPrefill && len(q.asked) > 0 && !slices.ContainsFunc(q.asked, r.asking) {
			r.toPrefill(q)
		} else {
			r.held = append(r.held, q)
		}
	}
}
