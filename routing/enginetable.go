package routing

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

const (
	subscribeGap = time.Second // between calls to a discovery that fails
)

// engine returns the record of a named engine, new if need be, in order of name.
func (r *Router) engine(name string) *engine {
	w := r.engines[name]
	if w == nil {
		w = &engine{EngineInfo: EngineInfo{Name: name}, pace: 1, fullTo: map[string]Time{}}
		w.forget()
		r.engines[name] = w
		byName := func(w *engine, n string) int { return cmp.Compare(w.Name, n) }
		at, _ := slices.BinarySearchFunc(r.order, name, byName)
		r.order = slices.Insert(r.order, at, w)
	}
	return w
}

// all calls yield for each usable engine of a role, in order of name.
func (r *Router) all(role Role) iter.Seq[*engine] {
	return func(yield func(*engine) bool) {
		for _, w := range r.order {
			if w.usable && w.role() == role && !yield(w) {
				return
			}
		}
	}
}

// learn takes a roster entry. A new start empties what the engine kept, and old
// grudges with it; a drain or removal stops new sends from this moment on.
func (r *Router) learn(s EngineInfo) {
	w := r.engine(s.Name)
	if w.StartTime != s.StartTime {
		w.forget()
		w.fail, w.pace, w.ejectedFor, w.ejectedUntil = 0, 1, 0, 0
	}
	s.Weight = cmp.Or(max(s.Weight, 0), 1)
	w.EngineInfo, w.kind = s, r.kinds[s.Kind]
	w.usable = s.Phase == PhaseActive && w.role() != RoleNone && slices.Contains(r.set.Zones, s.Zone)
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

func (r *Router) subscribe() {
	r.calling, r.callAt = true, r.now
	r.do(Subscribe{})
}
