// Package core forwards requests from fronts to the engines that the routing policy selects, and returns
// the answers to the fronts. It is independent of protocols: fronts submit requests and receive answers, a
// Transport makes attempts at engines and reports their results.
//
// One goroutine, that of Core.Run, owns the router and the state of all requests. Other goroutines
// communicate with it through one message queue, and it never blocks on I/O.
package core

import (
	"context"
	"log/slog"
	"time"

	"wellgw/decide/starttime"
	"wellgw/internal/invariant"
	"wellgw/routing"
)

// queueSize is the capacity of the message queue. Senders block while it is full; the core never
// waits for a sender.
const queueSize = 4096

// Core owns one Router and all open requests: those that are not answered or have an attempt that has
// not ended.
type Core struct {
	router       *routing.Router
	transport    Transport
	directory    Directory
	observer     Observer // nil for none
	limits       Limits
	log          *slog.Logger
	debugLogging bool // the log's level includes debug
	checks       *invariant.Checks
	clock        clock

	queue     chan message
	done      chan struct{} // closed when Run returns
	endpoints *endpointTable

	// Owned by the goroutine of Run.
	requests       requestTable
	unreconciled   []*requestState // changed by the message that is being handled
	unreleased     unreleasedRequests
	lingeringCount int             // lingering attempts of completed requests; see keepLingering
	pendingEvents  []routing.Event // for the router, from executing its latest actions
	timers         timers
	stalls         stallDetector
	counters       counters
	drainWaiters   []chan<- struct{} // closed when the core is drained
}

// New returns a core that owns router. It handles requests while Run is running.
func New(router *routing.Router, transport Transport, directory Directory, limits Limits, log *slog.Logger, checks *invariant.Checks) *Core {
	clock := newClock()
	return &Core{
		router: router, transport: transport, directory: directory, limits: limits, checks: checks, clock: clock,
		log: log, debugLogging: log.Enabled(context.Background(), slog.LevelDebug),
		queue: make(chan message, queueSize), done: make(chan struct{}),
		endpoints: newEndpointTable(starttime.Clock{Now: initialRouterTime, Wall: clock.wall()}),
		requests:  newRequestTable(), unreleased: unreleasedRequests{}, counters: newCounters(),
	}
}

// SetObserver sets the observer of answers. It must be called before Run.
func (c *Core) SetObserver(o Observer) { c.observer = o }

// Run handles messages and timers until ctx is done. After each message it reconciles the requests that
// the message has changed.
func (c *Core) Run(ctx context.Context) {
	defer close(c.done)
	wakeup := time.NewTimer(maxWait)
	defer wakeup.Stop()
	for {
		wakeup.Reset(c.timers.untilNext(time.Now()))
		select {
		case <-ctx.Done():
			return
		case m := <-c.queue:
			c.stalls.beginRound(time.Now())
			m.handle(c)
			c.reconcile()
		case <-wakeup.C:
			c.stalls.beginRound(time.Now())
		}
		for m := c.timers.popDue(time.Now()); m != nil; m = c.timers.popDue(time.Now()) {
			m.handle(c)
			c.reconcile()
		}
		c.stalls.endRound(time.Now())
	}
}

// post adds a message to the queue. Messages are dropped after Run has returned.
func (c *Core) post(m message) {
	select {
	case c.queue <- m:
	case <-c.done:
	}
}

// reconcile processes the requests that have changed: it starts due releases of the state that engines
// hold, and removes completed requests from the table.
func (c *Core) reconcile() {
	for len(c.unreconciled) > 0 {
		request := c.unreconciled[0]
		c.unreconciled = c.unreconciled[1:]
		if request.answered && request.activeAttempts == 0 {
			c.removeRequest(request)
		}
		c.reconcileHeldState(request)
	}
	c.unreconciled = nil
	c.completeDrain()
}

// markChanged schedules a request for reconciliation after the current message has been handled.
func (c *Core) markChanged(request *requestState) {
	c.unreconciled = append(c.unreconciled, request)
}
