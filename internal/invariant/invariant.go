// Package invariant states what must hold. A build with the tag debug panics on
// a broken statement; any other counts it and can say how often each broke.
package invariant

import (
	"fmt"
	"log/slog"
	"sort"
	"sync"
)

// Checks counts broken statements. The zero value is not usable; see New.
type Checks struct {
	mu     sync.Mutex
	broken map[string]int
}

// New returns an empty set of counts.
func New() *Checks { return &Checks{broken: map[string]int{}} }

// Assert states that ok is true. It returns ok, so that a release build can also
// step round what a broken statement would have led to.
func (c *Checks) Assert(ok bool, what string) bool {
	if ok {
		return true
	}
	if fatal {
		panic("invariant broken: " + what)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken[what]++
	return false
}

// Violations returns one line for each statement that has been broken, in order.
func (c *Checks) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	lines := make([]string, 0, len(c.broken))
	for what, n := range c.broken {
		lines = append(lines, fmt.Sprintf("%s: %d", what, n))
	}
	sort.Strings(lines)
	return lines
}

// Log writes the counts, if there are any.
func (c *Checks) Log(log *slog.Logger) {
	if lines := c.Violations(); len(lines) > 0 {
		log.Error("invariants broken", "counts", lines)
	}
}
