// Package settings defines the settings document of a deployment, which the platform and the simulator
// provide, and converts it into the settings of the routing policy and the gateway.
package settings

import (
	"math"
	"slices"
	"time"

	"wellgw/routing"
)

// Options mirrors the settings document. Unknown keys are ignored. Durations are in microseconds.
type Options struct {
	Az        string   `json:"az"`
	Zones     []string `json:"zones"`
	Balancers int      `json:"balancers"`
	Classes   []struct {
		Name   string  `json:"name"`
		Aim    int64   `json:"aim"`
		Effect string  `json:"effect"`
		Group  string  `json:"group"`
		Window int64   `json:"window"`
		Gain   float64 `json:"gain"`
		Limit  int64   `json:"hard_limit"`
	} `json:"classes"`
	Info struct {
		AimPer1000 []float64 `json:"aim_us_per_1000_prompt_tokens"`
		Duty       []string  `json:"duty_by_kind"`
		LocalRead  bool      `json:"local_read"`
		PinLimit   int64     `json:"pin_limit"`
		Resume     bool      `json:"resume"`
		TokenAim   []float64 `json:"token_aim"`
		Tokens     []float64 `json:"tokens_by_kind"`
	} `json:"family_info"`
	Me     int      `json:"me"` // this gateway's number, from 0
	Kinds  []string `json:"kinds"`
	Limits struct {
		Cancelling    bool  `json:"cancelling"`
		ConnIdle      int64 `json:"conn_idle"`
		ConnTimeout   int64 `json:"connect_timeout"`
		MaxRetryAfter int64 `json:"max_retry_after"`
		Peers         bool  `json:"peers"` // gateways may send each other datagrams
		Probes        bool  `json:"probes"`
		RetryAfter    bool  `json:"retry_after"`
		SendCap       int   `json:"send_cap"`
	} `json:"limits"`
	Membership string `json:"membership_mode"`
	Report     struct {
		Columns []string `json:"columns"`
		Source  string   `json:"source"`
	} `json:"report"`
	OverShareWorth float64 `json:"over_share_worth"`
	Rules          struct {
		AnswerSlack  int64   `json:"answer_slack"`
		Cold         int64   `json:"cold"`
		ColdShare    float64 `json:"cold_share"`
		DrainGrace   int64   `json:"drain_grace"`
		Fall         int64   `json:"fall"`
		FallMultiple float64 `json:"fall_multiple"`
	} `json:"rules"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	} `json:"tenants"`
	Tick int64 `json:"tick"`
}

// Micros converts the document's microseconds into a duration. A value that does not fit is converted to the
// maximum duration.
func Micros(n int64) time.Duration {
	if n > math.MaxInt64/1000 || n < math.MinInt64/1000 {
		return math.MaxInt64
	}
	return time.Duration(n) * time.Microsecond
}

func atOrZero[T any](list []T, i int) (element T) {
	if i < len(list) {
		element = list[i]
	}
	return element
}

var roles = map[string]routing.Role{
	"read": routing.RolePrefill, "write": routing.RoleDecode, "both": routing.RoleMixed,
}

// Effects and groups of a class in the document.
const (
	EffectFree    = "free"
	EffectGuarded = "guarded"

	groupAll  = "all"
	groupZone = "zone"
	groupCell = "cell"
	groupBay  = "bay" // another name of a cell
)

var groups = map[string]routing.DedupScope{
	groupAll: routing.DedupAllEngines, groupZone: routing.DedupZone, groupCell: routing.DedupCell, groupBay: routing.DedupCell,
}

// effect returns the effect of a class and the scope in which its duplicates are dropped. An effect, or the
// group of a guarded class, that is missing or unknown must not permit a repetition.
func effect(name, group string) (routing.Effect, routing.DedupScope) {
	scope, groupKnown := groups[group]
	switch {
	case name == EffectFree:
		return routing.EffectIdempotent, scope
	case name == EffectGuarded && groupKnown:
		return routing.EffectDeduplicated, scope
	}
	return routing.EffectAtMostOnce, scope
}

// Settings returns the settings of the routing policy.
func (o *Options) Settings() routing.Settings {
	s := routing.Settings{
		Zone: o.Az, Zones: o.Zones, Gateways: o.Balancers,
		DecodePrefills:  o.Info.LocalRead,
		OverQuotaWeight: o.OverShareWorth, MustSubscribe: o.Membership == "subscribe",
		CanCancel: o.Limits.Cancelling, CanRetryAfter: o.Limits.RetryAfter,
		MaxRetryAfter: Micros(o.Limits.MaxRetryAfter), MaxAttempts: o.Limits.SendCap,
		SlowStartPeriod: Micros(o.Rules.Cold), SlowStartCapacity: o.Rules.ColdShare, OverloadWindow: Micros(o.Rules.Fall),
		OverloadMultiple: o.Rules.FallMultiple, HeldStateLimit: Micros(o.Info.PinLimit), TickInterval: Micros(o.Tick),
		// The cost of a probe is justified only if the load report in its response has the queue.
		CanProbe: o.Limits.Probes && o.Report.Source == "pull" &&
			(slices.Contains(o.Report.Columns, "queue") || slices.Contains(o.Report.Columns, "x1")),
	}
	for i, c := range o.Classes {
		classEffect, scope := effect(c.Effect, c.Group)
		s.Classes = append(s.Classes, routing.Class{
			Name: c.Name, FirstTokenObjective: Micros(c.Aim), PriorityWeight: c.Gain,
			FirstTokenPerPromptToken: time.Duration(atOrZero(o.Info.AimPer1000, i)), // us per 1,000 = ns per 1
			TokenIntervalObjective:   Micros(int64(atOrZero(o.Info.TokenAim, i))),
			Effect:                   classEffect, DedupScope: scope, DedupWindow: Micros(c.Window),
		})
	}
	for i, k := range o.Kinds {
		s.Kinds = append(s.Kinds, routing.EngineKind{
			Name: k, Role: roles[atOrZero(o.Info.Duty, i)], Memory: atOrZero(o.Info.Tokens, i),
		})
	}
	for _, t := range o.Tenants {
		s.Tenants = append(s.Tenants, routing.Tenant{Name: t.Name, Quota: t.Quota})
	}
	return s
}
