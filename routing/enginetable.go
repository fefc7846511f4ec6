package routing

import (
	"cmp"
	"iter"
	"slices"
)

// engineTable holds the engines that this router knows, in order of name. It reads and changes the
// engines. The engine list fills it; whatever ranks engines goes through it.
type engineTable struct {
	byName  map[string]*engine
	ordered []*engine // by name
}

// getOrCreate returns the record of an engine, new if need be.
func (t *engineTable) getOrCreate(name string) *engine {
	e := t.byName[name]
	if e == nil {
		e = newEngine(name)
		t.byName[name] = e
		byName := func(e *engine, n string) int { return cmp.Compare(e.Name, n) }
		at, _ := slices.BinarySearchFunc(t.ordered, name, byName)
		t.ordered = slices.Insert(t.ordered, at, e)
	}
	return e
}

// usableByRole calls yield for each usableByRole engine of a role, in order of name.
func (t *engineTable) usableByRole(role Role) iter.Seq[*engine] {
	return func(yield func(*engine) bool) {
		for _, e := range t.ordered {
			if e.usable && e.role() == role && !yield(e) {
				return
			}
		}
	}
}

// markMissingRemoved marks the engines as removed that a full list does not name.
func (t *engineTable) markMissingRemoved(listed map[string]bool) {
	for _, e := range t.ordered {
		if !listed[e.Name] {
			e.usable, e.Phase = false, PhaseRemoved
		}
	}
}

// deleteRemoved drops the engines that have left and of which nothing is left to account for: engines come
// under ever new names. One that has just been sent work is kept, as it may start again under its name,
// in slow start, and what was sent then counts.
func (t *engineTable) deleteRemoved(now, window Time) {
	t.ordered = slices.DeleteFunc(t.ordered, func(e *engine) bool {
		if e.Phase != PhaseRemoved || !e.idle() || e.slowStart.sentWithin(now, window) {
			return false
		}
		delete(t.byName, e.Name)
		return true
	})
}

func (r *Router) onEngineList(event EngineList) {
	r.subscription.update(event.Scope)
	if event.Scope == EngineListStale && r.set.MustSubscribe {
		r.subscribe()
	}
	listed := make(map[string]bool, len(event.Engines))
	for _, info := range event.Engines {
		listed[info.Name] = true
		r.applyEngineInfo(info)
	}
	r.cells.invalidate()
	if event.Scope == EngineListSnapshot || event.Scope == EngineListStale {
		r.engines.markMissingRemoved(listed)
	}
	r.engines.deleteRemoved(r.now, r.set.OverloadWindow)
}

// applyEngineInfo takes an entry of the engine list. A new start empties the cache, and the record of
// failures with it; a drain or removal stops new sends from this moment on.
func (r *Router) applyEngineInfo(info EngineInfo) {
	e := r.engines.getOrCreate(info.Name)
	if e.StartTime != info.StartTime {
		e.resetForRestart()
	}
	info.Weight = cmp.Or(max(info.Weight, 0), 1)
	e.EngineInfo, e.kind = info, r.kinds[info.Kind]
	e.usable = info.Phase == PhaseActive && e.role() != RoleNone && slices.Contains(r.set.Zones, info.Zone)
}
