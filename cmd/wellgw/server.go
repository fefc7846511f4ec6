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

// directoryShutdownTimeout bounds the directory's work at shutdown: removing the gateway's registration
// from other systems and writing the last valid view.
const directoryShutdownTimeout = 1500 * time.Millisecond

// server holds the parts of a running gateway.
//
// Its goroutines return when the context that they were started with is done. shutDown waits up to
// directoryShutdownTimeout for those of the directory and of the supervisor's actions. The others own
// nothing that outlives the process, and one that blocks on a file or an address must not delay the exit.
type server struct {
	*gateway
	sharedSocket bool // the clients' socket is inherited; a newer version may accept on it

	checks        *invariant.Checks
	core          *core.Core
	directory     engineDirectory
	directoryDone <-chan struct{} // closed once directory.run has returned
	listener      net.Listener
	clients       *clientconn.Listener
	bodies        *clientconn.Budget
	front         front
	httpServer    *http.Server
	supervisor    *supervisor
}

// run serves until SIGTERM and then shuts down.
func (g *gateway) run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	signals := subscribeSignals()
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

// newServer starts the core and the directory, and creates the parts that serve clients.
func (g *gateway) newServer(ctx context.Context, inherited net.Listener) (*server, error) {
	s := &server{gateway: g, sharedSocket: inherited != nil, checks: invariant.New()}
	plan := divide(g.applyLimits(s.sharedSocket))
	if err := s.startCore(ctx, plan.Connections); err != nil {
		return nil, err
	}
	var err error
	if s.listener, err = g.clientsListener(ctx, inherited); err != nil {
		return nil, err
	}
	s.bodies = clientconn.NewBudget(plan.Bodies)
	s.bodies.LimitRequests(plan.Requests)
	s.front = g.newFront(s.core, s.bodies)
	acceptListener := accept.New(s.listener, g.log)
	s.clients = clientconn.NewListener(acceptListener, plan.Connections)
	s.clients.SetReadAheadBudget(plan.ReadAhead)
	acceptListener.OnExhausted = s.clients.EvictOne
	s.clients.SetLogger(g.log)
	g.status.clients.Store(s.clients)
	s.httpServer = newHTTPServer(s.front, s.clients, g.log)
	s.supervisor = newSupervisor(s, lifecycle.Limits{
		MaxFirstEventWait: g.maxFirstTokenWait, KillExpected: g.killTimeKnown, ClientsResume: g.clientsResume, SharedSocket: s.sharedSocket,
	})
	return s, nil
}

// startCore starts the core, its pool of up to the given number of connections to engines, and the directory.
func (s *server) startCore(ctx context.Context, connections int) error {
	router, err := routing.New(s.settings, s.seed)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	limits, options := s.coreLimits, s.pool
	options.MaxConns, options.Log = connections, s.log
	limits.HeldStateLimit, limits.MaxAttempts = s.settings.HeldStateLimit, s.settings.MaxAttempts
	pool := upstream.NewPool(options)
	directory := &lateBoundDirectory{}
	transport := &lateBoundTransport{Transport: upstream.NewClient(pool, s.dialect)}
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
	stopped := make(chan struct{})
	go func() { defer close(stopped); s.directory.run(ctx) }()
	s.directoryDone = stopped
	return nil
}

// lateBoundDirectory resolves the cyclic dependency of core and directory, each of which needs the other
// to be created. Its field is set before the core runs.
type lateBoundDirectory struct{ core.Directory }

// lateBoundTransport does the same for the transport to engines, which the directory may wrap.
type lateBoundTransport struct{ core.Transport }

// serve accepts clients until signals, commands or the loss of the listener have ended the process.
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

// shutDown closes the remaining client connections, stops the other goroutines by calling stop, and
// waits for the directory and the supervisor.
func (s *server) shutDown(stop context.CancelFunc) {
	_ = s.httpServer.Close()
	s.checks.Log(s.log)
	stop()
	stopped := make(chan struct{})
	go func() { // ends with the process if the wait times out
		defer close(stopped)
		<-s.directoryDone
		s.supervisor.wait()
	}()
	select {
	case <-stopped:
	case <-time.After(directoryShutdownTimeout):
	}
}

// countsInterval is the interval at which counters are logged.
const countsInterval = 10 * time.Second

// logCounts logs the counts of outcomes and closed connections, the use of resources, and violated invariants,
// until ctx is done.
func (s *server) logCounts(ctx context.Context) {
	t := time.NewTicker(countsInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.log.Info("counts", "counts", s.core.Counts(ctx), "closes", s.clients.CloseCounts(), "resources", s.resources())
			s.checks.Log(s.log)
		}
	}
}
