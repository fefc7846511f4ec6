package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// answeredSince reports whether an engine has answered a probe since the given time without refusing any
// connection, which proves that it has not restarted. It returns false for the zero time.
func (e *engine) answeredSince(since time.Time) bool {
	return !since.IsZero() && !e.answeredAt.Before(since) && e.refusedAt.Before(since)
}

// supersedes reports whether listing x takes precedence over y. The order is the catalog over the file, then
// the higher registration index, then the higher index of the last change.
func supersedes(x, y *listing, xs, ys Source) bool {
	return cmp.Or(
		cmp.Compare(xs.Origin, ys.Origin), cmp.Compare(x.Registered, y.Registered), cmp.Compare(x.Index, y.Index),
		cmp.Compare(ys.Name, xs.Name),
	) > 0
}

// evaluate derives an engine's state from its listings, probes and override, and publishes it if it changed.
func (r *Registry) evaluate(now time.Time, e *engine) {
	if len(e.listings) == 0 {
		r.removeEngine(e)
		return
	}
	r.selectPrimary(e)
	next := Engine{ID: e.id, Addr: e.primary.Addr, Kind: e.primary.Kind, Zone: e.primary.Zone, Cell: e.primary.Cell, ListedKind: e.primary.Kind}
	override, overridden := r.overrides[e.id]
	if override.Kind != "" {
		next.Kind = override.Kind
	}
	moved := e.isPublished && e.published.Addr != next.Addr
	r.relocate(e, location{next.Addr, next.Kind})
	merged := r.merge(e)
	next.Sources, next.LastSeen, next.Confidence = merged.sources, merged.lastSeen, merged.confidence
	next.State, next.StateReason = r.stateOf(now, e, merged)
	if overridden && override.Drain && next.State == InService {
		next.State, next.StateReason = Draining, override.StateReason
	}
	r.detectRestart(now, e, next.State, moved)
	if e.isPublished && e.published.Kind != next.Kind { // after a role change its prefix cache is cold
		e.roleSince = now
		if !override.Started.IsZero() {
			e.roleSince = override.Started
		}
	}
	next.Started = e.startTime(merged)
	if newer := r.newerAtSameLocation(e); newer != nil && next.State != OutOfService {
		next.State, next.StateReason = Removed, "another id has come at its address: "+newer.id
	}
	r.publish(e, next)
}

// stateOf derives an engine's state from its sources and probes, with the reason if it is not in service or
// its entry is not confirmed.
func (r *Registry) stateOf(now time.Time, e *engine, merged mergedListings) (State, string) {
	switch {
	case merged.mark == Critical:
		return OutOfService, "critical by " + merged.markedBy
	case merged.mark == Maintenance:
		return Draining, "maintenance by " + merged.markedBy
	case r.isSuspect(now, e):
		return Suspect, "its sources are silent and it refuses connections"
	case merged.confidence != Confirmed:
		return InService, merged.confidence.String() + ": " + r.retentionReason(e)
	}
	return InService, ""
}

// removeEngine removes an engine that no source lists any longer.
func (r *Registry) removeEngine(e *engine) {
	r.relocate(e, location{})
	delete(r.engines, e.id)
	if e.isPublished {
		e.published.State, e.published.StateReason = Removed, "listed no more"
		r.changes = append(r.changes, e.published)
	}
}

// selectPrimary selects the listing that takes precedence over the engine's other listings.
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
		r.markLocationDirty(e, e.location)
	}
}

// mergedListings combines all listings of an engine.
type mergedListings struct {
	mark          Mark
	markedBy      string    // the source of the most severe mark
	firstListed   time.Time // the earliest over all sources
	reportedStart time.Time // the latest start time that the engine reports
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
		if i == 0 || l.firstListed.Before(merged.firstListed) { // the earliest listing is closest to the start
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

// startTime returns when an engine last started or changed its role. A start time that the engine reports
// takes precedence over an inferred one.
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

// confidence ranks the evidence that one listing provides.
func (r *Registry) confidence(s Source, l *listing) Confidence {
	switch {
	case l.restored:
		return Restored
	case !l.missingSince.IsZero():
		return Unlisted
	case l.malformed || r.sources[s].distrust != Trusted:
		return Retained
	}
	return Confirmed
}

// retentionReason returns why an engine's entry is not confirmed: the reason of its first untrusted source.
func (r *Registry) retentionReason(e *engine) string {
	for _, s := range sortedSources(e.listings) {
		if d := r.sources[s].distrust; d != Trusted {
			return s.String() + ": " + string(d)
		}
	}
	return "its latest entry is missing or made no sense"
}

// isSuspect reports whether probes alone take an engine out of service: none of its sources has been trusted
// for Policy.HoldTime, it refuses connections, and another engine of its kind answers probes. The last
// condition ensures that a failure of all sources never empties the registry.
func (r *Registry) isSuspect(now time.Time, e *engine) bool {
	if e.refusals < minRefusals || !r.allSourcesUntrusted(e) || !r.hasResponsivePeer(now, e) {
		return false
	}
	for s := range e.listings {
		if now.Sub(r.sources[s].untrustedSince) < r.policy.HoldTime {
			return false
		}
	}
	return true
}

// detectRestart distinguishes a flapping health check from a restart when an engine recovers from
// OutOfService or Suspect. The engine has restarted if it refused a connection while it was down, or if it
// was down for at least Policy.FlapTime and answered no probe. A changed address means another process.
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
		if e.refusals > 0 { // it went down before its mark was observed
			e.downSince = e.refusedAt
		}
	}
}

// publish adds an engine to the changes if any field that the core uses differs.
func (r *Registry) publish(e *engine, next Engine) {
	old := e.published
	same := e.isPublished && old.Addr == next.Addr && old.Kind == next.Kind && old.Zone == next.Zone &&
		old.Cell == next.Cell && old.State == next.State && old.Started.Equal(next.Started)
	e.published, e.isPublished = next, true
	if !same {
		r.changes = append(r.changes, next)
	}
}

// evaluateDirty evaluates all engines that are marked dirty, including those marked during an evaluation.
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
