// Package roles decides which engine changes between prompt and answer work, and when.
//
// It does no I/O and reads no clock. All work is counted in engines: a demand of 3.2
// at a stage is what 3.2 usual engines are kept busy by. docs/design/roles.md weighs
// the strategies and gives their figures.
package roles

import (
	"fmt"
	"time"

	"wellgw/decide/setting"
)

// Role is what an engine does for two-stage requests.
type Role uint8

// The roles. Mixed engines do either and never change.
const (
	Prompt Role = iota
	Answer
	Mixed
)

// Other is the role that an engine would change to.
func (r Role) Other() Role { return 1 - r }

func (r Role) String() string { return [...]string{"read", "write", "both"}[r] }

// Engine is one engine as it was last seen.
type Engine struct {
	ID       string
	Rack     int
	Role     Role
	Util     float64 // share of its slots in use
	Queue    float64 // work that waits, in seconds that the engine needs for it when warm
	Pace     float64 // share of its power that it has now, as it may be cold; 0 = all
	Memory   float64 // share of its memory held
	Tokens   float64 // that it has read, or written, since it took its role
	Busy     float64 // slot-seconds that it took for them; 0 if it does not say
	Changing bool    // a change of it is under way
	Ready    bool    // it answers, and is in service
	Pinned   bool    // an operator has it keep its role
}

// Strategy is a way to decide.
type Strategy string

// The strategies.
const (
	Threshold    Strategy = "threshold"     // one stage is busy and the other is not
	QueueBalance Strategy = "queue-balance" // as max-weight scheduling: the longer queue gets the server
	Predictive   Strategy = "predictive"    // the service foreseen with a change is better than without
)

// Settings are the figures of the decisions.
type Settings struct {
	Strategy  Strategy
	Dwell     time.Duration // least time between two changes of one engine
	Settle    time.Duration // least time between the ends of changes to and fro
	RackPart  float64       // most of a rack in change at once; always at least one engine
	FleetPart float64       // the same of the fleet
	AnHour    int           // most changes begun in an hour
	Drain     time.Duration // what a drain is expected to take
	Cold      time.Duration // from the change until the engine is warm
	ColdShare float64       // of its power at the start
	Horizon   time.Duration // how far the predictive strategy looks
	Unfit     time.Duration // an engine that refused, or failed to change, is not asked again for so long
	Gain      float64       // least gain in service that is worth a change
	Smooth    time.Duration // time constant of the demand
}

// DefaultSettings returns what an operator who says nothing gets.
func DefaultSettings() Settings {
	return Settings{
		Strategy: Predictive, Dwell: 90 * time.Second, Settle: 30 * time.Second, RackPart: 0.34, FleetPart: 0.2, AnHour: 30,
		Drain: 8 * time.Second, Cold: 14 * time.Second, ColdShare: 0.32, Horizon: 90 * time.Second, Unfit: 10 * time.Minute, Gain: 0.02, Smooth: 8 * time.Second,
	}
}

// Validate tells what is wrong with settings, by the field's name.
func (s Settings) Validate() error {
	switch {
	case s.Strategy != Threshold && s.Strategy != QueueBalance && s.Strategy != Predictive:
		return setting.New("strategy", fmt.Sprintf("%q is not threshold, queue-balance or predictive", s.Strategy))
	case s.RackPart <= 0 || s.RackPart > 1 || s.FleetPart <= 0 || s.FleetPart > 1:
		return setting.New("rack_part, fleet_part", "must lie above 0 and not above 1")
	case s.AnHour < 1:
		return setting.New("changes_an_hour", "below 1")
	case s.Horizon <= s.Drain+s.Cold:
		return setting.New("horizon_ms", "a change takes longer than that")
	case s.Smooth <= 0 || s.ColdShare <= 0:
		return setting.New("smooth_ms, cold_share", "must be above 0")
	}
	return nil
}

// Change is one change that is wanted.
type Change struct {
	Engine   string
	Rack     int
	From, To Role
}

// Forecast is the service that is foreseen: the share of what is asked that is served
// in time, over the horizon and at its worst.
type Forecast struct{ Mean, Worst float64 }

// Plan is what was decided, and why.
type Plan struct {
	Change        *Change // nil: none
	Why           string
	Demand        [2]float64 // smoothed, in engines
	Noise         [2]float64 // its usual error
	Capacity      [2]float64 // in engines
	Before, After Forecast   // without the change, and with it
}

// busy is the share of a stage that can be used before requests come late.
const busy = 0.9
