package roster

import (
	"cmp"
	"slices"
	"time"
)

// Changes returns the engines to publish since the last call, in order of id.
func (r *Registry) Changes() []Engine {
	out := r.changes
	r.changes = nil
	slices.SortFunc(out, func(x, y Engine) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// Events returns the decisions to log since the last call.
func (r *Registry) Events() []Event {
	out := r.events
	r.events = nil
	return out
}

// Engines returns all engines, in order of id.
func (r *Registry) Engines() []Engine {
	out := make([]Engine, 0, len(r.engines))
	for _, e := range r.engines {
		now := e.published
		for src, l := range e.listings {
			if at := r.sources[src].lastSeen(l); at.After(now.LastSeen) {
				now.LastSeen = at
			}
		}
		out = append(out, now)
	}
	slices.SortFunc(out, func(x, y Engine) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// SourceStatus is the state of one source.
type SourceStatus struct {
	Source         string
	DistrustReason Reason
	UntrustedSince time.Time // zero while trusted
	LastTrusted    time.Time // when a view was last trusted
	Index          uint64
	Engines        int
}

// SourceStatuses returns the state of every source, in order of name.
func (r *Registry) SourceStatuses() []SourceStatus {
	var out []SourceStatus
	for src, s := range r.sources {
		out = append(out, SourceStatus{src.String(), s.doubt, s.doubtedSince, s.lastTrusted, s.index, len(s.listings)})
	}
	slices.SortFunc(out, func(x, y SourceStatus) int { return cmp.Compare(x.Source, y.Source) })
	return out
}
