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
	f := &chatGateway{path: path, started: o}
	f.current.Store(o)
	g := &gateway{
		log: log, listen: o.Listen,
		limits: o.Limits, gcPercent: chatGCPercent, settings: o.Settings(), seed: uint64(time.Now().UnixNano()),
		coreLimits: core.Limits{ServesAlone: func(kind string) bool { return kind == config.RoleOpenAI }},
		pool:       upstream.Options{ReadBuffer: chatReadBuffer, StreamSilence: chatStreamSilence},
		dialect:    f.dialect, newFront: f.newFront, newDirectory: f.newDirectory,
		status: &status{},
	}
	g.pool.ConnectTimeout, g.pool.ConnIdle, g.coreLimits.DeadlineSlack = o.Network()
	for _, c := range o.Contracts {
		g.maxWait = max(g.maxWait, c.Deadline())
	}
	f.gateway = g
	return g
}

func (f *chatGateway) dialect(kind string) upstream.Dialect {
	if kind == config.RoleOpenAI {
		return openai.Dialect{Key: f.current.Load().EngineKey}
	}
	return openai.TwoStage{}
}

func (f *chatGateway) newFront(c *core.Core, bodies *clientconn.Budget) front {
	front := openai.NewFront(openai.Options{
		Core: c, File: f.started, Bodies: bodies, Keys: f.keys, Held: memoryBytes(f.gateway.limits, streamBufferShare),
		Others: f.othersMayServe,
	})
	f.front.Store(front)
	return front
}

// othersMayServe tells whether another gateway may serve a request that a client sends again.
func (f *chatGateway) othersMayServe() bool {
	o := f.started
	return deduplication.Topology{
		StickyKeys: o.Idempotency != nil && o.Idempotency.Sticky, ConfiguredGateways: o.Gateways, PeersEnabled: o.Peers != nil, ObservedGateways: f.gateway.status.sharing(),
	}.AttemptsMayGoElsewhere()
}

// frontCounts are the front's own counts, beside the core's; nil before there is a front.
func (f *chatGateway) frontCounts() map[string]int {
	if front := f.front.Load(); front != nil {
		return front.Counts()
	}
	return nil
}

// newDirectory opens the idempotency keys, and what tells of engines.
func (f *chatGateway) newDirectory(c *core.Core) (engineDirectory, error) {
	o, file := f.started, ""
	if o.Idempotency != nil {
		file = o.Idempotency.File
	}
	var err error
	if f.keys, err = idempotency.Open(file, o.KeyLimits(), f.gateway.log); err != nil {
		return engineDirectory{}, err
	}
	if f.sources, err = newEngineSources(o, f.gateway, c, f.frontCounts); err != nil {
		return engineDirectory{}, err
	}
	d := engineDirectory{Directory: f.sources.keeper, run: f.runDirectory, reload: f.reload, observe: f.sources.observe}
	if f.sources.peers != nil {
		d.leave = f.sources.peers.Leave
	}
	return d, nil
}

// runDirectory keeps the idempotency keys and the list of engines until ctx ends.
func (f *chatGateway) runDirectory(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.keys.Run(ctx) })
	f.sources.run(ctx)
	group.Wait()
}

// reload reads the file again and applies it. The process's state does not depend on it.
func (f *chatGateway) reload(context.Context, *supervisor) error {
	next, err := config.ReadOperator(f.path)
	if err != nil {
		return err
	}
	if err := f.started.Takes(next); err != nil {
		return err
	}
	if err := f.sources.apply(next); err != nil {
		return err
	}
	f.current.Store(next)
	f.front.Load().Reload(next)
	return nil
}
