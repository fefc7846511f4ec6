package watch

import (
	"maps"
	"slices"
	"time"
)

// The figures of asking in turn.
const (
	spareWatches = 2   // for the catalogue, and for the checks that fail
	turnsRate    = 2.0 // services asked a second for each query that may be open
	roundLeast   = time.Second
)

// Turns decides whether each service can have a query of its own that blocks, or all
// are asked in turn, in rounds.
type Turns struct {
	watches  int
	services int
	on       bool
}

// NewTurns returns a decision for so many queries that may be open at once.
func NewTurns(watches int) *Turns { return &Turns{watches: max(watches, 2*spareWatches)} }

// Count notes how many services there are and tells whether the way of asking changes.
func (t *Turns) Count(services int) (changed bool) {
	t.services = services
	was := t.on
	t.on = services > t.watches-spareWatches
	return t.on != was
}

// On tells whether services are asked in turn.
func (t *Turns) On() bool { return t.on }

// Services returns how many there are.
func (t *Turns) Services() int { return t.services }

// Round is how long it is from one turn of a service to its next.
func (t *Turns) Round() time.Duration {
	return max(time.Duration(float64(t.services)/(turnsRate*float64(t.watches))*float64(time.Second)), roundLeast)
}

// Check names a check that fails, of one service or of a whole node.
type Check struct {
	Node, CheckID, ServiceID, Service string
}

// Marks decides which services are asked out of turn, from the checks that fail. The
// zero value is not usable; see NewMarks.
type Marks struct {
	failing map[Check]bool
	nodes   map[string]map[string]bool // services that have an engine on a node
	on      map[string][]string        // and back
}

// NewMarks returns marks without any check.
func NewMarks() *Marks {
	return &Marks{failing: map[Check]bool{}, nodes: map[string]map[string]bool{}, on: map[string][]string{}}
}

// Seen notes on which nodes a service has engines now; none forgets the service.
func (m *Marks) Seen(service string, nodes []string) {
	for _, n := range m.on[service] {
		if delete(m.nodes[n], service); len(m.nodes[n]) == 0 {
			delete(m.nodes, n)
		}
	}
	if len(nodes) == 0 {
		delete(m.on, service)
		return
	}
	m.on[service] = nodes
	for _, n := range nodes {
		if m.nodes[n] == nil {
			m.nodes[n] = map[string]bool{}
		}
		m.nodes[n][service] = true
	}
}

// Take takes in all checks that fail now and returns the services that a change speaks
// of, in order of name: a check that began to fail, or ceased to.
func (m *Marks) Take(failing []Check) []string {
	now := make(map[Check]bool, len(failing))
	for _, c := range failing {
		now[c] = true
	}
	wake := map[string]bool{}
	for _, pair := range [][2]map[Check]bool{{now, m.failing}, {m.failing, now}} {
		for c := range pair[0] {
			switch {
			case pair[1][c]:
			case c.Service != "":
				wake[c.Service] = true
			default: // it speaks of a whole node
				for s := range m.nodes[c.Node] {
					wake[s] = true
				}
			}
		}
	}
	m.failing = now
	return slices.Sorted(maps.Keys(wake))
}
