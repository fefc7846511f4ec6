// Package core carries requests from a front to the engines that the routing policy names, and
// their outcomes back. It knows no protocol: fronts submit requests and take answers, a Transport
// makes attempts at engines and reports their results.
//
// One goroutine, that of Core.Run, owns the router and all state of requests. All others reach it
// through one queue of messages, and it never waits for I/O.
package core

import (
	"context"
	"log/slog"
	"time"

	"wellgw/decide/starttime"
	"wellgw/internal/invariant"
	"wellgw/routing"
)

// queueSize is how many messages may wait for the core. Beyond that senders block until it has
// caught up; the core itself waits for none of them.
const queueSize = 4096

// Core owns one Router and all requests in hand: those that are not answered or have an attempt that
// has not ended.
type Core struct {
	router       *routing.Router
	transport    Transport
	directory    Directory
	observer     Observer // nil for none
	limits       Limits
	log          *slog.Logger
	debugLogging bool // the log takes level debug
	checks       *invariant.Checks
	clock        clock

	queue     chan message
	done      chan struct{} // closed when Run has ended
	endpoints *endpointTable

	// Owned by the goroutine of Run.
	requests       requestTable
	unreconciled   []*requestState // in which the message in hand has changed something
	unreleased     unreleasedRequests
	lingeringCount int             // lingering attempts of requests that are over; see keepLingering
	pendingEvents  []routing.Event // for the router, from the actions that it asked for last
	timers         timers
	stalls         stallDetector
	counters       counters
	drainWaiters   []chan<- struct{} // closed once nothing is in hand
}

// New returns a core with a router of its own. It works while Run does.
func New(router *routing.Router, transport Transport, directory Directory, limits Limits, log *slog.Logger, checks *invariant.Checks) *Core {
	clock := newClock()
	return &Core{
		router: router, transport: transport, directory: directory, limits: limits, checks: checks, clock: clock,
		log: log, debugLogging: log.Enabled(context.Background(), slog.LevelDebug),
		queue: make(chan message, queueSize), done: make(chan struct{}),
		endpoints: newEndpointTable(starttime.Clock{Now: clockOffset, Wall: clock.wall()}),
		requests:  newRequestTable(), unreleased: unreleasedRequests{}, counters: newCounters(),
	}
}

// SetObserver sets the observer of answers. It is to be called before Run.
func (c *Core) SetObserver(o Observer) { c.observer = o }

// Run handles messages and timers until ctx ends. After each message it reconciles the requests which
// that has changed.
func (c *Core) Run(ctx context.Context) {
	defer close(c.done)
	alarm := time.NewTimer(idleWait)
	defer alarm.Stop()
	for {
		alarm.Reset(c.timers.untilNext(time.Now()))
		select {
		case <-ctx.Done():
			return
		case m := <-c.queue:
			c.stalls.running(time.Now())
			m.handle(c)
			c.reconcile()
		case <-alarm.C:
			c.stalls.running(time.Now())
		}
		for m := c.timers.popDue(time.Now()); m != nil; m = c.timers.popDue(time.Now()) {
			m.handle(c)
			c.reconcile()
		}
		c.stalls.done(time.Now())
	}
}

// post puts a message into the queue; after Run has ended it is dropped.
func (c *Core) post(m message) {
	select {
	case c.queue <- m:
	case <-c.done:
	}
}

// reconcile brings the requests that have changed up to date: state that engines hold is released, and
// requests that are over leave the table.
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
	c.endDrain()
}

// markChanged has a request reconciled once the message in hand has been handled.
func (c *Core) markChanged(request *requestState) {
	c.unreconciled = append(c.unreconciled, request)
}
