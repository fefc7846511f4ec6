package roster

import "time"

// raisedMark describes a mark that an untrusted view has raised. Such a mark is safe to follow, and it may be
// newer than the views that are trusted next: only a trusted view with a higher index lifts it. An index
// that stays below for Policy.HoldTime is that of another history of the catalog, and lifts it as well.
type raisedMark struct {
	at    time.Time // zero if the mark is not from an untrusted view
	index uint64    // of that view
	held  bool      // a later view has a less severe mark, which is not followed yet
	next  Mark      // that view's mark, while held
}

// raiseMark sets a more severe mark from an untrusted view.
func (r *Registry) raiseMark(now time.Time, s *sourceState, id string, m Mark, index uint64) {
	l := s.listings[id]
	s.clearRaised(l)
	l.Mark = m
	l.raised = raisedMark{at: now, index: index}
	r.markDirty(id)
}

// holdMark keeps the mark of an engine in a view that is about to be applied, if the view may not lift it.
func (r *Registry) holdMark(now time.Time, s *sourceState, e *Entry, index uint64, trusted bool) {
	l := s.listings[e.ID]
	if l == nil || l.raised.at.IsZero() {
		return
	}
	newer := trusted && index > l.raised.index
	if e.Mark >= l.Mark || newer || now.Sub(l.raised.at) >= r.policy.HoldTime {
		s.clearRaised(l)
		return
	}
	if !l.raised.held {
		l.raised.held = true
		s.heldMarks++
	}
	l.raised.next, e.Mark = e.Mark, l.Mark
}

// clearRaised records that the mark of a listing is no longer from an untrusted view.
func (s *sourceState) clearRaised(l *listing) {
	if l.raised.held {
		s.heldMarks--
	}
	l.raised = raisedMark{}
}

// releaseMarks applies the marks that have been held for Policy.HoldTime.
func (r *Registry) releaseMarks(now time.Time, s *sourceState) {
	if s.heldMarks == 0 {
		return
	}
	for id, l := range s.listings {
		if l.raised.held && now.Sub(l.raised.at) >= r.policy.HoldTime {
			l.Mark = l.raised.next
			s.clearRaised(l)
			r.markDirty(id)
		}
	}
}
