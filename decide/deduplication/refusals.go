package deduplication

import "time"

// Limits of the history of refused attempts.
const (
	maxRefusalsPerGeneration = 1024             // keys of a team; two generations are stored
	refusalGenerationAge     = 10 * time.Minute // clients stop retrying earlier
)

// refusalHistory counts, for each key of one team, the attempts that this gateway refused and that therefore
// did not run: the same number of retries with the key can safely run. Entries expire by generation. The only
// effect of a lost entry is that a safe retry is not run. A nil history is empty.
type refusalHistory struct {
	newer, older   map[string]int
	newerStartedAt time.Time // start of the newer generation
}

// count returns the number of refused attempts with a key.
func (h *refusalHistory) count(now time.Time, name string) int {
	if h == nil {
		return 0
	}
	h.rotate(now)
	return max(h.newer[name], h.older[name])
}

// record adds a refused attempt. A full generation is replaced immediately, regardless of its age.
func (h *refusalHistory) record(now time.Time, name string) {
	refused := h.count(now, name) + 1
	if len(h.newer) >= maxRefusalsPerGeneration {
		h.older, h.newer = h.newer, nil
	}
	if h.newer == nil {
		h.newer, h.newerStartedAt = map[string]int{}, now
	}
	h.newer[name] = refused
}

// rotate replaces the older generation with the newer one when the latter has reached its maximum age.
func (h *refusalHistory) rotate(now time.Time) {
	switch age := now.Sub(h.newerStartedAt); {
	case age >= 2*refusalGenerationAge:
		h.newer, h.older = nil, nil
	case age >= refusalGenerationAge:
		h.older, h.newer, h.newerStartedAt = h.newer, nil, now
	}
}
