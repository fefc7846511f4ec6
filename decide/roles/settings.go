package roles

import (
	"fmt"
	"time"

	"wellgw/decide/setting"
)

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
	Strategy           Strategy
	MinDwell           time.Duration // least time between two changes of one engine
	ReversalDelay      time.Duration // least time between the ends of changes to and fro
	MaxRackShare       float64       // most of a rack in change at once; always at least one engine
	MaxFleetShare      float64       // the same of the fleet
	MaxPerHour         int           // most changes begun in an hour
	DrainTime          time.Duration // what a drain is expected to take
	WarmUp             time.Duration // from the change until the engine is warm
	ColdThroughput     float64       // of its power at the start
	Horizon            time.Duration // how far the predictive strategy looks
	RefusalBackoff     time.Duration // an engine that refused, or failed to change, is not asked again for so long
	MinGain            float64       // least gain in service that is worth a change
	DemandTimeConstant time.Duration // time constant of the demand
}

// DefaultSettings returns what an operator who says nothing gets.
func DefaultSettings() Settings {
	return Settings{
		Strategy: Predictive, MinDwell: 90 * time.Second, ReversalDelay: 30 * time.Second, MaxRackShare: 0.34, MaxFleetShare: 0.2, MaxPerHour: 30,
		DrainTime: 8 * time.Second, WarmUp: 14 * time.Second, ColdThroughput: 0.32, Horizon: 90 * time.Second, RefusalBackoff: 10 * time.Minute, MinGain: 0.02, DemandTimeConstant: 8 * time.Second,
	}
}

// Validate tells what is wrong with settings, by the field's name.
func (s Settings) Validate() error {
	switch {
	case s.Strategy != Threshold && s.Strategy != QueueBalance && s.Strategy != Predictive:
		return setting.New("strategy", fmt.Sprintf("%q is not threshold, queue-balance or predictive", s.Strategy))
	case s.MaxRackShare <= 0 || s.MaxRackShare > 1 || s.MaxFleetShare <= 0 || s.MaxFleetShare > 1:
		return setting.New("rack_part, fleet_part", "must lie above 0 and not above 1")
	case s.MaxPerHour < 1:
		return setting.New("changes_an_hour", "below 1")
	case s.Horizon <= s.DrainTime+s.WarmUp:
		return setting.New("horizon_ms", "a change takes longer than that")
	case s.DemandTimeConstant <= 0 || s.ColdThroughput <= 0:
		return setting.New("smooth_ms, cold_share", "must be above 0")
	}
	return nil
}
