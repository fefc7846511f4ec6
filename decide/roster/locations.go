package roster

import "cmp"

// location is where an engine serves and in which role: two roles at one address are no rivals.
type location struct{ addr, kind string }

// relocate moves an engine in the index of locations and marks those that share the old or
// the new location to be evaluated again.
func (r *Registry) relocate(e *engine, to location) {
	if e.location == to {
		return
	}
	r.markRivalsDirty(e, e.location)
	r.markRivalsDirty(e, to)
	if e.location != (location{}) {
		delete(r.byLocation[e.location], e.id)
		if len(r.byLocation[e.location]) == 0 {
			delete(r.byLocation, e.location)
		}
	}
	if e.location = to; to != (location{}) {
		if r.byLocation[to] == nil {
			r.byLocation[to] = map[string]*engine{}
		}
		r.byLocation[to][e.id] = e
	}
}

// markRivalsDirty has the other engines at a location evaluated again.
func (r *Registry) markRivalsDirty(e *engine, p location) {
	for id := range r.byLocation[p] {
		if id != e.id {
			r.markDirty(id)
		}
	}
}

// rival returns the engine that was registered later at the same location, nil if there is
// none. A dead process leaves its entry behind; the process that listens there now must not
// get the load of two engines.
func (r *Registry) rival(e *engine) *engine {
	var best *engine
	for _, other := range r.byLocation[e.location] {
		if other == e || other.primary == nil {
			continue
		}
		order := cmp.Or(cmp.Compare(other.primary.Registered, e.primary.Registered), cmp.Compare(other.primary.Index, e.primary.Index),
			cmp.Compare(other.id, e.id))
		if order > 0 && (best == nil || other.id > best.id) {
			best = other
		}
	}
	return best
}
