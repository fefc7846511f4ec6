package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"wellgw/decide/lifecycle"
	"wellgw/internal/accept"
	"wellgw/internal/clientconn"
	"wellgw/internal/invariant"
)

// The program's own margins.
const (
	memoryPart   = 0.75                    // of the memory limit, for the Go heap
	bodyPart     = 0.125                   // of it, for bodies in hand; they are held up to three times over
	heldPart     = 0.0625                  // of it, for what slow clients have not read
	spareSockets = 32                      // descriptors for all but clients and engines
	quietFor     = time.Second             // with no request for so long clients have noticed
	lastWork     = 1500 * time.Millisecond // for what the directory still has to do
	lastLines    = 200 * time.Millisecond  // for the last lines of the log
	lastSpans    = 250 * time.Millisecond  // for the last spans to be written

	// A client that is left waiting for 5 s after a stream's last event has lost it
	// on the platform. Elsewhere a model may well think for longer.
	platformSilence = 4500 * time.Millisecond
	// What is held there may pass its limit by what the protocol adds: 50 ms to every time
	// limit, and 300 ms to this one.
	platformPinSlack = 350 * time.Millisecond
	// An engine there may send an answer a second time, some milliseconds late.
	platformSettle = 30 * time.Millisecond
	chatSilence    = time.Minute

	usualGarbage = 100 // the runtime's own default
	chatGarbage  = 400 // where there are hundreds of megabytes, collecting costs more than it brings

	chatBuffer = 16 << 10 // of a connection to an engine: what has come together is read together

	// A client that cannot be served is owed an error or a close within 3 s.
	headerWait  = 2 * time.Second
	requestWait = 2500 * time.Millisecond // with its body
	idleWait    = 30 * time.Second        // between requests, while there is room for others
	headerLimit = 16 << 10

	logEvery = 10 * time.Second
)

// run serves until SIGTERM and then leaves in good order.
func (g *gateway) run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	hup := make(chan os.Signal, 1) // one that waits stands for all that come meanwhile
	signal.Notify(hup, syscall.SIGHUP)
	inherited, err := inheritedListener(os.Getenv)
	if err != nil {
		return err
	}
	limits := g.fit(inherited != nil)
	share := max(16, (limits.Sockets-spareSockets)/2)
	checks := invariant.New()
	c, worked, err := g.startCore(ctx, share, checks)
	if err != nil {
		return err
	}
	l := inherited
	if l == nil {
		if l, err = accept.Listen(ctx, "tcp4", g.listen, g.log); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
	}
	f := g.front(c, clientconn.NewBudget(int64(bodyPart*float64(limits.MemoryMB)*(1<<20))))
	srv := newServer(f, g.log)
	accepting := accept.New(l, g.log)
	clients := clientconn.NewListener(accepting, share)
	accepting.MakeRoom = clients.MakeRoom
	clients.Log(g.log)
	g.clients.Store(clients)
	go logCounts(ctx, c, clients, checks, g.log)
	ending := lifecycle.Limits{MaxWait: g.longest, KillKnown: g.killed, ClientsResume: g.resume, SharedSocket: inherited != nil}
	life := newSupervisor(ending, clients, f, c, srv, g.depart, g.log)
	g.operate(ctx, c, f, life, inherited != nil)
	srv.ConnState, srv.ConnContext = clients.State, clients.ConnContext
	go g.reloads(ctx, hup) // to the very end: SIGHUP may come while the gateway leaves
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(clients) }()
	g.serving.Store(l.Addr().String())
	g.log.Info("serving", "listen", l.Addr().String())
	err = life.run(ctx, term, failed)
	_ = srv.Close()
	checks.Log(g.log)
	stop()
	select { // a listing elsewhere is to be taken off, the last good view written
	case <-worked:
	case <-time.After(lastWork):
	}
	return err
}

// reloads reads the configuration anew on every signal. One that can't be used
// changes nothing: a gateway in service must not end for a mistake in a file.
func (g *gateway) reloads(ctx context.Context, hup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		if err := g.reload(); err != nil {
			g.log.Error("not reloaded, the old configuration stays", "cause", err)
			continue
		}
		g.log.Info("reloaded")
	}
}
