package watch

// Agents decides which of several agents is asked: the one in use while it lives, else
// the first that does. To go back to the preferred one for its own sake would have
// everything asked anew. The zero value is not usable; see NewAgents.
type Agents struct {
	names   []string // the preferred one first
	down    map[string]bool
	current string
}

// NewAgents returns agents that are all held to live.
func NewAgents(names []string) *Agents {
	return &Agents{names: names, down: map[string]bool{}, current: names[0]}
}

// MarkDown notes that an agent does not answer, and tells whether that is new.
func (a *Agents) MarkDown(name string) bool {
	was := a.down[name]
	a.down[name] = true
	return !was
}

// MarkUp notes that an agent answers, and tells whether that is new.
func (a *Agents) MarkUp(name string) bool {
	was := a.down[name]
	delete(a.down, name)
	return was
}

// Select returns the agent to ask, false if none is known to live, and whether it is
// another one than before.
func (a *Agents) Select() (name string, other, ok bool) {
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
