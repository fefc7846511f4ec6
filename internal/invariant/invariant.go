// Package invariant checks invariants at run time. A violation panics in a build with the tag
// debug; other builds count the violations of each invariant.
package invariant

import (
	"fmt"
	"log/slog"
	"sort"
	"sync"
)

// Checks counts violations of invariants. The zero value is not usable; see New.
type Checks struct {
	mu         sync.Mutex
	violations map[string]int
}

// New returns an empty set of counts.
func New() *Checks { return &Checks{violations: map[string]int{}} }

// Assert records a violation of the named invariant unless ok is true. It returns ok, so that a
// release build can also skip the code that relies on the invariant.
func (c *Checks) Assert(ok bool, invariant string) bool {
	if ok {
		return true
	}
	if fatal {
		panic("invariant broken: " + invariant)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations[invariant]++
	return false
}

// Violations returns one line with the count of each violated invariant, sorted by name.
func (c *Checks) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	lines := make([]string, 0, len(c.violations))
	for invariant, n := range c.violations {
		lines = append(lines, fmt.Sprintf("%s: %d", invariant, n))
	}
	sort.Strings(lines)
	return lines
}

// Log logs the counts, if there are any.
func (c *Checks) Log(log *slog.Logger) {
	if lines := c.Violations(); len(lines) > 0 {
		log.Error("invariants broken", "counts", lines)
	}
}
