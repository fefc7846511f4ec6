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
	queueSize    = 4096
	cancelMargin = 3 * time.Millisecond // from the end of an attempt to what must not meet it, such as the next
	clockOrigin  = 24 * time.Hour       // the module's clock at the start, so that no time of it is 0
)

// Core owns one Router and all requests in hand.
type Core struct {
	router    *routing.Router
	engine    Transport
	directory Directory
	fig       Limits
	log       *slog.Logger
	loud      bool // the log takes level debug
	checks    *invariant.Checks
	observer  Observer // nil for none
	origin    time.Time
	wall      func() time.Time // the wall clock, which may be stepped: for stamps of others alone

	queue chan func()
	done  chan struct{}
	ready atomic.Bool

	// Owned by the goroutine of Run.
	members    map[string]Endpoint
	ejections  *ejection.Set // engines out by hand
	starts     *starttime.Table
	requests   map[routing.RequestID]*request
	wires      map[string]bool
	lastID     routing.RequestID
	timers     timers
	pending    []routing.Event
	settling   []*request
	unreleased map[*request]bool    // over, and something may still be held for them
	lastHeard  map[string]time.Time // when each engine has last answered
	lingering  int                  // attempts that are over for the module and whose connections are kept; see keepLingering
	drained    []chan struct{}
	counts     map[Counter]int
	traffic    map[string]*Traffic // by class
	lastBusy   time.Time           // a request came, or was seen in hand
}

// New returns a core round a router. Run must be called for it to work.
func New(r *routing.Router, e Transport, d Directory, fig Limits, log *slog.Logger, checks *invariant.Checks) *Core {
	origin := time.Now().Add(-clockOrigin)
	return &Core{
		router: r, engine: e, directory: d, fig: fig, log: log, checks: checks,
		loud:   log.Enabled(context.Background(), slog.LevelDebug),
		origin: origin, wall: wallclock.Now,
		starts: starttime.New(starttime.Clock{Now: clockOrigin, Wall: wallclock.Now()}),
		queue:  make(chan func(), queueSize), done: make(chan struct{}),
		members: map[string]Endpoint{}, ejections: ejection.New(), requests: map[routing.RequestID]*request{}, unreleased: map[*request]bool{}, lastHeard: map[string]time.Time{},
		wires: map[string]bool{}, counts: map[Counter]int{}, traffic: map[string]*Traffic{},
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
		alarm.Reset(c.timers.wait(time.Now()))
		select {
		case <-ctx.Done():
			return
		case job := <-c.queue:
			job()
			c.settle()
		case <-alarm.C:
		}
		for job := c.timers.due(time.Now()); job != nil; job = c.timers.due(time.Now()) {
			job()
			c.settle()
		}
	}
}

// post puts a job into the queue; after Run has ended it is dropped.
func (c *Core) post(job func()) {
	select {
	case c.queue <- job:
	case <-c.done:
	}
}

// Ready tells whether there is an engine to send to.
func (c *Core) Ready() bool { return c.ready.Load() }

// Drain waits until no request is in hand and no release is under way.
func (c *Core) Drain(ctx context.Context) error {
	ch := make(chan struct{})
	c.post(func() { c.drained = append(c.drained, ch); c.watchDrain() })
	select {
	case <-ch:
		return nil
	case <-c.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Abandon has the module give up every request that still waits, and all that come from
// now on, as the gateway has no time left; with last those too that a decode engine may be about
// to answer. Streams are the fronts' to end.
func (c *Core) Abandon(last bool) {
	c.post(func() { c.tell(routing.ShuttingDown{Final: last}) })
}

// tell gives the module an event, carries out what it asks for, and goes on with
// what that brings at once. Handle's result ends with the next call, so events
// that an action brings wait in pending.
func (c *Core) tell(ev routing.Event) {
	c.pending = append(c.pending, ev)
	if len(c.pending) > 1 {
		return
	}
	for len(c.pending) > 0 {
		for _, a := range c.router.Handle(time.Since(c.origin), c.pending[0]) {
			c.act(a)
		}
		c.pending = c.pending[1:]
	}
	c.pending = nil
}

func (c *Core) act(action routing.Action) {
	switch a := action.(type) {
	case routing.Send:
		c.send(a)
	case routing.Reject:
		if q := c.requests[a.ID]; c.checks.Hold(q != nil, "a refusal names a request in hand") {
			c.answer(q, Answer{Verdict: Rejected, RetryAfter: a.RetryAfter, OverQuota: a.OverQuota})
		}
	case routing.Fail:
		if q := c.requests[a.ID]; c.checks.Hold(q != nil, "a failure names a request in hand") {
			c.answer(q, Answer{Verdict: Failed})
		}
	case routing.CancelAttempt:
		if q := c.requests[a.ID]; q != nil && a.Attempt < len(q.attempts) && q.streaming != q.attempts[a.Attempt] {
			c.end(q, q.attempts[a.Attempt], Result{Status: routing.StatusCancelled})
		}
	case routing.Release: // the ledger of held states sees to it; see settle
	case routing.SetTimer:
		c.after(a.In, func() { c.tell(routing.TimerFired{Name: a.Name}) })
	case routing.Probe:
		c.probe(a.Engine)
	case routing.Subscribe:
		c.directory.Subscribe()
	default:
		c.checks.Hold(false, "every action of the module is known")
	}
}

// settle updates the requests that something has happened to: held states are released, and
// what is over is forgotten.
func (c *Core) settle() {
	for len(c.settling) > 0 {
		q := c.settling[0]
		c.settling = c.settling[1:]
		if q.answered && q.out == 0 {
			c.forget(q)
		}
		c.updateHeld(q)
	}
	c.settling = nil
	if len(c.drained) > 0 && len(c.requests) == 0 && !c.releasesUrgent() {
		for _, ch := range c.drained {
			close(ch)
		}
		c.drained = nil
	}
}

func (c *Core) after(d time.Duration, job func()) { c.timers.add(time.Now().Add(d), job) }
