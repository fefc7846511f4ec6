package core

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"wellgw/decide/handban"
	"wellgw/internal/invariant"
	"wellgw/ringdale"
)

// The core's own margins; all else is the module's to decide.
const (
	queueSize   = 4096
	coverLimit  = 15 * time.Second     // for which an attempt covers what is held; cuts seldom last longer
	coverMost   = 32                   // attempts that do so at once: each keeps a connection and a body
	tellMargin  = 3 * time.Millisecond // from the end of an attempt to what must not meet it, such as the next
	clockOrigin = 24 * time.Hour       // the module's clock at the start, so that no time of it is 0
)

// Core owns one Router and all requests in hand.
type Core struct {
	router    *ringdale.Router
	engine    Engine
	directory Directory
	fig       Figures
	log       *slog.Logger
	checks    *invariant.Checks
	observer  Observer // nil for none
	origin    time.Time

	queue chan func()
	done  chan struct{}
	ready atomic.Bool

	// Owned by the goroutine of Run.
	members  map[string]Member
	bans     *handban.Bans // engines out by hand
	requests map[ringdale.RequestID]*request
	wires    map[string]bool
	lastID   ringdale.RequestID
	timers   timers
	pending  []ringdale.Event
	settling []*request
	owing    map[*request]bool    // over, and something may still be held for them
	heard    map[string]time.Time // when each engine has last answered
	covers   int                  // attempts over for the module whose connections are kept; see cover
	drained  []chan struct{}
	counts   map[string]int
	traffic  map[string]*Traffic // by class
	lastBusy time.Time           // a request came, or was seen in hand
}

// request is one client's try, kept until it is answered and no attempt is out.
type request struct {
	Request
	front     Front
	deadline  time.Time
	free      bool // may be repeated at will, by the settings with which it was taken
	answered  bool // has had its final answer, or its client has gone
	streaming *attempt
	stream    Stream
	attempts  []*attempt
	out       int             // attempts that have not ended
	cover     *attempt        // given up, its connection not closed yet
	held      heldStates      // at engines
	status    ringdale.Status // how the latest attempt ended, and why
	cause     error
	ran       bool         // an attempt has ended that may have run
	left      *atomic.Bool // its client has gone, whether or not the core has been told
}

type attempt struct {
	number  int
	server  Member
	sent    time.Time
	ended   bool
	begun   bool // its answer has
	out     bool // its last byte has been written
	written time.Time
	handle  Handle
}

// New returns a core round a router. Run must be called for it to work.
func New(r *ringdale.Router, e Engine, d Directory, fig Figures, log *slog.Logger, checks *invariant.Checks) *Core {
	return &Core{
		router: r, engine: e, directory: d, fig: fig, log: log, checks: checks,
		origin: time.Now().Add(-clockOrigin),
		queue:  make(chan func(), queueSize), done: make(chan struct{}),
		members: map[string]Member{}, bans: handban.New(), requests: map[ringdale.RequestID]*request{}, owing: map[*request]bool{}, heard: map[string]time.Time{},
		wires: map[string]bool{}, counts: map[string]int{}, traffic: map[string]*Traffic{},
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
	c.post(func() { c.drained = append(c.drained, ch); c.awaitPressing() })
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
// now on, as the gateway has no time left; with last those too that a writer may be about
// to answer. Streams are the fronts' to end.
func (c *Core) Abandon(last bool) {
	c.post(func() { c.tell(ringdale.Closing{Last: last}) })
}

// Quiet returns for how long no request has come and none has been in hand.
func (c *Core) Quiet(ctx context.Context) time.Duration {
	return query(ctx, c, func() time.Duration {
		if len(c.requests) > 0 {
			c.lastBusy = time.Now()
		}
		return time.Since(c.lastBusy)
	})
}

// classesMost bounds the classes that are counted: clients may name any.
const classesMost = 64

func (c *Core) count(class string, add func(*Traffic)) {
	t := c.traffic[class]
	if t == nil {
		if len(c.traffic) >= classesMost {
			return
		}
		t = &Traffic{}
		c.traffic[class] = t
	}
	add(t)
}

// Traffic returns what has been asked and served, by class.
func (c *Core) Traffic(ctx context.Context) map[string]Traffic {
	return query(ctx, c, func() map[string]Traffic {
		m := make(map[string]Traffic, len(c.traffic))
		for class, t := range c.traffic {
			m[class] = *t
		}
		return m
	})
}

// query has the core's goroutine answer a question; it returns the zero value if the core
// or ctx ends first.
func query[T any](ctx context.Context, c *Core, answer func() T) (out T) {
	ch := make(chan T, 1)
	c.post(func() { ch <- answer() })
	select {
	case out = <-ch:
	case <-c.done:
	case <-ctx.Done():
	}
	return out
}

// Counts returns how often each outcome and answer came, for the log.
func (c *Core) Counts(ctx context.Context) map[string]int {
	return query(ctx, c, func() map[string]int {
		m := map[string]int{"open": len(c.requests)}
		for k, v := range c.counts {
			m[k] = v
		}
		return m
	})
}

// Roster tells what a directory has learned.
func (c *Core) Roster(scope ringdale.RosterScope, members []Member) {
	c.post(func() { c.roster(scope, members) })
}

func (c *Core) roster(scope ringdale.RosterScope, members []Member) {
	ev := ringdale.Roster{Scope: scope}
	// Who has left is forgotten: engines come under ever new ids. What one still holds
	// is let go by the entry that its request keeps.
	if scope == ringdale.RosterFull || scope == ringdale.RosterCached {
		clear(c.members)
	}
	for _, m := range members {
		if m.CameUp = 0; !m.StartedAt.IsZero() {
			m.CameUp = m.StartedAt.Sub(c.origin)
		}
		if c.members[m.Name] = m; m.Phase == ringdale.PhaseOff {
			delete(c.members, m.Name)
		}
		c.bans.See(m.Name)
		ev.Servers = append(ev.Servers, c.bans.Show(m.ServerInfo))
	}
	c.forgetUnlisted()
	c.setReady()
	c.tell(ev)
}

// Gateways tells how many gateways share the engines from now on.
func (c *Core) Gateways(n int) {
	c.post(func() { c.tell(ringdale.Peers{Routers: n}) })
}

// tell gives the module an event, carries out what it asks for, and goes on with
// what that brings at once. Handle's result ends with the next call, so events
// that an action brings wait in pending.
func (c *Core) tell(ev ringdale.Event) {
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

func (c *Core) act(action ringdale.Action) {
	switch a := action.(type) {
	case ringdale.Send:
		c.send(a)
	case ringdale.Refuse:
		if q := c.requests[a.ID]; c.checks.Hold(q != nil, "a refusal names a request in hand") {
			c.answer(q, Answer{Verdict: Refused, RetryAfter: a.RetryAfter, OverQuota: a.OverQuota})
		}
	case ringdale.Fail:
		if q := c.requests[a.ID]; c.checks.Hold(q != nil, "a failure names a request in hand") {
			c.answer(q, Answer{Verdict: Failed})
		}
	case ringdale.CancelAttempt:
		if q := c.requests[a.ID]; q != nil && a.Attempt < len(q.attempts) && q.streaming != q.attempts[a.Attempt] {
			c.end(q, q.attempts[a.Attempt], Result{Status: ringdale.StatusCancelled})
		}
	case ringdale.Release: // the ledger of held states sees to it; see settle
	case ringdale.SetTimer:
		c.after(a.In, func() { c.tell(ringdale.TimerFired{Name: a.Name}) })
	case ringdale.Probe:
		c.probe(a.Server)
	case ringdale.Subscribe:
		c.directory.Subscribe()
	default:
		c.checks.Hold(false, "every action of the module is known")
	}
}

func (c *Core) submit(t *Ticket, in Request, f Front) {
	// Ids count up and wrap; one that is still in hand is passed over, as a stream
	// may outlast any number of others.
	for c.lastID++; c.requests[c.lastID] != nil; c.lastID++ {
	}
	in.ID = c.lastID
	q := &request{Request: in, front: f, deadline: in.Arrived.Add(in.TTL), free: c.router.Free(in.Class), left: &t.left}
	q.held = newHeldStates(c.heldLimits(in.TTL))
	t.q = q
	if c.wires[in.Wire] {
		// Engines know a request by its wire id alone: two at once would share
		// attempts and states. The first goes on; the second never ran.
		q.answered = true
		c.counts["duplicate id"]++
		f.Answer(Answer{Verdict: Duplicate, Status: ringdale.StatusUnsent})
		return
	}
	c.requests[q.ID], c.wires[in.Wire] = q, true
	c.lastBusy = time.Now()
	c.counts["requests"]++
	c.count(in.Class, func(t *Traffic) { t.Asked++; t.Prompt += in.Prompt })
	c.settling = append(c.settling, q)
	// The backstop guards against a request that neither the module nor an engine
	// ever ends: it is answered inside the slack whatever else happens.
	c.after(time.Until(q.deadline)+c.fig.Slack, func() { c.overdue(q) })
	in.TTL = time.Until(q.deadline)
	c.tell(in.Request)
}

// send makes an attempt, or says at once that it was not made.
func (c *Core) send(a ringdale.Send) {
	q := c.requests[a.ID]
	if !c.checks.Hold(q != nil && !q.answered, "a send is for a request that awaits its answer") {
		return
	}
	m, known := c.members[a.Server]
	now := time.Now()
	at := &attempt{number: len(q.attempts), server: m, sent: now, handle: noHandle{}}
	at.server.Name = a.Server
	q.attempts = append(q.attempts, at)
	q.out++
	limit := q.deadline.Sub(now)
	if a.Limit > 0 {
		limit = min(limit, a.Limit)
	}
	unsent := limit <= 0 || len(q.attempts) > c.fig.MaxSends || q.left.Load()
	if unsent || !c.checks.Hold(known && m.Phase == ringdale.PhaseOn, "a send goes to an engine on the list") {
		c.end(q, at, Result{Status: ringdale.StatusUnsent})
		return
	}
	c.counts["attempts"]++
	if q.held.ledger.Holder() != "" && c.fig.Alone != nil && c.fig.Alone(m.Kind) {
		q.held.ledger.Detach() // it will not fetch what was read for it elsewhere
		c.settling = append(c.settling, q)
	}
	c.after(limit, func() { c.end(q, at, Result{Status: ringdale.StatusTimeout}) })
	out := Attempt{Wire: q.Wire, Number: at.number, To: m, Limit: limit, Payload: q.Payload, Left: q.left.Load}
	if q.cover != nil {
		out.Connected = func() { c.connected(q, at) }
	}
	out.Written = func() { c.post(func() { c.written(q, at) }) }
	at.handle = c.engine.Start(
		out,
		func(s Stream) { c.post(func() { c.first(q, at, s) }) },
		func(r Result) { c.post(func() { c.end(q, at, r) }) },
	)
}

// connected has the attempt before closed now that the next one can go out, and returns
// when the two can't meet any more. Until then the one before covers what is held: the
// next may never come up.
func (c *Core) connected(q *request, at *attempt) {
	clear := make(chan struct{})
	c.post(func() {
		if at.ended {
			close(clear)
			return
		}
		c.afterEnd(q, func() { close(clear) })
	})
	select {
	case <-clear:
	case <-c.done:
	}
}

// written notes that an attempt is out: from now on it answers for what is held.
func (c *Core) written(q *request, at *attempt) {
	if at.ended {
		return
	}
	at.out, at.written = true, time.Now()
	c.settling = append(c.settling, q)
}

// first gives an attempt's stream to the client, if the client still waits for it.
func (c *Core) first(q *request, at *attempt, s Stream) {
	if at.ended || q.answered {
		s.Close()
		c.end(q, at, Result{Status: ringdale.StatusCancelled})
		return
	}
	q.streaming, q.stream, at.begun = at, s, true
	c.hear(at.server.Name)
	q.held.ledger.Begun()
	for _, other := range q.attempts {
		if other != at {
			c.end(q, other, Result{Status: ringdale.StatusCancelled})
		}
	}
	c.answer(q, Answer{Verdict: Serving, Stream: s})
	c.tell(ringdale.FirstToken{ID: q.ID, Attempt: at.number, Server: at.server.Name, Latency: time.Since(at.sent)})
}

func (c *Core) streamEnded(q *request, r Result) {
	if at := q.streaming; at != nil {
		q.streaming, q.stream = nil, nil
		if r.Status == ringdale.StatusServed {
			q.held.ledger.Served()
			c.count(q.Class, func(t *Traffic) { t.Served++; t.ServedPrompt += q.Prompt; t.Output += r.Output })
		}
		c.end(q, at, r)
	}
}

// end closes an attempt and tells the module how it went, once.
func (c *Core) end(q *request, at *attempt, r Result) {
	if at.ended && r.Status == ringdale.StatusRead {
		c.readLate(q, at)
	}
	if at.ended || q.streaming == at {
		return
	}
	at.ended, q.status, q.cause = true, r.Status, r.Cause
	switch r.Status {
	case ringdale.StatusUnsent, ringdale.StatusNoConnect, ringdale.StatusFull, ringdale.StatusRead:
		// Turned away, never out, or read only: nothing was carried out.
	default:
		q.ran = true
	}
	givenUp := r.Status == ringdale.StatusCancelled || r.Status == ringdale.StatusTimeout
	if givenUp && !at.begun && at.out {
		c.uncover(q)
		q.cover = at
	} else {
		at.handle.Cancel()
	}
	q.out--
	c.settling = append(c.settling, q)
	c.counts[statusNames[r.Status]]++
	c.keep(q, at, r)
	if r.Cause != nil {
		c.log.Debug("attempt failed", "id", q.Wire, "attempt", at.number, "engine", at.server.Name, "cause", r.Cause)
	}
	c.tell(ringdale.Outcome{
		ID: q.ID, Attempt: at.number, Server: at.server.Name, Status: r.Status, Latency: time.Since(at.sent),
		Final: q.answered, Kept: r.Kept, NoState: r.NoState, Report: r.Report,
	})
}

// answer gives the final answer; a second one is a fault of the module's.
func (c *Core) answer(q *request, a Answer) {
	if !c.checks.Hold(!q.answered, "a request gets one final answer") {
		return
	}
	q.answered = true
	if a.Verdict != Serving {
		c.withdraw(q)
	}
	a.Status, a.Cause, a.MayRun = q.status, q.cause, q.mayRun()
	if s, has := c.router.Standing(q.Tenant); has {
		a.Standing = &s
	}
	c.counts[verdictNames[a.Verdict]]++
	c.settling = append(c.settling, q)
	if a.Verdict == Refused && !q.free { // it is said never to have run
		c.afterEnd(q, func() { q.front.Answer(a) })
	} else {
		q.front.Answer(a)
	}
	if c.observer != nil {
		c.observer.Answered(q.Request, a, verdictNames[a.Verdict])
	}
}

// afterEnd closes the connection of an attempt that has been given up, and does what must
// not meet that attempt once its engine can have learned of it: both take their own ways.
// Without one it is done at once.
func (c *Core) afterEnd(q *request, job func()) {
	if q.cover == nil {
		job()
		return
	}
	c.uncover(q)
	c.after(tellMargin, job)
}

func (q *request) mayRun() bool { return q.ran || q.out > 0 }

// gone forgets a request whose client has left.
func (c *Core) gone(q *request) {
	if q == nil {
		return
	}
	if q.streaming != nil { // the answer and the client's leaving have crossed
		q.stream.Close()
		c.streamEnded(q, Result{Status: ringdale.StatusCancelled})
	}
	if q.answered {
		return
	}
	q.answered = true
	c.counts["gone"]++
	c.settling = append(c.settling, q)
	c.tell(ringdale.Gone{ID: q.ID})
	c.withdraw(q)
}

// withdraw ends the attempts of a request that is over that are not out yet, also where the
// settings allow no cancel: nothing has been sent that could be cancelled.
func (c *Core) withdraw(q *request) {
	for _, at := range q.attempts {
		if !at.ended && !at.out && at.handle.Withdraw() {
			c.end(q, at, Result{Status: ringdale.StatusUnsent})
		}
	}
}

func (c *Core) overdue(q *request) {
	if q.answered {
		return
	}
	c.answer(q, Answer{Verdict: Overdue})
	c.tell(ringdale.Gone{ID: q.ID})
	for _, at := range q.attempts {
		c.end(q, at, Result{Status: ringdale.StatusTimeout})
	}
}

// settle closes the books on requests that something has happened to: engines are told to
// let go of what nobody will take, and what is over is forgotten.
func (c *Core) settle() {
	for len(c.settling) > 0 {
		q := c.settling[0]
		c.settling = c.settling[1:]
		if q.answered && q.out == 0 {
			c.forget(q)
		}
		c.letGo(q)
	}
	c.settling = nil
	if len(c.drained) > 0 && len(c.requests) == 0 && !c.pressing() {
		for _, ch := range c.drained {
			close(ch)
		}
		c.drained = nil
	}
}

// forget takes a request that is over off the table. What may still be held for it is seen
// to on its own.
func (c *Core) forget(q *request) {
	if holder := q.held.ledger.Holder(); holder != "" {
		q.held.holder = holder
	}
	q.held.ledger.Finish()
	if c.requests[q.ID] != q {
		return
	}
	delete(c.requests, q.ID)
	delete(c.wires, q.Wire)
	q.Payload.Body = nil // timers may keep q itself for a while
}

// uncover closes the connection of an attempt that has been given up.
func (c *Core) uncover(q *request) {
	if q.cover != nil {
		q.cover.handle.Cancel()
		q.cover = nil
	}
}

func (c *Core) probe(server string) {
	m, known := c.members[server]
	if !c.checks.Hold(known, "a probe goes to a known engine") {
		return
	}
	sent := time.Now()
	c.engine.Probe(m, func(s ringdale.Status, r *ringdale.Report) {
		c.post(func() {
			c.tell(ringdale.ProbeResult{Server: server, Status: s, Latency: time.Since(sent), Report: r})
		})
	})
}

func (c *Core) after(d time.Duration, job func()) { c.timers.add(time.Now().Add(d), job) }
