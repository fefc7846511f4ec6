package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"wellgw/decide/rolechange"
	"wellgw/decide/roster"
	"wellgw/internal/accept"
	"wellgw/internal/config"
	"wellgw/internal/consul"
	"wellgw/internal/core"
	"wellgw/internal/directory"
	"wellgw/internal/peers"
	"wellgw/internal/rolectl"
	"wellgw/internal/telemetry"
)

// traceFlushTimeout bounds the writing of the last spans.
const traceFlushTimeout = 250 * time.Millisecond

// engineSources are where a chat gateway learns of its engines: the operator's file and, if that
// says so, Consul; and what goes by that: role changes, the other gateways, the admin pages.
type engineSources struct {
	log         *slog.Logger
	status      *status
	frontCounts func() map[string]int // of the front's own; see chatGateway.frontCounts

	core      *core.Core
	directory *directory.Directory
	consul    *consul.Discovery   // nil without Consul
	roles     *rolectl.Controller // nil where engines keep their roles
	tracer    *telemetry.Tracer   // nil without traces
	admin     net.Listener        // nil without admin pages
	peers     *peers.Peers        // nil where gateways tell each other nothing
}

// newEngineSources opens all of them; an error names the field of the file that can't be used.
func newEngineSources(o *config.Operator, g *gateway, c *core.Core, frontCounts func() map[string]int) (*engineSources, error) {
	s := &engineSources{log: g.log, status: g.status, frontCounts: frontCounts, core: c}
	s.status.gateways.Store(int64(max(o.Gateways, 1)))
	s.directory = s.newDirectory(o)
	for _, open := range []func(*config.Operator) error{s.openTraces, s.openAdmin, s.openRoles, s.openPeers, s.openConsul} {
		if err := open(o); err != nil {
			return nil, err
		}
	}
	directory.ReplaceFileEngines(s.directory, o)
	return s, nil
}

func (s *engineSources) newDirectory(o *config.Operator) *directory.Directory {
	policy, check := roster.DefaultPolicy(), ""
	if o.Consul != nil {
		policy, check = consul.RosterPolicy(*o.Consul), o.Consul.CheckPath
	}
	return directory.New(directory.Options{
		Policy: policy, Publish: s.core.UpdateEndpoints, Probe: directory.NewProbe(check), StateFile: o.StateFile, Log: s.log,
	})
}

func (s *engineSources) openTraces(o *config.Operator) error {
	if o.Admin == nil || o.Admin.TraceFile == "" {
		return nil
	}
	f, err := os.OpenFile(o.Admin.TraceFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("admin.trace_file: %w", err)
	}
	if s.tracer, err = telemetry.NewTracer(f, o.Listen, o.Admin.TraceFraction()); err != nil {
		return err
	}
	s.core.SetObserver(s.tracer)
	return nil
}

func (s *engineSources) openAdmin(o *config.Operator) error {
	if o.Admin == nil {
		return nil
	}
	var err error
	if s.admin, err = accept.Listen(context.Background(), "tcp", o.Admin.Listen, s.log); err != nil {
		return fmt.Errorf("admin.listen: %w", err)
	}
	s.log.Info("admin listener open", "listen", s.admin.Addr().String())
	return nil
}

func (s *engineSources) openRoles(o *config.Operator) error {
	r := o.Roles
	if r == nil {
		return nil
	}
	var step func(rolechange.Record, time.Time, string)
	if s.tracer != nil {
		step = s.tracer.RoleChangeStep
	}
	var err error
	s.roles, err = rolectl.New(rolectl.Options{
		Directory: s.directory, Settings: r.Settings(), Limits: r.StepTimeouts(), LeaseTTL: r.LeaseTTL(), KeyPrefix: r.KeyPrefix(), DryRun: r.DryRun,
		GatewayName: s.status.address, GatewayCount: s.status.sharing, Traffic: func() map[string]core.Traffic { return s.core.Traffic(context.Background()) },
		PinnedEngines: setOf(r.PinEngines), PinnedRacks: setOf(r.PinRacks), OnStep: step, Log: s.log,
	})
	return err
}

func (s *engineSources) openConsul(o *config.Operator) error {
	if o.Consul == nil {
		return nil
	}
	var err error
	s.consul, err = consul.New(consul.Options{
		Config: *o.Consul, Zone: o.Zone, Directory: s.directory, Ready: s.core.Ready, Log: s.log, Address: s.status.address,
		SetGateways: func(n int) {
			if s.peers == nil { // gateways that talk to each other know better, and sooner
				s.setSharing(n)
			}
		},
		RunWithClient: func(ctx context.Context, client *consul.Client) {
			if s.roles != nil {
				s.roles.Run(ctx, client)
			}
		},
	})
	return err
}

// setSharing tells how many gateways share the engines from now on.
func (s *engineSources) setSharing(n int) {
	s.status.gateways.Store(int64(n))
	s.core.SetGateways(n)
}

// observe has the directory, and traces, learn from attempts at engines.
func (s *engineSources) observe(e core.Transport) core.Transport {
	e = directory.ObservedTransport{Transport: e, OnRefused: s.directory.ConnectionRefused}
	if s.tracer != nil {
		e = s.tracer.WrapTransport(e)
	}
	return e
}

// apply goes on by a file that was read again.
func (s *engineSources) apply(o *config.Operator) error {
	if s.consul != nil {
		if err := s.consul.Reconfigure(*o.Consul); err != nil {
			return err
		}
	}
	directory.ReplaceFileEngines(s.directory, o)
	return nil
}

// run works until ctx ends and all has ended that it began, and then writes the last spans.
func (s *engineSources) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.directory.Run(ctx) })
	if s.consul != nil {
		group.Go(func() { s.consul.Run(ctx) })
	}
	if s.peers != nil {
		group.Go(func() { s.peers.Run(ctx) })
	}
	if s.admin != nil {
		group.Go(func() { s.serveAdmin(ctx) })
	}
	group.Wait()
	s.flushTraces(ctx)
}

func (s *engineSources) flushTraces(ctx context.Context) {
	if s.tracer == nil {
		return
	}
	last, done := context.WithTimeout(context.WithoutCancel(ctx), traceFlushTimeout)
	defer done()
	if err := s.tracer.Close(last); err != nil {
		s.log.Warn("trace flush failed", "cause", err)
	}
}

func setOf[T comparable](list []T) map[T]bool {
	set := make(map[T]bool, len(list))
	for _, v := range list {
		set[v] = true
	}
	return set
}
