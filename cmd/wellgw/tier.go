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

// openPeers creates the peer protocol's endpoint if the file configures peers.
func (s *engineSources) openPeers(o *config.Operator) error {
	if o.Peers == nil {
		return nil
	}
	keyring, err := peers.ReadKeyring(o.Peers.KeyFile)
	if err != nil {
		return fmt.Errorf("peers.key_file: %w", err)
	}
	interval, timeout, suspicionTimeout := o.Peers.Timings()
	var event func(peers.Event)
	if s.tracer != nil {
		event = s.tracer.MemberEvent
	}
	s.peers, err = peers.New(peers.Options{
		ProtocolV1Only: o.Peers.Protocol == 1, ProbeInterval: interval, ProbeTimeout: timeout, SuspicionTimeout: suspicionTimeout, OnEvent: event,
		Listen: o.Peers.Listen, Advertise: o.Peers.Advertise, Name: o.Peers.Name, Tier: o.Peers.Tier, Join: o.Peers.Join, Keys: keyring,
		IncarnationFile: o.Peers.IncarnationFile, ExpectedGateways: o.Gateways, Log: s.log.With("part", "peers"),
		OnViewChange: func(v membership.View) { s.setGatewayCount(v.ActiveGateways) },
	})
	return err
}

// Intervals on the platform. It charges for messages between gateways, so they probe less often there
// than on operators' machines.
const (
	platformProbeInterval    = 500 * time.Millisecond
	platformProbeTimeout     = 300 * time.Millisecond
	platformSuspicionTimeout = 6 * time.Second
)

// platformPeerHost replaces the host in the platform's peer addresses. Each gateway reaches its peers at
// different addresses, so messages identify a gateway by its number in place of the port: "0.0.0.0:3".
const platformPeerHost = "0.0.0.0:"

// platformPeerAddress returns the address that identifies a gateway by its number in messages.
func platformPeerAddress(number int) string { return platformPeerHost + strconv.Itoa(number) }

// platformPeerRoute returns a function that translates a platformPeerAddress to the address in the list
// with that index; it returns any other address unchanged.
func platformPeerRoute(addresses []string) func(address string) string {
	return func(address string) string {
		number, err := strconv.Atoi(strings.TrimPrefix(address, platformPeerHost))
		if err != nil || number < 0 || number >= len(addresses) {
			return address
		}
		return addresses[number]
	}
}

// newPlatformTier creates the peer protocol's endpoint on the platform; nil if the settings don't allow
// peers or the gateway is not configured for them.
func newPlatformTier(p *config.Platform, c *core.Core, log *slog.Logger) (*peers.Peers, error) {
	if !p.MembershipEnabled() {
		return nil, nil
	}
	keyring, err := peers.ReadKeyring(p.PeerKeys)
	if err != nil {
		return nil, fmt.Errorf("EDGE_PEER_KEYS: %w", err)
	}
	options := peers.Options{
		Listen: p.PeerListen, Advertise: platformPeerAddress(p.Options.Me), Name: p.Name, Tier: "platform", Keys: keyring,
		ProbeInterval: platformProbeInterval, ProbeTimeout: platformProbeTimeout, SuspicionTimeout: platformSuspicionTimeout, ExpectedGateways: len(p.Peers), Log: log.With("part", "peers"),
		OnViewChange:  func(v membership.View) { c.SetGateways(min(v.ActiveGateways, max(p.Options.Balancers, 1))) },
		TranslateAddr: platformPeerRoute(p.Peers),
	}
	for number := range p.Peers {
		options.Join = append(options.Join, platformPeerAddress(number))
	}
	return peers.New(options)
}
