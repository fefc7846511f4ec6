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
	"wellgw/internal/settings"
	"wellgw/internal/upstream"
	"wellgw/routing"
)

// The platform's margins.
const (
	// A client that is left waiting for 5 s after a stream's last event has lost it
	// on the platform.
	platformStreamSilence = 4500 * time.Millisecond
	// What is held there may pass its limit by what the protocol adds: 50 ms to every time
	// limit, and 300 ms to this one.
	platformHeldStateSlack = 350 * time.Millisecond
	// An engine there may send an answer a second time, some milliseconds late.
	platformSettleTime = 30 * time.Millisecond
)

// platformGateway makes the parts of a gateway that are the platform's own.
type platformGateway struct {
	gateway *gateway
	config  *config.Platform // as last read; reloads come one at a time
	core    *core.Core       // set by newDirectory
	watch   *platform.Watch  // of discovery; set by newDirectory
	tier    *peers.Peers     // nil where gateways tell each other nothing; set by newDirectory
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
			StreamSilenceTimeout: platformStreamSilence, ReuseDelay: platformSettleTime,
		},
		dialect:  func(string) upstream.Dialect { return platform.Dialect{} },
		newFront: g.newFront, newDirectory: g.newDirectory,
		maxWait: p.MaxFirstTokenWait(), clientsResume: p.Options.Info.Resume, killKnown: true,
		status: &status{},
	}
	return g.gateway, nil
}

func (g *platformGateway) newFront(c *core.Core, bodies *clientconn.Budget) front {
	g.front = platform.NewFront(c, g.gateway.settings.Classes, bodies)
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
		d.leave = g.tier.AnnounceLeaving
	}
	return d, nil
}

// runDirectory watches discovery, from the engines known at the start on, and speaks with the other
// gateways, until ctx ends.
func (g *platformGateway) runDirectory(ctx context.Context, known config.EngineList) {
	var group sync.WaitGroup
	if g.tier != nil {
		group.Go(func() { g.tier.Run(ctx) })
	}
	g.watch.Run(ctx, known)
	group.Wait()
}

// reload reads the configuration again, and applies its settings and the address of discovery.
func (g *platformGateway) reload(ctx context.Context, process *supervisor) error {
	next, err := g.config.Reload(os.Getenv)
	if err != nil {
		return err
	}
	g.config = next
	g.applySettings(ctx, next.Settings(), process)
	g.watch.SetAddress(next.Discovery)
	return nil
}

// applySettings applies the settings in g.config to all that goes by them; the core decides
// whether they can be used.
func (g *platformGateway) applySettings(ctx context.Context, set routing.Settings, process *supervisor) {
	if err := g.core.Reconfigure(ctx, set); err != nil {
		g.gateway.log.Error("settings rejected, keeping previous", "cause", err)
		return
	}
	g.front.AddClasses(classNames(set.Classes))
	process.post(ctx, lifecycle.SettingsChanged{MaxFirstEventWait: g.config.MaxFirstTokenWait()}, "settings")
	g.gateway.log.Info("settings applied", "classes", len(set.Classes), "attempts", set.MaxAttempts)
}

func classNames(classes []routing.Class) []string {
	names := make([]string, 0, len(classes))
	for _, c := range classes {
		names = append(names, c.Name)
	}
	return names
}
