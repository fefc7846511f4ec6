package config

import (
	"cmp"
	"net"
	"time"
)

// Peers configures the membership protocol between the gateways of a tier. Without this section, no socket
// is opened.
type Peers struct {
	Listen          string   `json:"listen"`    // UDP over IPv4
	Advertise       string   `json:"advertise"` // address that other gateways use; default: listen
	Name            string   `json:"name"`      // of this gateway; must not change with a restart
	Tier            string   `json:"tier"`      // messages from gateways of another tier are ignored
	Join            []string `json:"join"`      // addresses of gateways to join
	KeyFile         string   `json:"key_file"`
	IncarnationFile string   `json:"incarnation_file"`
	Protocol        int      `json:"protocol"`      // protocol version; 0 = the latest
	IntervalMS      int      `json:"interval_ms"`   // between probes; 0 = default, also for the next two
	TimeoutMS       int      `json:"timeout_ms"`    // of a direct probe
	DeadAfterMS     int      `json:"dead_after_ms"` // time without a response
}

// Timings returns the durations that the file sets, 0 for the default.
func (p *Peers) Timings() (interval, timeout, deadAfter time.Duration) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	return ms(p.IntervalMS), ms(p.TimeoutMS), ms(p.DeadAfterMS)
}

// Defaults of the timings, and the minimum number of consecutive probes that must fail before a gateway is
// declared dead: with fewer, the loss of datagrams alone can have a running gateway declared dead.
const (
	defaultIntervalMS  = 100
	defaultTimeoutMS   = 80
	defaultDeadAfterMS = 2300
	minProbes          = 10
)

// maxNameBytes is the maximum length of a gateway's name in the protocol's messages.
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
