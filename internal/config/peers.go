package config

import (
	"errors"
	"fmt"
	"net"
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
}

// longestName is the most bytes that a gateway's name may hold in a message.
const longestName = 24

func (p *Peers) validate() error {
	if _, _, err := net.SplitHostPort(p.Listen); err != nil {
		return fmt.Errorf("peers.listen: %w", err)
	}
	if _, _, err := net.SplitHostPort(p.Advertise); p.Advertise != "" && err != nil {
		return fmt.Errorf("peers.advertise: %w", err)
	}
	switch {
	case p.Name == "" || len(p.Name) > longestName:
		return fmt.Errorf("peers.name: must hold 1 to %d bytes", longestName)
	case p.Tier == "":
		return errors.New("peers.tier: missing")
	case p.KeyFile == "":
		return errors.New("peers.key_file: missing")
	}
	for i, j := range p.Join {
		if _, _, err := net.SplitHostPort(j); err != nil {
			return fmt.Errorf("peers.join[%d]: %w", i, err)
		}
	}
	return nil
}
