// Package roles decides which engine changes between prompt and answer work, and when.
//
// It does no I/O and reads no clock. All work is counted in engines: a demand of 3.2
// at a stage is what 3.2 usual engines are kept busy by. docs/design/roles.md weighs
// the strategies and gives their figures.
package roles

// Role is what an engine does for two-stage requests.
type Role uint8

// The roles. Mixed engines do either and never change.
const (
	Prefill Role = iota
	Decode
	Mixed
)

// Other is the role that an engine would change to.
func (r Role) Other() Role { return 1 - r }

func (r Role) String() string { return [...]string{"read", "write", "both"}[r] }

// Engine is one engine as it was last seen.
type Engine struct {
	ID           string
	Rack         int
	Role         Role
	Utilization  float64 // share of its slots in use
	QueueSeconds float64 // work that waits, in seconds that the engine needs for it when warm
	Warmth       float64 // share of its power that it has now, as it may be cold; 0 = all
	MemoryUsed   float64 // share of its memory held
	Tokens       float64 // that it has read, or written, since it took its role
	BusySeconds  float64 // slot-seconds that it took for them; 0 if it does not say
	Changing     bool    // a change of it is under way
	Ready        bool    // it answers, and is in service
	Pinned       bool    // an operator has it keep its role
}
