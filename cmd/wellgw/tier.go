package main

import (
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"wellgw/decide/membership"
	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/peers"
)

// join opens what gateways tell each other by, if the file says so.
func (s *sources) join(o *config.Operator) error {
	if o.Peers == nil {
		return nil
	}
	ring, err := peers.ReadKeyring(o.Peers.KeyFile)
	if err != nil {
		return fmt.Errorf("peers.key_file: %w", err)
	}
	interval, timeout, dead := o.Peers.Times()
	var event func(peers.Event)
	if s.tracer != nil {
		event = s.tracer.Member
	}
	s.peers, err = peers.New(peers.Options{
		FirstVersion: o.Peers.Protocol == 1, ProbeInterval: interval, ProbeTimeout: timeout, SuspicionTimeout: dead, OnEvent: event,
		Listen: o.Peers.Listen, Advertise: o.Peers.Advertise, Name: o.Peers.Name, Tier: o.Peers.Tier, Join: o.Peers.Join, Keys: ring,
		IncarnationFile: o.Peers.IncarnationFile, ExpectedGateways: o.Gateways, Log: s.log.With("part", "peers"),
		OnViewChange: func(v membership.View) { s.share(v.Sharing) },
	})
	if err != nil {
		return err
	}
	s.depart = s.peers.Leave
	return nil
}

// The platform prices what gateways tell each other: they probe less often there than on
// machines of the operators' own.
const (
	platformProbes = 500 * time.Millisecond
	platformAnswer = 300 * time.Millisecond
	platformDead   = 6 * time.Second
)

// platformTier opens what the platform's gateways tell each other by; nil where they may not,
// or are not set up to. Each of them knows the others by addresses of its own, so in messages
// a gateway goes by its number: "0.0.0.0:3".
func platformTier(p *config.Platform, c *core.Core, log *slog.Logger) (*peers.Peers, error) {
	if !p.Talk() {
		return nil, nil
	}
	ring, err := peers.ReadKeyring(p.PeerKeys)
	if err != nil {
		return nil, fmt.Errorf("EDGE_PEER_KEYS: %w", err)
	}
	const numbered = "0.0.0.0:"
	opt := peers.Options{
		Listen: p.PeerListen, Advertise: numbered + strconv.Itoa(p.Options.Me), Name: p.Name, Tier: "platform", Keys: ring,
		ProbeInterval: platformProbes, ProbeTimeout: platformAnswer, SuspicionTimeout: platformDead, ExpectedGateways: len(p.Peers), Log: log.With("part", "peers"),
		OnViewChange: func(v membership.View) { c.SetGateways(min(v.Sharing, max(p.Options.Balancers, 1))) },
		TranslateAddr: func(addr string) string {
			if n, err := strconv.Atoi(strings.TrimPrefix(addr, numbered)); err == nil && n >= 0 && n < len(p.Peers) {
				return p.Peers[n]
			}
			return addr
		},
	}
	for n := range p.Peers {
		opt.Join = append(opt.Join, numbered+strconv.Itoa(n))
	}
	return peers.New(opt)
}
