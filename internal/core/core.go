package core

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"wellgw/decide/ejection"
	"wellgw/decide/starttime"
	"wellgw/internal/invariant"
	"wellgw/internal/wallclock"
	"wellgw/routing"
)

// The core's own margins; all else is the module's to decide.
const (
	queueSize     = 4096
	cancelTransit = 3 * time.Millisecond // from the end of an attempt to what must not meet it, such as the next
	clockOffset   = 24 * time.Hour       // the module's clock at the start, so that no time of it is 0
)

// Core owns one Router and all requests in hand.
type Core struct {
	router       *routing.Router
	transport    Transport
	directory    Directory
	limits       Limits
	log          *slog.Logger
	debugLogging bool // the log takes level debug
	checks       *invariant.Checks
	observer     Observer // nil for none
	origin       time.Time
	wall         func() time.Time // the wall clock, which may be stepped: for stamps of others alone

	queue chan message
	done  chan struct{}
	ready atomic.Bool

	// Owned by the goroutine of Run.
	members          map[string]Endpoint
	ejections        *ejection.Set // engines out by hand
	starts           *starttime.Table
	requests         map[routing.RequestID]*requestState
	clientRequestIDs map[string]bool
	lastID           routing.RequestID
	timers           timers
	pendingEvents    []routing.Event
	unreconciled     []*requestState
	unreleased       map[*requestState]bool // over, and something may still be held for them
	lastHeard        map[string]time.Time   // when each engine has last answered
	lingering        int                    // attempts that are over for the module and whose connections are kept; see keepLingering
	drainWaiters     []chan<- struct{}
	counts           map[Counter]int
	traffic          map[string]*Traffic // by class
	lastBusy         time.Time           // a request came, or was seen in hand
}

// New returns a core round a router. Run must be called for it to work.
func New(r *routing.Router, e Transport, d Directory, fig Limits, log *slog.Logger, checks *invariant.Checks) *Core {
	origin := time.Now().Add(-clockOffset)
	return &Core{
		router: r, transport: e, directory: d, limits: fig, log: log, checks: checks,
		debugLogging: log.Enabled(context.Background(), slog.LevelDebug),
		origin:       origin, wall: wallclock.Now,
		starts: starttime.New(starttime.Clock{Now: clockOffset, Wall: wallclock.Now()}),
		queue:  make(chan message, queueSize), done: make(chan struct{}),
		members: map[string]Endpoint{}, ejections: ejection.New(), requests: map[routing.RequestID]*requestState{}, unreleased: map[*requestState]bool{}, lastHeard: map[string]time.Time{},
		clientRequestIDs: map[string]bool{}, counts: map[Counter]int{}, traffic: map[string]*Traffic{},
	}
}

// Observe has an observer told of answers. It is to be called before Run.
func (c *Core) Observe(o Observer) { c.observer = o }

// Run works until ctx ends.
func (c *Core) Run(ctx context.Context) {
	defer close(c.done)
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		alarm.Reset(c.timers.untilNext(time.Now()))
		select {
		case <-ctx.Done():
			return
		case m := <-c.queue:
			m.handle(c)
			c.reconcile()
		case <-alarm.C:
		}
		for m := c.timers.popDue(time.Now()); m != nil; m = c.timers.popDue(time.Now()) {
			m.handle(c)
			c.reconcile()
		}
	}
}

// post puts a message into the queue; after Run has ended it is dropped.
func (c *Core) post(m message) {
	select {
	case c.queue <- m:
	case <-c.done:
	}
}

// reconcile updates the requests that something has happened to: held states are released, and
// what is over is forgotten.
func (c *Core) reconcile() {
	for len(c.unreconciled) > 0 {
		request := c.unreconciled[0]
		c.unreconciled = c.unreconciled[1:]
		if request.answered && request.activeAttempts == 0 {
			c.removeRequest(request)
		}
		c.updateHeld(request)
	}
	c.unreconciled = nil
	if len(c.drainWaiters) > 0 && len(c.requests) == 0 && !c.releasesBlockDrain() {
		for _, ch := range c.drainWaiters {
			close(ch)
		}
		c.drainWaiters = nil
	}
}

// markChanged has a request reconciled once the message in hand has been handled.
func (c *Core) markChanged(request *requestState) {
	c.unreconciled = append(c.unreconciled, request)
}
