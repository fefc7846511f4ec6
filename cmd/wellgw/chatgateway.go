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

// The chat API's margins.
const (
	chatStreamSilence = time.Minute // a model may well think for as long between two events
	// Where there are hundreds of megabytes, collecting costs more than it brings.
	chatGCPercent  = 400
	chatReadBuffer = 16 << 10 // bytes, of a connection to an engine: what has come together is read together
)

// chatGateway makes the parts of a gateway that are the chat API's own.
type chatGateway struct {
	gateway *gateway
	path    string
	started *config.Operator                // the file at the start; what needs a restart is held against it
	current atomic.Pointer[config.Operator] // the file as last read
	keys    *idempotency.Store              // set by newDirectory
	sources *engineSources                  // set by newDirectory
	front   atomic.Pointer[openai.Front]    // set by newFront; others may ask before
}

func newChatGateway(path string, o *config.Operator, log *slog.Logger) *gateway {
	g := &chatGateway{path: path, started: o}
	g.current.Store(o)
	base := &gateway{
		log: log, listen: o.Listen,
		limits: o.Limits, gcPercent: chatGCPercent, settings: o.Settings(), seed: uint64(time.Now().UnixNano()),
		coreLimits: core.Limits{IgnoresHeldState: func(kind string) bool { return kind == config.RoleOpenAI }},
		pool:       upstream.Options{ReadBuffer: chatReadBuffer, StreamSilenceTimeout: chatStreamSilence},
		dialect:    g.dialect, newFront: g.newFront, newDirectory: g.newDirectory,
		status: &status{},
	}
	base.pool.ConnectTimeout, base.pool.ServerIdleTimeout, base.coreLimits.DeadlineSlack = o.FixedTimeouts()
	for _, c := range o.Contracts {
		base.maxWait = max(base.maxWait, c.Deadline())
	}
	g.gateway = base
	return base
}

func (g *chatGateway) dialect(kind string) upstream.Dialect {
	if kind == config.RoleOpenAI {
		return openai.Dialect{Key: g.current.Load().EngineKey}
	}
	return openai.TwoStage{}
}

func (g *chatGateway) newFront(c *core.Core, bodies *clientconn.Budget) front {
	front := openai.NewFront(openai.Options{
		Core: c, File: g.started, Bodies: bodies, Keys: g.keys, MaxBufferedBytes: memoryBytes(g.gateway.limits, streamBufferShare),
		HasPeers: g.othersMayServe,
	})
	g.front.Store(front)
	return front
}

// othersMayServe tells whether another gateway may serve a request that a client sends again.
func (g *chatGateway) othersMayServe() bool {
	o := g.started
	return deduplication.Topology{
		StickyKeys: o.Idempotency != nil && o.Idempotency.Sticky, ConfiguredGateways: o.Gateways, PeersEnabled: o.Peers != nil, ObservedGateways: g.gateway.status.sharing(),
	}.AttemptsMayReachOtherGateways()
}

// frontCounts are the front's own counts, beside the core's; nil before there is a front.
func (g *chatGateway) frontCounts() map[string]int {
	if front := g.front.Load(); front != nil {
		return front.Counts()
	}
	return nil
}

// newDirectory opens the idempotency keys, and what tells of engines.
func (g *chatGateway) newDirectory(c *core.Core) (engineDirectory, error) {
	o, file := g.started, ""
	if o.Idempotency != nil {
		file = o.Idempotency.File
	}
	var err error
	if g.keys, err = idempotency.Open(file, o.IdempotencyLimits(), g.gateway.log); err != nil {
		return engineDirectory{}, err
	}
	if g.sources, err = newEngineSources(o, g.gateway, c, g.frontCounts); err != nil {
		return engineDirectory{}, err
	}
	d := engineDirectory{Directory: g.sources.directory, run: g.runDirectory, reload: g.reload, observe: g.sources.observe}
	if g.sources.peers != nil {
		d.leave = g.sources.peers.AnnounceLeaving
	}
	return d, nil
}

// runDirectory keeps the idempotency keys and the list of engines until ctx ends.
func (g *chatGateway) runDirectory(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { g.keys.Run(ctx) })
	g.sources.run(ctx)
	group.Wait()
}

// reload reads the file again and applies it. The process's state does not depend on it.
func (g *chatGateway) reload(context.Context, *supervisor) error {
	next, err := config.ReadOperator(g.path)
	if err != nil {
		return err
	}
	if err := g.started.CheckReload(next); err != nil {
		return err
	}
	if err := g.sources.apply(next); err != nil {
		return err
	}
	g.current.Store(next)
	g.front.Load().Reload(next)
	return nil
}
