package roles

import (
	"fmt"
	"time"

	"wellgw/decide/setting"
)

// Strategy is the rule by which changes are planned. The values are those of the settings document.
type Strategy string

// The strategies.
const (
	Threshold    Strategy = "threshold"     // change when one stage is busy and the other is not
	QueueBalance Strategy = "queue-balance" // max-weight scheduling: the longer queue gets the engine
	Predictive   Strategy = "predictive"    // change when the forecast with the change is better than without
)

// Settings are the parameters that operators may set.
type Settings struct {
	Strategy           Strategy
	MinDwell           time.Duration // between two changes of one engine
	ReversalDelay      time.Duration // between a change and one in the other direction
	MaxRackFraction    float64       // of a rack's engines that may change at the same time, at least one
	MaxFleetFraction   float64       // of the fleet's engines that may change at the same time, at least one
	MaxPerHour         int           // changes started
	DrainTime          time.Duration // expected duration of a drain
	WarmUp             time.Duration // from the switch to the new role until the engine is warm
	ColdThroughput     float64       // fraction of the warm throughput at the start of the warm-up
	Horizon            time.Duration // of the forecast
	RefusalBackoff     time.Duration // for which an engine is excluded after its change failed
	MinGain            float64       // minimum increase of the served fraction of demand that justifies a change
	DemandTimeConstant time.Duration // of the smoothing of demand
}

// DefaultSettings returns the settings for an operator who sets none.
func DefaultSettings() Settings {
	return Settings{
		Strategy: Predictive, MinDwell: 90 * time.Second, ReversalDelay: 30 * time.Second,
		MaxRackFraction: 0.34, MaxFleetFraction: 0.2, MaxPerHour: 30,
		DrainTime: 8 * time.Second, WarmUp: 14 * time.Second, ColdThroughput: 0.32,
		Horizon: 90 * time.Second, RefusalBackoff: 10 * time.Minute,
		MinGain: 0.02, DemandTimeConstant: 8 * time.Second,
	}
}

// Validate returns an error that names the invalid field of the settings document.
func (s Settings) Validate() error {
	switch {
	case s.Strategy != Threshold && s.Strategy != QueueBalance && s.Strategy != Predictive:
		return setting.New("strategy", fmt.Sprintf("%q is not threshold, queue-balance or predictive", s.Strategy))
	case s.MaxRackFraction <= 0 || s.MaxRackFraction > 1 || s.MaxFleetFraction <= 0 || s.MaxFleetFraction > 1:
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

// warmUpThroughput returns the fraction of its warm throughput that an engine has at time t after it
// switched to its role. t must be below WarmUp.
func (s Settings) warmUpThroughput(t time.Duration) float64 {
	return s.ColdThroughput + (1-s.ColdThroughput)*float64(t)/float64(s.WarmUp)
}
