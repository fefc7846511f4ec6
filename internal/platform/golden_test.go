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

// goldenRoster is a hash over what the roster returns for drawn lists. Phases are hashed
// as numbers and no Go name is, so that it outlives renames.
const goldenRoster = 0x1ce864c4ce90bfcf

func TestGoldenRoster(t *testing.T) {
	h := fnv.New64a()
	// Short plays with whole lists, then long ones without: engines missing from a whole list
	// leave in no order, and which are forgotten would be another each time.
	for seed := range uint64(150) {
		steps, whole, ids := int64(40), true, 6
		if seed >= 140 {
			steps, whole, ids = 1500, false, 600
		}
		rng := rand.New(rand.NewPCG(seed, 45))
		r := NewRoster()
		for revision := range steps {
			l := config.EngineList{Revision: revision - int64(rng.IntN(2)*rng.IntN(5)), Complete: rng.IntN(5) == 0 && whole}
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
			var lines []string
			for _, m := range r.Apply(l) {
				start := int64(-1)
				if !m.StartedAt.IsZero() {
					start = m.StartedAt.Sub(time.Unix(0, 0)).Milliseconds()
				}
				lines = append(lines, fmt.Sprint(m.Name, m.Addr, m.Kind, m.Zone, m.Cell, m.Weight, int(m.Phase), start))
			}
			slices.Sort(lines) // who is missing from a whole list is named in no order
			fmt.Fprintln(h, r.Revision(), lines)
		}
	}
	if got := h.Sum64(); got != goldenRoster {
		t.Errorf("%#x, want %#x", got, uint64(goldenRoster))
	}
}
