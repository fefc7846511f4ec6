package config

import (
	"cmp"
	"net"
	"time"
)

// Peers sets up the membership protocol between the gateways of a tier. Without it no socket is
// opened.
type Peers struct {
	Listen          string   `json:"listen"`    // UDP over IPv4
	Advertise       string   `json:"advertise"` // the address for other gateways, if not listen
	Name            string   `json:"name"`      // of this gateway, the same after a restart
	Tier            string   `json:"tier"`      // messages from gateways of another tier are ignored
	Join            []string `json:"join"`
	KeyFile         string   `json:"key_file"`
	IncarnationFile string   `json:"incarnation_file"`
	Protocol        int      `json:"protocol"`      // version of the protocol; 0 = the latest
	IntervalMS      int      `json:"interval_ms"`   // between probes; 0 = the default, and so the next two
	TimeoutMS       int      `json:"timeout_ms"`    // for a direct answer
	DeadAfterMS     int      `json:"dead_after_ms"` // of silence
}

// Timings returns the durations that the file states, 0 for the default.
func (p *Peers) Timings() (interval, timeout, deadAfter time.Duration) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	return ms(p.IntervalMS), ms(p.TimeoutMS), ms(p.DeadAfterMS)
}

// Defaults of the times, and how many probes in a row must fail at least before a gateway is
// declared dead: with fewer, lost datagrams alone are enough.
const (
	defaultIntervalMS  = 100
	defaultTimeoutMS   = 80
	defaultDeadAfterMS = 2300
	minProbes          = 10
)

// maxNameBytes is the limit of a gateway's name in the protocol's messages.
const maxNameBytes = 24

func (p *Peers) validate() error {
	if _, _, err := net.SplitHostPort(p.Listen); err != nil {
		return fieldError("peers.listen", "%w", err)
	}
	if _, _, err := net.SplitHostPort(p.Advertise); p.Advertise != "" && err != nil {
		return fieldError("peers.advertise", "%w", err)
	}
	switch {
	case p.Name == "" || len(p.Name) > maxNameBytes:
		return fieldError("peers.name", "must hold 1 to %d bytes", maxNameBytes)
	case p.Tier == "":
		return fieldError("peers.tier", "missing")
	case p.KeyFile == "":
		return fieldError("peers.key_file", "missing")
	}
	interval, timeout := cmp.Or(p.IntervalMS, defaultIntervalMS), cmp.Or(p.TimeoutMS, defaultTimeoutMS)
	if dead := cmp.Or(p.DeadAfterMS, defaultDeadAfterMS); dead < minProbes*max(interval, timeout) {
		return fieldError("peers.dead_after_ms", "%d ms of silence are fewer than %d probes of %d ms, waited for %d ms", dead, minProbes, interval, timeout)
	}
	for i, j := range p.Join {
		if _, _, err := net.SplitHostPort(j); err != nil {
			return fieldError(elementPath("peers.join", i, ""), "%w", err)
		}
	}
	return nil
}
