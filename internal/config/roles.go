package config

import (
	"strings"
	"time"

	"wellgw/decide/rolechange"
	"wellgw/decide/roles"
)

// Roles sets up role changes: engines switch between prefill and decode. It needs consul, where
// the lease and the changes are stored.
type Roles struct {
	DryRun        bool     `json:"dry_run"` // log decisions without carrying them out
	Strategy      string   `json:"strategy"`
	Prefix        string   `json:"prefix"` // of the keys in Consul
	PinEngines    []string `json:"pin_engines"`
	PinRacks      []int    `json:"pin_racks"`
	DwellMS       int64    `json:"dwell_ms"`
	SettleMS      int64    `json:"settle_ms"`
	DrainMS       int64    `json:"drain_ms"`
	ColdMS        int64    `json:"cold_ms"`
	HorizonMS     int64    `json:"horizon_ms"`
	SmoothMS      int64    `json:"smooth_ms"`
	LeaseMS       int64    `json:"lease_ms"`
	ChangesAnHour int      `json:"changes_an_hour"`
	RackPart      float64  `json:"rack_part"`
	FleetPart     float64  `json:"fleet_part"`
}

const (
	defaultPrefix = "wellgw/roles"
	minLease      = 10 * time.Second // the minimum TTL of a session in Consul
)

// Settings returns the settings of the planner.
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

// StepTimeouts returns how long the steps of a change may take.
func (r *Roles) StepTimeouts() rolechange.Timeouts {
	l := rolechange.DefaultTimeouts()
	l.WarmUp = millis(r.ColdMS, l.WarmUp)
	return l
}

// LeaseTTL returns how long an owner that does not renew its lease keeps it at least.
func (r *Roles) LeaseTTL() time.Duration { return max(minLease, millis(r.LeaseMS, minLease)) }

// KeyPrefix returns the prefix of the keys in Consul.
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
