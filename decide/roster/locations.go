package roster

import "cmp"

// location is the address and role of an engine. Engines of different roles may share an address.
type location struct{ addr, kind string }

// relocate updates an engine in the index of locations and marks the other engines at the old and the new
// location for re-evaluation.
func (r *Registry) relocate(e *engine, to location) {
	if e.location == to {
		return
	}
	r.markLocationDirty(e, e.location)
	r.markLocationDirty(e, to)
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

// markLocationDirty marks the engines at a location, other than e, for re-evaluation.
func (r *Registry) markLocationDirty(e *engine, at location) {
	for id := range r.byLocation[at] {
		if id != e.id {
			r.markDirty(id)
		}
	}
}

// newerAtSameLocation returns the engine with the highest id of those that were registered later at the same
// location, or nil. The entry of a process that has ended may remain in the catalog; the process that now
// listens at its address must not get the load of two engines.
func (r *Registry) newerAtSameLocation(e *engine) *engine {
	var newer *engine
	for _, peer := range r.byLocation[e.location] {
		if peer == e || peer.primary == nil {
			continue
		}
		order := cmp.Or(cmp.Compare(peer.primary.Registered, e.primary.Registered), cmp.Compare(peer.primary.Index, e.primary.Index),
			cmp.Compare(peer.id, e.id))
		if order > 0 && (newer == nil || peer.id > newer.id) {
			newer = peer
		}
	}
	return newer
}
