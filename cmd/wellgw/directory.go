package main

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"wellgw/decide/rolechange"
	"wellgw/decide/roster"
	"wellgw/internal/accept"
	"wellgw/internal/admin"
	"wellgw/internal/config"
	"wellgw/internal/consul"
	"wellgw/internal/core"
	"wellgw/internal/directory"
	"wellgw/internal/peers"
	"wellgw/internal/rolectl"
	"wellgw/internal/telemetry"
)

// takeEngines has the gateway take its engines from the operator's file and, if that
// says so, from Consul. anew reads the file again and hands it on.
func (g *gateway) takeEngines(o *config.Operator, anew func(func(*config.Operator) error) error) {
	g.directory = func(c *core.Core) (core.Directory, func(context.Context), error) {
		s := &sources{gateway: g, core: c}
		s.shared.Store(int64(max(o.Gateways, 1)))
		if err := s.build(o); err != nil {
			return nil, nil, err
		}
		g.reload = func() error { return anew(s.take) }
		return s.keeper, s.run, nil
	}
}

// sources is what tells a chat gateway of its engines, and what is told of that.
type sources struct {
	*gateway
	core   *core.Core
	keeper *directory.Directory
	consul *consul.Discovery   // nil without Consul
	roles  *rolectl.Controller // nil where engines keep their roles
	tracer *telemetry.Tracer   // nil without traces
	admin  net.Listener        // nil without one
	peers  *peers.Peers        // nil where gateways tell each other nothing
}

// build makes all of it; an error names the field of the file that can't be used.
func (s *sources) build(o *config.Operator) error {
	policy, check := roster.DefaultPolicy(), ""
	if o.Consul != nil {
		policy, check = consul.Policy(*o.Consul), o.Consul.CheckPath
	}
	s.keeper = directory.New(directory.Options{
		Policy: policy, Publish: s.core.UpdateEndpoints, Probe: directory.NewProbe(check), StateFile: o.StateFile, Log: s.log,
	})
	if err := s.tell(o.Admin, o.Listen); err != nil {
		return err
	}
	if r := o.Roles; r != nil {
		var step func(rolechange.Record, time.Time, string)
		if s.tracer != nil {
			step = s.tracer.Step
		}
		var err error
		s.roles, err = rolectl.New(rolectl.Options{
			Keeper: s.keeper, Settings: r.Settings(), Limits: r.Limits(), LeaseTTL: r.Lease(), KeyPrefix: r.Keys(), DryRun: r.DryRun,
			GatewayName: s.address, GatewayCount: s.gateways, Traffic: func() map[string]core.Traffic { return s.core.Traffic(context.Background()) },
			PinnedEngines: setOf(r.PinEngines), PinnedRacks: setOf(r.PinRacks), OnStep: step, Log: s.log,
		})
		if err != nil {
			return err
		}
	}
	if err := s.join(o); err != nil {
		return err
	}
	if o.Consul != nil {
		var err error
		s.consul, err = consul.New(consul.Options{
			Config: *o.Consul, Zone: o.Zone, Directory: s.keeper, Ready: s.core.Ready, Log: s.log, Address: s.address,
			SetGateways: func(n int) {
				if s.peers == nil { // who talk to each other know better, and sooner
					s.share(n)
				}
			},
			RunWith: func(ctx context.Context, client *consul.Client) {
				if s.roles != nil {
					s.roles.Run(ctx, client)
				}
			},
		})
		if err != nil {
			return err
		}
	}
	directory.LoadFile(s.keeper, o)
	s.watched = func(e core.Transport) core.Transport {
		e = directory.ObservedTransport{Transport: e, OnRefused: s.keeper.ConnectionRefused}
		if s.tracer != nil {
			e = s.tracer.Engines(e)
		}
		return e
	}
	return nil
}

// share tells how many gateways share the engines from now on.
func (s *sources) share(n int) {
	s.shared.Store(int64(n))
	s.core.SetGateways(n)
}

// tell opens what tells operators of it.
func (s *sources) tell(a *config.Admin, listen string) (err error) {
	if a == nil {
		return nil
	}
	if a.TraceFile != "" {
		f, err := os.OpenFile(a.TraceFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return fmt.Errorf("admin.trace_file: %w", err)
		}
		if s.tracer, err = telemetry.NewTracer(f, listen, a.Share()); err != nil {
			return err
		}
		s.core.Observe(s.tracer)
	}
	if s.admin, err = accept.Listen(context.Background(), "tcp", a.Listen, s.log); err != nil {
		return fmt.Errorf("admin.listen: %w", err)
	}
	s.log.Info("admin", "listen", s.admin.Addr().String())
	return nil
}

// address is where the gateway serves, "" before it does.
func (s *sources) address() string {
	at, _ := s.serving.Load().(string)
	return at
}

func (s *sources) gateways() int { return int(s.shared.Load()) }

// take goes on by a file that was read anew.
func (s *sources) take(o *config.Operator) error {
	if s.consul != nil {
		if err := s.consul.Reconfigure(*o.Consul); err != nil {
			return err
		}
	}
	directory.LoadFile(s.keeper, o)
	return nil
}

// run works until ctx ends and all has ended that it began.
func (s *sources) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.keeper.Run(ctx) })
	if s.consul != nil {
		group.Go(func() { s.consul.Run(ctx) })
	}
	if s.peers != nil {
		group.Go(func() { s.peers.Run(ctx) })
	}
	if s.admin != nil {
		group.Go(func() { s.serve(ctx) })
	}
	group.Wait()
	if s.tracer == nil {
		return
	}
	last, done := context.WithTimeout(context.WithoutCancel(ctx), lastSpans)
	defer done()
	if err := s.tracer.Close(last); err != nil {
		s.log.Warn("the last spans are not written", "cause", err)
	}
}

// serve answers operators.
func (s *sources) serve(ctx context.Context) {
	view := func() admin.View {
		v := admin.View{View: s.keeper.View(), Counts: s.core.Counts(ctx), Gateways: s.gateways()}
		if s.consul != nil {
			v.Consul = s.consul.Stats()
		}
		if s.counts != nil && v.Counts != nil {
			maps.Copy(v.Counts, s.counts())
		}
		if clients := s.clients.Load(); clients != nil && v.Counts != nil {
			for reason, n := range clients.Closes() {
				v.Counts["closed "+reason] = n
			}
		}
		return v
	}
	pages := admin.Pages{admin.EnginesPath: func() any { return view() }}
	shown := telemetry.Views{Engines: view}
	if s.roles != nil {
		shown.Roles = s.roles.Status
		pages[admin.RolesPath] = func() any { return s.roles.Status() }
	}
	if s.peers != nil {
		shown.Peers = s.peers.Status
		pages[admin.PeersPath] = func() any { return s.peers.Status() }
	}
	admin.Serve(ctx, accept.New(s.admin, s.log), pages, map[string]http.Handler{telemetry.Path: telemetry.Handler(shown)}, s.log)
}

func setOf[T comparable](list []T) map[T]bool {
	set := make(map[T]bool, len(list))
	for _, v := range list {
		set[v] = true
	}
	return set
}
