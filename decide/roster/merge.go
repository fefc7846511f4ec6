package roster

import (
	"cmp"
	"slices"
	"time"
)

// take makes a view the source's word. sure says that it is believed: then who is
// missing is gone, unless too many are missing at once. A view that is taken for
// want of better removes nobody that may be alive.
func (b *Book) take(now time.Time, s *source, v View, sure bool) {
	first := !s.spoken
	s.spoken = true
	listed := make(map[string]bool, len(v.Entries))
	for _, e := range v.Entries {
		listed[e.ID] = true
		b.put(now, s, e, first && s.atStart)
	}
	b.against(s, v)
	blind := slices.Contains(v.Unread, "")
	var missing []string
	for id, r := range s.records {
		r.asked = time.Time{}
		if s.renewed && !listed[id] {
			r.Registered = 0 // of another time line: the next one is no news
		}
		switch {
		case listed[id]:
		case blind || slices.Contains(v.Unread, id): // it may be one of those
			if !r.unread {
				r.unread = true
				b.note(Note{Source: s.name.String(), Engine: id, What: "its entry may be one that made no sense: held", Reason: Unreadable, Engines: 1, Warn: true})
			}
			b.touch(id)
		case r.lost.IsZero():
			missing = append(missing, id)
		}
	}
	s.renewed = false
	slices.Sort(missing)
	b.remove(now, s, missing, sure)
	s.index = max(s.index, v.Index)
}

// remove handles engines that are listed no more. One is gone. Many at once, with no
// mark before, are more likely a fault of the catalogue: they are held and checked.
func (b *Book) remove(now time.Time, s *source, missing []string, sure bool) {
	old := func(t time.Time) bool { return now.Sub(t) > b.policy.LossSpan }
	s.losses, b.losses = slices.DeleteFunc(s.losses, old), slices.DeleteFunc(b.losses, old)
	var fresh []string
	for _, id := range missing {
		if b.stays(now, s, s.records[id]) {
			fresh = append(fresh, id)
		} else {
			b.drop(s, id)
		}
	}
	here, all := len(s.losses)+len(s.records), len(b.losses)+len(b.engines)
	for range fresh {
		s.losses, b.losses = append(s.losses, now), append(b.losses, now)
	}
	much := func(lost, of int, share float64) bool { return lost > 1 && float64(lost) > share*float64(of) }
	// Small services may each lose their only engine: that is seen over all of them.
	many := much(len(s.losses), here, b.policy.LossShare) || much(len(b.losses), all, b.policy.LossAll)
	if sure && !many {
		for _, id := range fresh {
			b.drop(s, id)
		}
		return
	}
	for _, id := range fresh {
		s.lose(now, s.records[id])
		b.touch(id)
	}
	if len(fresh) > 0 {
		b.note(Note{Source: s.name.String(), What: "many engines lost at once without a mark: checked and held", Engines: len(fresh), Warn: true})
	}
}

// against takes the marks of entries that otherwise made no sense.
func (b *Book) against(s *source, v View) {
	for id, m := range v.Against {
		if r := s.records[id]; r != nil && m > r.Mark {
			r.Mark = m
			b.touch(id)
		}
	}
}

// onTrial takes from a doubted view what is safe to take: marks against engines.
func (b *Book) onTrial(now time.Time, s *source, v View) {
	listed := make(map[string]bool, len(v.Entries))
	for _, e := range v.Entries {
		listed[e.ID] = true
		if r := s.records[e.ID]; r != nil && e.Mark > r.Mark {
			r.Mark = e.Mark
			b.touch(e.ID)
		}
	}
	b.against(s, v)
	blind := slices.Contains(v.Unread, "")
	for id, r := range s.records { // those it lacks are in question
		switch {
		case listed[id] || blind || slices.Contains(v.Unread, id):
			r.asked = time.Time{}
		case r.asked.IsZero():
			r.asked = now
		}
	}
}

// put takes one entry in.
func (b *Book) put(now time.Time, s *source, e Entry, old bool) {
	r := s.records[e.ID]
	eng := b.engines[e.ID]
	if eng == nil {
		eng = &engine{id: e.ID, records: map[Source]*record{}}
		b.engines[e.ID] = eng
	}
	if r == nil {
		r = &record{}
		if !old {
			r.born = now
		}
		s.records[e.ID] = r
		eng.records[s.name] = r
	} else if r.Registered != 0 && e.Registered != r.Registered && !s.renewed && !eng.survived(r.lost) {
		eng.restart = now // deregistered and registered anew between two views
	}
	if !r.lost.IsZero() {
		s.lost--
	}
	r.Entry, r.seen, r.lost, r.restored, r.unread = e, now, time.Time{}, false, false
	b.touch(e.ID)
}

// drop takes a source's word on an engine away.
func (b *Book) drop(s *source, id string) {
	if r := s.records[id]; r != nil && !r.lost.IsZero() {
		s.lost--
	}
	delete(s.records, id)
	if e := b.engines[id]; e != nil {
		delete(e.records, s.name)
		b.touch(id)
	}
}

// survived tells whether checks have seen an engine through since a time: it
// answered, and refused nothing.
func (e *engine) survived(since time.Time) bool {
	return !since.IsZero() && !e.alive.Before(since) && e.refusal.Before(since)
}

// ahead ranks two records of one engine, or of two at one address: the catalogue
// before the file, then the later registration, then the later change.
func ahead(x, y *record, xs, ys Source) bool {
	return cmp.Or(
		cmp.Compare(xs.Origin, ys.Origin), cmp.Compare(x.Registered, y.Registered), cmp.Compare(x.Index, y.Index),
		cmp.Compare(ys.Name, xs.Name),
	) > 0
}

// settle works out what is made of one engine and notes a change.
func (b *Book) settle(now time.Time, e *engine) {
	if len(e.records) == 0 {
		b.unlist(e)
		return
	}
	b.rank(e)
	next := Engine{ID: e.id, Addr: e.best.Addr, Kind: e.best.Kind, Zone: e.best.Zone, Cell: e.best.Cell, Listed: e.best.Kind}
	over, overridden := b.over[e.id]
	if over.Kind != "" {
		next.Kind = over.Kind
	}
	moved := e.known && e.told.Addr != next.Addr
	b.place(e, place{next.Addr, next.Kind})
	said := b.combine(e)
	next.Sources, next.Seen, next.Confidence = said.sources, said.seen, said.confidence
	switch {
	case said.mark == Critical:
		next.State, next.Why = Out, "critical by "+said.marker
	case said.mark == Maintenance:
		next.State, next.Why = Draining, "maintenance by "+said.marker
	case b.suspect(now, e):
		next.State, next.Why = Suspect, "its sources are silent and it refuses connections"
	case said.confidence != Confirmed:
		next.Why = said.confidence.String() + ": " + b.whyHeld(e)
	}
	if overridden && over.Hold && next.State == In {
		next.State, next.Why = Draining, over.Why
	}
	b.history(now, e, next.State, moved)
	if e.known && e.told.Kind != next.Kind { // in another role it has nothing of what it kept
		e.turned = now
		if !over.Started.IsZero() {
			e.turned = over.Started
		}
	}
	next.Started = e.startOf(said)
	if rival := b.rival(e); rival != nil && next.State != Out {
		next.State, next.Why = Gone, "another id has come at its address: "+rival.id
	}
	b.tell(e, next)
}

// unlist takes an engine that no source lists any more off the book.
func (b *Book) unlist(e *engine) {
	b.place(e, place{})
	delete(b.engines, e.id)
	if e.known {
		e.told.State, e.told.Why = Gone, "listed no more"
		b.changes = append(b.changes, e.told)
	}
}

// rank finds the record that speaks for an engine.
func (b *Book) rank(e *engine) {
	var src Source
	e.best = nil
	for s, r := range e.records {
		if e.best == nil || ahead(r, e.best, s, src) {
			e.best, src = r, s
		}
	}
	if rank := [2]uint64{e.best.Registered, e.best.Index}; e.rank != rank {
		e.rank = rank
		b.touchRivals(e, e.at)
	}
}

// combined is what all sources together say of an engine.
type combined struct {
	mark       Mark
	marker     string    // the source of the mark
	born       time.Time // since when the source that listed it first has listed it
	started    time.Time // its own word of its last start
	seen       time.Time
	sources    []string
	confidence Confidence
}

// combine adds up what the sources of an engine say.
func (b *Book) combine(e *engine) combined {
	said := combined{mark: Clear, confidence: Restored}
	for i, s := range sortedSources(e.records) {
		r := e.records[s]
		if r.Mark > said.mark {
			said.mark, said.marker = r.Mark, s.String()
		}
		if i == 0 || r.born.Before(said.born) { // who has listed it longest knows best
			said.born = r.born
		}
		if r.Started.After(said.started) {
			said.started = r.Started
		}
		said.sources = append(said.sources, s.String())
		if r.seen.After(said.seen) {
			said.seen = r.seen
		}
		said.confidence = min(said.confidence, b.confidence(s, r))
	}
	return said
}

// startOf returns when an engine last started. Its own word comes before any guess.
func (e *engine) startOf(said combined) time.Time {
	at := said.born
	if e.restart.After(at) {
		at = e.restart
	}
	if !said.started.IsZero() {
		at = said.started
	}
	if e.turned.After(at) {
		at = e.turned
	}
	return at
}

func sortedSources(records map[Source]*record) []Source {
	list := make([]Source, 0, len(records))
	for s := range records {
		list = append(list, s)
	}
	slices.SortFunc(list, func(x, y Source) int {
		return cmp.Or(cmp.Compare(x.Origin, y.Origin), cmp.Compare(x.Name, y.Name))
	})
	return list
}

func (b *Book) confidence(s Source, r *record) Confidence {
	switch {
	case r.restored:
		return Restored
	case !r.lost.IsZero():
		return Unlisted
	case r.unread || b.sources[s].doubt != Believed:
		return Held
	}
	return Confirmed
}

func (b *Book) whyHeld(e *engine) string {
	for _, s := range sortedSources(e.records) {
		if d := b.sources[s].doubt; d != Believed {
			return s.String() + ": " + string(d)
		}
	}
	return "its latest entry is missing or made no sense"
}

// suspect tells whether an engine is taken out on checks alone: every source of it
// has been in doubt for longer than the hold, it refuses connections, and another
// of its kind answers, so that nobody's silence ever empties the roster.
func (b *Book) suspect(now time.Time, e *engine) bool {
	if e.refused < refusedLeast || !b.doubted(e) || !b.othersAnswer(now, e) {
		return false
	}
	for s := range e.records {
		if now.Sub(b.sources[s].since) < b.policy.Hold {
			return false
		}
	}
	return true
}

// history tells a flap from a restart as an engine leaves Out or Suspect: it has
// restarted if a connection was refused meanwhile, or if it was away for long and
// no check ever reached it. Another address is another process.
func (b *Book) history(now time.Time, e *engine, next State, moved bool) {
	was := e.told.State
	away := func(s State) bool { return s == Out || s == Suspect }
	switch {
	case !e.known:
	case moved:
		e.restart = now
		e.alive, e.refusal, e.refused, e.unheard = time.Time{}, time.Time{}, 0, 0
	case away(was) && !away(next):
		refused := !e.refusal.Before(e.marked)
		if refused || !e.survived(e.marked) && now.Sub(e.marked) >= b.policy.Flap {
			e.restart = now
		}
	}
	if away(next) && (!e.known || !away(was)) {
		e.marked = now
		if e.refused > 0 { // it began before the mark came
			e.marked = e.refusal
		}
	}
}

// place moves an engine in the index of addresses and has those that share the old
// or the new one settled again.
func (b *Book) place(e *engine, to place) {
	if e.at == to {
		return
	}
	b.touchRivals(e, e.at)
	b.touchRivals(e, to)
	if e.at != (place{}) {
		delete(b.addrs[e.at], e.id)
		if len(b.addrs[e.at]) == 0 {
			delete(b.addrs, e.at)
		}
	}
	if e.at = to; to != (place{}) {
		if b.addrs[to] == nil {
			b.addrs[to] = map[string]*engine{}
		}
		b.addrs[to][e.id] = e
	}
}

func (b *Book) touchRivals(e *engine, p place) {
	for id := range b.addrs[p] {
		if id != e.id {
			b.touch(id)
		}
	}
}

// rival returns the engine that has come at another's address since, nil if none
// has. A dead process leaves its entry behind; the process that listens now must
// not be sent the share of two.
func (b *Book) rival(e *engine) *engine {
	var best *engine
	for _, other := range b.addrs[e.at] {
		if other == e || other.best == nil {
			continue
		}
		order := cmp.Or(cmp.Compare(other.best.Registered, e.best.Registered), cmp.Compare(other.best.Index, e.best.Index),
			cmp.Compare(other.id, e.id))
		if order > 0 && (best == nil || other.id > best.id) {
			best = other
		}
	}
	return best
}

// tell notes what the module has to know.
func (b *Book) tell(e *engine, next Engine) {
	old := e.told
	same := e.known && old.Addr == next.Addr && old.Kind == next.Kind && old.Zone == next.Zone &&
		old.Cell == next.Cell && old.State == next.State && old.Started.Equal(next.Started)
	e.told, e.known = next, true
	if !same {
		b.changes = append(b.changes, next)
	}
}
