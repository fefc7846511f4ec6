package config

import (
	"cmp"
	"net"
	"time"
)

// Peers sets up what the gateways of a tier tell each other about who is there. Without it
// nothing is told and nothing is opened.
type Peers struct {
	Listen          string   `json:"listen"`    // UDP over IPv4
	Advertise       string   `json:"advertise"` // where the others reach it, if elsewhere
	Name            string   `json:"name"`      // of this gateway, the same after a restart
	Tier            string   `json:"tier"`      // gateways of another one are not heard
	Join            []string `json:"join"`
	KeyFile         string   `json:"key_file"`
	IncarnationFile string   `json:"incarnation_file"`
	Protocol        int      `json:"protocol"`      // 1 speaks as the first version did; 0 = the latest
	IntervalMS      int      `json:"interval_ms"`   // between probes; 0 = the default, and so the next two
	TimeoutMS       int      `json:"timeout_ms"`    // for a direct answer
	DeadAfterMS     int      `json:"dead_after_ms"` // of silence
}

// Times are the spans that the file states, 0 for the default.
func (p *Peers) Times() (interval, timeout, deadAfter time.Duration) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	return ms(p.IntervalMS), ms(p.TimeoutMS), ms(p.DeadAfterMS)
}

// What the times default to, in milliseconds, and how many probes a death takes at least: with
// fewer, chance alone makes one.
const (
	usualInterval, usualTimeout, usualDead = 100, 80, 2300
	leastProbes                            = 10
)

// longestName is the most bytes that a gateway's name may hold in a message.
const longestName = 24

func (p *Peers) validate() error {
	if _, _, err := net.SplitHostPort(p.Listen); err != nil {
		return fieldError("peers.listen", "%w", err)
	}
	if _, _, err := net.SplitHostPort(p.Advertise); p.Advertise != "" && err != nil {
		return fieldError("peers.advertise", "%w", err)
	}
	switch {
	case p.Name == "" || len(p.Name) > longestName:
		return fieldError("peers.name", "must hold 1 to %d bytes", longestName)
	case p.Tier == "":
		return fieldError("peers.tier", "missing")
	case p.KeyFile == "":
		return fieldError("peers.key_file", "missing")
	}
	interval, timeout := cmp.Or(p.IntervalMS, usualInterval), cmp.Or(p.TimeoutMS, usualTimeout)
	if dead := cmp.Or(p.DeadAfterMS, usualDead); dead < leastProbes*max(interval, timeout) {
		return fieldError("peers.dead_after_ms", "%d ms of silence are fewer than %d probes of %d ms, waited for %d ms", dead, leastProbes, interval, timeout)
	}
	for i, j := range p.Join {
		if _, _, err := net.SplitHostPort(j); err != nil {
			return fieldError(element("peers.join", i, ""), "%w", err)
		}
	}
	return nil
}
