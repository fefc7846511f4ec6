package main

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"wellgw/decide/deduplication"
	"wellgw/internal/clientconn"
	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/idempotency"
	"wellgw/internal/openai"
	"wellgw/internal/upstream"
)

func chatGateway(path string, o *config.Operator, log *slog.Logger) *gateway {
	var now atomic.Pointer[config.Operator] // the file as last read
	now.Store(o)
	var f *openai.Front
	g := &gateway{listen: o.Listen, limits: o.Limits, set: o.Settings(), seed: uint64(time.Now().UnixNano()), log: log}
	var keys *idempotency.Store
	var here atomic.Pointer[openai.Front] // for those who may ask before there is one
	g.counts = func() map[string]int {
		if f := here.Load(); f != nil {
			return f.Counts()
		}
		return nil
	}
	g.front = func(c *core.Core, b *clientconn.Budget) front {
		f = openai.NewFront(openai.Options{
			Core: c, File: o, Bodies: b, Keys: keys, Held: int64(heldPart * float64(o.Limits.MemoryMB) * (1 << 20)),
			Others: func() bool {
				return deduplication.Topology{
					StickyKeys: o.Idempotency != nil && o.Idempotency.Sticky, ConfiguredGateways: o.Gateways, PeersEnabled: o.Peers != nil, ObservedGateways: int(g.shared.Load()),
				}.AttemptsMayGoElsewhere()
			},
		})
		here.Store(f)
		return f
	}
	g.pool.ReadBuffer, g.garbage = chatBuffer, chatGarbage
	g.figures.ServesAlone = func(kind string) bool { return kind == config.RoleOpenAI }
	g.pool.StreamSilence = chatSilence
	g.pool.ConnectTimeout, g.pool.ConnIdle, g.figures.DeadlineSlack = o.Network()
	g.dialect = func(kind string) upstream.Dialect {
		if kind == config.RoleOpenAI {
			return openai.Dialect{Key: now.Load().EngineKey}
		}
		return openai.TwoStage{}
	}
	for _, c := range o.Contracts {
		g.longest = max(g.longest, c.Deadline())
	}
	// anew reads the file again and has list take what it says of engines.
	anew := func(list func(*config.Operator) error) error {
		next, err := nextOperator(path, o, list)
		if err != nil {
			return err
		}
		now.Store(next)
		f.Reload(next)
		return nil
	}
	g.takeEngines(o, anew)
	g.directory = withKeys(g.directory, func() (*idempotency.Store, error) {
		file := ""
		if o.Idempotency != nil {
			file = o.Idempotency.File
		}
		var err error
		keys, err = idempotency.Open(file, o.KeyLimits(), log)
		return keys, err
	})
	return g
}

// nextOperator reads an operator's file again, and has list take what it says of engines.
func nextOperator(path string, running *config.Operator, list func(*config.Operator) error) (*config.Operator, error) {
	next, err := config.ReadOperator(path)
	if err != nil {
		return nil, err
	}
	if err := running.Takes(next); err != nil {
		return nil, err
	}
	if err := list(next); err != nil {
		return nil, err
	}
	return next, nil
}

// directoryFunc makes a gateway's directory; see gateway.
type directoryFunc = func(c *core.Core) (core.Directory, func(context.Context), error)

// withKeys opens the keys of orders before a directory, and runs them beside it.
func withKeys(directory directoryFunc, open func() (*idempotency.Store, error)) directoryFunc {
	return func(c *core.Core) (core.Directory, func(context.Context), error) {
		keys, err := open()
		if err != nil {
			return nil, nil, err
		}
		d, work, err := directory(c)
		return d, func(ctx context.Context) {
			var group sync.WaitGroup
			group.Go(func() { keys.Run(ctx) })
			work(ctx)
			group.Wait()
		}, err
	}
}
