package watch

import (
	"maps"
	"slices"
)

// Check identifies a failing health check, of one service or, without a service, of a node.
type Check struct {
	Node, CheckID, ServiceID, Service string
}

// CheckTracker decides which services are polled immediately, ahead of their interval, because the result of
// a health check has changed. The zero value is not usable; see NewCheckTracker.
type CheckTracker struct {
	failing        map[Check]bool
	servicesByNode map[string]map[string]bool // names of services with an engine on a node, by node
	nodesByService map[string][]string        // nodes on which a service has engines, by service
}

// NewCheckTracker returns a tracker without any failing check.
func NewCheckTracker() *CheckTracker {
	return &CheckTracker{failing: map[Check]bool{}, servicesByNode: map[string]map[string]bool{}, nodesByService: map[string][]string{}}
}

// SetNodes sets the nodes on which a service has engines. An empty list removes the service.
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

// Update replaces the failing checks and returns the services affected by a check that started or stopped
// failing, sorted by name.
func (t *CheckTracker) Update(failing []Check) []string {
	updated := make(map[Check]bool, len(failing))
	for _, c := range failing {
		updated[c] = true
	}
	affected := map[string]bool{}
	for _, sets := range [][2]map[Check]bool{{updated, t.failing}, {t.failing, updated}} {
		for c := range sets[0] {
			switch {
			case sets[1][c]:
			case c.Service != "":
				affected[c.Service] = true
			default: // a check of the whole node
				for s := range t.servicesByNode[c.Node] {
					affected[s] = true
				}
			}
		}
	}
	t.failing = updated
	return slices.Sorted(maps.Keys(affected))
}
