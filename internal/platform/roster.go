package platform

import (
	"slices"
	"time"

	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/routing"
)

// maxRemoved is the limit of removed engines in a roster: without it, a roster grows with every new
// engine id.
const maxRemoved = 256

// Roster is the list of engines as discovery has published it. An engine that is draining or removed
// stays so even if older lists arrive later.
type Roster struct {
	revision        int64
	entries         map[string]rosterEntry
	removed         []string // ids of removed engines, in the order of their removal
	evictedRevision int64    // the highest revision of an evicted entry
}

// rosterEntry is an engine's entry with the revision of the list that contained it.
type rosterEntry struct {
	config.EngineEntry
	revision int64
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{entries: map[string]rosterEntry{}, evictedRevision: -1} // the first list may have revision 0
}

// Revision returns the highest revision applied.
func (r *Roster) Revision() int64 { return r.revision }

// Apply applies a list and returns the engines that have changed. An entry whose revision is not newer is
// applied only if it drains or removes the engine or has a later start time: lists may arrive out of order,
// and the last known list may be old. Only a complete list that is not older than the roster removes the
// engines that it does not contain.
func (r *Roster) Apply(l config.EngineList) []core.Endpoint {
	var changed []core.Endpoint
	update := func(e config.EngineEntry) {
		if phaseOf(e.Phase) == routing.PhaseRemoved {
			r.removed = append(r.removed, e.ID)
		}
		r.entries[e.ID] = rosterEntry{e, l.Revision}
		changed = append(changed, endpoint(e))
	}
	listed := map[string]bool{}
	for _, e := range l.Members {
		listed[e.ID] = true
		old, known := r.entries[e.ID]
		furtherPhase := phaseOf(e.Phase) > phaseOf(old.Phase) && e.UpSince >= old.UpSince
		if !known && l.Revision <= r.evictedRevision { // it may be a removed engine whose entry was evicted
			continue
		}
		if !known || l.Revision > old.revision || furtherPhase || e.UpSince > old.UpSince {
			update(e)
		}
	}
	if l.Complete && l.Revision >= r.revision {
		for id, e := range r.entries {
			if !listed[id] && phaseOf(e.Phase) != routing.PhaseRemoved {
				e.Phase = "left"
				update(e.EngineEntry)
			}
		}
	}
	r.revision = max(r.revision, l.Revision)
	r.evictRemoved()
	return changed
}

// evictRemoved evicts the engines that were removed first, beyond maxRemoved. evictedRevision keeps older
// lists from adding them again.
func (r *Roster) evictRemoved() {
	for len(r.removed) > maxRemoved {
		if e, known := r.entries[r.removed[0]]; known && phaseOf(e.Phase) == routing.PhaseRemoved {
			r.evictedRevision = max(r.evictedRevision, e.revision)
			delete(r.entries, r.removed[0])
		}
		r.removed = slices.Delete(r.removed, 0, 1)
	}
}

// phaseOf parses a phase. An engine in an unknown phase counts as draining, so it gets no new requests.
func phaseOf(s string) routing.Phase {
	switch s {
	case "active":
		return routing.PhaseActive
	case "left":
		return routing.PhaseRemoved
	}
	return routing.PhaseDraining
}

// endpoint converts an entry into the core's type.
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
