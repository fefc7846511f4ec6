package config

import (
	"net"
	"net/url"
	"time"
)

// Consul says where engines are listed: under one service, or under every service
// of the catalogue that carries a tag.
type Consul struct {
	Address     string    `json:"address"`   // of one agent
	Addresses   []string  `json:"addresses"` // or of several, the first preferred
	Service     string    `json:"service"`
	Tag         string    `json:"tag"`    // with service: of its engines, those that carry it
	Filter      string    `json:"filter"` // an expression of Consul's filter language, for engines
	Datacenter  string    `json:"datacenter"`
	Token       string    `json:"token"`
	TokenFile   string    `json:"token_file"` // read anew as it changes; comes before token
	TLS         *TLS      `json:"tls"`
	Consistency string    `json:"consistency"` // default, stale or consistent
	WaitMS      int64     `json:"wait_ms"`     // longest blocking query
	MaxStaleMS  int64     `json:"max_stale_ms"`
	HoldMS      int64     `json:"hold_ms"`     // how long a doubted view is held back
	UnlistedMS  int64     `json:"unlisted_ms"` // how long an engine that answers outlives a loss of many
	MaxWatches  int       `json:"max_watches"`
	MaxBodyMB   int64     `json:"max_body_mb"`
	CheckPath   string    `json:"check_path"` // asked of engines in doubt; without it a connection is enough
	Register    *Register `json:"register"`
}

// TLS says how an agent is spoken with over TLS. The files are read anew as they change.
type TLS struct {
	CAFile     string `json:"ca_file"`
	CertFile   string `json:"cert_file"`
	KeyFile    string `json:"key_file"`
	ServerName string `json:"server_name"`
}

// Register says as what the gateway lists itself, and where the others are found.
type Register struct {
	Name    string `json:"name"`
	ID      string `json:"id"`
	Address string `json:"address"` // host and port that are listed; default: listen
	TTLMS   int64  `json:"ttl_ms"`
}

// Defaults of the section, and the least that makes sense.
const (
	defaultWait     = 10 * time.Second
	defaultMaxStale = 10 * time.Second
	defaultHold     = 30 * time.Second
	defaultUnlisted = 15 * time.Minute
	defaultWatches  = 64
	defaultBodyMB   = 16
	defaultTTL      = 10 * time.Second
	leastTTL        = time.Second
)

// Agents are the addresses of all agents, the preferred one first.
func (c *Consul) Agents() []string {
	if c.Address == "" {
		return c.Addresses
	}
	return append([]string{c.Address}, c.Addresses...)
}

func millis(ms int64, none time.Duration) time.Duration {
	if ms <= 0 {
		return none
	}
	return time.Duration(ms) * time.Millisecond
}

// Wait is the longest that a blocking query is to take.
func (c *Consul) Wait() time.Duration { return millis(c.WaitMS, defaultWait) }

// MaxStale is how long ago a server may have heard from its leader.
func (c *Consul) MaxStale() time.Duration { return millis(c.MaxStaleMS, defaultMaxStale) }

// Hold is how long a view that cannot be believed is held back.
func (c *Consul) Hold() time.Duration { return millis(c.HoldMS, defaultHold) }

// Unlisted is how long an engine that answers is kept after many were lost at once.
func (c *Consul) Unlisted() time.Duration { return millis(c.UnlistedMS, defaultUnlisted) }

// Watches is how many queries may be open at once.
func (c *Consul) Watches() int {
	if c.MaxWatches <= 0 {
		return defaultWatches
	}
	return c.MaxWatches
}

// MaxBody is the longest answer that is read, in bytes.
func (c *Consul) MaxBody() int64 {
	if c.MaxBodyMB <= 0 {
		return defaultBodyMB << 20
	}
	return c.MaxBodyMB << 20
}

// TTL is how long the gateway's own check stays passing.
func (r *Register) TTL() time.Duration { return millis(r.TTLMS, defaultTTL) }

func (c *Consul) validate() error {
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
	if r := c.Register; r != nil {
		if r.Name == "" {
			return fieldError("consul.register.name", "missing")
		}
		if r.Address != "" {
			if _, _, err := net.SplitHostPort(r.Address); err != nil {
				return fieldError("consul.register.address", "%w", err)
			}
		}
		if r.TTLMS < 0 || r.TTLMS > 0 && r.TTL() < leastTTL {
			return fieldError("consul.register.ttl_ms", "below 1000")
		}
	}
	return nil
}
