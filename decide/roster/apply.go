package roster

import (
	"slices"
	"time"
)

// heldWhenMissing reports whether a listing lost in a mass loss is held: not if it was
// marked, whose engine was expected to go, nor if it was last confirmed long ago.
func (r *Registry) heldWhenMissing(now time.Time, s *sourceState, l *listing) bool {
	return l.Mark == Clear && now.Sub(s.lastSeen(l)) <= r.policy.ConfirmationTTL
}

// markMissing holds a listing that is no longer listed.
func (s *sourceState) markMissing(now time.Time, l *listing) {
	if l.missingSince.IsZero() {
		l.missingSince = now
		s.missingCount++
	}
}

// expireMissing removes the listings whose time as unlisted has expired.
func (r *Registry) expireMissing(now time.Time, s *sourceState) {
	for id, l := range s.listings {
		if !l.missingSince.IsZero() && now.Sub(l.missingSince) >= r.policy.UnlistedTTL {
			r.emit(Event{Source: s.id.String(), Engine: id, Message: "unlisted engine expired", Engines: 1, Warn: true})
			r.removeListing(s, id)
		}
	}
}

// apply replaces a source's listings by a view. Engines missing from a trusted view are
// removed, unless too many are missing at once; a view that is not trusted removes no
// engine that may be alive.
func (r *Registry) apply(now time.Time, s *sourceState, v View, trusted bool) {
	first := !s.observed
	s.observed = true
	listed := make(map[string]bool, len(v.Entries))
	for _, e := range v.Entries {
		listed[e.ID] = true
		r.upsert(now, s, e, first && s.atStart)
	}
	r.applyMalformedMarks(s, v)
	anyID := slices.Contains(v.Malformed, "")
	var missing []string
	for id, l := range s.listings {
		l.questionedSince = time.Time{}
		if s.rebased && !listed[id] {
			l.Registered = 0 // of another catalog history: its next one proves no restart
		}
		switch {
		case listed[id]:
		case anyID || slices.Contains(v.Malformed, id): // it may be one of the malformed entries
			if !l.malformed {
				l.malformed = true
				r.emit(Event{Source: s.id.String(), Engine: id, Message: "malformed entry, holding engine", Reason: Unreadable, Engines: 1, Warn: true})
			}
			r.markDirty(id)
		case l.missingSince.IsZero():
			missing = append(missing, id)
		}
	}
	s.rebased = false
	slices.Sort(missing)
	r.handleMissing(now, s, missing, trusted)
	s.index = max(s.index, v.Index)
}

// handleMissing removes engines that are no longer listed. A mass loss without marks is more
// likely a fault of the catalog: those engines are held and probed.
func (r *Registry) handleMissing(now time.Time, s *sourceState, missing []string, trusted bool) {
	var unmarked []string
	for _, id := range missing {
		if r.heldWhenMissing(now, s, s.listings[id]) {
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
		r.markDirty(id)
	}
	if len(unmarked) > 0 {
		r.emit(Event{Source: s.id.String(), Message: "mass loss without marks, holding engines", Engines: len(unmarked), Warn: true})
	}
}

// recordLosses records unmarked losses and reports whether those within the window are a
// mass loss of the source, or of all: small services may each lose their only engine.
func (r *Registry) recordLosses(now time.Time, s *sourceState, lost int) (massLoss bool) {
	expired := func(t time.Time) bool { return now.Sub(t) > r.policy.LossWindow }
	s.losses, r.losses = slices.DeleteFunc(s.losses, expired), slices.DeleteFunc(r.losses, expired)
	ofSource, ofAll := len(s.losses)+len(s.listings), len(r.losses)+len(r.engines)
	for range lost {
		s.losses, r.losses = append(s.losses, now), append(r.losses, now)
	}
	exceeds := func(lost, of int, share float64) bool { return lost > 1 && float64(lost) > share*float64(of) }
	return exceeds(len(s.losses), ofSource, r.policy.MaxSourceLoss) || exceeds(len(r.losses), ofAll, r.policy.MaxTotalLoss)
}

// applyMalformedMarks applies the marks that could be read from malformed entries.
func (r *Registry) applyMalformedMarks(s *sourceState, v View) {
	for id, m := range v.MalformedMarks {
		if l := s.listings[id]; l != nil && m > l.Mark {
			l.Mark = m
			r.markDirty(id)
		}
	}
}

// applyDoubted applies what is safe of a doubted view: worse marks. Engines missing from it
// are in question, and probed.
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
	anyID := slices.Contains(v.Malformed, "")
	for id, l := range s.listings {
		switch {
		case listed[id] || anyID || slices.Contains(v.Malformed, id):
			l.questionedSince = time.Time{}
		case l.questionedSince.IsZero():
			l.questionedSince = now
		}
	}
}

// upsert inserts or updates a source's listing of one engine. preexisting says that the
// engine may have run since before the gateway started.
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
	} else if l.Registered != 0 && e.Registered != l.Registered && !s.rebased && !eng.answeredSince(l.missingSince) {
		eng.restartedAt = now // deregistered and registered anew between two views
	}
	if !l.missingSince.IsZero() {
		s.missingCount--
	}
	l.Entry, l.lastSeen, l.missingSince, l.restored, l.malformed = e, now, time.Time{}, false, false
	r.markDirty(e.ID)
}

// removeListing removes a source's listing of an engine.
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
