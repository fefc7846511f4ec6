package platform

import (
	"slices"
	"time"

	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/routing"
)

// Roster holds what discovery has announced. It guards the drain rule: an engine that
// is leaving or gone stays so, whatever older news comes after.
type Roster struct {
	revision          int64
	entries           map[string]rosterEntry
	departed          []string // engines that have left, in the order in which they did
	forgottenRevision int64    // the newest revision of one that has been forgotten
}

type rosterEntry struct {
	config.ListEntry
	revision int64
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{entries: map[string]rosterEntry{}, forgottenRevision: -1} // the first list may be of revision 0
}

// Revision is the newest that has been taken in.
func (r *Roster) Revision() int64 { return r.revision }

// Apply takes a list in and returns the entries that have changed. An entry of a
// revision no newer than what is known is taken only if it ends an engine's work
// or tells of a later start: news may cross, and `known` may be old. Only a
// complete list that is not older removes the engines it does not name.
func (r *Roster) Apply(l config.List) []core.Endpoint {
	var changed []core.Endpoint
	update := func(e config.ListEntry) {
		if phaseOf(e.Phase) == routing.PhaseRemoved {
			r.departed = append(r.departed, e.ID)
		}
		r.entries[e.ID] = rosterEntry{e, l.Revision}
		changed = append(changed, endpoint(e))
	}
	named := map[string]bool{}
	for _, e := range l.Members {
		named[e.ID] = true
		old, known := r.entries[e.ID]
		worse := phaseOf(e.Phase) > phaseOf(old.Phase) && e.UpSince >= old.UpSince
		if !known && l.Revision <= r.forgottenRevision { // it may be one of those: they have left
			continue
		}
		if !known || l.Revision > old.revision || worse || e.UpSince > old.UpSince {
			update(e)
		}
	}
	if l.Complete && l.Revision >= r.revision {
		for id, e := range r.entries {
			if !named[id] && phaseOf(e.Phase) != routing.PhaseRemoved {
				e.Phase = "left"
				update(e.ListEntry)
			}
		}
	}
	r.revision = max(r.revision, l.Revision)
	r.forgetDeparted()
	return changed
}

// forgetDeparted drops those that left longest ago. An older list that names one must not
// bring it back: see forgotten.
func (r *Roster) forgetDeparted() {
	for len(r.departed) > maxDeparted {
		if e, known := r.entries[r.departed[0]]; known && phaseOf(e.Phase) == routing.PhaseRemoved {
			r.forgottenRevision = max(r.forgottenRevision, e.revision)
			delete(r.entries, r.departed[0])
		}
		r.departed = slices.Delete(r.departed, 0, 1)
	}
}

// phaseOf reads a phase; one that is unknown is not sent to.
func phaseOf(s string) routing.Phase {
	switch s {
	case "active":
		return routing.PhaseActive
	case "left":
		return routing.PhaseRemoved
	}
	return routing.PhaseDraining
}

func endpoint(e config.ListEntry) core.Endpoint {
	m := core.Endpoint{
		EngineInfo: routing.EngineInfo{
			Name: e.ID, Kind: e.Flavor, Zone: e.Locality, Cell: e.Cell, Weight: e.Size, Phase: phaseOf(e.Phase),
		},
		Addr: e.HostPort,
	}
	if e.UpSince > 0 {
		m.StartedAt = time.UnixMilli(e.UpSince)
	}
	return m
}
