package roster

import (
	"cmp"
	"slices"
	"time"
)

// ObserveProbe takes the result of a direct probe of an engine at an address, or of an
// attempt's connection there.
func (r *Registry) ObserveProbe(now time.Time, id, addr string, p ProbeResult) {
	e := r.engines[id]
	if e == nil || e.location.addr != addr { // it has moved since the probe began, or only a doubted view has it there
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
			r.emit(Event{Source: src.String(), Engine: id, Message: "unlisted engine does not answer, removed", Engines: 1})
			r.removeListing(r.sources[src], id)
		}
	}
	r.markDirty(id)
	r.evaluateDirty(now)
}

// provenDead reports whether probes alone prove that an engine can't serve. Silence counts
// only while another engine of its kind answers: else the gateway may be cut off.
func (r *Registry) provenDead(now time.Time, e *engine) bool {
	return e.refusals >= minRefusals || e.unanswered >= minUnanswered && r.anotherAnswers(now, e)
}

// anotherAnswers reports whether another engine of the same kind in service has answered a
// probe of late, so that the gateway is not cut off.
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

// admitFromDoubted admits an engine that answers and that only a doubted view lists, or lists
// at another address while nothing listens at the held one.
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

// movedFromRefusing reports whether an entry has another address for an engine that refuses
// connections at its present one.
func (r *Registry) movedFromRefusing(e Entry) bool {
	known := r.engines[e.ID]
	return known != nil && known.location.addr != e.Addr && known.refusals >= minRefusals
}

// ProbeTarget names an engine to probe.
type ProbeTarget struct{ ID, Addr string }

// DueProbes returns the engines to probe now, at most limit of them, those in question first:
// engines that only a doubted view lists, missing and critical ones; then, at a longer
// interval, all engines of doubted sources. The rest is due at the next call.
func (r *Registry) DueProbes(now time.Time, limit int) []ProbeTarget {
	probes := r.doubtedProbes(limit)
	for _, e := range r.enginesToProbe(now) {
		if len(probes) >= limit {
			break
		}
		e.probedAt = now
		probes = append(probes, ProbeTarget{e.id, e.location.addr})
	}
	return probes
}

// doubtedProbes returns at most limit engines that only a doubted view lists, or lists at another
// address than one that refuses connections.
func (r *Registry) doubtedProbes(limit int) []ProbeTarget {
	var probes []ProbeTarget
	for _, s := range r.sources {
		if s.doubtedView == nil {
			continue
		}
		for _, e := range s.doubtedView.Entries {
			unlisted := s.listings[e.ID] == nil && r.engines[e.ID] == nil
			if (unlisted || r.movedFromRefusing(e)) && len(probes) < limit {
				probes = append(probes, ProbeTarget{e.ID, e.Addr})
			}
		}
	}
	return probes
}

// enginesToProbe returns the known engines that are due, those in question first, then by the time of
// their latest probe.
func (r *Registry) enginesToProbe(now time.Time) []*engine {
	var urgent, routine []*engine
	for _, e := range r.engines {
		since := now.Sub(e.probedAt)
		switch {
		case since < r.policy.UrgentProbeInterval:
		case r.inQuestion(e):
			urgent = append(urgent, e)
		case since >= r.policy.ProbeInterval && r.allSourcesDoubted(e):
			routine = append(routine, e)
		}
	}
	leastRecent := func(x, y *engine) int {
		return cmp.Or(x.probedAt.Compare(y.probedAt), cmp.Compare(x.id, y.id))
	}
	slices.SortFunc(urgent, leastRecent)
	slices.SortFunc(routine, leastRecent)
	return slices.Concat(urgent, routine)
}

// inQuestion reports whether an engine may be gone or back, so that probes decide.
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

// allSourcesDoubted reports whether no source of an engine is trusted.
func (r *Registry) allSourcesDoubted(e *engine) bool {
	for src := range e.listings {
		if r.sources[src].doubt == Trusted {
			return false
		}
	}
	return true
}
