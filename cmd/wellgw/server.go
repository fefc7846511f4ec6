package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"wellgw/decide/lifecycle"
	"wellgw/internal/accept"
	"wellgw/internal/clientconn"
	"wellgw/internal/core"
	"wellgw/internal/invariant"
	"wellgw/internal/upstream"
	"wellgw/routing"
)

// directoryShutdownTimeout bounds what the directory has to do at the end: take a listing
// elsewhere off, write the last good view.
const directoryShutdownTimeout = 1500 * time.Millisecond

// server is a gateway's parts while it runs.
//
// Its goroutines end with the context that they are started with. The directory's, and those of the
// supervisor's actions, are waited for within directoryShutdownTimeout. The others own nothing that
// outlasts the process, and one that hangs on a file or an address must not hold up the exit.
type server struct {
	*gateway
	sharedSocket bool // the clients' socket is inherited; a newer version may accept on it

	checks        *invariant.Checks
	core          *core.Core
	directory     engineDirectory
	directoryDone <-chan struct{} // closed once the directory has ended
	listener      net.Listener
	clients       *clientconn.Listener
	front         front
	httpServer    *http.Server
	supervisor    *supervisor
}

// run serves until SIGTERM and then shuts down.
func (g *gateway) run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	signals := notifySignals()
	inherited, err := inheritedListener(os.Getenv)
	if err != nil {
		return err
	}
	s, err := g.newServer(ctx, inherited)
	if err != nil {
		return err
	}
	s.startOperatorControl(ctx)
	err = s.serve(ctx, signals)
	s.shutDown(stop)
	return err
}

// newServer starts the core and the directory, and makes what serves clients.
func (g *gateway) newServer(ctx context.Context, inherited net.Listener) (*server, error) {
	s := &server{gateway: g, sharedSocket: inherited != nil, checks: invariant.New()}
	limits := g.applyLimits(s.sharedSocket)
	if err := s.startCore(ctx, maxConnections(limits)); err != nil {
		return nil, err
	}
	var err error
	if s.listener, err = g.clientsListener(ctx, inherited); err != nil {
		return nil, err
	}
	s.front = g.newFront(s.core, clientconn.NewBudget(memoryBytes(limits, bodyShare)))
	accepting := accept.New(s.listener, g.log)
	s.clients = clientconn.NewListener(accepting, maxConnections(limits))
	accepting.OnExhausted = s.clients.EvictOne
	s.clients.SetLogger(g.log)
	g.status.clients.Store(s.clients)
	s.httpServer = newHTTPServer(s.front, s.clients, g.log)
	s.supervisor = newSupervisor(s, lifecycle.Limits{
		MaxFirstEventWait: g.maxWait, KillExpected: g.killKnown, ClientsResume: g.clientsResume, SharedSocket: s.sharedSocket,
	})
	return s, nil
}

// startCore starts the core, its pool of at most so many connections to engines, and the directory.
func (s *server) startCore(ctx context.Context, connections int) error {
	router, err := routing.New(s.settings, s.seed)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	limits, options := s.coreLimits, s.pool
	options.MaxConns, options.Log = connections, s.log
	limits.HeldStateLimit, limits.MaxAttempts = s.settings.HeldStateLimit, s.settings.MaxAttempts
	pool := upstream.NewPool(options)
	directory := &lateDirectory{}
	transport := &lateTransport{Transport: upstream.NewClient(pool, s.dialect)}
	s.core = core.New(router, transport, directory, limits, s.log, s.checks)
	if s.directory, err = s.newDirectory(s.core); err != nil {
		return err
	}
	directory.Directory = s.directory.Directory
	if s.directory.observe != nil {
		transport.Transport = s.directory.observe(transport.Transport)
	}
	go s.core.Run(ctx)
	go pool.Sweep(ctx)
	done := make(chan struct{})
	go func() { defer close(done); s.directory.run(ctx) }()
	s.directoryDone = done
	return nil
}

// lateDirectory breaks the circle between core and directory, as each needs the other when it is
// made. It is filled in before the core runs.
type lateDirectory struct{ core.Directory }

// lateTransport does the same for the transport to engines.
type lateTransport struct{ core.Transport }

// serve accepts clients until the process has ended by signals, commands or the loss of its listener.
func (s *server) serve(ctx context.Context, signals processSignals) error {
	go s.logCounts(ctx)
	go s.reloadOnSignal(ctx, signals.reload)
	failed := make(chan error, 1)
	go func() { failed <- s.httpServer.Serve(s.clients) }()
	address := s.listener.Addr().String()
	s.status.listenAddress.Store(&address)
	s.log.Info("serving", "listen", address)
	return s.supervisor.run(ctx, signals.terminate, failed)
}

// shutDown closes what is still open, and ends everything else by stop.
func (s *server) shutDown(stop context.CancelFunc) {
	_ = s.httpServer.Close()
	s.checks.Log(s.log)
	stop()
	done := make(chan struct{})
	go func() { // ends with the process if the wait is too long
		defer close(done)
		<-s.directoryDone
		s.supervisor.wait()
	}()
	select {
	case <-done:
	case <-time.After(directoryShutdownTimeout):
	}
}

// countsInterval is how often counts are logged.
const countsInterval = 10 * time.Second

// logCounts logs outcomes, closed connections and broken invariants until ctx ends.
func (s *server) logCounts(ctx context.Context) {
	t := time.NewTicker(countsInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.log.Info("counts", "counts", s.core.Counts(ctx), "closes", s.clients.CloseCounts())
			s.checks.Log(s.log)
		}
	}
}
