package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// AddSource makes a source known before it speaks. atStart says that the gateway has
// just begun: engines on its first list may have run for long. Those on the first
// list of a source that joins later count as started when they were seen.
func (r *Registry) AddSource(src Source, atStart bool) {
	if r.sources[src] == nil {
		r.sources[src] = &sourceState{id: src, atStart: atStart, listings: map[string]*listing{}}
	}
}

// Observe takes a view in and returns why it is doubted, Trusted if it is not.
func (r *Registry) Observe(now time.Time, src Source, v View) Reason {
	r.AddSource(src, true)
	s := r.sources[src]
	reason := r.reasonToDoubt(s, v)
	if reason != Trusted && len(s.listings) > 0 {
		r.markDoubted(now, s, reason)
		if s.doubtedView == nil {
			s.doubtedViewSince = now
		}
		s.doubtedView = &v
		s.rebased = s.rebased || reason == IndexRegressed
		r.applyDoubted(now, s, v)
	} else {
		// With nothing known, a doubtful view is the best there is.
		r.apply(now, s, v, reason == Trusted)
		if reason != Trusted {
			r.markDoubted(now, s, reason)
		} else {
			r.markTrusted(now, s)
		}
	}
	r.evaluateDirty(now)
	return reason
}

func (r *Registry) reasonToDoubt(s *sourceState, v View) Reason {
	switch {
	case v.Leaderless:
		return NoLeader
	case v.Age > r.policy.MaxAge:
		return Stale
	case v.Index < s.index:
		return IndexRegressed
	}
	return Trusted
}

// Confirm notes that a source has said again what it said last, and tells whether
// that is enough: one that is in doubt has to be observed in full.
func (r *Registry) Confirm(now time.Time, src Source) bool {
	s := r.sources[src]
	if s == nil || s.doubt != Trusted || s.missingCount > 0 {
		return false
	}
	s.lastTrusted = now
	return true
}

// KnownSources returns the sources that have something listed or are expected to.
func (r *Registry) KnownSources() []Source {
	return slices.SortedFunc(maps.Keys(r.sources), func(x, y Source) int {
		return cmp.Or(cmp.Compare(x.Origin, y.Origin), cmp.Compare(x.Name, y.Name))
	})
}

// ObserveFailure notes that a source gave nothing that could be read. What it last said is
// held; nothing is ever removed for it.
func (r *Registry) ObserveFailure(now time.Time, src Source, reason Reason) {
	r.AddSource(src, true)
	r.markDoubted(now, r.sources[src], reason)
	r.evaluateDirty(now)
}

// ResetIndex has a source go on by another catalogue: its index is no longer to be
// compared, nor are its registrations.
func (r *Registry) ResetIndex(src Source) {
	if s := r.sources[src]; s != nil {
		s.index, s.rebased, s.doubtedView = 0, true, nil
	}
}

// RemoveSource ends a source by an operator's will, such as a tag that was taken away:
// the engines that no other source lists are gone at once.
func (r *Registry) RemoveSource(now time.Time, src Source, why string) {
	s := r.sources[src]
	if s == nil {
		return
	}
	if n := len(s.listings); n > 0 {
		r.emit(Event{Source: src.String(), Message: "source withdrawn: " + why, Engines: n})
	}
	for id := range s.listings {
		r.removeListing(s, id)
	}
	delete(r.sources, src)
	r.evaluateDirty(now)
}

// SourceVanished handles a source that is not named any more though nobody took it away:
// its engines are held and checked, as after a loss of many at once.
func (r *Registry) SourceVanished(now time.Time, src Source) {
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
		r.emit(Event{Source: src.String(), Message: "source vanished; its engines are checked and held", Engines: held, Warn: true})
	}
	r.evaluateDirty(now)
}

// Tick lets time pass: a doubted view whose hold is over is taken, and an engine
// that has long been listed no more is let go.
func (r *Registry) Tick(now time.Time) {
	for _, s := range r.sources {
		if s.doubtedView != nil && now.Sub(s.doubtedViewSince) >= r.policy.HoldTime {
			v := *s.doubtedView
			r.emit(Event{Source: s.id.String(), Message: "hold over: the doubted view is taken, engines that answer are kept", Reason: s.doubt, Engines: len(v.Entries), Warn: true})
			r.apply(now, s, v, false)
			s.index, s.doubtedView = v.Index, nil
			if s.doubt == IndexRegressed {
				r.markTrusted(now, s)
			}
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

func (r *Registry) markDoubted(now time.Time, s *sourceState, reason Reason) {
	if s.doubt == Trusted {
		s.doubtedSince = now
	}
	if s.doubt != reason {
		r.emit(Event{Source: s.id.String(), Message: "source in doubt: its last good view is held", Reason: reason, Engines: len(s.listings), Warn: true})
		s.doubt = reason
		for id := range s.listings {
			r.markDirty(id)
		}
	}
}

func (r *Registry) markTrusted(now time.Time, s *sourceState) {
	if s.doubt != Trusted {
		r.emit(Event{Source: s.id.String(), Message: "source believed again", Reason: s.doubt, Engines: len(s.listings)})
		for id := range s.listings {
			r.markDirty(id)
		}
	}
	s.doubt, s.doubtedSince, s.lastTrusted, s.doubtedView = Trusted, time.Time{}, now, nil
}

// ReplaceSource takes a view in that is a person's own word, such as a file's: it is
// trusted whatever it says, and who is missing is gone.
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
