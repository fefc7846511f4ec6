package roster

import (
	"slices"
	"time"
)

// heldWhenMissing tells whether a listing that is lost with many others is held: one that is
// marked, or was not confirmed for long, is not.
func (r *Registry) heldWhenMissing(now time.Time, s *sourceState, l *listing) bool {
	return l.Mark == Clear && now.Sub(s.lastSeen(l)) <= r.policy.ConfirmationTTL
}

func (s *sourceState) markMissing(now time.Time, l *listing) {
	if l.missingSince.IsZero() {
		l.missingSince = now
		s.missingCount++
	}
}

// expireMissing lets go of what has long been listed no more.
func (r *Registry) expireMissing(now time.Time, s *sourceState) {
	for id, l := range s.listings {
		if !l.missingSince.IsZero() && now.Sub(l.missingSince) >= r.policy.UnlistedTTL {
			r.emit(Event{Source: s.id.String(), Engine: id, Message: "listed no more for too long: gone", Engines: 1, Warn: true})
			r.removeListing(s, id)
		}
	}
}

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
