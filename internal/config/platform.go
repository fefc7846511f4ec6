// Package config reads and validates the gateway's configuration: the platform's object, and the
// operator's file for the chat front. Its types mirror these files: a field is named like its
// setting (least_ms is LeastMS), also where the code that takes the value has another term for it.
// Methods return values with defaults applied, in the types of the packages that take them.
package config

import (
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/internal/settings"
	"wellgw/routing"
)

// EngineEntry is an engine in discovery's form.
type EngineEntry struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// EngineList is discovery's list, whole or as changes.
type EngineList struct {
	Revision int64         `json:"revision"`
	Complete bool          `json:"complete"`
	Members  []EngineEntry `json:"members"`
}

// Limits are the resources that the gateway may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Platform is the platform's configuration.
type Platform struct {
	Name      string     `json:"name"`
	Listen    string     `json:"listen"`
	Discovery string     `json:"discovery"`
	Control   string     `json:"control"` // the control listener's address; "" for none
	Seed      string     `json:"seed"`
	Limits    Limits     `json:"limits"`
	Known     EngineList `json:"known"`

	PeerListen string   `json:"peer_listen"` // where datagrams of other gateways are received
	Peers      []string `json:"peers"`       // addresses of all gateways as this one reaches them, by number
	PeerKeys   string   `json:"-"`           // the operators' key file; "" for no membership protocol

	Options settings.Options `json:"settings"`

	present presentKeys // which keys of the settings the text had
}

// Defaults of the limits: those of the platform's scored days.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// setDefaults sets the limits that are absent.
func (l *Limits) setDefaults() {
	if l.Cores <= 0 {
		l.Cores = 1
	}
	if l.MemoryMB <= 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Sockets <= 0 {
		l.Sockets = defaultSockets
	}
}

// ReadPlatform reads the object in the file that EDGE_CONFIG names; the platform's other variables
// override it. An error names the field.
func ReadPlatform(env func(string) string) (*Platform, error) {
	return readPlatform(env, true)
}

// rereadPlatform is ReadPlatform for a running program: the object overrides the variables, which
// are as old as the process.
func rereadPlatform(env func(string) string) (*Platform, error) {
	return readPlatform(env, false)
}

func readPlatform(env func(string) string, envFirst bool) (*Platform, error) {
	raw, err := readObject(env)
	if err != nil {
		return nil, err
	}
	return parsePlatform(raw, env, envFirst)
}

// readObject reads the text of the object that EDGE_CONFIG names.
func readObject(env func(string) string) ([]byte, error) {
	path := env("EDGE_CONFIG")
	if path == "" {
		return nil, fieldError("EDGE_CONFIG", "not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fieldError("EDGE_CONFIG", "%w", err)
	}
	return raw, nil
}

// ParsePlatform is ReadPlatform on the object's text.
func ParsePlatform(raw []byte, env func(string) string) (*Platform, error) {
	return parsePlatform(raw, env, true)
}

func parsePlatform(raw []byte, env func(string) string, envFirst bool) (*Platform, error) {
	p := &Platform{}
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, p); err != nil {
		return nil, fieldError("EDGE_CONFIG", "%s", oneLine(err))
	}
	for name, field := range map[string]*string{"EDGE_NAME": &p.Name, "EDGE_LISTEN": &p.Listen, "EDGE_DISCOVERY": &p.Discovery, "EDGE_CONTROL": &p.Control, "EDGE_PEER_KEYS": &p.PeerKeys} {
		if v := env(name); v != "" && (envFirst || *field == "") {
			*field = v
		}
	}
	p.present = presentKeysOf(raw)
	p.Limits.setDefaults()
	for _, a := range []struct{ field, value string }{{"listen", p.Listen}, {"discovery", p.Discovery}} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return nil, fieldError(a.field, "%w", err)
		}
	}
	if p.Control != "" {
		if _, _, err := net.SplitHostPort(p.Control); err != nil {
			return nil, fieldError("control", "%w", err)
		}
	}
	if _, err := p.SeedNumber(); err != nil {
		return nil, err
	}
	if p.Options.Info.PinLimit <= 0 {
		return nil, fieldError("settings.family_info.pin_limit", "missing, or not over 0")
	}
	if _, err := routing.New(p.Settings(), 0); err != nil {
		return nil, fieldError("settings", "%w", err)
	}
	return p, nil
}

// MembershipEnabled reports whether the membership protocol runs: the settings allow it, the platform gives
// addresses, and the operators have given a key.
func (p *Platform) MembershipEnabled() bool {
	me := p.Options.Me
	return p.PeerKeys != "" && p.Options.Limits.Peers && p.PeerListen != "" && me >= 0 && me < len(p.Peers) && len(p.Peers) > 1
}

// oneLine returns a decoder's error, which may quote several lines of the text, on one line.
func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }

// SeedNumber returns the seed for random numbers, 0 if none is given.
func (p *Platform) SeedNumber() (uint64, error) {
	if p.Seed == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(p.Seed, 16, 64)
	if err != nil {
		return 0, fieldError("seed", "%w", err)
	}
	return n, nil
}

// Settings returns the settings of the routing policy. Over HTTP every rejection can have a
// Retry-After, also where the simulator's clients get none.
func (p *Platform) Settings() routing.Settings {
	s := p.Options.Settings()
	s.CanRetryAfter = true
	s.MaxSendDelay = settings.Micros(p.Options.Limits.ConnTimeout) // a connection may have to be opened first
	if s.MaxRetryAfter <= 0 {
		s.MaxRetryAfter = 2 * time.Second
	}
	return s
}

// MaxFirstTokenWait returns the longest time that a client waits for a first token.
func (p *Platform) MaxFirstTokenWait() time.Duration {
	longest := time.Duration(0)
	for _, c := range p.Options.Classes {
		longest = max(longest, settings.Micros(c.Limit))
	}
	return longest
}
