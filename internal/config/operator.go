package config

import (
	"fmt"
	"net"
	"os"
	"reflect"
	"slices"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/routing"
)

// Contract is the service level that models are served under. It is a class of the routing policy.
type Contract struct {
	Name       string  `json:"name"`
	Effect     string  `json:"effect"`      // free, or single_shot: the request must not run twice
	AimMS      int64   `json:"aim_ms"`      // latency objective of the first token
	DeadlineMS int64   `json:"deadline_ms"` // of the first token
	Worth      float64 `json:"worth"`       // priority weight
	Continue   int     `json:"continue"`    // limit of continuations at another engine after a break; free only
	SilenceMS  int64   `json:"silence_ms"`  // longest silence of an engine between two events; 0 for the default
}

// MaxSilence is the longest silence of an engine that a contract may allow.
const MaxSilence = time.Minute

// The effects of a contract.
const (
	EffectFree       = "free"
	EffectSingleShot = "single_shot"
)

// Deadline returns the maximum time that a caller waits for the first token.
func (c Contract) Deadline() time.Duration { return time.Duration(c.DeadlineMS) * time.Millisecond }

// Silence returns how long an engine may take for an event after the first one.
func (c Contract) Silence() time.Duration {
	if c.SilenceMS == 0 {
		return defaultSilence
	}
	return time.Duration(c.SilenceMS) * time.Millisecond
}

// Model is a model's name in requests and the contract that it is served under.
type Model struct {
	Name     string `json:"name"`
	Contract string `json:"contract"`
}

// Team is a caller with its API keys, models and quota.
type Team struct {
	Name         string   `json:"name"`
	Keys         []string `json:"keys"`
	Models       []string `json:"models"`
	RequestsPerS float64  `json:"requests_per_s"` // quota; 0 = none
}

// StaticEngine is an engine that is listed in the file.
type StaticEngine struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Role    string `json:"role"` // one of RoleRead, RoleWrite, RoleBoth, RoleOpenAI
	Zone    string `json:"zone"`
	Cell    int    `json:"cell"`
}

// Admin configures the operators' listener, which serves metrics and status, and request traces.
type Admin struct {
	Listen     string  `json:"listen"`
	TraceFile  string  `json:"trace_file"`  // file that spans are appended to; "" for no traces
	TraceShare float64 `json:"trace_share"` // fraction of requests that is traced; 0 = all
}

// TraceFraction returns the fraction of requests that is traced.
func (a Admin) TraceFraction() float64 {
	if a.TraceShare == 0 {
		return 1
	}
	return a.TraceShare
}

// Operator is the operator's file, which configures the chat front.
type Operator struct {
	Listen       string         `json:"listen"`
	Zone         string         `json:"zone"`
	Zones        []string       `json:"zones"`    // default: only Zone
	Gateways     int            `json:"gateways"` // number of gateways that serve the same clients; 0 = unknown
	MemoryTokens float64        `json:"engine_memory_tokens"`
	EngineKey    string         `json:"engine_key"` // API key that is sent to engines of RoleOpenAI
	Limits       Limits         `json:"limits"`
	Contracts    []Contract     `json:"contracts"`
	Models       []Model        `json:"models"`
	Teams        []Team         `json:"teams"`
	Engines      []StaticEngine `json:"engines"`
	Consul       *Consul        `json:"consul"`
	StateFile    string         `json:"state_file"` // file of the last valid list of engines; "" for none
	Admin        *Admin         `json:"admin"`
	Roles        *Roles         `json:"roles"`
	Idempotency  *Idempotency   `json:"idempotency"`
	Peers        *Peers         `json:"peers"`
}

// Roles of an engine. All but openai use the platform's engine protocol; an engine of role openai has only
// the chat API.
const (
	RoleRead   = "read"
	RoleWrite  = "write"
	RoleBoth   = "both"
	RoleOpenAI = "openai"
)

// Defaults of the operator's file.
const (
	defaultMemoryTokens   = 200_000
	defaultConnIdle       = 15 * time.Second
	defaultSilence        = 4500 * time.Millisecond // clients count a stream as lost 5 s after its last event
	defaultConnectTimeout = 250 * time.Millisecond
	defaultDeadlineSlack  = 16 * time.Millisecond
)

// ReadOperator reads an operator's file. An error names the invalid field.
func ReadOperator(path string) (*Operator, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return ParseOperator(raw)
}

// ParseOperator parses the text of an operator's file. An unknown field is an error: otherwise a misspelt
// field would be ignored without notice.
func ParseOperator(raw []byte) (*Operator, error) {
	if err := checkSchema(raw); err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	o := &Operator{}
	api := jsoniter.Config{EscapeHTML: true, DisallowUnknownFields: true}.Froze()
	if err := api.Unmarshal(raw, o); err != nil {
		return nil, fmt.Errorf("operator's file: %s", oneLine(err))
	}
	if len(o.Zones) == 0 {
		o.Zones = []string{o.Zone}
	}
	if o.MemoryTokens <= 0 {
		o.MemoryTokens = defaultMemoryTokens
	}
	o.Limits.setDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	if _, err := routing.New(o.Settings(), 0); err != nil {
		return nil, fieldError("contracts", "%w", err)
	}
	return o, nil
}

func (o *Operator) validate() error {
	if _, _, err := net.SplitHostPort(o.Listen); err != nil {
		return fieldError("listen", "%w", err)
	}
	if len(o.Engines) == 0 && o.Consul == nil {
		return fieldError("engines", "none given, and no consul")
	}
	if c := o.Consul; c != nil {
		if err := c.validate(); err != nil {
			return err
		}
	}
	if o.Roles != nil {
		if err := o.Roles.validate(o.Consul); err != nil {
			return err
		}
	}
	if o.Peers != nil {
		if err := o.Peers.validate(); err != nil {
			return err
		}
	}
	if o.StateFile != "" && o.Consul == nil {
		return fieldError("state_file", "there is nothing to keep without consul")
	}
	if err := o.Admin.validate(); err != nil {
		return err
	}
	if err := o.validateKeys(); err != nil {
		return err
	}
	contracts, err := o.validateContracts()
	if err != nil {
		return err
	}
	models, err := o.validateModels(contracts)
	if err != nil {
		return err
	}
	if err := o.validateTeams(models); err != nil {
		return err
	}
	return o.validateEngines()
}

func (a *Admin) validate() error {
	if a == nil {
		return nil
	}
	if _, _, err := net.SplitHostPort(a.Listen); err != nil {
		return fieldError("admin.listen", "%w", err)
	}
	if a.TraceShare < 0 || a.TraceShare > 1 {
		return fieldError("admin.trace_share", "must lie between 0 and 1")
	}
	return nil
}

// validateContracts validates the contracts and returns their names.
func (o *Operator) validateContracts() (map[string]bool, error) {
	contracts := map[string]bool{}
	for i, c := range o.Contracts {
		switch {
		case c.Name == "" || contracts[c.Name]:
			return nil, fieldError(elementPath("contracts", i, "name"), "missing or given twice")
		case c.Effect != EffectFree && c.Effect != EffectSingleShot:
			return nil, fieldError(elementPath("contracts", i, "effect"), "%q is neither free nor single_shot", c.Effect)
		case c.AimMS <= 0 || c.DeadlineMS < c.AimMS:
			return nil, fieldError(elementPath("contracts", i, ""), "aim_ms must be above 0 and deadline_ms no less")
		case c.Continue < 0 || c.Continue > 0 && c.Effect != EffectFree:
			return nil, fieldError(elementPath("contracts", i, "continue"), "only a free contract lets an answer go on at another engine")
		case c.SilenceMS < 0 || c.Silence() > MaxSilence:
			return nil, fieldError(elementPath("contracts", i, "silence_ms"), "must be from 0, the default, to %d", MaxSilence.Milliseconds())
		}
		contracts[c.Name] = true
	}
	return contracts, nil
}

// validateModels validates the models and returns their names.
func (o *Operator) validateModels(contracts map[string]bool) (map[string]bool, error) {
	models := map[string]bool{}
	for i, m := range o.Models {
		if m.Name == "" || models[m.Name] {
			return nil, fieldError(elementPath("models", i, "name"), "missing or given twice")
		}
		if !contracts[m.Contract] {
			return nil, fieldError(elementPath("models", i, "contract"), "%q is not a contract", m.Contract)
		}
		models[m.Name] = true
	}
	return models, nil
}

func (o *Operator) validateTeams(models map[string]bool) error {
	names, keys := map[string]bool{}, map[string]bool{}
	for i, t := range o.Teams {
		if t.Name == "" || names[t.Name] {
			return fieldError(elementPath("teams", i, "name"), "missing or given twice")
		}
		names[t.Name] = true
		if t.RequestsPerS < 0 {
			return fieldError(elementPath("teams", i, "requests_per_s"), "below 0")
		}
		for _, k := range t.Keys {
			if k == "" || keys[k] {
				return fieldError(elementPath("teams", i, "keys"), "empty or given twice")
			}
			keys[k] = true
		}
		for _, m := range t.Models {
			if !models[m] {
				return fieldError(elementPath("teams", i, "models"), "%q is not a model", m)
			}
		}
	}
	return nil
}

func (o *Operator) validateEngines() error {
	ids := map[string]bool{}
	for i, e := range o.Engines {
		if e.ID == "" || ids[e.ID] {
			return fieldError(elementPath("engines", i, "id"), "missing or given twice")
		}
		ids[e.ID] = true
		if _, _, err := net.SplitHostPort(e.Address); err != nil {
			return fieldError(elementPath("engines", i, "address"), "%w", err)
		}
		if !slices.Contains([]string{RoleRead, RoleWrite, RoleBoth, RoleOpenAI}, e.Role) {
			return fieldError(elementPath("engines", i, "role"), "%q is not read, write, both or openai", e.Role)
		}
	}
	return nil
}

// CheckReload returns an error if next can't replace o without a restart of the process. A change of the
// routing policy's settings needs a restart: contracts, teams and their quotas, zones. So does a change of
// listen, limits, consul.register, roles, peers, idempotency, state_file or admin, and of whether there is a
// consul section.
func (o *Operator) CheckReload(next *Operator) error {
	switch {
	case o.Listen != next.Listen || o.Limits != next.Limits:
		return fieldError("listen, limits", "need a restart")
	case !reflect.DeepEqual(o.Settings(), next.Settings()) || !slices.Equal(o.Contracts, next.Contracts) || o.Gateways != next.Gateways:
		return fieldError("contracts, teams, budgets, zones, gateways", "need a restart")
	case (o.Consul == nil) != (next.Consul == nil):
		return fieldError("consul", "to begin or end its use needs a restart")
	case o.Consul != nil && !reflect.DeepEqual(o.Consul.Register, next.Consul.Register):
		return fieldError("consul.register", "needs a restart")
	case !reflect.DeepEqual(o.Roles, next.Roles):
		return fieldError("roles", "needs a restart")
	case !reflect.DeepEqual(o.Peers, next.Peers):
		return fieldError("peers", "needs a restart")
	case !reflect.DeepEqual(o.Idempotency, next.Idempotency):
		return fieldError("idempotency", "needs a restart")
	case o.StateFile != next.StateFile || !reflect.DeepEqual(o.Admin, next.Admin):
		return fieldError("state_file, admin", "need a restart")
	}
	return nil
}

// Settings returns the settings of the routing policy for the chat front. Requests over a team's quota have
// no priority weight, so the policy rejects them.
func (o *Operator) Settings() routing.Settings {
	s := routing.Settings{
		Zone: o.Zone, Zones: o.Zones, Gateways: max(o.Gateways, 1),
		CanCancel: true, CanRetryAfter: true, MaxRetryAfter: 30 * time.Second, MaxAttempts: 4,
		SlowStartPeriod: 14 * time.Second, SlowStartCapacity: 0.3, OverloadWindow: 3 * time.Second, OverloadMultiple: 4,
		HeldStateLimit: 500 * time.Millisecond, TickInterval: 4 * time.Millisecond,
		Kinds: []routing.EngineKind{
			{Name: RoleRead, Role: routing.RolePrefill, Memory: o.MemoryTokens},
			{Name: RoleWrite, Role: routing.RoleDecode, Memory: o.MemoryTokens},
			{Name: RoleBoth, Role: routing.RoleMixed, Memory: o.MemoryTokens},
			{Name: RoleOpenAI, Role: routing.RoleMixed, Memory: o.MemoryTokens},
		},
	}
	for _, c := range o.Contracts {
		class := routing.Class{
			Name: c.Name, FirstTokenObjective: time.Duration(c.AimMS) * time.Millisecond,
			FirstTokenPerPromptToken: 40 * time.Microsecond, TokenIntervalObjective: 80 * time.Millisecond, PriorityWeight: max(c.Worth, 0.01),
		}
		if c.Effect == EffectSingleShot {
			class.Effect = routing.EffectAtMostOnce
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range o.Teams {
		s.Tenants = append(s.Tenants, routing.Tenant{Name: t.Name, Quota: t.RequestsPerS})
	}
	return s
}

// FixedTimeouts returns the timeouts that have no setting in the operator's file: for opening a connection,
// for idle connections, and the slack of deadlines.
func (o *Operator) FixedTimeouts() (connect, idle, slack time.Duration) {
	return defaultConnectTimeout, defaultConnIdle, defaultDeadlineSlack
}
