package roster

import "cmp"

type location struct{ addr, kind string }

// relocate moves an engine in the index of addresses and has those that share the old
// or the new one settled again.
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

func (r *Registry) markRivalsDirty(e *engine, p location) {
	for id := range r.byLocation[p] {
		if id != e.id {
			r.markDirty(id)
		}
	}
}

// rival returns the engine that has come at another's address since, nil if none
// has. A dead process leaves its entry behind; the process that listens now must
// not be sent the share of two.
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
