package roles

import "time"

// Observation is what is known of an engine at one time, from those who know: the roster, the
// engine itself, and the record of a change of it.
type Observation struct {
	ID                  string
	Rack                int
	InService           bool          // the roster gives it work
	UpFor               time.Duration // since it started or took its role, by the roster; 0 = long, or not known
	Role                string        // by its own word
	Slots               int
	Running, Queue      int // requests; Running includes those that wait
	MemoryUsed          float64
	Tokens, BusySeconds float64
	Pinned              bool
	Change              *ActiveChange // nil without one
}

// ActiveChange is what a record of a change says of an engine.
type ActiveChange struct {
	Hold    bool          // it gets no work
	Role    string        // which it has, as far as the change goes
	RoleFor time.Duration // that it has had it, with Hold false
}

// RoleOf reads a role's name, false for one that is never planned with.
func RoleOf(name string) (Role, bool) {
	for _, r := range []Role{Prefill, Decode} {
		if r.String() == name {
			return r, true
		}
	}
	return Mixed, false
}

// Assess makes an engine out of what is known of it, false if it has no part in the plan.
// A record comes before the roster and the engine's own word: either may be a moment
// behind, and an engine that counts in neither role would have another moved for it.
func (s Settings) Assess(x Observation) (Engine, bool) {
	e := Engine{ID: x.ID, Rack: x.Rack, MemoryUsed: x.MemoryUsed, Tokens: x.Tokens, BusySeconds: x.BusySeconds, Ready: x.InService, Pinned: x.Pinned}
	name, up := x.Role, x.UpFor
	if x.Change != nil {
		name, e.Changing = x.Change.Role, x.Change.Hold
		if !e.Changing {
			e.Ready, up = true, max(x.Change.RoleFor, 1)
		}
	}
	role, known := RoleOf(name)
	if !known {
		return Engine{}, false
	}
	e.Role = role
	if x.Slots > 0 {
		e.Utilization = min(1, float64(max(0, x.Running-x.Queue))/float64(x.Slots))
		e.QueueSeconds = float64(x.Queue) / float64(x.Slots)
	}
	if up > 0 && up < s.WarmUp {
		e.Warmth = s.ColdThroughput + (1-s.ColdThroughput)*float64(up)/float64(s.WarmUp)
	}
	return e, true
}
