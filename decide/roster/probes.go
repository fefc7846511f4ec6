package roster

import (
	"cmp"
	"slices"
	"time"
)

// ObserveProbe records the result of a direct health probe of an engine at an address, or of an attempt's
// connection to that address.
func (r *Registry) ObserveProbe(now time.Time, id, addr string, p ProbeResult) {
	e := r.engines[id]
	// The engine's address changed after the probe began, or only an untrusted view lists it there.
	if e == nil || e.location.addr != addr {
		r.admitFromUntrusted(now, id, addr, p)
		r.evaluateDirty(now)
		return
	}
	switch p {
	case Answered:
		e.answeredAt, e.refusals, e.unanswered = now, 0, 0
		if r.lastAnswered[e.location.kind] == nil {
			r.lastAnswered[e.location.kind] = map[string]time.Time{}
		}
		r.lastAnswered[e.location.kind][id] = now
	case Refused:
		e.refusedAt, e.unanswered = now, 0
		e.refusals++
	case NoAnswer:
		e.unanswered++
	}
	if p != Answered {
		delete(r.lastAnswered[e.location.kind], id)
	}
	for src, l := range e.listings {
		if l.isMissing() && r.confirmedDown(now, e) {
			r.emit(Event{Source: src.String(), Engine: id, Message: "unlisted engine does not answer, removed", Engines: 1})
			r.removeListing(r.sources[src], id)
		}
	}
	r.markDirty(id)
	r.evaluateDirty(now)
}

// confirmedDown reports whether probes alone prove that an engine can't serve. Unanswered probes count only
// while another engine of its kind answers: otherwise the gateway itself may have lost its network.
func (r *Registry) confirmedDown(now time.Time, e *engine) bool {
	return e.refusals >= minRefusals || e.unanswered >= minUnanswered && r.hasResponsivePeer(now, e)
}

// hasResponsivePeer reports whether another engine of the same kind that is in service has answered a probe
// within two probe intervals, which proves that the gateway has a working network.
func (r *Registry) hasResponsivePeer(now time.Time, e *engine) bool {
	for id, at := range r.lastAnswered[e.location.kind] {
		if peer := r.engines[id]; peer == nil || now.Sub(at) > 2*r.policy.ProbeInterval {
			delete(r.lastAnswered[e.location.kind], id)
		} else if peer != e && peer.published.State == InService {
			return true
		}
	}
	return false
}

// admitFromUntrusted adds an engine that answers probes if only an untrusted view lists it, or lists it at
// this address while no process listens at its registered one.
func (r *Registry) admitFromUntrusted(now time.Time, id, addr string, p ProbeResult) {
	if p != Answered {
		return
	}
	for _, s := range r.sources {
		if s.deferredView == nil {
			continue
		}
		for _, e := range s.deferredView.Entries {
			if l := s.listings[id]; e.ID == id && e.Addr == addr && (l == nil || r.movesRefusingEngine(e)) {
				if l != nil {
					e.Mark = max(e.Mark, l.Mark)
				}
				r.upsert(now, s, e, false)
			}
		}
	}
}

// movesRefusingEngine reports whether an entry lists a new address for an engine that refuses connections at
// its registered address.
func (r *Registry) movesRefusingEngine(e Entry) bool {
	registered := r.engines[e.ID]
	return registered != nil && registered.location.addr != e.Addr && registered.refusals >= minRefusals
}

// ProbeTarget identifies an engine to probe and its address.
type ProbeTarget struct{ ID, Addr string }

// DueProbes returns the engines to probe now, at most limit of them. Engines that only an untrusted view
// lists come first, then missing, down and restored engines, and then, at the longer Policy.ProbeInterval,
// all engines without a trusted source. Engines beyond the limit follow in later calls.
func (r *Registry) DueProbes(now time.Time, limit int) []ProbeTarget {
	probes := r.untrustedViewProbes(limit)
	for _, e := range r.enginesToProbe(now) {
		if len(probes) >= limit {
			break
		}
		e.probedAt = now
		probes = append(probes, ProbeTarget{e.id, e.location.addr})
	}
	return probes
}

// untrustedViewProbes returns at most limit engines that only an untrusted view lists, or lists at a new
// address while they refuse connections at their registered one.
func (r *Registry) untrustedViewProbes(limit int) []ProbeTarget {
	var probes []ProbeTarget
	for _, s := range r.sources {
		if s.deferredView == nil {
			continue
		}
		for _, e := range s.deferredView.Entries {
			unlisted := s.listings[e.ID] == nil && r.engines[e.ID] == nil
			if (unlisted || r.movesRefusingEngine(e)) && len(probes) < limit {
				probes = append(probes, ProbeTarget{e.ID, e.Addr})
			}
		}
	}
	return probes
}

// enginesToProbe returns the registered engines whose probe interval has passed, urgent ones first. Each
// group is sorted by the time of the latest probe, oldest first.
func (r *Registry) enginesToProbe(now time.Time) []*engine {
	var urgent, routine []*engine
	for _, e := range r.engines {
		since := now.Sub(e.probedAt)
		switch {
		case since < r.policy.UrgentProbeInterval:
		case r.needsUrgentProbe(e):
			urgent = append(urgent, e)
		case since >= r.policy.ProbeInterval && r.allSourcesUntrusted(e):
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

// needsUrgentProbe reports whether a probe can change an engine's state: it may have ended or recovered.
func (r *Registry) needsUrgentProbe(e *engine) bool {
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

// allSourcesUntrusted reports whether none of an engine's sources is trusted.
func (r *Registry) allSourcesUntrusted(e *engine) bool {
	for src := range e.listings {
		if r.sources[src].distrust == Trusted {
			return false
		}
	}
	return true
}
