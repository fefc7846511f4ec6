package roster

import (
	"slices"
	"time"
)

// retainedWhenMissing reports whether a listing may be retained when it is missing from a view. A marked
// listing may not, because its engine was expected to disappear, nor may one that was last confirmed longer
// than Policy.ConfirmationTTL ago.
func (r *Registry) retainedWhenMissing(now time.Time, s *sourceState, l *listing) bool {
	return l.Mark == Clear && now.Sub(s.lastSeen(l)) <= r.policy.ConfirmationTTL
}

// markMissing records that a retained listing is no longer listed by its source.
func (s *sourceState) markMissing(now time.Time, l *listing) {
	if l.missingSince.IsZero() {
		l.missingSince = now
		s.missingCount++
	}
}

// expireMissing removes the listings that trusted views have lacked for Policy.ConfirmTime, and those that
// have been missing for Policy.UnlistedTTL.
func (r *Registry) expireMissing(now time.Time, s *sourceState) {
	for id, l := range s.listings {
		switch {
		case l.missingSince.IsZero():
		case s.distrust == Trusted && !l.lostSince.IsZero() && now.Sub(l.lostSince) >= r.policy.ConfirmTime:
			r.emit(Event{Source: s.id.String(), Engine: id, Message: "loss confirmed, engine removed", Engines: 1, Warn: true})
			r.removeListing(s, id)
		case now.Sub(l.missingSince) >= r.policy.UnlistedTTL:
			r.emit(Event{Source: s.id.String(), Engine: id, Message: "unlisted engine expired", Engines: 1, Warn: true})
			r.removeListing(s, id)
		}
	}
}

// apply replaces a source's listings by a view. Engines missing from a trusted view are removed; in a mass
// loss, once it is confirmed. Engines missing from an untrusted view are retained and probed, except those
// that retainedWhenMissing excludes.
func (r *Registry) apply(now time.Time, s *sourceState, v View, trusted bool) {
	isFirstView := !s.observed
	s.observed = true
	listed := make(map[string]bool, len(v.Entries))
	for _, e := range v.Entries {
		listed[e.ID] = true
		r.holdMark(now, s, &e, v.Index, trusted)
		r.upsert(now, s, e, isFirstView && s.addedAtStart)
	}
	r.applyMalformedMarks(s, v)
	hasUnidentified := slices.Contains(v.Malformed, "")
	var missing []string
	for id, l := range s.listings {
		l.absentSince = time.Time{}
		if s.historyChanged && !listed[id] {
			l.Registered = 0 // index of another catalog history: a different one later does not prove a restart
		}
		switch {
		case listed[id]:
		case hasUnidentified || slices.Contains(v.Malformed, id): // it may be one of the malformed entries
			if !l.malformed {
				l.malformed = true
				r.emit(Event{Source: s.id.String(), Engine: id, Message: "malformed entry, holding engine", Reason: Unreadable, Engines: 1, Warn: true})
			}
			r.markDirty(id)
		case l.missingSince.IsZero():
			missing = append(missing, id)
		case trusted && l.lostSince.IsZero() && !l.catalogReset: // an untrusted view lacked it before
			l.lostSince = now
		}
	}
	s.historyChanged = false
	slices.Sort(missing)
	r.handleMissing(now, s, missing, trusted)
	s.index = max(s.index, v.Index)
}

// handleMissing removes engines that are no longer listed. A mass loss of unmarked engines may be a fault of
// the catalog: these engines are retained and probed until the loss is confirmed.
func (r *Registry) handleMissing(now time.Time, s *sourceState, missing []string, trusted bool) {
	var unmarked []string
	for _, id := range missing {
		if r.retainedWhenMissing(now, s, s.listings[id]) {
			unmarked = append(unmarked, id)
		} else {
			r.removeListing(s, id)
		}
	}
	massLoss := r.recordLosses(now, s, len(unmarked))
	if trusted && !massLoss {
		for _, id := range unmarked {
			r.removeListing(s, id)
		}
		return
	}
	for _, id := range unmarked {
		s.markMissing(now, s.listings[id])
		if trusted {
			s.listings[id].lostSince = now
		}
		r.markDirty(id)
	}
	if len(unmarked) > 0 {
		r.emit(Event{Source: s.id.String(), Message: "mass loss without marks, holding engines", Engines: len(unmarked), Warn: true})
	}
}

// isCatalogReset reports whether a view with a lower index also lacks many engines. The two together are
// more likely the loss of the catalog's data than the removal of its engines.
func (r *Registry) isCatalogReset(s *sourceState, v View) bool {
	listed := map[string]bool{}
	for _, e := range v.Entries {
		listed[e.ID] = true
	}
	lost := 0
	for id, l := range s.listings {
		if !listed[id] && l.Mark == Clear && l.missingSince.IsZero() {
			lost++
		}
	}
	return exceedsFraction(lost, len(s.listings), r.policy.MaxSourceLoss)
}

// exceedsFraction reports whether more than one engine is lost, and more than a fraction of all.
func exceedsFraction(lost, of int, fraction float64) bool {
	return lost > 1 && float64(lost) > fraction*float64(of)
}

// recordLosses records losses of unmarked engines and reports whether the losses within Policy.LossWindow
// amount to a mass loss. It checks the losses over all sources as well as those of the source, because small
// services may each lose their only engine.
func (r *Registry) recordLosses(now time.Time, s *sourceState, lost int) (massLoss bool) {
	expired := func(t time.Time) bool { return now.Sub(t) > r.policy.LossWindow }
	s.losses, r.losses = slices.DeleteFunc(s.losses, expired), slices.DeleteFunc(r.losses, expired)
	ofSource, ofAll := len(s.losses)+len(s.listings), len(r.losses)+len(r.engines)
	for range lost {
		s.losses, r.losses = append(s.losses, now), append(r.losses, now)
	}
	return exceedsFraction(len(s.losses), ofSource, r.policy.MaxSourceLoss) || exceedsFraction(len(r.losses), ofAll, r.policy.MaxTotalLoss)
}

// applyMalformedMarks applies the marks that were parsed from malformed entries, if they are more severe.
func (r *Registry) applyMalformedMarks(s *sourceState, v View) {
	for id, m := range v.MalformedMarks {
		if l := s.listings[id]; l != nil && m > l.Mark {
			l.Mark = m
			r.markDirty(id)
		}
	}
}

// applyUntrusted applies the safe part of an untrusted view, which is marks of higher severity. Engines
// missing from the view are probed.
func (r *Registry) applyUntrusted(now time.Time, s *sourceState, v View) {
	listed := make(map[string]bool, len(v.Entries))
	for _, e := range v.Entries {
		listed[e.ID] = true
		if l := s.listings[e.ID]; l != nil && e.Mark > l.Mark {
			r.raiseMark(now, s, e.ID, e.Mark, v.Index)
		}
	}
	for id, m := range v.MalformedMarks {
		if l := s.listings[id]; l != nil && m > l.Mark {
			r.raiseMark(now, s, id, m, v.Index)
		}
	}
	hasUnidentified := slices.Contains(v.Malformed, "")
	for id, l := range s.listings {
		switch {
		case listed[id] || hasUnidentified || slices.Contains(v.Malformed, id):
			l.absentSince = time.Time{}
		case l.absentSince.IsZero():
			l.absentSince = now
		}
	}
}

// upsert inserts or updates a source's listing of one engine. preexisting is whether the engine may have
// been running before the gateway started.
func (r *Registry) upsert(now time.Time, s *sourceState, e Entry, preexisting bool) {
	l := s.listings[e.ID]
	eng := r.engines[e.ID]
	if eng == nil {
		eng = &engine{id: e.ID, listings: map[Source]*listing{}}
		r.engines[e.ID] = eng
	}
	if l == nil {
		l = &listing{}
		if !preexisting {
			l.firstListed = now
		}
		s.listings[e.ID] = l
		eng.listings[s.id] = l
	} else if l.Registered != 0 && e.Registered != l.Registered && !s.historyChanged && !eng.answeredSince(l.missingSince) {
		eng.restartedAt = now // deregistered and registered again between two views
	}
	if !l.missingSince.IsZero() {
		s.missingCount--
	}
	l.Entry, l.lastSeen, l.missingSince, l.restored, l.malformed = e, now, time.Time{}, false, false
	l.lostSince, l.catalogReset = time.Time{}, false
	r.markDirty(e.ID)
}

// removeListing removes a source's listing of an engine.
func (r *Registry) removeListing(s *sourceState, id string) {
	l := s.listings[id]
	if l != nil && !l.missingSince.IsZero() {
		s.missingCount--
	}
	if l != nil && l.raised.held {
		s.heldMarks--
	}
	delete(s.listings, id)
	if e := r.engines[id]; e != nil {
		delete(e.listings, s.id)
		r.markDirty(id)
	}
}
