package roster

import (
	"cmp"
	"slices"
	"time"
)

// ObserveProbe notes how a direct check of an engine at an address went, or an attempt
// whose connection told as much.
func (r *Registry) ObserveProbe(now time.Time, id, addr string, p ProbeResult) {
	e := r.engines[id]
	if e == nil || e.location.addr != addr { // it has moved since the check began, or is elsewhere by a doubted view
		r.admitFromDoubted(now, id, addr, p)
		r.evaluateDirty(now)
		return
	}
	switch p {
	case Answered:
		e.answeredAt, e.refusals, e.unanswered = now, 0, 0
		if r.answered[e.location.kind] == nil {
			r.answered[e.location.kind] = map[string]time.Time{}
		}
		r.answered[e.location.kind][id] = now
	case Refused:
		e.refusedAt, e.unanswered = now, 0
		e.refusals++
	case NoAnswer:
		e.unanswered++
	}
	if p != Answered {
		delete(r.answered[e.location.kind], id)
	}
	for src, l := range e.listings {
		if l.isMissing() && r.provenDead(now, e) {
			r.emit(Event{Source: src.String(), Engine: id, Message: "lost from the list and does not answer: gone", Engines: 1})
			r.removeListing(r.sources[src], id)
		}
	}
	r.markDirty(id)
	r.evaluateDirty(now)
}

// provenDead tells whether checks alone prove that an engine cannot serve. Silence counts
// only while another engine of its kind answers: else it may be the gateway that is
// cut off.
func (r *Registry) provenDead(now time.Time, e *engine) bool {
	return e.refusals >= minRefusals || e.unanswered >= minUnanswered && r.anotherAnswers(now, e)
}

// anotherAnswers tells whether another engine of the same kind that takes work has
// answered a check of late, and so the gateway is not cut off.
func (r *Registry) anotherAnswers(now time.Time, e *engine) bool {
	for id, at := range r.answered[e.location.kind] {
		if other := r.engines[id]; other == nil || now.Sub(at) > 2*r.policy.ProbeInterval {
			delete(r.answered[e.location.kind], id)
		} else if other != e && other.published.State == InService {
			return true
		}
	}
	return false
}

// admitFromDoubted takes in an engine that only a doubted view names, or names at another
// address while nobody listens at the one that is held, once it answers.
func (r *Registry) admitFromDoubted(now time.Time, id, addr string, p ProbeResult) {
	if p != Answered {
		return
	}
	for _, s := range r.sources {
		if s.doubtedView == nil {
			continue
		}
		for _, e := range s.doubtedView.Entries {
			if l := s.listings[id]; e.ID == id && e.Addr == addr && (l == nil || r.movedFromRefusing(e)) {
				if l != nil {
					e.Mark = max(e.Mark, l.Mark)
				}
				r.upsert(now, s, e, false)
			}
		}
	}
}

// movedFromRefusing tells whether an entry names another address for an engine that refuses
// connections where it is held to be.
func (r *Registry) movedFromRefusing(e Entry) bool {
	known := r.engines[e.ID]
	return known != nil && known.location.addr != e.Addr && known.refusals >= minRefusals
}

// Probe names an engine to be checked directly.
type Probe struct{ ID, Addr string }

// DueProbes returns which engines are to be checked now, those in question first: the
// lost, the critical, the newcomers of a doubted view; then, more seldom, all of a
// source that is doubted. At most that many are returned; the others come next time.
func (r *Registry) DueProbes(now time.Time, most int) []Probe {
	var soon, later []*engine
	var probes []Probe
	for _, s := range r.sources {
		if s.doubtedView != nil {
			for _, e := range s.doubtedView.Entries {
				if (s.listings[e.ID] == nil && r.engines[e.ID] == nil || r.movedFromRefusing(e)) && len(probes) < most {
					probes = append(probes, Probe{e.ID, e.Addr})
				}
			}
		}
	}
	for _, e := range r.engines {
		if since := now.Sub(e.probedAt); since < r.policy.UrgentProbeInterval {
			continue
		} else if r.inQuestion(e) {
			soon = append(soon, e)
		} else if since >= r.policy.ProbeInterval && r.allSourcesDoubted(e) {
			later = append(later, e)
		}
	}
	longest := func(x, y *engine) int {
		return cmp.Or(x.probedAt.Compare(y.probedAt), cmp.Compare(x.id, y.id))
	}
	slices.SortFunc(soon, longest)
	slices.SortFunc(later, longest)
	for _, e := range slices.Concat(soon, later) {
		if len(probes) >= most {
			break
		}
		e.probedAt = now
		probes = append(probes, Probe{e.id, e.location.addr})
	}
	return probes
}

func (r *Registry) inQuestion(e *engine) bool {
	if e.published.State == OutOfService || e.published.State == Suspect || e.published.Confidence == Restored {
		return true
	}
	for _, l := range e.listings {
		if l.isMissing() {
			return true
		}
	}
	return false
}

func (r *Registry) allSourcesDoubted(e *engine) bool {
	for src := range e.listings {
		if r.sources[src].doubt == Trusted {
			return false
		}
	}
	return true
}
