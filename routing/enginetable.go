package routing

import (
	"cmp"
	"iter"
	"slices"
)

// engineTable is the set of known engines. Updates of the engine list add and remove engines; placement
// iterates over them in order of name.
type engineTable struct {
	byName  map[string]*engine
	ordered []*engine // sorted by name
}

// getOrCreate returns the engine with the given name and creates it if it does not exist.
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

// usableByRole iterates over the usable engines of a role, sorted by name.
func (t *engineTable) usableByRole(role Role) iter.Seq[*engine] {
	return func(yield func(*engine) bool) {
		for _, e := range t.ordered {
			if e.usable && e.role() == role && !yield(e) {
				return
			}
		}
	}
}

// markMissingRemoved marks the engines that a complete engine list does not contain as removed.
func (t *engineTable) markMissingRemoved(listed map[string]bool) {
	for _, e := range t.ordered {
		if !listed[e.Name] {
			e.usable, e.Phase = false, PhaseRemoved
		}
	}
}

// deleteRemoved deletes removed engines that have no work of this router, since every new engine may have a
// new name and the table would grow without bound. An engine to which requests were sent within the
// window is retained: it may restart under the same name, and these requests count in its slow start.
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

// applyEngineInfo applies an entry of the engine list. A changed start time resets the cache index, the
// latency ratio and the failure record; draining or removal stops new sends immediately.
func (r *Router) applyEngineInfo(info EngineInfo) {
	e := r.engines.getOrCreate(info.Name)
	if e.StartTime != info.StartTime {
		e.resetForRestart()
	}
	info.Weight = cmp.Or(max(info.Weight, 0), 1)
	e.EngineInfo, e.kind = info, r.kinds[info.Kind]
	e.usable = info.Phase == PhaseActive && e.role() != RoleNone && slices.Contains(r.set.Zones, info.Zone)
}
