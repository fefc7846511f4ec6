package config

import (
	"strings"
	"time"

	"wellgw/decide/rolechange"
	"wellgw/decide/roles"
)

// Roles configures role changes: engines switch between prefill and decode. It requires consul, which stores
// the lease and the changes.
type Roles struct {
	DryRun        bool     `json:"dry_run"` // log decisions without executing them
	Strategy      string   `json:"strategy"`
	Prefix        string   `json:"prefix"` // of the keys in Consul
	PinEngines    []string `json:"pin_engines"`
	PinRacks      []int    `json:"pin_racks"`
	DwellMS       int64    `json:"dwell_ms"`   // minimum time between two changes of one engine
	SettleMS      int64    `json:"settle_ms"`  // between a change and one in the other direction
	DrainMS       int64    `json:"drain_ms"`   // expected duration of a drain
	ColdMS        int64    `json:"cold_ms"`    // warm-up after a change
	HorizonMS     int64    `json:"horizon_ms"` // of the forecast
	SmoothMS      int64    `json:"smooth_ms"`  // time constant of the smoothing of demand
	LeaseMS       int64    `json:"lease_ms"`
	ChangesAnHour int      `json:"changes_an_hour"`
	RackPart      float64  `json:"rack_part"`  // maximum fraction of a rack that changes at the same time
	FleetPart     float64  `json:"fleet_part"` // maximum fraction of the fleet that changes at the same time
}

const (
	defaultPrefix = "wellgw/roles"
	minLease      = 10 * time.Second // the minimum TTL of a session in Consul
)

// Settings returns the planner's settings.
func (r *Roles) Settings() roles.Settings {
	s := roles.DefaultSettings()
	if r.Strategy != "" {
		s.Strategy = roles.Strategy(r.Strategy)
	}
	s.MinDwell, s.ReversalDelay = millis(r.DwellMS, s.MinDwell), millis(r.SettleMS, s.ReversalDelay)
	s.DrainTime, s.WarmUp = millis(r.DrainMS, s.DrainTime), millis(r.ColdMS, s.WarmUp)
	s.Horizon, s.DemandTimeConstant = millis(r.HorizonMS, s.Horizon), millis(r.SmoothMS, s.DemandTimeConstant)
	if r.ChangesAnHour > 0 {
		s.MaxPerHour = r.ChangesAnHour
	}
	if r.RackPart > 0 {
		s.MaxRackFraction = r.RackPart
	}
	if r.FleetPart > 0 {
		s.MaxFleetFraction = r.FleetPart
	}
	return s
}

// StepTimeouts returns the timeouts of the steps of a role change.
func (r *Roles) StepTimeouts() rolechange.Timeouts {
	l := rolechange.DefaultTimeouts()
	l.WarmUp = millis(r.ColdMS, l.WarmUp)
	return l
}

// LeaseTTL returns the minimum time for which an owner that does not renew its lease keeps it.
func (r *Roles) LeaseTTL() time.Duration { return max(minLease, millis(r.LeaseMS, minLease)) }

// KeyPrefix returns the prefix of the keys in Consul, without slashes at its ends.
func (r *Roles) KeyPrefix() string {
	if r.Prefix == "" {
		return defaultPrefix
	}
	return strings.Trim(r.Prefix, "/")
}

func (r *Roles) validate(consul *Consul) error {
	if consul == nil {
		return fieldError("roles", "needs consul, where the lease is kept")
	}
	if err := r.Settings().Validate(); err != nil {
		return inSection("roles", err)
	}
	return nil
}
