package watch

import (
	"maps"
	"slices"
)

// Check names a check that fails, of one service or of a whole node.
type Check struct {
	Node, CheckID, ServiceID, Service string
}

// CheckTracker decides which services are asked out of turn, from the checks that fail. The
// zero value is not usable; see NewMarks.
type CheckTracker struct {
	failing        map[Check]bool
	servicesByNode map[string]map[string]bool // services that have an engine on a node
	nodesByService map[string][]string        // and back
}

// NewCheckTracker returns marks without any check.
func NewCheckTracker() *CheckTracker {
	return &CheckTracker{failing: map[Check]bool{}, servicesByNode: map[string]map[string]bool{}, nodesByService: map[string][]string{}}
}

// SetNodes notes on which nodes a service has engines now; none forgets the service.
func (t *CheckTracker) SetNodes(service string, nodes []string) {
	for _, n := range t.nodesByService[service] {
		if delete(t.servicesByNode[n], service); len(t.servicesByNode[n]) == 0 {
			delete(t.servicesByNode, n)
		}
	}
	if len(nodes) == 0 {
		delete(t.nodesByService, service)
		return
	}
	t.nodesByService[service] = nodes
	for _, n := range nodes {
		if t.servicesByNode[n] == nil {
			t.servicesByNode[n] = map[string]bool{}
		}
		t.servicesByNode[n][service] = true
	}
}

// Update takes in all checks that fail now and returns the services that a change speaks
// of, in order of name: a check that began to fail, or ceased to.
func (t *CheckTracker) Update(failing []Check) []string {
	now := make(map[Check]bool, len(failing))
	for _, c := range failing {
		now[c] = true
	}
	wake := map[string]bool{}
	for _, pair := range [][2]map[Check]bool{{now, t.failing}, {t.failing, now}} {
		for c := range pair[0] {
			switch {
			case pair[1][c]:
			case c.Service != "":
				wake[c.Service] = true
			default: // it speaks of a whole node
				for s := range t.servicesByNode[c.Node] {
					wake[s] = true
				}
			}
		}
	}
	t.failing = now
	return slices.Sorted(maps.Keys(wake))
}
