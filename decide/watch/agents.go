package watch

// AgentSelector selects one of several Consul agents: the selected one while it is up, otherwise the first in
// order of preference that is up. It does not fail back to a preferred agent, because every query would have
// to restart. The zero value is not usable; see NewAgentSelector.
type AgentSelector struct {
	names    []string // in order of preference
	down     map[string]bool
	selected string
}

// NewAgentSelector returns a selector of the named agents, in order of preference, all assumed to be up.
func NewAgentSelector(names []string) *AgentSelector {
	return &AgentSelector{names: names, down: map[string]bool{}, selected: names[0]}
}

// MarkDown marks an agent as down and reports whether it was up.
func (a *AgentSelector) MarkDown(name string) bool {
	wasDown := a.down[name]
	a.down[name] = true
	return !wasDown
}

// MarkUp marks an agent as up and reports whether it was down.
func (a *AgentSelector) MarkUp(name string) bool {
	wasDown := a.down[name]
	delete(a.down, name)
	return wasDown
}

// Select returns the agent to query and whether the selection changed. ok is false if all agents are down.
func (a *AgentSelector) Select() (name string, changed, ok bool) {
	if !a.down[a.selected] {
		return a.selected, false, true
	}
	for _, n := range a.names {
		if !a.down[n] {
			a.selected = n
			return n, true, true
		}
	}
	return "", false, false
}
