package routing

import (
	"math"
	"time"
)

const (
	coldMargin = 0.7             // part of the budget used: others' estimates differ from ours
	carryFade  = 8 * time.Second // memory of what warm engines carry
	peakFade   = 90 * time.Second
)

type sendMark struct {
	at     Time
	weight float64
}

// coldRoom bounds this router's sends to a cold engine within any fall window by what warm
// peers carried for it, so that the routers' shares add up to less than the rule's multiple.
// Where that is less than one request, chance decides once a window whether to send one:
// first ones from many would push it over. It could starve a pool that is cold as a whole.
func (r *Router) coldRoom(w *engine, weight float64) bool {
	for len(w.sends) > 0 && r.now-w.sends[0].at > r.set.OverloadWindow { // they are in order of time
		w.sends = w.sends[1:]
	}
	if !r.cold(w) {
		return true
	}
	limit := coldMargin * r.stages[w.role()].peak * r.set.OverloadWindow.Seconds() *
		r.set.OverloadMultiple * r.set.SlowStartCapacity
	if len(w.sends) == 0 && limit < weight {
		// no window common to all routers
		window := float64(r.now)/float64(r.set.OverloadWindow) + r.chance(0, w.Name)
		return r.chance(RequestID(window), w.Name) < limit/weight
	}
	for _, s := range w.sends {
		weight += s.weight
	}
	return weight <= limit
}

// carry notes work done by a warm engine and keeps the best rate seen at one.
func (r *Router) carry(w *engine, weight float64) {
	if r.cold(w) {
		return
	}
	st := &r.stages[w.role()]
	dt := (r.now - st.at).Seconds()
	st.at = r.now
	st.carried = st.carried*math.Exp(-dt/carryFade.Seconds()) + weight
	rate := st.carried / carryFade.Seconds() / float64(max(r.survey(w.role()).warm, 1))
	st.peak = max(st.peak*math.Exp(-dt/peakFade.Seconds()), rate)
}

func (r *Router) cold(w *engine) bool {
	return w.StartTime != 0 && r.now-w.StartTime < r.set.SlowStartPeriod
}
