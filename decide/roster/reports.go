package roster

import (
	"cmp"
	"slices"
	"time"
)

// Changes returns the engines to publish that have changed since the last call, sorted by id.
func (r *Registry) Changes() []Engine {
	list := r.changes
	r.changes = nil
	slices.SortFunc(list, func(x, y Engine) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

// Events returns the decisions made since the last call, for the log.
func (r *Registry) Events() []Event {
	list := r.events
	r.events = nil
	return list
}

// Engines returns all engines, sorted by id.
func (r *Registry) Engines() []Engine {
	list := make([]Engine, 0, len(r.engines))
	for _, e := range r.engines {
		published := e.published
		for src, l := range e.listings {
			if at := r.sources[src].lastSeen(l); at.After(published.LastSeen) {
				published.LastSeen = at
			}
		}
		list = append(list, published)
	}
	slices.SortFunc(list, func(x, y Engine) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

// SourceStatus is the state of one source.
type SourceStatus struct {
	Source         string
	DistrustReason Reason
	UntrustedSince time.Time // zero while the source is trusted
	LastTrusted    time.Time // when a trusted view was last observed or confirmed
	Index          uint64
	Engines        int
}

// SourceStatuses returns the state of every source, sorted by name.
func (r *Registry) SourceStatuses() []SourceStatus {
	var list []SourceStatus
	for src, s := range r.sources {
		list = append(list, SourceStatus{src.String(), s.distrust, s.untrustedSince, s.lastTrusted, s.index, len(s.listings)})
	}
	slices.SortFunc(list, func(x, y SourceStatus) int { return cmp.Compare(x.Source, y.Source) })
	return list
}
