package roles

import "time"

// Observation is what is known of an engine at one time: from the roster, from its own report,
// and from the record of a change of it.
type Observation struct {
	ID                  string
	Rack                int
	InService           bool          // by the roster
	Uptime              time.Duration // since it started or took its role, by the roster; 0 = long, or unknown
	Role                string        // by its own report
	Slots               int
	Running, Queue      int // requests; Running includes the queued ones
	MemoryUsed          float64
	Tokens, BusySeconds float64
	Pinned              bool
	Change              *ActiveChange // nil without one
}

// ActiveChange is what the record of a change says of an engine.
type ActiveChange struct {
	RoutingPaused bool          // no requests are routed to it
	Role          string        // its role at the change's present step
	RoleAge       time.Duration // since it has that role, if Hold is false
}

// PlannedEngine returns an engine as the planner takes it, false if it has no part in the plan. The
// record of a change takes precedence over the roster and the engine's report: both may lag
// behind it, and for an engine counted in neither role another would be changed.
func (s Settings) PlannedEngine(o Observation) (Engine, bool) {
	e := Engine{ID: o.ID, Rack: o.Rack, MemoryUsed: o.MemoryUsed, Tokens: o.Tokens, BusySeconds: o.BusySeconds, Ready: o.InService, Pinned: o.Pinned}
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
		e.ThroughputFraction = s.warmthAfter(upFor)
	}
	return e, true
}
