package deduplication

import "time"

// Bounds of the history of refused attempts.
const (
	maxRefusalsPerGeneration = 1024             // keys of a team; two generations are kept
	refusalGenerationAge     = 10 * time.Minute // clients give up sooner
)

// refusalHistory counts, by key of one team, the attempts that this gateway refused and that so did not
// run: that many retries under the key are safe here. Entries age out by generation. To lose one costs
// a retry that would have been safe, and nothing else. A nil history is empty.
type refusalHistory struct {
	newer, older   map[string]int
	newerStartedAt time.Time // when current began
}

// count returns the refused attempts under a key.
func (h *refusalHistory) count(now time.Time, name string) int {
	if h == nil {
		return 0
	}
	h.rotate(now)
	return max(h.newer[name], h.older[name])
}

// record adds a refused attempt. A full generation is replaced at once, whatever its age.
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

// rotate makes a generation that is old enough the previous one, and drops the previous one.
func (h *refusalHistory) rotate(now time.Time) {
	switch age := now.Sub(h.newerStartedAt); {
	case age >= 2*refusalGenerationAge:
		h.newer, h.older = nil, nil
	case age >= refusalGenerationAge:
		h.older, h.newer, h.newerStartedAt = h.newer, nil, now
	}
}
