package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// AddSource adds a source before its first view. atStart is whether the gateway has just started. If so,
// engines in the first view may have been running for a long time; otherwise they count as started when they
// are first listed.
func (r *Registry) AddSource(src Source, atStart bool) {
	if r.sources[src] == nil {
		r.sources[src] = &sourceState{id: src, addedAtStart: atStart, listings: map[string]*listing{}}
	}
}

// Observe applies a view, or the safe part of an untrusted view, and returns the reason for not trusting it.
func (r *Registry) Observe(now time.Time, src Source, v View) Reason {
	r.AddSource(src, true)
	s := r.sources[src]
	reason := v.distrustReason(r.policy.MaxAge, s.index)
	switch {
	case reason == Trusted:
		r.apply(now, s, v, true)
		r.markTrusted(now, s)
	case len(s.listings) == 0: // without any listing, an untrusted view is better than none
		r.apply(now, s, v, false)
		r.markUntrusted(now, s, reason)
	default:
		r.deferView(now, s, v, reason)
	}
	r.evaluateDirty(now)
	return reason
}

// deferView stores an untrusted view, which Tick applies if no trusted view is observed earlier.
func (r *Registry) deferView(now time.Time, s *sourceState, v View, reason Reason) {
	r.markUntrusted(now, s, reason)
	if s.deferredView == nil {
		s.deferredSince = now
	}
	s.deferredView = &v
	s.historyChanged = s.historyChanged || reason == IndexRegressed
	r.applyUntrusted(now, s, v)
}

// distrustReason derives from a view's metadata and the last index of its source whether to trust the view.
func (v View) distrustReason(maxAge time.Duration, lastIndex uint64) Reason {
	switch {
	case v.Leaderless:
		return NoLeader
	case v.Age > maxAge:
		return Stale
	case v.Index < lastIndex:
		return IndexRegressed
	}
	return Trusted
}

// Confirm records that a source has returned the same view again. It returns false if the view must be passed
// to Observe instead, because the source is unknown, untrusted or has missing listings.
func (r *Registry) Confirm(now time.Time, src Source) bool {
	s := r.sources[src]
	if s == nil || s.distrust != Trusted || s.missingCount > 0 {
		return false
	}
	s.lastTrusted = now
	return true
}

// KnownSources returns all sources in the registry, sorted by origin and name.
func (r *Registry) KnownSources() []Source {
	return slices.SortedFunc(maps.Keys(r.sources), compareSources)
}

func compareSources(x, y Source) int {
	return cmp.Or(cmp.Compare(x.Origin, y.Origin), cmp.Compare(x.Name, y.Name))
}

// ObserveFailure records that a source could not be read. Its last good view is retained: a failure never
// removes an engine.
func (r *Registry) ObserveFailure(now time.Time, src Source, reason Reason) {
	r.AddSource(src, true)
	r.markUntrusted(now, r.sources[src], reason)
	r.evaluateDirty(now)
}

// ResetIndex prepares a source for views of another catalog, whose indexes can't be compared with those of
// the previous catalog.
func (r *Registry) ResetIndex(src Source) {
	if s := r.sources[src]; s != nil {
		s.index, s.historyChanged, s.deferredView = 0, true, nil
		for _, l := range s.listings {
			l.raised.index = 0
		}
	}
}

// RemoveSource removes a source that an operator has withdrawn, for example by removing a tag. Engines that
// no other source lists are removed immediately.
func (r *Registry) RemoveSource(now time.Time, src Source, cause string) {
	s := r.sources[src]
	if s == nil {
		return
	}
	if n := len(s.listings); n > 0 {
		r.emit(Event{Source: src.String(), Message: "source removed", Cause: cause, Engines: n})
	}
	for id := range s.listings {
		r.removeListing(s, id)
	}
	delete(r.sources, src)
	r.evaluateDirty(now)
}

// MarkSourceMissing records that a source is missing from the catalog although no operator has withdrawn it.
// Its engines are retained and probed, as after a mass loss.
func (r *Registry) MarkSourceMissing(now time.Time, src Source) {
	s := r.sources[src]
	if s == nil {
		return
	}
	retained := 0
	for id, l := range s.listings {
		if r.retainedWhenMissing(now, s, l) {
			retained++
			s.markMissing(now, l)
			l.lostSince = now
			r.markDirty(id)
		} else {
			r.removeListing(s, id)
		}
	}
	if s.missing = true; len(s.listings) == 0 {
		delete(r.sources, src)
	}
	if retained > 0 {
		r.emit(Event{Source: src.String(), Message: "source vanished, holding its engines", Engines: retained, Warn: true})
	}
	r.evaluateDirty(now)
}

// Tick applies deferred views and held marks whose time is over, and removes engines whose loss is confirmed
// or that have been unlisted for Policy.UnlistedTTL.
func (r *Registry) Tick(now time.Time) {
	for _, s := range r.sources {
		r.removeAbsent(now, s)
		if s.deferredView != nil && now.Sub(s.deferredSince) >= r.policy.HoldTime {
			r.applyDeferred(now, s)
		}
		if s.missingCount > 0 {
			r.expireMissing(now, s)
		}
		r.releaseMarks(now, s)
		if s.missing && len(s.listings) == 0 {
			delete(r.sources, s.id)
		}
		if s.distrust == Trusted || now.Sub(s.untrustedSince) < r.policy.HoldTime {
			continue
		}
		for id := range s.listings {
			if e := r.engines[id]; e.refusals >= minRefusals || e.published.State == Suspect {
				r.markDirty(id)
			}
		}
	}
	r.evaluateDirty(now)
}

// removeAbsent removes the engines that views with a lower index have lacked for Policy.ConfirmTime, except
// after a reset of the catalog. The views are either outdated or of another history of the catalog; only in
// this respect they count before Policy.HoldTime, as they only take work away.
func (r *Registry) removeAbsent(now time.Time, s *sourceState) {
	if s.deferredView == nil || s.distrust != IndexRegressed || r.isCatalogReset(s, *s.deferredView) {
		return
	}
	for id, l := range s.listings {
		if !l.absentSince.IsZero() && now.Sub(l.absentSince) >= r.policy.ConfirmTime {
			r.emit(Event{Source: s.id.String(), Engine: id, Message: "loss confirmed, engine removed", Engines: 1, Warn: true})
			r.removeListing(s, id)
		}
	}
}

// applyDeferred applies a deferred view because no trusted view was observed within Policy.HoldTime. If its
// index had regressed, the view counts as the new state of the catalog and the source as trusted. Other
// reasons for not trusting the source remain.
func (r *Registry) applyDeferred(now time.Time, s *sourceState) {
	v := *s.deferredView
	isReset := r.isCatalogReset(s, v)
	r.emit(Event{Source: s.id.String(), Message: "hold expired, doubted view applied", Reason: s.distrust, Engines: len(v.Entries), Warn: true})
	r.apply(now, s, v, false)
	s.index, s.deferredView = v.Index, nil
	if s.distrust == IndexRegressed {
		for _, l := range s.listings {
			l.catalogReset = l.catalogReset || isReset && !l.missingSince.IsZero()
		}
		r.markTrusted(now, s)
	}
}

func (r *Registry) markUntrusted(now time.Time, s *sourceState, reason Reason) {
	if s.distrust == Trusted {
		s.untrustedSince = now
	}
	if s.distrust != reason {
		r.emit(Event{Source: s.id.String(), Message: "source doubted, holding last good view", Reason: reason, Engines: len(s.listings), Warn: true})
		s.distrust = reason
		for id := range s.listings {
			r.markDirty(id)
		}
	}
}

func (r *Registry) markTrusted(now time.Time, s *sourceState) {
	if s.distrust != Trusted {
		r.emit(Event{Source: s.id.String(), Message: "source trusted again", Reason: s.distrust, Engines: len(s.listings)})
		for id := range s.listings {
			r.markDirty(id)
		}
	}
	s.distrust, s.untrustedSince, s.lastTrusted, s.deferredView = Trusted, time.Time{}, now, nil
}

// ReplaceSource applies a view that an operator has written, such as the file. It is always trusted, and all
// engines missing from it are removed, without the checks for a mass loss.
func (r *Registry) ReplaceSource(now time.Time, src Source, v View) {
	r.AddSource(src, true)
	s := r.sources[src]
	listed := map[string]bool{}
	for _, e := range v.Entries {
		listed[e.ID] = true
	}
	for id := range s.listings {
		if !listed[id] {
			r.removeListing(s, id)
		}
	}
	r.apply(now, s, v, true)
	r.markTrusted(now, s)
	r.evaluateDirty(now)
}
