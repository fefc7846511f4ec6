package main

import (
	"context"
	"log/slog"
	"os"
	"sync"
	"time"

	"wellgw/decide/lifecycle"
	"wellgw/internal/clientconn"
	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/peers"
	"wellgw/internal/platform"
	"wellgw/internal/requestids"
	"wellgw/internal/settings"
	"wellgw/internal/upstream"
)

// Timeouts and slacks on the platform.
const (
	// On the platform a client counts a stream as lost 5 s after its last event.
	platformStreamSilenceTimeout = 4500 * time.Millisecond
	// The platform's protocol allows held states to exceed their limit by 50 ms, as it does for every
	// time limit, plus 300 ms for this one.
	platformHeldStateSlack = 350 * time.Millisecond
)

// platformGateway provides the parts of a gateway that are specific to the platform.
type platformGateway struct {
	gateway *gateway
	config  *config.Platform // from the last successful read; reloads are sequential
	core    *core.Core       // set by newDirectory
	watch   *platform.Watch  // on discovery; set by newDirectory
	tier    *peers.Peers     // nil without peers; set by newDirectory
	front   *platform.Front  // set by newFront
}

func newPlatformGateway(p *config.Platform, log *slog.Logger) (*gateway, error) {
	seed, err := p.SeedNumber()
	if err != nil {
		return nil, err
	}
	g := &platformGateway{config: p}
	g.gateway = &gateway{
		log: log.With("name", p.Name), name: p.Name, listen: p.Listen, control: p.Control,
		limits: p.Limits, settings: p.Settings(), seed: seed,
		coreLimits: core.Limits{DeadlineSlack: settings.Micros(p.Options.Rules.AnswerSlack), HeldStateSlack: platformHeldStateSlack},
		pool: upstream.Options{
			ConnectTimeout: settings.Micros(p.Options.Limits.ConnTimeout), ServerIdleTimeout: settings.Micros(p.Options.Limits.ConnIdle),
			StreamSilenceTimeout: platformStreamSilenceTimeout,
		},
		dialect:  func(string) upstream.Dialect { return platform.Dialect{} },
		newFront: g.newFront, newDirectory: g.newDirectory,
		maxFirstTokenWait: p.MaxFirstTokenWait(), clientsResume: p.Options.Info.Resume, killTimeKnown: true,
		requestIDs: requestids.NewStore(int(divide(p.Limits).RequestIDs/requestids.BytesPerID), log),
		status:     &status{},
	}
	return g.gateway, nil
}

func (g *platformGateway) newFront(c *core.Core, bodies *clientconn.Budget) front {
	g.front = platform.NewFront(c, g.gateway.settings.Classes, bodies, g.gateway.requestIDs)
	return g.front
}

func (g *platformGateway) newDirectory(c *core.Core) (engineDirectory, error) {
	p := g.config
	g.core = c
	g.watch = platform.NewWatch(p.Discovery, g.gateway.settings.MustSubscribe, settings.Micros(p.Options.Rules.DrainGrace), c.UpdateEndpoints, g.gateway.log)
	var err error
	if g.tier, err = newPlatformTier(p, c, g.gateway.log); err != nil {
		return engineDirectory{}, err
	}
	d := engineDirectory{
		Directory: g.watch, reload: g.reload,
		run: func(ctx context.Context) { g.runDirectory(ctx, p.Known) },
	}
	if g.tier != nil {
		d.announceLeave = g.tier.AnnounceLeaving
	}
	return d, nil
}

// runDirectory watches discovery, starting from the known engines, and runs the peer protocol until ctx
// is done.
func (g *platformGateway) runDirectory(ctx context.Context, known config.EngineList) {
	var group sync.WaitGroup
	if g.tier != nil {
		group.Go(func() { g.tier.Run(ctx) })
	}
	g.watch.Run(ctx, known)
	group.Wait()
}

// reload rereads the configuration and applies its settings and the address of discovery.
func (g *platformGateway) reload(ctx context.Context, process *supervisor) error {
	next, err := g.config.Reload(os.Getenv)
	if err != nil {
		return err
	}
	g.apply(ctx, next, process)
	return nil
}

// apply applies a configuration to the core, the front, the process and the watch of discovery. The core
// validates its settings; a configuration that it rejects changes nothing.
func (g *platformGateway) apply(ctx context.Context, next *config.Platform, process *supervisor) {
	set := next.Settings()
	if err := g.core.Reconfigure(ctx, set); err != nil {
		g.gateway.log.Error("settings rejected, keeping previous", "cause", err)
		return
	}
	g.config = next
	g.front.AddClasses(set.Classes)
	process.post(ctx, lifecycle.SettingsChanged{MaxFirstEventWait: next.MaxFirstTokenWait()}, "settings")
	g.watch.SetAddress(next.Discovery)
	g.gateway.log.Info("settings applied", "classes", len(set.Classes), "attempts", set.MaxAttempts)
}
