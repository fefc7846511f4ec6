package main

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"wellgw/decide/lifecycle"
	"wellgw/internal/clientconn"
	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/invariant"
	"wellgw/internal/upstream"
	"wellgw/routing"
)

// front is what stands between clients and the core.
type front interface {
	http.Handler
	// SetService goes by what clients get from now on.
	SetService(s lifecycle.Service)
}

// gateway is all that differs between the platform and an operator's machine.
type gateway struct {
	listen  string
	limits  config.Limits
	set     routing.Settings
	seed    uint64
	figures core.Limits
	pool    upstream.Options
	dialect func(kind string) upstream.Dialect
	front   func(*core.Core, *clientconn.Budget) front
	// directory returns what the module may ask for changes, and its work.
	directory func(c *core.Core) (core.Directory, func(context.Context), error)
	// watched wraps the engines, so that the directory learns from attempts; nil leaves them.
	watched func(core.Transport) core.Transport
	reload  func() error          // reads the configuration anew; set by directory
	depart  func()                // tells the other gateways that this one is about to end; set by directory, nil for none
	longest time.Duration         // wait of any client for its first token, by the settings
	serving atomic.Value          // the address that it listens on, once it does
	shared  atomic.Int64          // gateways that share the engines; set by directory
	counts  func() map[string]int // of the front's own, beside the core's; nil for none
	clients atomic.Pointer[clientconn.Listener]
	garbage int  // see fitLimits; 0 = usualGarbage
	resume  bool // clients ask for the rest of a stream that is cut off
	killed  bool // SIGKILL follows SIGTERM by the platform's clock; elsewhere nobody says when
	log     *slog.Logger

	name    string                      // of the gateway, for the file of ejections; "" keeps none
	control string                      // where operators call; "" for nowhere
	retune  func(next *config.Platform) // takes new settings on SIGHUP; set by run
}

// fitLimits keeps the runtime inside what the machine gives. garbage is how much may come
// on top of what is in use before it is collected, in per cent; the limit stands whatever
// it says.
func fitLimits(l config.Limits, garbage int) {
	debug.SetGCPercent(garbage)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(int64(memoryPart * float64(l.MemoryMB) * (1 << 20)))
}

// newServer is net/http's server with bounds on what a client may hold up. There
// is no limit on a whole answer: streams last as long as they do.
func newServer(h http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: headerLimit,
		ReadHeaderTimeout: headerWait, ReadTimeout: requestWait, IdleTimeout: idleWait,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// fit keeps the runtime within the limits and returns them. A gateway on an inherited socket
// takes half: a new version may run beside it.
func (g *gateway) fit(inherited bool) config.Limits {
	limits := g.limits
	if most := descriptorLimit(); most > 0 && most < limits.Sockets {
		g.log.Warn("fewer descriptors than the configuration allows", "configured", limits.Sockets, "allowed", most)
		limits.Sockets = most
	}
	if inherited {
		limits.MemoryMB, limits.Sockets = limits.MemoryMB/2, limits.Sockets/2
	}
	fitLimits(limits, cmp.Or(g.garbage, usualGarbage))
	return limits
}

// descriptorLimit is how many descriptors the system lets this process have; 0 if that can't be
// told. Clients must not be given so many that none is left for operators' calls.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// startCore starts the core with its pool of at most so many connections to engines, and the
// directory, whose end worked tells.
func (g *gateway) startCore(ctx context.Context, connections int, checks *invariant.Checks) (c *core.Core, worked <-chan struct{}, err error) {
	router, err := routing.New(g.set, g.seed)
	if err != nil {
		return nil, nil, fmt.Errorf("settings: %w", err)
	}
	g.pool.MaxConns = connections
	g.figures.HeldStateLimit, g.figures.MaxAttempts, g.figures.ReachTimeout = g.set.HeldStateLimit, g.set.MaxAttempts, g.pool.ConnectTimeout
	pool := upstream.NewPool(g.pool)
	directory := &laterDirectory{}
	engine := &laterEngine{Transport: upstream.NewEngine(pool, g.dialect)}
	c = core.New(router, engine, directory, g.figures, g.log, checks)
	from, work, err := g.directory(c)
	if err != nil {
		return nil, nil, err
	}
	directory.Directory = from
	if g.watched != nil {
		engine.Transport = g.watched(engine.Transport)
	}
	go c.Run(ctx)
	go pool.Sweep(ctx)
	ended := make(chan struct{})
	go func() { defer close(ended); work(ctx) }()
	return c, ended, nil
}

// laterDirectory breaks the circle between core and directory: each is told of
// the other. It is filled in before the core runs.
type laterDirectory struct{ core.Directory }

// laterEngine does the same for engines.
type laterEngine struct{ core.Transport }

func logCounts(ctx context.Context, c *core.Core, clients *clientconn.Listener, checks *invariant.Checks, log *slog.Logger) {
	t := time.NewTicker(logEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			log.Info("counts", "counts", c.Counts(ctx), "closes", clients.Closes())
			checks.Log(log)
		}
	}
}
