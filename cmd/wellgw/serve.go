package main

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wellgw/decide/deduplication"
	"wellgw/internal/clientconn"
	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/idempotency"
	"wellgw/internal/invariant"
	"wellgw/internal/openai"
	"wellgw/internal/platform"
	"wellgw/internal/settings"
	"wellgw/internal/upstream"
	"wellgw/routing"
)

// The program's own margins.
const (
	memoryPart   = 0.75                   // of the memory limit, for the Go heap
	bodyPart     = 0.125                  // of it, for bodies in hand; they are held up to three times over
	heldPart     = 0.0625                 // of it, for what slow clients have not read
	spareSockets = 32                     // descriptors for all but clients and engines
	acceptAfter  = 500 * time.Millisecond // SIGTERM: for so long new clients keep coming
	quietFor     = time.Second            // with no request for so long they have noticed
	quietLook    = 50 * time.Millisecond
	killAfter    = 700 * time.Millisecond  // SIGKILL follows the longest wait, of longestWait at most,
	longestWait  = 3 * time.Second         // by no less
	beforeKill   = 1100 * time.Millisecond // what is left is ended this much earlier; see leave
	lastReleases = 500 * time.Millisecond  // for the last states to be let go, the second call included
	lastWork     = 1500 * time.Millisecond // for what the directory still has to do
	lastAnswers  = 250 * time.Millisecond  // for what is out at writers to be answered
	lastRefusals = 400 * time.Millisecond  // before the kill, where streams go on to the end
	lastWords    = 50 * time.Millisecond   // for the last refusals to be written

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

// front is what stands between clients and the core.
type front interface {
	http.Handler
	Close() // from now on every answer ends its connection
}

// gateway is all that differs between the platform and an operator's machine.
type gateway struct {
	listen  string
	limits  config.Limits
	set     routing.Settings
	seed    uint64
	figures core.Figures
	pool    upstream.Options
	dialect func(kind string) upstream.Dialect
	front   func(*core.Core, *clientconn.Budget) front
	// directory returns what the module may ask for changes, and its work.
	directory func(c *core.Core) (core.Directory, func(context.Context), error)
	// watched wraps the engines, so that the directory learns from attempts; nil leaves them.
	watched func(core.Engine) core.Engine
	reload  func() error          // reads the configuration anew; set by directory
	depart  func()                // tells the other gateways that this one is about to end; set by directory, nil for none
	longest time.Duration         // wait of any client for its first token, by the settings
	kept    atomic.Int64          // the same by settings read later, nanoseconds; 0 for none
	serving atomic.Value          // the address that it listens on, once it does
	shared  atomic.Int64          // gateways that share the engines; set by directory
	counts  func() map[string]int // of the front's own, beside the core's; nil for none
	garbage int                   // see fitLimits; 0 = usualGarbage
	resume  bool                  // clients ask for the rest of a stream that is cut off
	killed  bool                  // SIGKILL follows SIGTERM by the platform's clock; elsewhere nobody says when
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
	g.figures.Slack = settings.Micros(p.Options.Rules.AnswerSlack)
	g.figures.PinSlack = platformPinSlack
	g.front = func(c *core.Core, b *clientconn.Budget) front { return platform.NewFront(c, g.set.Classes, b) }
	g.directory = func(c *core.Core) (core.Directory, func(context.Context), error) {
		w := platform.NewWatch(p.Discovery, g.set.MustSubscribe, settings.Micros(p.Options.Rules.DrainGrace), c.Roster, g.log)
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
			w.Move(next.Discovery)
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

func chatGateway(path string, o *config.Operator, log *slog.Logger) *gateway {
	var now atomic.Pointer[config.Operator] // the file as last read
	now.Store(o)
	var f *openai.Front
	g := &gateway{listen: o.Listen, limits: o.Limits, set: o.Settings(), seed: uint64(time.Now().UnixNano()), log: log}
	var keys *idempotency.Keeper
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
				return deduplication.Others{
					Sticky: o.Idempotency != nil && o.Idempotency.Sticky, Said: o.Gateways, Talk: o.Peers != nil, Shown: int(g.shared.Load()),
				}.May()
			},
		})
		here.Store(f)
		return f
	}
	g.pool.ReadBuffer, g.garbage = chatBuffer, chatGarbage
	g.figures.Alone = func(kind string) bool { return kind == config.RoleOpenAI }
	g.pool.StreamSilence = chatSilence
	g.pool.ConnectTimeout, g.pool.ConnIdle, g.figures.Slack = o.Network()
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
		next, err := config.ReadOperator(path)
		if err == nil {
			err = o.Takes(next)
		}
		if err == nil {
			err = list(next)
		}
		if err != nil {
			return err
		}
		now.Store(next)
		f.Reload(next)
		return nil
	}
	g.takeEngines(o, anew)
	engines := g.directory
	g.directory = func(c *core.Core) (core.Directory, func(context.Context), error) {
		file := ""
		if o.Idempotency != nil {
			file = o.Idempotency.File
		}
		var err error
		if keys, err = idempotency.Open(file, o.KeyLimits(), log); err != nil {
			return nil, nil, err
		}
		d, work, err := engines(c)
		return d, func(ctx context.Context) {
			var group sync.WaitGroup
			group.Go(func() { keys.Run(ctx) })
			work(ctx)
			group.Wait()
		}, err
	}
	return g
}

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
	limits := g.limits
	if inherited != nil { // a new version may run beside this one, within the same limits
		limits.MemoryMB, limits.Sockets = limits.MemoryMB/2, limits.Sockets/2
	}
	fitLimits(limits, cmp.Or(g.garbage, usualGarbage))
	router, err := routing.New(g.set, g.seed)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	share := max(16, (limits.Sockets-spareSockets)/2)
	g.pool.MaxConns = share
	g.figures.PinLimit, g.figures.MaxSends, g.figures.Reach = g.set.PinLimit, g.set.MaxAttempts, g.pool.ConnectTimeout
	pool := upstream.NewPool(g.pool)
	checks := invariant.New()
	later := &laterDirectory{}
	engine := &laterEngine{Engine: upstream.NewEngine(pool, g.dialect)}
	c := core.New(router, engine, later, g.figures, g.log, checks)
	from, work, err := g.directory(c)
	if err != nil {
		return err
	}
	later.Directory = from
	if g.watched != nil {
		engine.Engine = g.watched(engine.Engine)
	}
	go c.Run(ctx)
	go pool.Sweep(ctx)
	worked := make(chan struct{})
	go func() { defer close(worked); work(ctx) }()
	go logCounts(ctx, c, checks, g.log)

	l := inherited
	if l == nil {
		if l, err = net.Listen("tcp4", g.listen); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
	}
	f := g.front(c, clientconn.NewBudget(int64(bodyPart*float64(limits.MemoryMB)*(1<<20))))
	srv := newServer(f, g.log)
	clients := clientconn.NewListener(l, share)
	var handed atomic.Bool // a newer version takes the clients from now on
	var handOver func()
	if inherited != nil {
		handOver = func() {
			handed.Store(true)
			clients.Close()
			f.Close()
		}
	}
	g.operate(ctx, c, f, clients, handOver)
	srv.ConnState, srv.ConnContext = clients.State, clients.ConnContext
	go g.reloads(ctx, hup) // to the very end: SIGHUP may come while the gateway leaves
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(clients) }()
	g.serving.Store(l.Addr().String())
	g.log.Info("serving", "listen", l.Addr().String())
	select {
	case err := <-failed:
		if !handed.Load() {
			return fmt.Errorf("serve: %w", err)
		}
		<-term // the process runs until it is told to end
	case <-term:
	}
	g.log.Info("leaving")
	if g.depart != nil {
		g.depart()
	}
	if inherited != nil { // the next version takes what comes from now on
		clients.Close()
	}
	if !g.resume || inherited != nil {
		f.Close()
	}
	g.leave(ctx, srv, clients, c, f, inherited != nil)
	_ = srv.Close()
	checks.Log(g.log)
	stop()
	select { // a listing elsewhere is to be taken off, the last good view written
	case <-worked:
	case <-time.After(lastWork):
	}
	return nil
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

// leave goes on serving while clients have yet to notice, then finishes what is in
// hand.
//
// Where clients ask for the rest of a stream, all is served as ever for a while: the
// other gateways of a roll may be away, and clients that find no listener and have
// lost their connection have nowhere to go. Then what waits is given up, and every
// stream is cut off and its state let go. That is not at the last moment: clients
// ask for the rest at once, and by then the next gateway of the roll may be leaving;
// nor is it at the first, when the last one may not be back. Elsewhere a stream must
// not be cut off while its events come, so nothing new is taken after a moment and
// what runs does so for as long as it may.
//
// On an inherited socket the next version takes new clients at once, so nothing
// new is waited for: what is in hand is finished before the kill.
func (g *gateway) leave(ctx context.Context, srv *http.Server, clients *clientconn.Listener, c *core.Core, f front, handed bool) {
	kill := time.Now().Add(timeLeft(g.longest, time.Duration(g.kept.Load())))
	finish, done := ctx, context.CancelFunc(func() {})
	if handed {
		finish, done = context.WithDeadline(ctx, kill)
	} else {
		time.Sleep(acceptAfter)
	}
	if g.resume && !handed {
		for time.Now().Before(kill) && c.Quiet(ctx) < quietFor {
			time.Sleep(quietLook)
		}
		finish, done = context.WithDeadline(ctx, kill)
	}
	defer done()
	if g.endsEarly(handed) { // what the kill would find unanswered has its answer before
		last := time.AfterFunc(time.Until(kill)+beforeKill-lastRefusals, func() { c.Abandon(true) })
		defer last.Stop()
	}
	f.Close()
	if time.Now().After(kill) {
		c.Abandon(false)
		var done context.CancelFunc
		finish, done = context.WithTimeout(ctx, lastAnswers)
		defer done()
	}
	if err := clients.Shutdown(finish); err != nil {
		g.log.Warn("time is up", "cause", err, "counts", c.Counts(ctx))
		c.Abandon(true)
		last, over := context.WithTimeout(ctx, lastWords)
		_ = clients.Shutdown(last)
		over()
		srv.Close()
		release, done := context.WithTimeout(ctx, lastReleases)
		defer done()
		finish = release
	}
	drain, stop := g.drainTime(finish, kill)
	defer stop()
	if err := c.Drain(drain); err != nil {
		g.log.Warn("left before the end of all requests and releases", "cause", err)
	}
	_ = clients.Shutdown(finish) // the last answers are given time to arrive
	g.log.Info("left", "counts", c.Counts(ctx))
}

// drainTime bounds the drain of a gateway by the kill, where one is known to come that it would
// find waiting for releases.
func (g *gateway) drainTime(finish context.Context, kill time.Time) (context.Context, context.CancelFunc) {
	if !g.killed || time.Now().After(kill) {
		return finish, func() {}
	}
	return context.WithDeadline(finish, kill)
}

// endsEarly tells whether what has no answer yet is given up shortly before a kill that is
// known to come, while streams go on to it.
func (g *gateway) endsEarly(handed bool) bool { return g.killed && !g.resume && !handed }

// timeLeft is how long after SIGTERM the gateway may go on, by the longest wait that the
// settings allow: the kill goes by those in force, which may have been read anew.
func timeLeft(first, anew time.Duration) time.Duration {
	if anew > 0 {
		first = min(first, anew)
	}
	return min(first, longestWait) + killAfter - beforeKill
}

// laterDirectory breaks the circle between core and directory: each is told of
// the other. It is filled in before the core runs.
type laterDirectory struct{ core.Directory }

// laterEngine does the same for engines.
type laterEngine struct{ core.Engine }

func logCounts(ctx context.Context, c *core.Core, checks *invariant.Checks, log *slog.Logger) {
	t := time.NewTicker(logEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			log.Info("counts", "counts", c.Counts(ctx))
			checks.Log(log)
		}
	}
}
