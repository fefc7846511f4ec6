package fleetsim

import (
	"math/rand/v2"
	"time"
)

// strike begins and ends a trouble.
func (w *world) strike(t Trouble) {
	r := draw{rand.New(rand.NewPCG(w.deployment.Seed, uint64(t.At)))}
	var hit []*engine
	for _, i := range r.Perm(len(w.engines))[:max(1, int(t.Part*float64(len(w.engines))))] {
		hit = append(hit, w.engines[i])
	}
	each := func(at time.Duration, do func(e *engine)) {
		w.at(at, func() {
			for _, e := range hit {
				do(e)
			}
		})
	}
	switch t.What {
	case Slow:
		each(t.At, func(e *engine) { e.slow = t.Size })
		each(t.At+t.For, func(e *engine) { e.slow = 1 })
	case Flush:
		w.at(t.At, func() {
			for _, e := range w.engines {
				if e.prefills() && r.chance(t.Part) {
					e.texts = nil
				}
			}
		})
	case Links:
		w.at(t.At, func() { w.linkSlow = t.Size })
		w.at(t.At+t.For, func() { w.linkSlow = 1 })
	case Crash:
		each(t.At, func(e *engine) { e.die(); w.announce(e) })
		each(t.At+t.For, func(e *engine) { e.rise(); w.announce(e) })
	case Drain:
		each(t.At, func(e *engine) {
			if e.up {
				e.draining = true
				w.announce(e)
			}
		})
		each(t.At+t.For, func(e *engine) { e.die(); w.announce(e) })
		each(t.At+t.For+time.Second, func(e *engine) { e.rise(); w.announce(e) })
	}
}
