package roster

import (
	"cmp"
	"slices"
	"time"
)

// apply makes a view the source's word. sure says that it is trusted: then who is
// missing is gone, unless too many are missing at once. A view that is taken for
// want of better removes nobody that may be alive.
func (r *Registry) apply(now time.Time, s *sourceState, v View, sure bool) {
	first := !s.observed
	s.observed = true
	listed := make(map[string]bool, len(v.Entries))
	for _, e := range v.Entries {
		listed[e.ID] = true
		r.upsert(now, s, e, first && s.atStart)
	}
	r.applyMalformedMarks(s, v)
	blind := slices.Contains(v.Malformed, "")
	var missing []string
	for id, l := range s.listings {
		l.questionedSince = time.Time{}
		if s.rebased && !listed[id] {
			l.Registered = 0 // of another time line: the next one is no news
		}
		switch {
		case listed[id]:
		case blind || slices.Contains(v.Malformed, id): // it may be one of those
			if !l.malformed {
				l.malformed = true
				r.emit(Event{Source: s.id.String(), Engine: id, Message: "its entry may be one that made no sense: held", Reason: Unreadable, Engines: 1, Warn: true})
			}
			r.markDirty(id)
		case l.missingSince.IsZero():
			missing = append(missing, id)
		}
	}
	s.rebased = false
	slices.Sort(missing)
	r.handleMissing(now, s, missing, sure)
	s.index = max(s.index, v.Index)
}

// handleMissing handles engines that are listed no more. One is gone. Many at once, with no
// mark before, are more likely a fault of the catalogue: they are held and checked.
func (r *Registry) handleMissing(now time.Time, s *sourceState, missing []string, sure bool) {
	old := func(t time.Time) bool { return now.Sub(t) > r.policy.LossWindow }
	s.losses, r.losses = slices.DeleteFunc(s.losses, old), slices.DeleteFunc(r.losses, old)
	var fresh []string
	for _, id := range missing {
		if r.heldWhenMissing(now, s, s.listings[id]) {
			fresh = append(fresh, id)
		} else {
			r.removeListing(s, id)
		}
	}
	here, all := len(s.losses)+len(s.listings), len(r.losses)+len(r.engines)
	for range fresh {
		s.losses, r.losses = append(s.losses, now), append(r.losses, now)
	}
	much := func(lost, of int, share float64) bool { return lost > 1 && float64(lost) > share*float64(of) }
	// Small services may each lose their only engine: that is seen over all of them.
	many := much(len(s.losses), here, r.policy.MaxSourceLoss) || much(len(r.losses), all, r.policy.MaxTotalLoss)
	if sure && !many {
		for _, id := range fresh {
			r.removeListing(s, id)
		}
		return
	}
	for _, id := range fresh {
		s.markMissing(now, s.listings[id])
		r.markDirty(id)
	}
	if len(fresh) > 0 {
		r.emit(Event{Source: s.id.String(), Message: "many engines lost at once without a mark: checked and held", Engines: len(fresh), Warn: true})
	}
}

// applyMalformedMarks takes the marks of entries that otherwise made no sense.
func (r *Registry) applyMalformedMarks(s *sourceState, v View) {
	for id, m := range v.MalformedMarks {
		if l := s.listings[id]; l != nil && m > l.Mark {
			l.Mark = m
			r.markDirty(id)
		}
	}
}

// applyDoubted takes from a doubted view what is safe to take: marks against engines.
func (r *Registry) applyDoubted(now time.Time, s *sourceState, v View) {
	listed := make(map[string]bool, len(v.Entries))
	for _, e := range v.Entries {
		listed[e.ID] = true
		if l := s.listings[e.ID]; l != nil && e.Mark > l.Mark {
			l.Mark = e.Mark
			r.markDirty(e.ID)
		}
	}
	r.applyMalformedMarks(s, v)
	blind := slices.Contains(v.Malformed, "")
	for id, l := range s.listings { // those it lacks are in question
		switch {
		case listed[id] || blind || slices.Contains(v.Malformed, id):
			l.questionedSince = time.Time{}
		case l.questionedSince.IsZero():
			l.questionedSince = now
		}
	}
}

// upsert takes one entry in.
func (r *Registry) upsert(now time.Time, s *sourceState, e Entry, old bool) {
	l := s.listings[e.ID]
	eng := r.engines[e.ID]
	if eng == nil {
		eng = &engine{id: e.ID, listings: map[Source]*listing{}}
		r.engines[e.ID] = eng
	}
	if l == nil {
		l = &listing{}
		if !old {
			l.firstListed = now
		}
		s.listings[e.ID] = l
		eng.listings[s.id] = l
	} else if l.Registered != 0 && e.Registered != l.Registered && !s.rebased && !eng.answeredSince(l.missingSince) {
		eng.restartedAt = now // deregistered and registered anew between two views
	}
	if !l.missingSince.IsZero() {
		s.missingCount--
	}
	l.Entry, l.lastSeen, l.missingSince, l.restored, l.malformed = e, now, time.Time{}, false, false
	r.markDirty(e.ID)
}

// removeListing takes a source's word on an engine away.
func (r *Registry) removeListing(s *sourceState, id string) {
	if l := s.listings[id]; l != nil && !l.missingSince.IsZero() {
		s.missingCount--
	}
	delete(s.listings, id)
	if e := r.engines[id]; e != nil {
		delete(e.listings, s.id)
		r.markDirty(id)
	}
}

// answeredSince tells whether checks have seen an engine through since a time: it
// answered, and refused nothing.
func (e *engine) answeredSince(since time.Time) bool {
	return !since.IsZero() && !e.answeredAt.Before(since) && e.refusedAt.Before(since)
}

// supersedes ranks two listings of one engine, or of two at one address: the catalogue
// before the file, then the later registration, then the later change.
func supersedes(x, y *listing, xs, ys Source) bool {
	return cmp.Or(
		cmp.Compare(xs.Origin, ys.Origin), cmp.Compare(x.Registered, y.Registered), cmp.Compare(x.Index, y.Index),
		cmp.Compare(ys.Name, xs.Name),
	) > 0
}

// evaluate works out what is made of one engine and notes a change.
func (r *Registry) evaluate(now time.Time, e *engine) {
	if len(e.listings) == 0 {
		r.removeEngine(e)
		return
	}
	r.selectPrimary(e)
	next := Engine{ID: e.id, Addr: e.primary.Addr, Kind: e.primary.Kind, Zone: e.primary.Zone, Cell: e.primary.Cell, ListedKind: e.primary.Kind}
	over, overridden := r.overrides[e.id]
	if over.Kind != "" {
		next.Kind = over.Kind
	}
	moved := e.isPublished && e.published.Addr != next.Addr
	r.relocate(e, location{next.Addr, next.Kind})
	said := r.merge(e)
	next.Sources, next.LastSeen, next.Confidence = said.sources, said.lastSeen, said.confidence
	switch {
	case said.mark == Critical:
		next.State, next.Why = OutOfService, "critical by "+said.markedBy
	case said.mark == Maintenance:
		next.State, next.Why = Draining, "maintenance by "+said.markedBy
	case r.isSuspect(now, e):
		next.State, next.Why = Suspect, "its sources are silent and it refuses connections"
	case said.confidence != Confirmed:
		next.Why = said.confidence.String() + ": " + r.holdReason(e)
	}
	if overridden && over.Hold && next.State == InService {
		next.State, next.Why = Draining, over.Why
	}
	r.detectRestart(now, e, next.State, moved)
	if e.isPublished && e.published.Kind != next.Kind { // in another role it has nothing of what it kept
		e.roleSince = now
		if !over.Started.IsZero() {
			e.roleSince = over.Started
		}
	}
	next.Started = e.startTime(said)
	if rival := r.rival(e); rival != nil && next.State != OutOfService {
		next.State, next.Why = Removed, "another id has come at its address: "+rival.id
	}
	r.publish(e, next)
}

// removeEngine takes an engine that no source lists any more off the registry.
func (r *Registry) removeEngine(e *engine) {
	r.relocate(e, location{})
	delete(r.engines, e.id)
	if e.isPublished {
		e.published.State, e.published.Why = Removed, "listed no more"
		r.changes = append(r.changes, e.published)
	}
}

// selectPrimary finds the listing that speaks for an engine.
func (r *Registry) selectPrimary(e *engine) {
	var src Source
	e.primary = nil
	for s, l := range e.listings {
		if e.primary == nil || supersedes(l, e.primary, s, src) {
			e.primary, src = l, s
		}
	}
	if rank := [2]uint64{e.primary.Registered, e.primary.Index}; e.primaryRank != rank {
		e.primaryRank = rank
		r.markRivalsDirty(e, e.location)
	}
}

// mergedListings is what all sources together say of an engine.
type mergedListings struct {
	mark          Mark
	markedBy      string    // the source of the mark
	firstListed   time.Time // since when the source that listed it first has listed it
	reportedStart time.Time // its own word of its last start
	lastSeen      time.Time
	sources       []string
	confidence    Confidence
}

// merge adds up what the sources of an engine say.
func (r *Registry) merge(e *engine) mergedListings {
	said := mergedListings{mark: Clear, confidence: Restored}
	for i, s := range sortedSources(e.listings) {
		l := e.listings[s]
		if l.Mark > said.mark {
			said.mark, said.markedBy = l.Mark, s.String()
		}
		if i == 0 || l.firstListed.Before(said.firstListed) { // who has listed it longest knows best
			said.firstListed = l.firstListed
		}
		if l.Started.After(said.reportedStart) {
			said.reportedStart = l.Started
		}
		said.sources = append(said.sources, s.String())
		if l.lastSeen.After(said.lastSeen) {
			said.lastSeen = l.lastSeen
		}
		said.confidence = min(said.confidence, r.confidence(s, l))
	}
	return said
}

// startTime returns when an engine last started. Its own word comes before any guess.
func (e *engine) startTime(said mergedListings) time.Time {
	at := said.firstListed
	if e.restartedAt.After(at) {
		at = e.restartedAt
	}
	if !said.reportedStart.IsZero() {
		at = said.reportedStart
	}
	if e.roleSince.After(at) {
		at = e.roleSince
	}
	return at
}

func sortedSources(listings map[Source]*listing) []Source {
	list := make([]Source, 0, len(listings))
	for s := range listings {
		list = append(list, s)
	}
	slices.SortFunc(list, func(x, y Source) int {
		return cmp.Or(cmp.Compare(x.Origin, y.Origin), cmp.Compare(x.Name, y.Name))
	})
	return list
}

func (r *Registry) confidence(s Source, l *listing) Confidence {
	switch {
	case l.restored:
		return Restored
	case !l.missingSince.IsZero():
		return Unlisted
	case l.malformed || r.sources[s].doubt != Trusted:
		return Held
	}
	return Confirmed
}

func (r *Registry) holdReason(e *engine) string {
	for _, s := range sortedSources(e.listings) {
		if d := r.sources[s].doubt; d != Trusted {
			return s.String() + ": " + string(d)
		}
	}
	return "its latest entry is missing or made no sense"
}

// isSuspect tells whether an engine is taken out on checks alone: every source of it
// has been in doubt for longer than the hold, it refuses connections, and another
// of its kind answers, so that nobody's silence ever empties the roster.
func (r *Registry) isSuspect(now time.Time, e *engine) bool {
	if e.refusals < minRefusals || !r.allSourcesDoubted(e) || !r.anotherAnswers(now, e) {
		return false
	}
	for s := range e.listings {
		if now.Sub(r.sources[s].doubtedSince) < r.policy.HoldTime {
			return false
		}
	}
	return true
}

// detectRestart tells a flap from a restart as an engine leaves Out or Suspect: it has
// restarted if a connection was refused meanwhile, or if it was away for long and
// no check ever reached it. Another address is another process.
func (r *Registry) detectRestart(now time.Time, e *engine, next State, moved bool) {
	was := e.published.State
	away := func(s State) bool { return s == OutOfService || s == Suspect }
	switch {
	case !e.isPublished:
	case moved:
		e.restartedAt = now
		e.answeredAt, e.refusedAt, e.refusals, e.unanswered = time.Time{}, time.Time{}, 0, 0
	case away(was) && !away(next):
		refused := !e.refusedAt.Before(e.downSince)
		if refused || !e.answeredSince(e.downSince) && now.Sub(e.downSince) >= r.policy.FlapTime {
			e.restartedAt = now
		}
	}
	if away(next) && (!e.isPublished || !away(was)) {
		e.downSince = now
		if e.refusals > 0 { // it began before the mark came
			e.downSince = e.refusedAt
		}
	}
}

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

// publish notes what the module has to know.
func (r *Registry) publish(e *engine, next Engine) {
	old := e.published
	same := e.isPublished && old.Addr == next.Addr && old.Kind == next.Kind && old.Zone == next.Zone &&
		old.Cell == next.Cell && old.State == next.State && old.Started.Equal(next.Started)
	e.published, e.isPublished = next, true
	if !same {
		r.changes = append(r.changes, next)
	}
}
