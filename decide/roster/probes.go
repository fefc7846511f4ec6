package roster

import (
	"cmp"
	"slices"
	"time"
)

// Checked notes how a direct check of an engine at an address went, or an attempt
// whose connection told as much.
func (b *Book) Checked(now time.Time, id, addr string, p Pulse) {
	e := b.engines[id]
	if e == nil || e.at.addr != addr { // it has moved since the check began, or is elsewhere by a doubted view
		b.newcomer(now, id, addr, p)
		b.flush(now)
		return
	}
	switch p {
	case Alive:
		e.alive, e.refused, e.unheard = now, 0, 0
		if b.heard[e.at.kind] == nil {
			b.heard[e.at.kind] = map[string]time.Time{}
		}
		b.heard[e.at.kind][id] = now
	case Refused:
		e.refusal, e.unheard = now, 0
		e.refused++
	case Unheard:
		e.unheard++
	}
	if p != Alive {
		delete(b.heard[e.at.kind], id)
	}
	for src, r := range e.records {
		if r.missing() && b.dead(now, e) {
			b.note(Note{Source: src.String(), Engine: id, What: "lost from the list and does not answer: gone", Engines: 1})
			b.drop(b.sources[src], id)
		}
	}
	b.touch(id)
	b.flush(now)
}

// dead tells whether checks alone prove that an engine cannot serve. Silence counts
// only while another engine of its kind answers: else it may be the gateway that is
// cut off.
func (b *Book) dead(now time.Time, e *engine) bool {
	return e.refused >= refusedLeast || e.unheard >= unheardLeast && b.othersAnswer(now, e)
}

// othersAnswer tells whether another engine of the same kind that takes work has
// answered a check of late, and so the gateway is not cut off.
func (b *Book) othersAnswer(now time.Time, e *engine) bool {
	for id, at := range b.heard[e.at.kind] {
		if other := b.engines[id]; other == nil || now.Sub(at) > 2*b.policy.CheckLater {
			delete(b.heard[e.at.kind], id)
		} else if other != e && other.told.State == In {
			return true
		}
	}
	return false
}

// newcomer takes in an engine that only a doubted view names, or names at another
// address while nobody listens at the one that is held, once it answers.
func (b *Book) newcomer(now time.Time, id, addr string, p Pulse) {
	if p != Alive {
		return
	}
	for _, s := range b.sources {
		if s.trial == nil {
			continue
		}
		for _, e := range s.trial.Entries {
			if r := s.records[id]; e.ID == id && e.Addr == addr && (r == nil || b.elsewhere(e)) {
				if r != nil {
					e.Mark = max(e.Mark, r.Mark)
				}
				b.put(now, s, e, false)
			}
		}
	}
}

// elsewhere tells whether an entry names another address for an engine that refuses
// connections where it is held to be.
func (b *Book) elsewhere(e Entry) bool {
	known := b.engines[e.ID]
	return known != nil && known.at.addr != e.Addr && known.refused >= refusedLeast
}

// Probe names an engine to be checked directly.
type Probe struct{ ID, Addr string }

// Wanted returns which engines are to be checked now, those in question first: the
// lost, the critical, the newcomers of a doubted view; then, more seldom, all of a
// source that is doubted. At most that many are returned; the others come next time.
func (b *Book) Wanted(now time.Time, most int) []Probe {
	var soon, later []*engine
	var probes []Probe
	for _, s := range b.sources {
		if s.trial != nil {
			for _, e := range s.trial.Entries {
				if (s.records[e.ID] == nil && b.engines[e.ID] == nil || b.elsewhere(e)) && len(probes) < most {
					probes = append(probes, Probe{e.ID, e.Addr})
				}
			}
		}
	}
	for _, e := range b.engines {
		if since := now.Sub(e.checked); since < b.policy.CheckSoon {
			continue
		} else if b.questioned(e) {
			soon = append(soon, e)
		} else if since >= b.policy.CheckLater && b.doubted(e) {
			later = append(later, e)
		}
	}
	longest := func(x, y *engine) int {
		return cmp.Or(x.checked.Compare(y.checked), cmp.Compare(x.id, y.id))
	}
	slices.SortFunc(soon, longest)
	slices.SortFunc(later, longest)
	for _, e := range slices.Concat(soon, later) {
		if len(probes) >= most {
			break
		}
		e.checked = now
		probes = append(probes, Probe{e.id, e.at.addr})
	}
	return probes
}

func (b *Book) questioned(e *engine) bool {
	if e.told.State == Out || e.told.State == Suspect || e.told.Confidence == Restored {
		return true
	}
	for _, r := range e.records {
		if r.missing() {
			return true
		}
	}
	return false
}

func (b *Book) doubted(e *engine) bool {
	for src := range e.records {
		if b.sources[src].doubt == Believed {
			return false
		}
	}
	return true
}
