package main

import (
	"context"
	"maps"
	"net/http"

	"wellgw/internal/accept"
	"wellgw/internal/admin"
	"wellgw/internal/telemetry"
)

// serveAdmin serves the admin pages and metrics until ctx is done.
func (s *engineSources) serveAdmin(ctx context.Context) {
	view := func() admin.View { return s.adminView(ctx) }
	pages := admin.Pages{admin.EnginesPath: func() any { return view() }}
	metrics := telemetry.Views{Engines: view}
	if s.roles != nil {
		metrics.Roles = s.roles.Status
		pages[admin.RolesPath] = func() any { return s.roles.Status() }
	}
	if s.peers != nil {
		metrics.Peers = s.peers.Status
		pages[admin.PeersPath] = func() any { return s.peers.Status() }
	}
	admin.Serve(ctx, accept.New(s.admin, s.log), pages, map[string]http.Handler{telemetry.Path: telemetry.Handler(metrics)}, s.log)
}

// adminView returns a snapshot of the gateway's engines and counters.
func (s *engineSources) adminView(ctx context.Context) admin.View {
	v := admin.View{View: s.directory.View(), Counts: s.core.Counts(ctx), Gateways: s.status.gatewayCount()}
	if s.consul != nil {
		v.Consul = s.consul.Stats()
	}
	if v.Counts == nil { // the core has stopped
		return v
	}
	maps.Copy(v.Counts, s.frontCounts())
	if clients := s.status.clients.Load(); clients != nil {
		for reason, n := range clients.CloseCounts() {
			v.Counts["closed "+reason] = n
		}
	}
	return v
}
