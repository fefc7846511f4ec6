package routing

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// subscribeRetryInterval is the time between calls to a service discovery that fails.
const subscribeRetryInterval = time.Second

// engineNamed returns the record of a named engine, new if need be, in order of name.
func (r *Router) engineNamed(name string) *engine {
	e := r.engines[name]
	if e == nil {
		e = &engine{
			EngineInfo: EngineInfo{Name: name}, pace: 1, rejectingUntil: map[string]Time{}, cache: newPrefixCache(),
		}
		r.engines[name] = e
		byName := func(e *engine, n string) int { return cmp.Compare(e.Name, n) }
		at, _ := slices.BinarySearchFunc(r.order, name, byName)
		r.order = slices.Insert(r.order, at, e)
	}
	return e
}

// usableOf calls yield for each usable engine of a role, in order of name.
func (r *Router) usableOf(role Role) iter.Seq[*engine] {
	return func(yield func(*engine) bool) {
		for _, e := range r.order {
			if e.usable && e.role() == role && !yield(e) {
				return
			}
		}
	}
}

// applyEngineInfo takes an entry of the engine list. A new start empties the cache, and the record of
// failures with it; a drain or removal stops new sends from this moment on.
func (r *Router) applyEngineInfo(s EngineInfo) {
	e := r.engineNamed(s.Name)
	if e.StartTime != s.StartTime {
		e.cache = newPrefixCache()
		e.failureRate, e.pace, e.ejectionPeriod, e.ejectedUntil = 0, 1, 0, 0
	}
	s.Weight = cmp.Or(max(s.Weight, 0), 1)
	e.EngineInfo, e.kind = s, r.kinds[s.Kind]
	e.usable = s.Phase == PhaseActive && e.role() != RoleNone && slices.Contains(r.set.Zones, s.Zone)
}

func (r *Router) onEngineList(event EngineList) {
	r.subscribing = event.Scope != EngineListFailed && r.subscribing
	if event.Scope == EngineListStale && r.set.MustSubscribe {
		r.subscribe()
	}
	named := make(map[string]bool, len(event.Engines))
	for _, s := range event.Engines {
		named[s.Name] = true
		r.applyEngineInfo(s)
	}
	r.cells.invalidate()
	if event.Scope == EngineListSnapshot || event.Scope == EngineListStale {
		for _, e := range r.order {
			if !named[e.Name] {
				e.usable, e.Phase = false, PhaseRemoved
			}
		}
	}
	r.order = slices.DeleteFunc(r.order, func(e *engine) bool {
		if !r.forgettable(e) {
			return false
		}
		delete(r.engines, e.Name)
		return true
	})
}

// forgettable reports whether an engine has left and nothing of it is left to account for:
// engines come under ever new names. One that has just been sent work is kept, as it
// may start again under its name, in slow start, and what was sent then counts.
func (r *Router) forgettable(e *engine) bool {
	if e.Phase != PhaseRemoved || len(e.inFlight) > 0 || e.prefills+e.heldStates+e.answers > 0 {
		return false
	}
	n := len(e.slowStartSends)
	return n == 0 || r.now-e.slowStartSends[n-1].at > r.set.OverloadWindow
}

func (r *Router) subscribe() {
	r.subscribing, r.subscribedAt = true, r.now
	r.emit(Subscribe{})
}
