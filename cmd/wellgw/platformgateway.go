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
	f := &platformGateway{config: p}
	f.gateway = &gateway{
		log: log.With("name", p.Name), name: p.Name, listen: p.Listen, control: p.Control,
		limits: p.Limits, settings: p.Settings(), seed: seed,
		coreLimits: core.Limits{DeadlineSlack: settings.Micros(p.Options.Rules.AnswerSlack), HeldStateSlack: platformHeldStateSlack},
		pool: upstream.Options{
			ConnectTimeout: settings.Micros(p.Options.Limits.ConnTimeout), ConnIdle: settings.Micros(p.Options.Limits.ConnIdle),
			StreamSilence: platformStreamSilence, Settle: platformSettleTime,
		},
		dialect:  func(string) upstream.Dialect { return platform.Dialect{} },
		newFront: f.newFront, newDirectory: f.newDirectory,
		maxWait: p.LongestWait(), clientsResume: p.Options.Info.Resume, killKnown: true,
		status: &status{},
	}
	return f.gateway, nil
}

func (f *platformGateway) newFront(c *core.Core, bodies *clientconn.Budget) front {
	f.front = platform.NewFront(c, f.gateway.settings.Classes, bodies)
	return f.front
}

func (f *platformGateway) newDirectory(c *core.Core) (engineDirectory, error) {
	p := f.config
	f.core = c
	f.watch = platform.NewWatch(p.Discovery, f.gateway.settings.MustSubscribe, settings.Micros(p.Options.Rules.DrainGrace), c.UpdateEndpoints, f.gateway.log)
	var err error
	if f.tier, err = newPlatformTier(p, c, f.gateway.log); err != nil {
		return engineDirectory{}, err
	}
	d := engineDirectory{
		Directory: f.watch, reload: f.reload,
		run: func(ctx context.Context) { f.runDirectory(ctx, p.Known) },
	}
	if f.tier != nil {
		d.leave = f.tier.Leave
	}
	return d, nil
}

// runDirectory watches discovery, from the engines known at the start on, and speaks with the other
// gateways, until ctx ends.
func (f *platformGateway) runDirectory(ctx context.Context, known config.List) {
	var group sync.WaitGroup
	if f.tier != nil {
		group.Go(func() { f.tier.Run(ctx) })
	}
	f.watch.Run(ctx, known)
	group.Wait()
}

// reload reads the configuration again, and applies its settings and the address of discovery.
func (f *platformGateway) reload(ctx context.Context, process *supervisor) error {
	next, err := f.config.Anew(os.Getenv)
	if err != nil {
		return err
	}
	f.config = next
	f.applySettings(ctx, next.Settings(), process)
	f.watch.Move(next.Discovery)
	return nil
}

// applySettings applies the settings in f.config to all that goes by them; the core decides
// whether they can be used.
func (f *platformGateway) applySettings(ctx context.Context, set routing.Settings, process *supervisor) {
	if err := f.core.Reconfigure(ctx, set); err != nil {
		f.gateway.log.Error("settings rejected, keeping previous", "cause", err)
		return
	}
	f.front.Retune(classNames(set.Classes))
	process.post(ctx, lifecycle.SettingsChanged{MaxWait: f.config.LongestWait()}, "settings")
	f.gateway.log.Info("settings applied", "classes", len(set.Classes), "attempts", set.MaxAttempts)
}

func classNames(classes []routing.Class) []string {
	names := make([]string, 0, len(classes))
	for _, c := range classes {
		names = append(names, c.Name)
	}
	return names
}
