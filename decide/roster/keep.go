package roster

import (
	"cmp"
	"slices"
	"time"
)

// Kept is an entry as it is kept on disk.
type Kept struct {
	Source Source
	Entry  Entry
	Born   time.Time // when it was first listed; zero if unknown
	Seen   time.Time // when a believed view last had it
	Begun  time.Time // the start that was told; zero if long ago
}

// Keep returns the last good view, marks included, in order of source and id, and
// the index that each source had reached.
func (b *Book) Keep() (entries []Kept, indexes map[Source]uint64) {
	indexes = map[Source]uint64{}
	for src, s := range b.sources {
		indexes[src] = s.index
		for id, r := range s.records {
			if r.lost.IsZero() {
				entries = append(entries, Kept{src, r.Entry, r.born, s.seen(r), b.engines[id].told.Started})
			}
		}
	}
	slices.SortFunc(entries, func(x, y Kept) int {
		return cmp.Or(cmp.Compare(x.Source.Origin, y.Source.Origin), cmp.Compare(x.Source.Name, y.Source.Name), cmp.Compare(x.Entry.ID, y.Entry.ID))
	})
	return entries, indexes
}

// Restore takes the last good view from disk, before any source has spoken. Marks
// hold; each source is in doubt until it speaks, so its engines are checked.
func (b *Book) Restore(now time.Time, entries []Kept, indexes map[Source]uint64) {
	for _, k := range entries {
		b.Join(k.Source, true)
		s := b.sources[k.Source]
		if s.records[k.Entry.ID] != nil {
			continue
		}
		s.spoken, s.doubt, s.since = true, FromDisk, now
		s.index = indexes[k.Source]
		b.put(now, s, k.Entry, true)
		r := s.records[k.Entry.ID]
		r.born, r.seen, r.restored = k.Born, k.Seen, true
		if e := b.engines[k.Entry.ID]; k.Begun.After(e.restart) {
			e.restart = k.Begun
		}
	}
	if len(entries) > 0 {
		b.note(Note{What: "last good view taken from disk", Reason: FromDisk, Engines: len(entries)})
	}
	b.flush(now)
}

// Peers smooths how many gateways share the engines. More are believed at once: each
// then takes a smaller part of a cold engine's budget, which is the safe side. Fewer
// are believed once they have stayed fewer for a while: a gateway whose check has
// flapped still sends. The zero value is not usable; see NewPeers.
type Peers struct {
	count int
	hold  time.Duration
	lower int // the most that was seen since the count fell; 0 if it has not
	since time.Time
}

// NewPeers starts from the number that the operator's file gives, at least 1.
func NewPeers(n int, hold time.Duration) *Peers { return &Peers{count: max(n, 1), hold: hold} }

// Count returns how many gateways there are held to be.
func (p *Peers) Count() int { return p.count }

// Observe takes a count in and tells whether it changed what is held. A count of 0
// can't be: this gateway is one; it is no news.
func (p *Peers) Observe(now time.Time, n int) bool {
	switch {
	case n < 1:
		return false
	case n >= p.count:
		changed := n > p.count
		p.count, p.lower = n, 0
		return changed
	case p.lower == 0:
		p.lower, p.since = n, now
	default:
		p.lower = max(p.lower, n)
	}
	return p.Tick(now)
}

// Tick lets time pass and tells whether the count has changed.
func (p *Peers) Tick(now time.Time) bool {
	if p.lower == 0 || now.Sub(p.since) < p.hold {
		return false
	}
	p.count, p.lower = p.lower, 0
	return true
}
