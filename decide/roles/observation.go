package roles

import "time"

// Observation combines the state of an engine at one time from the roster, from its own report, and
// from the record of its role change.
type Observation struct {
	ID                  string
	Rack                int
	InService           bool          // according to the roster
	Uptime              time.Duration // since its start or role change, from the roster; 0 = long, or unknown
	Role                string        // according to its own report
	Slots               int
	Running, Queue      int // requests; Running includes the queued ones
	MemoryUsed          float64
	Tokens, BusySeconds float64
	Pinned              bool
	Change              *ActiveChange // nil if it has no change record
}

// ActiveChange is the state of an engine according to the record of its role change.
type ActiveChange struct {
	RoutingPaused bool          // no requests are routed to it
	Role          string        // its role at the current step of the change
	RoleAge       time.Duration // time since it switched to Role; set only if RoutingPaused is false
}

// PlannedEngine returns the planner's input for an engine, and false if its role is not planned. The
// record of a change takes precedence over the roster and the engine's report: both may lag behind
// it, and an engine that is counted in neither role would cause the change of another engine.
func (s Settings) PlannedEngine(o Observation) (Engine, bool) {
	e := Engine{
		ID: o.ID, Rack: o.Rack, MemoryUsed: o.MemoryUsed, Tokens: o.Tokens, BusySeconds: o.BusySeconds,
		Ready: o.InService, Pinned: o.Pinned,
	}
	name, upFor := o.Role, o.Uptime
	if o.Change != nil {
		name, e.Changing = o.Change.Role, o.Change.RoutingPaused
		if !e.Changing {
			e.Ready, upFor = true, max(o.Change.RoleAge, 1)
		}
	}
	role, known := ParseRole(name)
	if !known {
		return Engine{}, false
	}
	e.Role = role
	if o.Slots > 0 {
		e.Utilization = min(1, float64(max(0, o.Running-o.Queue))/float64(o.Slots))
		e.QueueSeconds = float64(o.Queue) / float64(o.Slots)
	}
	if upFor > 0 && upFor < s.WarmUp {
		e.ThroughputFraction = s.warmUpThroughput(upFor)
	}
	return e, true
}
