package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// AddSource adds a source before its first view. atStart says that the gateway has just
// started: engines on the first list may have run for long. Those on the first list of a
// source added later count as started when they were first seen.
func (r *Registry) AddSource(src Source, atStart bool) {
	if r.sources[src] == nil {
		r.sources[src] = &sourceState{id: src, atStart: atStart, listings: map[string]*listing{}}
	}
}

// Observe applies a view, or what is safe to apply of a doubted one, and returns the reason
// to doubt it.
func (r *Registry) Observe(now time.Time, src Source, v View) Reason {
	r.AddSource(src, true)
	s := r.sources[src]
	reason := v.reasonToDoubt(r.policy.MaxAge, s.index)
	switch {
	case reason == Trusted:
		r.apply(now, s, v, true)
		r.markTrusted(now, s)
	case len(s.listings) == 0: // with nothing known, a doubted view is the best there is
		r.apply(now, s, v, false)
		r.markDoubted(now, s, reason)
	default:
		r.holdBack(now, s, v, reason)
	}
	r.evaluateDirty(now)
	return reason
}

// holdBack keeps a doubted view to be applied by Tick if no trusted one comes first.
func (r *Registry) holdBack(now time.Time, s *sourceState, v View, reason Reason) {
	r.markDoubted(now, s, reason)
	if s.doubtedView == nil {
		s.doubtedViewSince = now
	}
	s.doubtedView = &v
	s.rebased = s.rebased || reason == IndexRegressed
	r.applyDoubted(now, s, v)
}

// reasonToDoubt judges a view by its metadata, against the last index of its source.
func (v View) reasonToDoubt(maxAge time.Duration, lastIndex uint64) Reason {
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

// Confirm records that a source has repeated its last view and reports whether that
// suffices: a view of a doubted source has to be observed in full.
func (r *Registry) Confirm(now time.Time, src Source) bool {
	s := r.sources[src]
	if s == nil || s.doubt != Trusted || s.missingCount > 0 {
		return false
	}
	s.lastTrusted = now
	return true
}

// KnownSources returns the sources that have listings or were added, in order.
func (r *Registry) KnownSources() []Source {
	return slices.SortedFunc(maps.Keys(r.sources), compareSources)
}

func compareSources(x, y Source) int {
	return cmp.Or(cmp.Compare(x.Origin, y.Origin), cmp.Compare(x.Name, y.Name))
}

// ObserveFailure records that a source could not be read. Its last good view is held;
// nothing is ever removed because of a failure.
func (r *Registry) ObserveFailure(now time.Time, src Source, reason Reason) {
	r.AddSource(src, true)
	r.markDoubted(now, r.sources[src], reason)
	r.evaluateDirty(now)
}

// ResetIndex prepares a source for views of another catalog, whose index and registrations
// can't be compared with those of the present one.
func (r *Registry) ResetIndex(src Source) {
	if s := r.sources[src]; s != nil {
		s.index, s.rebased, s.doubtedView = 0, true, nil
	}
}

// RemoveSource removes a source that an operator has withdrawn, such as by taking a tag
// away. Engines that no other source lists are removed at once.
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

// MarkSourceMissing handles a source that is missing from the catalog though no operator has
// withdrawn it: its engines are held and probed, as after a mass loss.
func (r *Registry) MarkSourceMissing(now time.Time, src Source) {
	s := r.sources[src]
	if s == nil {
		return
	}
	held := 0
	for id, l := range s.listings {
		if r.heldWhenMissing(now, s, l) {
			held++
			s.markMissing(now, l)
			r.markDirty(id)
		} else {
			r.removeListing(s, id)
		}
	}
	if s.vanished = true; len(s.listings) == 0 {
		delete(r.sources, src)
	}
	if held > 0 {
		r.emit(Event{Source: src.String(), Message: "source vanished, holding its engines", Engines: held, Warn: true})
	}
	r.evaluateDirty(now)
}

// Tick applies doubted views whose hold has expired and removes engines whose time as
// unlisted has expired.
func (r *Registry) Tick(now time.Time) {
	for _, s := range r.sources {
		if s.doubtedView != nil && now.Sub(s.doubtedViewSince) >= r.policy.HoldTime {
			r.applyHeldBack(now, s)
		}
		if s.missingCount > 0 {
			r.expireMissing(now, s)
		}
		if s.vanished && len(s.listings) == 0 {
			delete(r.sources, s.id)
		}
		if s.doubt == Trusted || now.Sub(s.doubtedSince) < r.policy.HoldTime {
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

// applyHeldBack applies a doubted view for want of a trusted one. A regressed index is then
// the new state of the catalog, and trusted; other doubts remain.
func (r *Registry) applyHeldBack(now time.Time, s *sourceState) {
	v := *s.doubtedView
	r.emit(Event{Source: s.id.String(), Message: "hold expired, doubted view applied", Reason: s.doubt, Engines: len(v.Entries), Warn: true})
	r.apply(now, s, v, false)
	s.index, s.doubtedView = v.Index, nil
	if s.doubt == IndexRegressed {
		r.markTrusted(now, s)
	}
}

func (r *Registry) markDoubted(now time.Time, s *sourceState, reason Reason) {
	if s.doubt == Trusted {
		s.doubtedSince = now
	}
	if s.doubt != reason {
		r.emit(Event{Source: s.id.String(), Message: "source doubted, holding last good view", Reason: reason, Engines: len(s.listings), Warn: true})
		s.doubt = reason
		for id := range s.listings {
			r.markDirty(id)
		}
	}
}

func (r *Registry) markTrusted(now time.Time, s *sourceState) {
	if s.doubt != Trusted {
		r.emit(Event{Source: s.id.String(), Message: "source trusted again", Reason: s.doubt, Engines: len(s.listings)})
		for id := range s.listings {
			r.markDirty(id)
		}
	}
	s.doubt, s.doubtedSince, s.lastTrusted, s.doubtedView = Trusted, time.Time{}, now, nil
}

// ReplaceSource applies a view that an operator has written, such as the file's: it is
// always trusted, and engines missing from it are removed whatever their number.
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
