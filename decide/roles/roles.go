// Package roles decides which engine changes between prefill and decode, and when.
//
// It does no I/O and reads no clock. Demand and capacity are measured in engines: a demand of 3.2 at
// a stage is the work of 3.2 engines of the median rate. docs/design/roles.md compares the
// strategies and lists the measurements.
package roles

// Role is the stage of two-stage requests that an engine serves.
type Role uint8

// The roles. Mixed engines serve both stages and never change.
const (
	Prefill Role = iota
	Decode
	Mixed
)

// Opposite returns the role that a prefill or decode engine can change to.
func (r Role) Opposite() Role { return 1 - r }

// String returns the role's name in the engine protocol and in the catalogue.
func (r Role) String() string { return [...]string{"read", "write", "both"}[r] }

// ParseRole returns the role with a name, and false for any name but those of Prefill and Decode.
func ParseRole(name string) (Role, bool) {
	for _, r := range []Role{Prefill, Decode} {
		if r.String() == name {
			return r, true
		}
	}
	return Mixed, false
}

// Engine is the latest observation of an engine.
type Engine struct {
	ID                 string
	Rack               int
	Role               Role
	Utilization        float64 // fraction of its slots in use
	QueueSeconds       float64 // time that the engine needs for its queued work when warm
	ThroughputFraction float64 // current fraction of its warm throughput, as its cache may be cold; 0 means 1
	MemoryUsed         float64 // fraction of its memory in use
	Tokens             float64 // prefilled, or decoded, since it switched to its role
	BusySeconds        float64 // slot-seconds used for Tokens; 0 if the engine does not report them
	Changing           bool    // its role change is in progress
	Ready              bool    // it answers and is in service
	Pinned             bool    // an operator has excluded it from role changes
}

// currentThroughput returns the current fraction of an engine's warm throughput.
func (e Engine) currentThroughput() float64 {
	if e.ThroughputFraction > 0 {
		return e.ThroughputFraction
	}
	return 1
}
