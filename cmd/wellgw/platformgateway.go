package main

import (
	"context"
	"log/slog"
	"os"
	"sync"

	"wellgw/internal/clientconn"
	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/platform"
	"wellgw/internal/settings"
	"wellgw/internal/upstream"
)

func platformGateway(p *config.Platform, log *slog.Logger) (*gateway, error) {
	seed, err := p.SeedNumber()
	if err != nil {
		return nil, err
	}
	g := &gateway{
		listen: p.Listen, limits: p.Limits, set: p.Settings(), seed: seed, log: log.With("name", p.Name),
		pool: upstream.Options{
			ConnectTimeout: settings.Micros(p.Options.Limits.ConnTimeout), ConnIdle: settings.Micros(p.Options.Limits.ConnIdle),
			StreamSilence: platformSilence, Settle: platformSettle,
		},
		dialect: func(string) upstream.Dialect { return platform.Dialect{} },
		longest: p.LongestWait(), resume: p.Options.Info.Resume, killed: true,
		name: p.Name, control: p.Control,
	}
	g.figures.DeadlineSlack = settings.Micros(p.Options.Rules.AnswerSlack)
	g.figures.HeldStateSlack = platformPinSlack
	g.front = func(c *core.Core, b *clientconn.Budget) front { return platform.NewFront(c, g.set.Classes, b) }
	g.directory = func(c *core.Core) (core.Directory, func(context.Context), error) {
		w := platform.NewWatch(p.Discovery, g.set.MustSubscribe, settings.Micros(p.Options.Rules.DrainGrace), c.UpdateEndpoints, g.log)
		current := p // as last read; reloads come one at a time
		g.reload = func() error {
			next, err := current.Anew(os.Getenv)
			if err != nil {
				return err
			}
			current = next
			if g.retune != nil {
				g.retune(next)
			}
			w.SetAddress(next.Discovery)
			return nil
		}
		tier, err := platformTier(p, c, g.log)
		if err != nil {
			return nil, nil, err
		}
		if tier != nil {
			g.depart = tier.Leave
		}
		return w, func(ctx context.Context) {
			var group sync.WaitGroup
			if tier != nil {
				group.Go(func() { tier.Run(ctx) })
			}
			w.Run(ctx, p.Known)
			group.Wait()
		}, nil
	}
	return g, nil
}
