package platform

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wellgw/internal/config"
)

// goldenRoster is the hash of the roster's results for random lists. Phases are hashed as numbers, and
// Go names are not hashed, so that renames do not change it.
const goldenRoster = 0x1ce864c4ce90bfcf

func TestGoldenRoster(t *testing.T) {
	h := fnv.New64a()
	// Short runs with complete lists, then long ones without: engines that a complete list does not contain
	// are removed in random order, so in a long run the set of evicted engines would not be deterministic.
	for seed := range uint64(150) {
		steps, completeLists, ids := int64(40), true, 6
		if seed >= 140 {
			steps, completeLists, ids = 1500, false, 600
		}
		rng := rand.New(rand.NewPCG(seed, 45))
		r := NewRoster()
		for revision := range steps {
			l := config.EngineList{Revision: revision - int64(rng.IntN(2)*rng.IntN(5)), Complete: rng.IntN(5) == 0 && completeLists}
			for range rng.IntN(8) {
				id := rng.IntN(6)
				if rng.IntN(3) == 0 {
					id = rng.IntN(ids)
				}
				l.Members = append(l.Members, config.EngineEntry{
					ID: fmt.Sprint("e", id), HostPort: fmt.Sprint("at", id), Locality: "z", Flavor: "read", Cell: id % 3,
					Phase: []string{"active", "active", "leaving", "left", "odd"}[rng.IntN(5)], Size: 1.5, UpSince: int64(rng.IntN(3)),
				})
			}
			var results []string
			for _, m := range r.Apply(l) {
				start := int64(-1)
				if !m.StartedAt.IsZero() {
					start = m.StartedAt.Sub(time.Unix(0, 0)).Milliseconds()
				}
				results = append(results, fmt.Sprint(m.Name, m.Addr, m.Kind, m.Zone, m.Cell, m.Weight, int(m.Phase), start))
			}
			slices.Sort(results) // engines that a complete list does not contain are returned in random order
			fmt.Fprintln(h, r.Revision(), results)
		}
	}
	if got := h.Sum64(); got != goldenRoster {
		t.Errorf("hash %#x, want %#x", got, uint64(goldenRoster))
	}
}
