package routing

import (
	"cmp"
	"slices"
)

// cell is a cell's part in the plan, in decode engines' weight.
type cell struct {
	id                                   int
	prefillEngines, decodeEngines, reads float64
}

// tally adds up the usable engines' weights by cell, in order of cell.
func (r *Router) tally() []*cell {
	cells := []*cell{}
	for _, w := range r.order {
		if !w.usable {
			continue
		}
		c := cellOf(cells, w.Cell)
		if c == nil {
			c = &cell{id: w.Cell}
			cells = append(cells, c)
		}
		switch w.role() {
		case RolePrefill:
			c.prefillEngines += w.Weight
		case RoleDecode:
			c.decodeEngines += w.Weight
		}
	}
	slices.SortFunc(cells, func(a, b *cell) int { return cmp.Compare(a.id, b.id) })
	return cells
}

// cellOf returns the cell with an id, nil if there is none.
func cellOf(cells []*cell, id int) *cell {
	if i := slices.IndexFunc(cells, func(c *cell) bool { return c.id == id }); i >= 0 {
		return cells[i]
	}
	return nil
}

// onPeers takes the number of routers that share the pools: this router's part of
// every quota follows, and so does all that is reckoned with that number.
func (r *Router) onPeers(routers int) {
	if routers < 1 || routers == r.set.Gateways {
		return
	}
	for _, q := range r.quotas {
		q.rate *= float64(r.set.Gateways) / float64(routers)
		q.saved = min(q.saved, max(q.rate*quotaSpan, 1))
	}
	r.set.Gateways = routers
}

func (r *Router) subscribe() {
	r.calling, r.callAt = true, r.now
	r.do(Subscribe{})
}

func (r *Router) onRoster(e EngineList) {
	r.calling = e.Scope != EngineListFailed && r.calling
	if e.Scope == EngineListStale && r.set.MustSubscribe {
		r.subscribe()
	}
	named := make(map[string]bool, len(e.Engines))
	for _, s := range e.Engines {
		named[s.Name] = true
		r.learn(s)
	}
	r.cells = nil
	if e.Scope == EngineListSnapshot || e.Scope == EngineListStale {
		for _, w := range r.order {
			if !named[w.Name] {
				w.usable, w.Phase = false, PhaseRemoved
			}
		}
	}
	r.order = slices.DeleteFunc(r.order, func(w *engine) bool {
		if !r.over(w) {
			return false
		}
		delete(r.engines, w.Name)
		return true
	})
}

// over tells whether an engine has left and nothing of it is left to account for:
// engines come under ever new names. One that has just been sent work is kept, as it
// may come up again under its name, cold, and what was sent then counts.
func (r *Router) over(w *engine) bool {
	if w.Phase != PhaseRemoved || len(w.out) > 0 || w.reads+w.states+w.answers > 0 {
		return false
	}
	n := len(w.sends)
	return n == 0 || r.now-w.sends[n-1].at > r.set.OverloadWindow
}
