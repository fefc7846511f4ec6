package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Book holds what all sources have said and what is made of it. It is not safe for
// concurrent use. Each call costs time in proportion to the entries it names, not
// to all that are known.
type Book struct {
	policy  Policy
	sources map[Source]*source
	engines map[string]*engine
	addrs   map[place]map[string]*engine // who is said to be where
	dirty   map[string]*engine
	changes []Engine
	notes   []Note
	over    map[string]Override
	losses  []time.Time                     // of engines of any source that were lost without a mark
	heard   map[string]map[string]time.Time // by kind and id: engines whose latest check was answered
}

type place struct{ addr, kind string }

// source is what one source has said.
type source struct {
	name     Source
	atStart  bool // its first list tells nothing of when engines started
	spoken   bool // a view of it has been taken
	index    uint64
	records  map[string]*record
	losses   []time.Time // of engines that were lost without a mark
	lost     int         // records that are held though they are listed no more
	vanished bool        // nothing names it any more: it ends with its last record
	doubt    Reason
	since    time.Time // of the doubt
	trial    *View     // the latest doubted view, to be taken when trialAt + Hold has come
	trialAt  time.Time
	renewed  bool // the next view may come from another time line: its registrations are no news
	believed time.Time
}

// record is what one source says of one engine.
type record struct {
	Entry
	born     time.Time // first listed here; zero if it was there on a first list
	seen     time.Time // last listed in a view that was believed
	lost     time.Time // not listed since, though it may be alive; zero if it is listed
	asked    time.Time // a doubted view has not listed it since: it is to be checked
	restored bool      // known from disk alone
	unread   bool      // its latest entry made no sense
}

// engine is what the book makes of the records of one id.
type engine struct {
	id      string
	records map[Source]*record
	best    *record   // whose address counts
	rank    [2]uint64 // of best, as its rivals know it
	at      place
	told    Engine
	known   bool      // told holds what the module knows
	restart time.Time // when it was last held to have started anew
	turned  time.Time // when it took its present role, as far as that was seen
	marked  time.Time // since when it has been critical
	alive   time.Time
	refusal time.Time // the last one
	refused int       // in a row
	unheard int
	checked time.Time // last asked for by Wanted
}

// New returns an empty book.
func New(p Policy) *Book {
	return &Book{
		policy: p, sources: map[Source]*source{}, engines: map[string]*engine{},
		addrs: map[place]map[string]*engine{}, dirty: map[string]*engine{}, heard: map[string]map[string]time.Time{},
	}
}

// Join makes a source known before it speaks. atStart says that the gateway has
// just begun: engines on its first list may have run for long. Those on the first
// list of a source that joins later count as started when they were seen.
func (b *Book) Join(src Source, atStart bool) {
	if b.sources[src] == nil {
		b.sources[src] = &source{name: src, atStart: atStart, records: map[string]*record{}}
	}
}

// Observe takes a view in and returns why it is doubted, Believed if it is not.
func (b *Book) Observe(now time.Time, src Source, v View) Reason {
	b.Join(src, true)
	s := b.sources[src]
	reason := b.weigh(s, v)
	if reason != Believed && len(s.records) > 0 {
		b.doubt(now, s, reason)
		if s.trial == nil {
			s.trialAt = now
		}
		s.trial = &v
		s.renewed = s.renewed || reason == WentBack
		b.onTrial(now, s, v)
	} else {
		// With nothing known, a doubtful view is the best there is.
		b.take(now, s, v, reason == Believed)
		if reason != Believed {
			b.doubt(now, s, reason)
		} else {
			b.trust(now, s)
		}
	}
	b.flush(now)
	return reason
}

func (b *Book) weigh(s *source, v View) Reason {
	switch {
	case v.Leaderless:
		return NoLeader
	case v.Age > b.policy.MaxAge:
		return TooOld
	case v.Index < s.index:
		return WentBack
	}
	return Believed
}

// Confirm notes that a source has said again what it said last, and tells whether
// that is enough: one that is in doubt has to be observed in full.
func (b *Book) Confirm(now time.Time, src Source) bool {
	s := b.sources[src]
	if s == nil || s.doubt != Believed || s.lost > 0 {
		return false
	}
	s.believed = now
	return true
}

// seen is when a believed view last had a record.
func (s *source) seen(r *record) time.Time {
	if r.lost.IsZero() && !r.unread && !r.restored && s.believed.After(r.seen) {
		return s.believed
	}
	return r.seen
}

// Known returns the sources that have something listed or are expected to.
func (b *Book) Known() []Source {
	return slices.SortedFunc(maps.Keys(b.sources), func(x, y Source) int {
		return cmp.Or(cmp.Compare(x.Origin, y.Origin), cmp.Compare(x.Name, y.Name))
	})
}

// Fail notes that a source gave nothing that could be read. What it last said is
// held; nothing is ever removed for it.
func (b *Book) Fail(now time.Time, src Source, reason Reason) {
	b.Join(src, true)
	b.doubt(now, b.sources[src], reason)
	b.flush(now)
}

// Rebase has a source go on by another catalogue: its index is no longer to be
// compared, nor are its registrations.
func (b *Book) Rebase(src Source) {
	if s := b.sources[src]; s != nil {
		s.index, s.renewed, s.trial = 0, true, nil
	}
}

// Withdraw ends a source by an operator's will, such as a tag that was taken away:
// the engines that no other source lists are gone at once.
func (b *Book) Withdraw(now time.Time, src Source, why string) {
	s := b.sources[src]
	if s == nil {
		return
	}
	if n := len(s.records); n > 0 {
		b.note(Note{Source: src.String(), What: "source withdrawn: " + why, Engines: n})
	}
	for id := range s.records {
		b.drop(s, id)
	}
	delete(b.sources, src)
	b.flush(now)
}

// Vanish handles a source that is not named any more though nobody took it away:
// its engines are held and checked, as after a loss of many at once.
func (b *Book) Vanish(now time.Time, src Source) {
	s := b.sources[src]
	if s == nil {
		return
	}
	held := 0
	for id, r := range s.records {
		if b.stays(now, s, r) {
			held++
			s.lose(now, r)
			b.touch(id)
		} else {
			b.drop(s, id)
		}
	}
	if s.vanished = true; len(s.records) == 0 {
		delete(b.sources, src)
	}
	if held > 0 {
		b.note(Note{Source: src.String(), What: "source vanished; its engines are checked and held", Engines: held, Warn: true})
	}
	b.flush(now)
}

// stays tells whether a record that is lost with many others is held: one that is
// marked, or was not confirmed for long, is not.
func (b *Book) stays(now time.Time, s *source, r *record) bool {
	return r.Mark == Clear && now.Sub(s.seen(r)) <= b.policy.Trust
}

func (s *source) lose(now time.Time, r *record) {
	if r.lost.IsZero() {
		r.lost = now
		s.lost++
	}
}

// missing tells whether a record is not on the latest list, believed or not.
func (r *record) missing() bool { return !r.lost.IsZero() || !r.asked.IsZero() }

// Tick lets time pass: a doubted view whose hold is over is taken, and an engine
// that has long been listed no more is let go.
func (b *Book) Tick(now time.Time) {
	for _, s := range b.sources {
		if s.trial != nil && now.Sub(s.trialAt) >= b.policy.Hold {
			v := *s.trial
			b.note(Note{Source: s.name.String(), What: "hold over: the doubted view is taken, engines that answer are kept", Reason: s.doubt, Engines: len(v.Entries), Warn: true})
			b.take(now, s, v, false)
			s.index, s.trial = v.Index, nil
			if s.doubt == WentBack {
				b.trust(now, s)
			}
		}
		if s.lost > 0 {
			b.expire(now, s)
		}
		if s.vanished && len(s.records) == 0 {
			delete(b.sources, s.name)
		}
		if s.doubt == Believed || now.Sub(s.since) < b.policy.Hold {
			continue
		}
		for id := range s.records {
			if e := b.engines[id]; e.refused >= refusedLeast || e.told.State == Suspect {
				b.touch(id)
			}
		}
	}
	b.flush(now)
}

// expire lets go of what has long been listed no more.
func (b *Book) expire(now time.Time, s *source) {
	for id, r := range s.records {
		if !r.lost.IsZero() && now.Sub(r.lost) >= b.policy.Unlisted {
			b.note(Note{Source: s.name.String(), Engine: id, What: "listed no more for too long: gone", Engines: 1, Warn: true})
			b.drop(s, id)
		}
	}
}

func (b *Book) doubt(now time.Time, s *source, reason Reason) {
	if s.doubt == Believed {
		s.since = now
	}
	if s.doubt != reason {
		b.note(Note{Source: s.name.String(), What: "source in doubt: its last good view is held", Reason: reason, Engines: len(s.records), Warn: true})
		s.doubt = reason
		for id := range s.records {
			b.touch(id)
		}
	}
}

func (b *Book) trust(now time.Time, s *source) {
	if s.doubt != Believed {
		b.note(Note{Source: s.name.String(), What: "source believed again", Reason: s.doubt, Engines: len(s.records)})
		for id := range s.records {
			b.touch(id)
		}
	}
	s.doubt, s.since, s.believed, s.trial = Believed, time.Time{}, now, nil
}

// Replace takes a view in that is a person's own word, such as a file's: it is
// believed whatever it says, and who is missing is gone.
func (b *Book) Replace(now time.Time, src Source, v View) {
	b.Join(src, true)
	s := b.sources[src]
	listed := map[string]bool{}
	for _, e := range v.Entries {
		listed[e.ID] = true
	}
	for id := range s.records {
		if !listed[id] {
			b.drop(s, id)
		}
	}
	b.take(now, s, v, true)
	b.trust(now, s)
	b.flush(now)
}

// Override replaces all overrides by those given, by id.
func (b *Book) Override(now time.Time, over map[string]Override) {
	for id := range b.over {
		b.touch(id)
	}
	b.over = over
	for id := range over {
		b.touch(id)
	}
	b.flush(now)
}
