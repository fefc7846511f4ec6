package watch

// AgentSelector selects one of several agents: the current one while it is up, else the first that
// is. It does not fail back to the preferred one, since every query would start anew. The
// zero value is not usable; see NewAgentSelector.
type AgentSelector struct {
	names   []string // in order of preference
	down    map[string]bool
	current string
}

// NewAgentSelector returns agents that are all assumed to be up.
func NewAgentSelector(names []string) *AgentSelector {
	return &AgentSelector{names: names, down: map[string]bool{}, current: names[0]}
}

// MarkDown marks an agent as down and reports whether it was up.
func (a *AgentSelector) MarkDown(name string) bool {
	was := a.down[name]
	a.down[name] = true
	return !was
}

// MarkUp marks an agent as up and reports whether it was down.
func (a *AgentSelector) MarkUp(name string) bool {
	was := a.down[name]
	delete(a.down, name)
	return was
}

// Select returns the agent to ask and whether it has changed; ok is false if all are down.
func (a *AgentSelector) Select() (name string, changed, ok bool) {
	if !a.down[a.current] {
		return a.current, false, true
	}
	for _, n := range a.names {
		if !a.down[n] {
			a.current = n
			return n, true, true
		}
	}
	return "", false, false
}
