package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// answeredSince reports whether an engine answered probes since a time and refused nothing,
// which proves that it has not restarted.
func (e *engine) answeredSince(since time.Time) bool {
	return !since.IsZero() && !e.answeredAt.Before(since) && e.refusedAt.Before(since)
}

// supersedes reports whether listing x takes precedence over y: the catalog over the file,
// then the later registration, then the later change.
func supersedes(x, y *listing, xs, ys Source) bool {
	return cmp.Or(
		cmp.Compare(xs.Origin, ys.Origin), cmp.Compare(x.Registered, y.Registered), cmp.Compare(x.Index, y.Index),
		cmp.Compare(ys.Name, xs.Name),
	) > 0
}

// evaluate derives an engine's state from its listings, probes and override, and publishes a
// change.
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
	merged := r.merge(e)
	next.Sources, next.LastSeen, next.Confidence = merged.sources, merged.lastSeen, merged.confidence
	next.State, next.StateReason = r.stateOf(now, e, merged)
	if overridden && over.Drain && next.State == InService {
		next.State, next.StateReason = Draining, over.StateReason
	}
	r.detectRestart(now, e, next.State, moved)
	if e.isPublished && e.published.Kind != next.Kind { // in another role its caches are cold
		e.roleSince = now
		if !over.Started.IsZero() {
			e.roleSince = over.Started
		}
	}
	next.Started = e.startTime(merged)
	if rival := r.rival(e); rival != nil && next.State != OutOfService {
		next.State, next.StateReason = Removed, "another id has come at its address: "+rival.id
	}
	r.publish(e, next)
}

// stateOf returns an engine's state by its sources and probes, and why it is not in service or
// held.
func (r *Registry) stateOf(now time.Time, e *engine, merged mergedListings) (State, string) {
	switch {
	case merged.mark == Critical:
		return OutOfService, "critical by " + merged.markedBy
	case merged.mark == Maintenance:
		return Draining, "maintenance by " + merged.markedBy
	case r.isSuspect(now, e):
		return Suspect, "its sources are silent and it refuses connections"
	case merged.confidence != Confirmed:
		return InService, merged.confidence.String() + ": " + r.holdReason(e)
	}
	return InService, ""
}

// removeEngine removes an engine that no source lists any more.
func (r *Registry) removeEngine(e *engine) {
	r.relocate(e, location{})
	delete(r.engines, e.id)
	if e.isPublished {
		e.published.State, e.published.StateReason = Removed, "listed no more"
		r.changes = append(r.changes, e.published)
	}
}

// selectPrimary selects the listing with precedence.
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

// mergedListings is what all listings of an engine add up to.
type mergedListings struct {
	mark          Mark
	markedBy      string    // the source of the worst mark
	firstListed   time.Time // the earliest over all sources
	reportedStart time.Time // the latest start that it reports
	lastSeen      time.Time
	sources       []string
	confidence    Confidence
}

// merge merges the listings of an engine.
func (r *Registry) merge(e *engine) mergedListings {
	merged := mergedListings{mark: Clear, confidence: Restored}
	for i, s := range sortedSources(e.listings) {
		l := e.listings[s]
		if l.Mark > merged.mark {
			merged.mark, merged.markedBy = l.Mark, s.String()
		}
		if i == 0 || l.firstListed.Before(merged.firstListed) { // the source that has listed it longest knows best
			merged.firstListed = l.firstListed
		}
		if l.Started.After(merged.reportedStart) {
			merged.reportedStart = l.Started
		}
		merged.sources = append(merged.sources, s.String())
		if l.lastSeen.After(merged.lastSeen) {
			merged.lastSeen = l.lastSeen
		}
		merged.confidence = min(merged.confidence, r.confidence(s, l))
	}
	return merged
}

// startTime returns when an engine last started. What it reports takes precedence over what
// is inferred.
func (e *engine) startTime(merged mergedListings) time.Time {
	at := merged.firstListed
	if e.restartedAt.After(at) {
		at = e.restartedAt
	}
	if !merged.reportedStart.IsZero() {
		at = merged.reportedStart
	}
	if e.roleSince.After(at) {
		at = e.roleSince
	}
	return at
}

func sortedSources(listings map[Source]*listing) []Source {
	return slices.SortedFunc(maps.Keys(listings), compareSources)
}

// confidence ranks the evidence that one listing gives.
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

// holdReason words why an engine is held: the doubt of its first doubted source.
func (r *Registry) holdReason(e *engine) string {
	for _, s := range sortedSources(e.listings) {
		if d := r.sources[s].doubt; d != Trusted {
			return s.String() + ": " + string(d)
		}
	}
	return "its latest entry is missing or made no sense"
}

// isSuspect reports whether an engine is taken out of service by probes alone: all its
// sources have been doubted for longer than the hold, it refuses connections, and another
// engine of its kind answers, so that a failure of all sources never empties the registry.
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

// detectRestart tells a flap of a health check from a restart when an engine comes back from
// OutOfService or Suspect: it has restarted if a connection was refused meanwhile, or if it
// was down for long and no probe was answered. Another address is another process.
func (r *Registry) detectRestart(now time.Time, e *engine, next State, moved bool) {
	previous := e.published.State
	isDown := func(s State) bool { return s == OutOfService || s == Suspect }
	switch {
	case !e.isPublished:
	case moved:
		e.restartedAt = now
		e.answeredAt, e.refusedAt, e.refusals, e.unanswered = time.Time{}, time.Time{}, 0, 0
	case isDown(previous) && !isDown(next):
		refused := !e.refusedAt.Before(e.downSince)
		if refused || !e.answeredSince(e.downSince) && now.Sub(e.downSince) >= r.policy.FlapTime {
			e.restartedAt = now
		}
	}
	if isDown(next) && (!e.isPublished || !isDown(previous)) {
		e.downSince = now
		if e.refusals > 0 { // it went down before the mark was seen
			e.downSince = e.refusedAt
		}
	}
}

// publish adds an engine to the changes if anything that the core gets to know differs.
func (r *Registry) publish(e *engine, next Engine) {
	old := e.published
	same := e.isPublished && old.Addr == next.Addr && old.Kind == next.Kind && old.Zone == next.Zone &&
		old.Cell == next.Cell && old.State == next.State && old.Started.Equal(next.Started)
	e.published, e.isPublished = next, true
	if !same {
		r.changes = append(r.changes, next)
	}
}

// evaluateDirty evaluates all engines that are marked dirty, and those that this marks.
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
