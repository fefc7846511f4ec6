package platform

import (
	"slices"
	"time"

	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/routing"
)

// maxDeparted bounds how many engines that have left are remembered, which would otherwise
// grow without end.
const maxDeparted = 256

// Roster is the list of engines as discovery has announced it. An engine that is leaving or
// has left stays so, whatever older lists come after.
type Roster struct {
	revision          int64
	entries           map[string]rosterEntry
	departed          []string // ids of engines that have left, oldest first
	forgottenRevision int64    // the highest revision of an engine that was forgotten
}

// rosterEntry is an entry with the revision of the list that it is from.
type rosterEntry struct {
	config.EngineEntry
	revision int64
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{entries: map[string]rosterEntry{}, forgottenRevision: -1} // the first list may be of revision 0
}

// Revision returns the highest revision applied.
func (r *Roster) Revision() int64 { return r.revision }

// Apply applies a list and returns the engines that have changed. An entry whose revision is
// not newer is applied only if it drains or removes the engine or has a later start: lists may
// arrive out of order, and the last known list may be old. Only a complete list that is not
// older removes the engines that it does not contain.
func (r *Roster) Apply(l config.EngineList) []core.Endpoint {
	var changed []core.Endpoint
	update := func(e config.EngineEntry) {
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
		if !known && l.Revision <= r.forgottenRevision { // it may be one that has left and was forgotten
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
				update(e.EngineEntry)
			}
		}
	}
	r.revision = max(r.revision, l.Revision)
	r.forgetDeparted()
	return changed
}

// forgetDeparted forgets the engines that left longest ago, beyond maxDeparted. For the sake of
// forgottenRevision no older list brings one back.
func (r *Roster) forgetDeparted() {
	for len(r.departed) > maxDeparted {
		if e, known := r.entries[r.departed[0]]; known && phaseOf(e.Phase) == routing.PhaseRemoved {
			r.forgottenRevision = max(r.forgottenRevision, e.revision)
			delete(r.entries, r.departed[0])
		}
		r.departed = slices.Delete(r.departed, 0, 1)
	}
}

// phaseOf parses a phase. An engine in an unknown phase gets no new requests.
func phaseOf(s string) routing.Phase {
	switch s {
	case "active":
		return routing.PhaseActive
	case "left":
		return routing.PhaseRemoved
	}
	return routing.PhaseDraining
}

// endpoint returns an entry in the core's form.
func endpoint(e config.EngineEntry) core.Endpoint {
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
