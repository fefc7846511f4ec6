package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/net/netutil"

	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/invariant"
	"wellgw/internal/platform"
	"wellgw/internal/upstream"
	"wellgw/internal/wire"
	"wellgw/ringdale"
)

// The program's own margins.
const (
	memoryPart    = 0.75                   // of the memory limit, for the Go heap
	spareSockets  = 64                     // descriptors for all but clients and engines
	acceptAfter   = 500 * time.Millisecond // SIGTERM: for so long new clients keep coming
	killAfter     = 700 * time.Millisecond // SIGKILL follows the longest wait by no less
	beforeKill    = 300 * time.Millisecond // what is left is cut off this much earlier
	streamSilence = 4500 * time.Millisecond
	headerLimit   = 16 << 10
	logEvery      = 10 * time.Second
)

// fitLimits keeps the runtime inside what the machine gives.
func fitLimits(l config.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(int64(memoryPart * float64(l.MemoryMB) * (1 << 20)))
}

func newLog(verbose bool) *slog.Logger {
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

// newServer is net/http's server with bounds on what a client may hold up. There
// is no limit on a whole answer: streams last as long as they do.
func newServer(h http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: headerLimit,
		ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

func servePlatform(ctx context.Context, p *config.Platform, verbose bool) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	fitLimits(p.Limits)
	log := newLog(verbose).With("name", p.Name)
	set := p.Settings()
	seed, err := p.SeedNumber()
	if err != nil {
		return err
	}
	router, err := ringdale.New(set, seed)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	share := max(16, (p.Limits.Sockets-spareSockets)/2)
	pool := upstream.NewPool(upstream.Options{
		ConnectTimeout: wire.Micros(p.Options.Limits.ConnTimeout), ConnIdle: wire.Micros(p.Options.Limits.ConnIdle),
		MaxConns: share, StreamSilence: streamSilence,
	})
	checks := invariant.New()
	directory := &watchLater{}
	c := core.New(router, upstream.NewEngine(pool, platform.Dialect{}), directory, core.Figures{
		Slack: wire.Micros(p.Options.Rules.AnswerSlack), PinLimit: set.PinLimit, MaxSends: set.MaxAttempts,
	}, log, checks)
	directory.Watch = platform.NewWatch(p.Discovery, set.MustSubscribe, c.Roster, log)
	go c.Run(ctx)
	go pool.Sweep(ctx)
	go directory.Run(ctx, p.Known)
	go logCounts(ctx, c, checks, log)

	l, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	front := platform.NewFront(c, set.Classes)
	srv := newServer(front, log)
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(netutil.LimitListener(l, share)) }()
	log.Info("serving", "listen", p.Listen, "engines", len(p.Known.Members))
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-term:
	}
	log.Info("leaving")
	front.Close()
	kill := time.Now().Add(p.LongestWait() + killAfter - beforeKill)
	time.Sleep(acceptAfter)
	leave, done := context.WithCancel(ctx)
	if p.Options.Info.Resume { // clients ask for the rest of what is cut off
		leave, done = context.WithDeadline(ctx, kill)
	}
	defer done()
	if err := srv.Shutdown(leave); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		log.Warn("shutdown", "cause", err)
	}
	if leave.Err() != nil {
		srv.Close()
		release, done := context.WithTimeout(ctx, beforeKill/2)
		defer done()
		leave = release
	}
	if err := c.Drain(leave); err != nil {
		log.Warn("requests left behind", "cause", err)
	}
	log.Info("left", "counts", c.Counts(leave))
	checks.Log(log)
	return nil
}

// watchLater breaks the circle between core and watch.
type watchLater struct{ *platform.Watch }

func logCounts(ctx context.Context, c *core.Core, checks *invariant.Checks, log *slog.Logger) {
	for t := time.NewTicker(logEvery); ; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			log.Info("counts", "counts", c.Counts(ctx))
			checks.Log(log)
		}
	}
}
