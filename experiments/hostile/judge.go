package hostile

import (
	"strings"
	"sync"
	"time"
)

// closeTimes records when clients closed the connections of requests.
type closeTimes struct {
	mu   sync.Mutex
	byID map[string]time.Time
}

func newCloseTimes() *closeTimes { return &closeTimes{byID: map[string]time.Time{}} }

func (c *closeTimes) add(ids []string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.byID[id] = now
	}
}

// judge returns the number of attempts that arrived too late after their client's close, and of ids that ran
// more than once: at decode engines or, where the client has sent the id again, at prefill engines.
func judge(attempts []Attempt, closed *closeTimes) (afterClose, twice int) {
	closed.mu.Lock()
	defer closed.mu.Unlock()
	type run struct {
		id     string
		decode bool
	}
	runs := map[run]int{}
	for _, a := range attempts {
		if at, ok := closed.byID[a.ID]; ok && a.At.Sub(at) > leaveSlack {
			afterClose++
		}
		if !a.Decode && !strings.HasPrefix(a.ID, HostilePrefix) {
			continue // the gateway may prefill again
		}
		key := run{a.ID, a.Decode}
		if runs[key]++; runs[key] == 2 {
			twice++
		}
	}
	return afterClose, twice
}
