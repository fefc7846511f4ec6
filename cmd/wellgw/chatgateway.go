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

// Timeouts and sizes of the chat API.
const (
	// With hundreds of megabytes available, more frequent collection costs more than it saves.
	chatGCPercent  = 400
	chatReadBuffer = 16 << 10 // bytes per engine connection; data that arrives together is read in one call
)

// chatGateway provides the parts of a gateway that are specific to the chat API.
type chatGateway struct {
	gateway       *gateway
	path          string
	startupConfig *config.Operator                // read at startup; a reload may not change its fields that need a restart
	activeConfig  atomic.Pointer[config.Operator] // from the last successful read
	keys          *idempotency.Store              // set by newDirectory
	sources       *engineSources                  // set by newDirectory
	front         atomic.Pointer[openai.Front]    // set by newFront; frontCounts may be called earlier
}

func newChatGateway(path string, o *config.Operator, log *slog.Logger) *gateway {
	g := &chatGateway{path: path, startupConfig: o}
	g.activeConfig.Store(o)
	base := &gateway{
		log: log, listen: o.Listen,
		limits: o.Limits, gcPercent: chatGCPercent, settings: o.Settings(), seed: uint64(time.Now().UnixNano()),
		coreLimits: core.Limits{IgnoresHeldState: func(kind string) bool { return kind == config.RoleOpenAI }},
		pool:       upstream.Options{ReadBuffer: chatReadBuffer, StreamSilenceTimeout: config.MaxSilence},
		dialect:    g.dialect, newFront: g.newFront, newDirectory: g.newDirectory,
		status: &status{},
	}
	base.pool.ConnectTimeout, base.pool.ServerIdleTimeout, base.coreLimits.DeadlineSlack = o.FixedTimeouts()
	for _, c := range o.Contracts {
		base.maxFirstTokenWait = max(base.maxFirstTokenWait, c.Deadline())
	}
	g.gateway = base
	return base
}

func (g *chatGateway) dialect(kind string) upstream.Dialect {
	if kind == config.RoleOpenAI {
		return openai.Dialect{Key: g.activeConfig.Load().EngineKey}
	}
	return openai.TwoStage{}
}

func (g *chatGateway) newFront(c *core.Core, bodies *clientconn.Budget) front {
	plan := divide(g.gateway.limits)
	front := openai.NewFront(openai.Options{
		Core: c, File: g.startupConfig, Bodies: bodies, Keys: g.keys, MaxBufferedBytes: plan.StreamBuffers, MaxAnswerBytes: plan.Answers,
		HasPeers: g.retriesMayReachOtherGateways,
	})
	g.front.Store(front)
	return front
}

// retriesMayReachOtherGateways reports whether a client's retry of a request may reach another gateway.
func (g *chatGateway) retriesMayReachOtherGateways() bool {
	o := g.startupConfig
	return deduplication.Topology{
		StickyKeys: o.Idempotency != nil && o.Idempotency.Sticky, ConfiguredGateways: o.Gateways, PeersEnabled: o.Peers != nil, ObservedGateways: g.gateway.status.gatewayCount(),
	}.AttemptsMayReachOtherGateways()
}

// frontCounts returns the front's counters, which the core's do not include; nil before newFront.
func (g *chatGateway) frontCounts() map[string]int {
	if front := g.front.Load(); front != nil {
		return front.Counts()
	}
	return nil
}

// newDirectory opens the store of idempotency keys and the sources of engines.
func (g *chatGateway) newDirectory(c *core.Core) (engineDirectory, error) {
	o, keyFile := g.startupConfig, ""
	if o.Idempotency != nil {
		keyFile = o.Idempotency.File
	}
	var err error
	if g.keys, err = idempotency.Open(keyFile, o.IdempotencyLimits(), g.gateway.log); err != nil {
		return engineDirectory{}, err
	}
	if g.sources, err = newEngineSources(o, g.gateway, c, g.frontCounts); err != nil {
		return engineDirectory{}, err
	}
	d := engineDirectory{Directory: g.sources.directory, run: g.runDirectory, reload: g.reload, observe: g.sources.observe}
	if g.sources.peers != nil {
		d.announceLeave = g.sources.peers.AnnounceLeaving
	}
	return d, nil
}

// runDirectory maintains the idempotency keys and the list of engines until ctx is done.
func (g *chatGateway) runDirectory(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { g.keys.Run(ctx) })
	g.sources.run(ctx)
	group.Wait()
}

// reload rereads the operator's file and applies it. The state of the process doesn't depend on the file.
func (g *chatGateway) reload(context.Context, *supervisor) error {
	next, err := config.ReadOperator(g.path)
	if err != nil {
		return err
	}
	if err := g.startupConfig.CheckReload(next); err != nil {
		return err
	}
	if err := g.sources.apply(next); err != nil {
		return err
	}
	g.activeConfig.Store(next)
	g.front.Load().Reload(next)
	return nil
}
