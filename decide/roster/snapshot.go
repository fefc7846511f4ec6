package roster

import (
	"cmp"
	"slices"
	"time"
)

// StoredEntry is an entry as it is kept on disk.
type StoredEntry struct {
	Source Source
	Entry  Entry
	Born   time.Time // when it was first listed; zero if unknown
	Seen   time.Time // when a trusted view last had it
	Begun  time.Time // the start that was told; zero if long ago
}

// Snapshot returns the last good view, marks included, in order of source and id, and
// the index that each source had reached.
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
		return cmp.Or(cmp.Compare(x.Source.Origin, y.Source.Origin), cmp.Compare(x.Source.Name, y.Source.Name), cmp.Compare(x.Entry.ID, y.Entry.ID))
	})
	return entries, indexes
}

// Restore takes the last good view from disk, before any source has spoken. Marks
// hold; each source is in doubt until it speaks, so its engines are checked.
func (r *Registry) Restore(now time.Time, entries []StoredEntry, indexes map[Source]uint64) {
	for _, k := range entries {
		r.AddSource(k.Source, true)
		s := r.sources[k.Source]
		if s.listings[k.Entry.ID] != nil {
			continue
		}
		s.observed, s.doubt, s.doubtedSince = true, FromDisk, now
		s.index = indexes[k.Source]
		r.upsert(now, s, k.Entry, true)
		l := s.listings[k.Entry.ID]
		l.firstListed, l.lastSeen, l.restored = k.Born, k.Seen, true
		if e := r.engines[k.Entry.ID]; k.Begun.After(e.restartedAt) {
			e.restartedAt = k.Begun
		}
	}
	if len(entries) > 0 {
		r.emit(Event{Message: "last good view taken from disk", Reason: FromDisk, Engines: len(entries)})
	}
	r.evaluateDirty(now)
}

// GatewayCount smooths how many gateways share the engines. More are trusted at once: each
// then takes a smaller part of a cold engine's budget, which is the safe side. Fewer
// are trusted once they have stayed fewer for a while: a gateway whose check has
// flapped still sends. The zero value is not usable; see NewPeers.
type GatewayCount struct {
	count      int
	holdTime   time.Duration
	lowerCount int // the most that was seen since the count fell; 0 if it has not
	lowerSince time.Time
}

// NewGatewayCount starts from the number that the operator's file gives, at least 1.
func NewGatewayCount(n int, hold time.Duration) *GatewayCount {
	return &GatewayCount{count: max(n, 1), holdTime: hold}
}

// Count returns how many gateways there are held to be.
func (p *GatewayCount) Count() int { return p.count }

// Observe takes a count in and tells whether it changed what is held. A count of 0
// can't be: this gateway is one; it is no news.
func (p *GatewayCount) Observe(now time.Time, n int) bool {
	switch {
	case n < 1:
		return false
	case n >= p.count:
		changed := n > p.count
		p.count, p.lowerCount = n, 0
		return changed
	case p.lowerCount == 0:
		p.lowerCount, p.lowerSince = n, now
	default:
		p.lowerCount = max(p.lowerCount, n)
	}
	return p.Tick(now)
}

// Tick lets time pass and tells whether the count has changed.
func (p *GatewayCount) Tick(now time.Time) bool {
	if p.lowerCount == 0 || now.Sub(p.lowerSince) < p.holdTime {
		return false
	}
	p.count, p.lowerCount = p.lowerCount, 0
	return true
}
