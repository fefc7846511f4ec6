package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Changes returns what is to be told of since the last call, in order of id.
func (b *Book) Changes() []Engine {
	out := b.changes
	b.changes = nil
	slices.SortFunc(out, func(x, y Engine) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// Notes returns what is to be logged since the last call.
func (b *Book) Notes() []Note {
	out := b.notes
	b.notes = nil
	return out
}

// All returns every engine that is known, in order of id.
func (b *Book) All() []Engine {
	out := make([]Engine, 0, len(b.engines))
	for _, e := range b.engines {
		now := e.told
		for src, r := range e.records {
			if at := b.sources[src].seen(r); at.After(now.Seen) {
				now.Seen = at
			}
		}
		out = append(out, now)
	}
	slices.SortFunc(out, func(x, y Engine) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// Health is the state of one source.
type Health struct {
	Source   string
	Doubt    Reason
	Since    time.Time // of the doubt
	Believed time.Time // when a view was last believed
	Index    uint64
	Engines  int
}

// Sources returns the state of every source, in order of name.
func (b *Book) Sources() []Health {
	var out []Health
	for src, s := range b.sources {
		out = append(out, Health{src.String(), s.doubt, s.since, s.believed, s.index, len(s.records)})
	}
	slices.SortFunc(out, func(x, y Health) int { return cmp.Compare(x.Source, y.Source) })
	return out
}

func (b *Book) note(n Note) { b.notes = append(b.notes, n) }

func (b *Book) touch(id string) {
	if e := b.engines[id]; e != nil {
		b.dirty[id] = e
	}
}

// flush works out anew what is made of all engines that something was said of.
func (b *Book) flush(now time.Time) {
	for len(b.dirty) > 0 {
		batch := slices.Sorted(maps.Keys(b.dirty))
		for _, id := range batch {
			e := b.dirty[id]
			delete(b.dirty, id)
			b.settle(now, e)
		}
	}
}
