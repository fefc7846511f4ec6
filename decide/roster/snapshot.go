package roster

import (
	"cmp"
	"slices"
	"time"
)

// StoredEntry is an entry of the last good view's file. The JSON keys are part of the file format.
type StoredEntry struct {
	Source      Source
	Entry       Entry
	FirstListed time.Time `json:"Born"`  // when it was first listed; zero if unknown
	LastSeen    time.Time `json:"Seen"`  // when a trusted view last listed it
	Started     time.Time `json:"Begun"` // the published start time; zero if unknown
}

// Snapshot returns the last good view, including marks, sorted by source and id, and the latest index of each
// source.
func (r *Registry) Snapshot() (entries []StoredEntry, indexes map[Source]uint64) {
	indexes = map[Source]uint64{}
	for src, s := range r.sources {
		indexes[src] = s.index
		for id, l := range s.listings {
			if l.missingSince.IsZero() {
				entries = append(entries, StoredEntry{src, l.Entry, l.firstListed, s.lastSeen(l), r.engines[id].published.Started})
			}
		}
	}
	slices.SortFunc(entries, func(x, y StoredEntry) int {
		return cmp.Or(compareSources(x.Source, y.Source), cmp.Compare(x.Entry.ID, y.Entry.ID))
	})
	return entries, indexes
}

// Restore applies the last good view, before any source is observed. Marks take effect. Each source is
// untrusted until it is observed, so that its engines are probed.
func (r *Registry) Restore(now time.Time, entries []StoredEntry, indexes map[Source]uint64) {
	for _, stored := range entries {
		r.AddSource(stored.Source, true)
		s := r.sources[stored.Source]
		if s.listings[stored.Entry.ID] != nil {
			continue
		}
		s.observed, s.distrust, s.untrustedSince = true, FromDisk, now
		s.index = indexes[stored.Source]
		r.upsert(now, s, stored.Entry, true)
		l := s.listings[stored.Entry.ID]
		l.firstListed, l.lastSeen, l.restored = stored.FirstListed, stored.LastSeen, true
		if e := r.engines[stored.Entry.ID]; stored.Started.After(e.restartedAt) {
			e.restartedAt = stored.Started
		}
	}
	if len(entries) > 0 {
		r.emit(Event{Message: "last good view restored", Reason: FromDisk, Engines: len(entries)})
	}
	r.evaluateDirty(now)
}
