package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

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

// evaluateDirty works out anew what is made of all engines that something was said of.
func (r *Registry) evaluateDirty(now time.Time) {
	for len(r.dirty) > 0 {
		batch := slices.Sorted(maps.Keys(r.dirty))
		for _, id := range batch {
			e := r.dirty[id]
			delete(r.dirty, id)
			r.evaluate(now, e)
		}
	}
}
