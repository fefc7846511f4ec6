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

// openPeers opens what gateways tell each other by, if the file says so.
func (s *engineSources) openPeers(o *config.Operator) error {
	if o.Peers == nil {
		return nil
	}
	ring, err := peers.ReadKeyring(o.Peers.KeyFile)
	if err != nil {
		return fmt.Errorf("peers.key_file: %w", err)
	}
	interval, timeout, dead := o.Peers.Timings()
	var event func(peers.Event)
	if s.tracer != nil {
		event = s.tracer.MemberEvent
	}
	s.peers, err = peers.New(peers.Options{
		ProtocolV1Only: o.Peers.Protocol == 1, ProbeInterval: interval, ProbeTimeout: timeout, SuspicionTimeout: dead, OnEvent: event,
		Listen: o.Peers.Listen, Advertise: o.Peers.Advertise, Name: o.Peers.Name, Tier: o.Peers.Tier, Join: o.Peers.Join, Keys: ring,
		IncarnationFile: o.Peers.IncarnationFile, ExpectedGateways: o.Gateways, Log: s.log.With("part", "peers"),
		OnViewChange: func(v membership.View) { s.setSharing(v.ActiveGateways) },
	})
	return err
}

// The platform prices what gateways tell each other: they probe less often there than on
// machines of the operators' own.
const (
	platformProbeInterval    = 500 * time.Millisecond
	platformProbeTimeout     = 300 * time.Millisecond
	platformSuspicionTimeout = 6 * time.Second
)

// platformPeerHost stands for every host in the platform's peer addresses. Each gateway reaches the
// others by addresses of its own, so in messages a gateway is named by its number: "0.0.0.0:3".
const platformPeerHost = "0.0.0.0:"

// platformPeerAddress is how other gateways name the one with this number.
func platformPeerAddress(number int) string { return platformPeerHost + strconv.Itoa(number) }

// platformPeerRoute returns what resolves these names by the addresses that this gateway was given;
// any other address is taken as it is.
func platformPeerRoute(addresses []string) func(address string) string {
	return func(address string) string {
		n, err := strconv.Atoi(strings.TrimPrefix(address, platformPeerHost))
		if err != nil || n < 0 || n >= len(addresses) {
			return address
		}
		return addresses[n]
	}
}

// newPlatformTier opens what the platform's gateways tell each other by; nil where they may not,
// or are not set up to.
func newPlatformTier(p *config.Platform, c *core.Core, log *slog.Logger) (*peers.Peers, error) {
	if !p.MembershipEnabled() {
		return nil, nil
	}
	ring, err := peers.ReadKeyring(p.PeerKeys)
	if err != nil {
		return nil, fmt.Errorf("EDGE_PEER_KEYS: %w", err)
	}
	options := peers.Options{
		Listen: p.PeerListen, Advertise: platformPeerAddress(p.Options.Me), Name: p.Name, Tier: "platform", Keys: ring,
		ProbeInterval: platformProbeInterval, ProbeTimeout: platformProbeTimeout, SuspicionTimeout: platformSuspicionTimeout, ExpectedGateways: len(p.Peers), Log: log.With("part", "peers"),
		OnViewChange:  func(v membership.View) { c.SetGateways(min(v.ActiveGateways, max(p.Options.Balancers, 1))) },
		TranslateAddr: platformPeerRoute(p.Peers),
	}
	for n := range p.Peers {
		options.Join = append(options.Join, platformPeerAddress(n))
	}
	return peers.New(options)
}
