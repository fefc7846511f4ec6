package roles

import (
	"fmt"
	"time"

	"wellgw/decide/setting"
)

// Strategy is a way to decide. The values are those of the settings document.
type Strategy string

// The strategies.
const (
	Threshold    Strategy = "threshold"     // one stage is busy and the other is not
	QueueBalance Strategy = "queue-balance" // as in max-weight scheduling: the longer queue gets the engine
	Predictive   Strategy = "predictive"    // the forecast with the change is better than without
)

// Settings are the parameters of the decisions that operators may set.
type Settings struct {
	Strategy           Strategy
	MinDwell           time.Duration // between two changes of one engine
	ReversalDelay      time.Duration // between a change and one in the other direction
	MaxRackFraction    float64       // of a rack's engines in change at once; one engine always may be
	MaxFleetFraction   float64       // of the fleet's
	MaxPerHour         int           // changes begun
	DrainTime          time.Duration // expected
	WarmUp             time.Duration // from the change until the engine is warm
	ColdThroughput     float64       // share of its warm rate that an engine has at the start
	Horizon            time.Duration // of the forecast
	RefusalBackoff     time.Duration // for which an engine whose change failed is not changed
	MinGain            float64       // in service that is worth a change
	DemandTimeConstant time.Duration // of the smoothed demand
}

// DefaultSettings returns the settings for an operator who sets none.
func DefaultSettings() Settings {
	return Settings{
		Strategy: Predictive, MinDwell: 90 * time.Second, ReversalDelay: 30 * time.Second,
		MaxRackFraction: 0.34, MaxFleetFraction: 0.2, MaxPerHour: 30,
		DrainTime: 8 * time.Second, WarmUp: 14 * time.Second, ColdThroughput: 0.32,
		Horizon: 90 * time.Second, RefusalBackoff: 10 * time.Minute, MinGain: 0.02, DemandTimeConstant: 8 * time.Second,
	}
}

// Validate returns an error that names the field of the settings document that is wrong.
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

// warmthAfter returns the share of its warm rate that an engine has a time after it took its
// role, if that is within WarmUp.
func (s Settings) warmthAfter(t time.Duration) float64 {
	return s.ColdThroughput + (1-s.ColdThroughput)*float64(t)/float64(s.WarmUp)
}
