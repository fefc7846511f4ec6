// Package config reads and validates the gateway's configuration: the platform's JSON document, or the
// operator's file for the chat front. Its types mirror these files: a field has the name of its setting
// (least_ms is LeastMS), even if the code that uses the value has another term for it. Methods return values
// with defaults applied, in the types of the packages that use them.
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

// EngineEntry is an engine in discovery's format.
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

// EngineList is discovery's list of engines: the complete list, or a delta.
type EngineList struct {
	Revision int64         `json:"revision"`
	Complete bool          `json:"complete"`
	Members  []EngineEntry `json:"members"`
}

// Limits are the limits of the resources that the gateway uses.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Platform is the configuration that the platform provides.
type Platform struct {
	Name      string     `json:"name"`
	Listen    string     `json:"listen"`
	Discovery string     `json:"discovery"`
	Control   string     `json:"control"` // the control listener's address; "" for none
	Seed      string     `json:"seed"`
	Limits    Limits     `json:"limits"`
	Known     EngineList `json:"known"`

	PeerListen string   `json:"peer_listen"` // address for datagrams from other gateways
	Peers      []string `json:"peers"`       // gateways' addresses as seen from this one, which is at Options.Me
	PeerKeys   string   `json:"-"`           // the operators' key file; "" disables the membership protocol

	Options settings.Options `json:"settings"`

	keys jsonObject // the text, for a comparison of its keys
}

// Defaults of the limits: those of the platform's scored days.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// setDefaults sets the limits that are absent or not above 0.
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

// ReadPlatform reads the document in the file that EDGE_CONFIG names. The platform's other environment
// variables override the document. An error names the invalid field.
func ReadPlatform(env func(string) string) (*Platform, error) {
	return readPlatform(env, true)
}

// rereadPlatform is like ReadPlatform for a running process: the document overrides the environment
// variables, which date from the start of the process.
func rereadPlatform(env func(string) string) (*Platform, error) {
	return readPlatform(env, false)
}

func readPlatform(env func(string) string, envOverrides bool) (*Platform, error) {
	raw, err := readDocument(env)
	if err != nil {
		return nil, err
	}
	return parsePlatform(raw, env, envOverrides)
}

// readDocument reads the text of the file that EDGE_CONFIG names.
func readDocument(env func(string) string) ([]byte, error) {
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

// ParsePlatform is like ReadPlatform for the document's text.
func ParsePlatform(raw []byte, env func(string) string) (*Platform, error) {
	return parsePlatform(raw, env, true)
}

func parsePlatform(raw []byte, env func(string) string, envOverrides bool) (*Platform, error) {
	p := &Platform{}
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, p); err != nil {
		return nil, fieldError("EDGE_CONFIG", "%s", oneLine(err))
	}
	for name, field := range map[string]*string{"EDGE_NAME": &p.Name, "EDGE_LISTEN": &p.Listen, "EDGE_DISCOVERY": &p.Discovery, "EDGE_CONTROL": &p.Control, "EDGE_PEER_KEYS": &p.PeerKeys} {
		if v := env(name); v != "" && (envOverrides || *field == "") {
			*field = v
		}
	}
	p.keys = decodeKeys(raw)
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

// MembershipEnabled reports whether the membership protocol runs: the settings must allow it, and the
// gateways' addresses and the operators' key file must be set.
func (p *Platform) MembershipEnabled() bool {
	index := p.Options.Me
	return p.PeerKeys != "" && p.Options.Limits.Peers && p.PeerListen != "" && index >= 0 && index < len(p.Peers) && len(p.Peers) > 1
}

// oneLine formats a decoder's error, which may quote several lines of the text, on one line.
func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }

// SeedNumber returns the seed for random numbers, 0 if none is set.
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

// Settings returns the settings of the routing policy. Over HTTP every rejection can have a Retry-After, even
// if the settings document, which is also the simulator's, says that rejections have none.
func (p *Platform) Settings() routing.Settings {
	s := p.Options.Settings()
	s.CanRetryAfter = true
	s.MaxSendDelay = settings.Micros(p.Options.Limits.ConnTimeout) // an attempt may need a new connection
	if s.MaxRetryAfter <= 0 {
		s.MaxRetryAfter = 2 * time.Second
	}
	return s
}

// MaxFirstTokenWait returns the maximum time that a client of any class waits for the first token.
func (p *Platform) MaxFirstTokenWait() time.Duration {
	maxWait := time.Duration(0)
	for _, c := range p.Options.Classes {
		maxWait = max(maxWait, settings.Micros(c.Limit))
	}
	return maxWait
}
