// Package roles decides which engine changes between prefill and decode, and when.
//
// It does no I/O and reads no clock. All work is counted in engines: a demand of 3.2 at a stage
// is the work of 3.2 engines of the median rate. docs/design/roles.md weighs the strategies and
// gives their figures.
package roles

// Role is the stage of two-stage requests that an engine does.
type Role uint8

// The roles. Mixed engines do both stages and never change.
const (
	Prefill Role = iota
	Decode
	Mixed
)

// Opposite returns the role that an engine would change to.
func (r Role) Opposite() Role { return 1 - r }

// String returns the role's name in the engines' protocol and in the catalogue.
func (r Role) String() string { return [...]string{"read", "write", "both"}[r] }

// ParseRole returns the role of a name, false for one that is never planned with.
func ParseRole(name string) (Role, bool) {
	for _, r := range []Role{Prefill, Decode} {
		if r.String() == name {
			return r, true
		}
	}
	return Mixed, false
}

// Engine is one engine as it was last observed.
type Engine struct {
	ID                 string
	Rack               int
	Role               Role
	Utilization        float64 // share of its slots in use
	QueueSeconds       float64 // queued work, in seconds that the engine needs for it when warm
	ThroughputFraction float64 // share of its warm rate that it has now, as its cache may be cold; 0 = all
	MemoryUsed         float64 // share of its memory
	Tokens             float64 // that it has prefilled, or decoded, since it took its role
	BusySeconds        float64 // slot-seconds that it took for them; 0 if it does not report them
	Changing           bool    // a change of it is under way
	Ready              bool    // it answers, and is in service
	Pinned             bool    // an operator has it keep its role
}

// currentWarmth returns the share of its warm rate that an engine has now.
func (e Engine) currentWarmth() float64 {
	if e.ThroughputFraction > 0 {
		return e.ThroughputFraction
	}
	return 1
}
