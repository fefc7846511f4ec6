package config

import (
	"net"
	"net/url"
	"time"
)

// Consul configures the discovery of engines in Consul: the instances of one service, or those of every
// service in the catalogue that has a tag.
type Consul struct {
	Address     string    `json:"address"`   // host and port of an agent
	Addresses   []string  `json:"addresses"` // of further agents, in order of preference; address precedes them
	Service     string    `json:"service"`
	Tag         string    `json:"tag"`    // with service: only the service's instances that have this tag
	Filter      string    `json:"filter"` // expression in Consul's filter language that selects engines
	Datacenter  string    `json:"datacenter"`
	Token       string    `json:"token"`
	TokenFile   string    `json:"token_file"` // file of the token, reloaded when it changes; overrides token
	TLS         *TLS      `json:"tls"`
	Consistency string    `json:"consistency"`  // default, stale or consistent
	WaitMS      int64     `json:"wait_ms"`      // maximum duration of a blocking query
	MaxStaleMS  int64     `json:"max_stale_ms"` // maximum time since the server's last contact with its leader
	HoldMS      int64     `json:"hold_ms"`      // how long an implausible list is not applied
	UnlistedMS  int64     `json:"unlisted_ms"`  // how long engines that respond stay listed after a mass loss
	MaxWatches  int       `json:"max_watches"`  // limit of concurrent queries
	MaxBodyMB   int64     `json:"max_body_mb"`  // limit of a response's length
	CheckPath   string    `json:"check_path"`   // HTTP path for probes of engines; "" = probe by TCP connect
	Register    *Register `json:"register"`
}

// TLS configures TLS connections to agents. The files are reloaded when they change.
type TLS struct {
	CAFile     string `json:"ca_file"`
	CertFile   string `json:"cert_file"`
	KeyFile    string `json:"key_file"`
	ServerName string `json:"server_name"`
}

// Register configures the Consul service under which the gateway registers itself and finds other gateways.
type Register struct {
	Name    string `json:"name"`
	ID      string `json:"id"`
	Address string `json:"address"` // host and port to register; default: listen
	TTLMS   int64  `json:"ttl_ms"`
}

// Defaults of the consul section, and the minimum TTL.
const (
	defaultWait       = 10 * time.Second
	defaultMaxStale   = 10 * time.Second
	defaultHold       = 30 * time.Second
	defaultUnlisted   = 15 * time.Minute
	defaultMaxWatches = 64
	defaultMaxBodyMB  = 16
	defaultTTL        = 10 * time.Second
	minTTL            = time.Second
)

// Agents returns the addresses of all agents, the preferred one first.
func (c *Consul) Agents() []string {
	if c.Address == "" {
		return c.Addresses
	}
	return append([]string{c.Address}, c.Addresses...)
}

// millis converts a setting in milliseconds to a duration; it returns fallback if the setting is not above 0.
func millis(ms int64, fallback time.Duration) time.Duration {
	if ms <= 0 {
		return fallback
	}
	return time.Duration(ms) * time.Millisecond
}

// Wait returns the maximum duration of a blocking query.
func (c *Consul) Wait() time.Duration { return millis(c.WaitMS, defaultWait) }

// MaxStale returns the maximum time since a server's last contact with its leader.
func (c *Consul) MaxStale() time.Duration { return millis(c.MaxStaleMS, defaultMaxStale) }

// Hold returns how long an implausible list is not applied.
func (c *Consul) Hold() time.Duration { return millis(c.HoldMS, defaultHold) }

// Unlisted returns how long an engine that responds stays listed after many engines were lost together.
func (c *Consul) Unlisted() time.Duration { return millis(c.UnlistedMS, defaultUnlisted) }

// Watches returns the limit of concurrent queries.
func (c *Consul) Watches() int {
	if c.MaxWatches <= 0 {
		return defaultMaxWatches
	}
	return c.MaxWatches
}

// MaxBody returns the limit of a response's length, in bytes.
func (c *Consul) MaxBody() int64 {
	if c.MaxBodyMB <= 0 {
		return defaultMaxBodyMB << 20
	}
	return c.MaxBodyMB << 20
}

// TTL returns how long the health check of the registered gateway stays passing without an update.
func (r *Register) TTL() time.Duration { return millis(r.TTLMS, defaultTTL) }

func (c *Consul) validate() error {
	if err := c.validateAgents(); err != nil {
		return err
	}
	if c.Service == "" && c.Tag == "" {
		return fieldError("consul", "give service, or tag, or both")
	}
	switch c.Consistency {
	case "", "default", "stale", "consistent":
	default:
		return fieldError("consul.consistency", "%q is not default, stale or consistent", c.Consistency)
	}
	if c.CheckPath != "" {
		if u, err := url.ParseRequestURI(c.CheckPath); err != nil || u.Host != "" || c.CheckPath[0] != '/' {
			return fieldError("consul.check_path", "%q is no path", c.CheckPath)
		}
	}
	for _, f := range []struct {
		name  string
		value int64
	}{
		{"wait_ms", c.WaitMS}, {"max_stale_ms", c.MaxStaleMS}, {"hold_ms", c.HoldMS}, {"unlisted_ms", c.UnlistedMS},
		{"max_watches", int64(c.MaxWatches)}, {"max_body_mb", c.MaxBodyMB},
	} {
		if f.value < 0 {
			return fieldError("consul."+f.name, "below 0")
		}
	}
	if t := c.TLS; t != nil && (t.CertFile == "") != (t.KeyFile == "") {
		return fieldError("consul.tls", "give cert_file and key_file, or neither")
	}
	return c.Register.validate()
}

func (c *Consul) validateAgents() error {
	agents := c.Agents()
	if len(agents) == 0 {
		return fieldError("consul.address", "give it, or addresses")
	}
	for i, a := range agents {
		if _, _, err := net.SplitHostPort(a); err != nil {
			if i == 0 && c.Address != "" {
				return fieldError("consul.address", "%w", err)
			}
			return fieldError("consul.addresses", "%w", err)
		}
	}
	return nil
}

// validate accepts nil: without the section the gateway does not register itself.
func (r *Register) validate() error {
	if r == nil {
		return nil
	}
	if r.Name == "" {
		return fieldError("consul.register.name", "missing")
	}
	if r.Address != "" {
		if _, _, err := net.SplitHostPort(r.Address); err != nil {
			return fieldError("consul.register.address", "%w", err)
		}
	}
	if r.TTLMS < 0 || r.TTLMS > 0 && r.TTL() < minTTL {
		return fieldError("consul.register.ttl_ms", "below 1000")
	}
	return nil
}
