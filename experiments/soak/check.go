package soak

import (
	"fmt"
	"slices"
	"time"
)

// What the rules allow, with the slack of a machine that plays several programs at once.
const (
	slack            = 250 * time.Millisecond // of this machine: the lab's own clients and engines wait for a core, too
	answerSlack      = 500 * time.Millisecond
	drainCheckDelay  = 4 * time.Second
	drainAcceptLimit = 2 * time.Second
	drainEndLimit    = 2 * time.Second
	noticeLimit      = 6 * time.Second
	pinSlack         = 350 * time.Millisecond
	deadlineSlack    = 150 * time.Millisecond
	closeSlack       = 100 * time.Millisecond
	eventLimit       = 300 * time.Millisecond
	streamsPerLate   = 20 // one stream in so many may have an event held back
	readyLimit       = 10 * time.Second
	incompleteLimit  = 3 * time.Second
	killGrace        = 700 * time.Millisecond
)

// Rule names a rule of the protocol.
type Rule string

// The rules that are checked.
const (
	Lost           Rule = "lost"
	Duplicate      Rule = "duplicate"
	EngineDrain    Rule = "drain"
	ClientDrain    Rule = "drain of clients"
	HeldTooLong    Rule = "held states"
	Deadlines      Rule = "deadlines"
	SentAfterClose Rule = "client left"
	EventsInTime   Rule = "events in time"
	Ready          Rule = "readiness"
	Crash          Rule = "crash"
	IncompleteKept Rule = "bad clients"

	Descriptors Rule = "descriptors"
)

// Breach is a rule that was broken.
type Violation struct {
	Rule   Rule
	At     time.Duration
	Detail string
}

func (b Violation) String() string {
	return fmt.Sprintf("%s at %.3fs: %s", b.Rule, b.At.Seconds(), b.Detail)
}

// Check returns the breaches in a book, the first first.
func Check(p Plan, b *Observations) []Violation {
	c := &checker{plan: p, observed: b, attempts: map[string][]*Attempt{}, requests: map[string]*Request{}}
	for _, a := range b.Attempts {
		c.attempts[a.ID] = append(c.attempts[a.ID], a)
	}
	for _, q := range b.Requests {
		q.Sent = c.accepted(q.Gateway, q.Sent)
		c.requests[q.ID] = q
	}
	c.answers()
	c.duplicates()
	c.engineDrains()
	c.ejections()
	c.clientDrains()
	c.states()
	c.deadlines()
	c.events()
	c.processes()
	c.incompleteRequests()
	for _, o := range b.DescriptorLeaks {
		c.add(Descriptors, o.At, "g%d has %d descriptors open, %d before the traffic", o.Gateway, o.After, o.Before)
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return int(a.At - b.At) })
	return c.violations
}

type checker struct {
	plan       Plan
	observed   *Observations
	attempts   map[string][]*Attempt
	requests   map[string]*Request
	violations []Violation
}

func (c *checker) add(rule Rule, at time.Duration, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

// accepted is when a process could first accept what a client sent at a time. On a socket that the
// platform holds connections come up while no process is there, after a kill.
func (c *checker) accepted(gateway int, sent time.Duration) time.Duration {
	next := Never
	for _, l := range c.observed.Processes {
		if l.Gateway != gateway || l.Ready == Never {
			continue
		}
		if l.Ready <= sent && sent < l.Ended {
			return sent
		}
		if l.Ready > sent {
			next = min(next, l.Ready)
		}
	}
	if next == Never {
		return sent
	}
	return next
}

// killed tells whether the process that had a request was ended by SIGKILL while it was open, where
// that frees it of the answer: a kill without warning, or one after SIGTERM for a request that had
// come no later than the grace after it.
func (c *checker) killed(q *Request) bool {
	for _, l := range c.observed.Processes {
		if l.Gateway != q.Gateway || q.Sent < l.Started-slack || l.Killed == Never || l.Killed < q.Sent-slack {
			continue
		}
		if q.Ended != Never && q.Ended < l.Killed-slack {
			continue
		}
		if l.Terminated == Never || q.Sent <= l.Terminated+killGrace {
			return true
		}
	}
	return false
}

// cutAllowed tells whether the request's process may have cut its stream off to end in time.
func (c *checker) cutAllowed(q *Request) bool {
	for _, l := range c.observed.Processes {
		if l.Gateway == q.Gateway && c.plan.Resume && l.Terminated != Never && q.Ended >= l.Terminated && q.Ended <= l.Terminated+5*time.Second {
			return true
		}
	}
	return false
}

// answers checks that every request that was taken has its one final answer, in time and whole.
func (c *checker) answers() {
	for _, q := range c.observed.Requests {
		if q.ClientClosed != Never || c.killed(q) {
			continue
		}
		tries := c.attempts[q.ID]
		due := q.Sent + q.Deadline + answerSlack + slack
		switch {
		case q.Status == 0 && len(tries) > 0:
			c.add(Lost, q.Ended, "%s was forwarded and its connection ended without an answer", q.ID)
		case q.Status == 0:
			if q.Ended > due && q.Ended != Never || q.Ended == Never {
				c.add(Lost, due, "%s has no answer", q.ID)
			}
		case q.FirstByte > due:
			c.add(Lost, q.FirstByte, "%s was answered %v late", q.ID, q.FirstByte-due)
		case q.Status == 200 && !q.Complete && !c.faultInjected(tries) && !c.cutAllowed(q) && c.plan.breaks(q.Gateway) == 0 && len(c.plan.Network) == 0:
			c.add(Lost, q.Ended, "%s: a stream was cut off while its engine wrote", q.ID)
		case q.Status >= 400 && q.Status < 500 && q.Status != 429 && q.Status != 408:
			c.add(Lost, q.Ended, "%s got status %d", q.ID, q.Status)
		}
	}
}

// breaks is how often connections to engines are made to break under a gateway.
func (p Plan) breaks(gateway int) float64 { return p.Faults[gateway].Break }

// spoilt tells whether an engine hung or broke one of the attempts, or was never heard to its end.
func (c *checker) faultInjected(tries []*Attempt) bool {
	return slices.ContainsFunc(tries, func(a *Attempt) bool { return a.FaultInjected })
}

// runs checks that nothing that must not run twice does.
func (c *checker) duplicates() {
	if c.plan.Effect != SingleShot {
		return
	}
	for id, tries := range c.attempts {
		ran := 0
		last := time.Duration(0)
		for _, a := range tries {
			if a.Ran {
				ran++
				last = max(last, a.LastByte)
			}
		}
		if ran > 1 {
			c.add(Duplicate, last, "%s ran %d times", id, ran)
		}
	}
}

// engineDrains checks that nothing new goes to an engine that drains.
func (c *checker) engineDrains() {
	for _, t := range c.observed.DrainNotices {
		told := min(t.At, t.Since+noticeLimit)
		for _, a := range c.observed.Attempts {
			q := c.requests[a.ID]
			if q == nil || q.Gateway != t.Gateway || a.Engine != t.Engine || !a.Decode {
				continue
			}
			if a.FirstByte > told+drainGrace+slack && a.FirstByte < t.Until {
				c.add(EngineDrain, a.FirstByte, "%s went to d%d %v after its drain was told", a.ID, a.Engine, a.FirstByte-told)
			}
		}
	}
}

// ejections checks that nothing new goes to an engine that operators took out, also by the processes
// that follow the one that was called.
func (c *checker) ejections() {
	for _, e := range c.observed.Ejections {
		for _, a := range c.observed.Attempts {
			q := c.requests[a.ID]
			if q == nil || q.Gateway != e.Gateway || a.Engine != e.Engine || !a.Decode {
				continue
			}
			if a.FirstByte > e.At+drainGrace+slack && a.FirstByte < e.Until {
				c.add(EngineDrain, a.FirstByte, "%s went to d%d %v after it was taken out", a.ID, a.Engine, a.FirstByte-e.At)
			}
		}
	}
}

// clientDrains checks drains by call, 4 s after the call and 2 s after their end.
func (c *checker) clientDrains() {
	for _, d := range c.observed.Drains {
		at := d.At + drainCheckDelay
		if !d.DrainInterrupted && d.Until > at {
			c.checkDrain(d, at)
		}
		if d.ActiveAt != Never && !d.ActiveInterrupted && d.HealthyAfter > d.ActiveAt+drainEndLimit+slack {
			c.add(ClientDrain, d.ActiveAt+drainEndLimit, "g%d is not healthy %v after the drain", d.Gateway, drainEndLimit)
		}
	}
}

func (c *checker) checkDrain(d *Drain, at time.Duration) {
	if d.HealthyInDrain != Never {
		c.add(ClientDrain, d.HealthyInDrain, "g%d is healthy in a drain", d.Gateway)
	}
	for _, conn := range c.observed.Conns {
		if conn.Gateway != d.Gateway || conn.Opened > at-slack || conn.Closed < at+slack {
			continue
		}
		carries := slices.ContainsFunc(c.observed.Requests, func(q *Request) bool {
			return q.Conn == conn && q.Sent <= at && q.Ended > at
		})
		if !carries {
			c.add(ClientDrain, at, "g%d holds an idle connection, open since %.3fs", d.Gateway, conn.Opened.Seconds())
		}
	}
	for _, q := range c.observed.Requests {
		if q.Gateway == d.Gateway && q.Conn.Opened < at && q.Sent > d.At+drainAcceptLimit && q.Sent <= at && q.Status == 200 {
			c.add(ClientDrain, q.Sent, "g%d took %s %v after the call", d.Gateway, q.ID, q.Sent-d.At)
		}
	}
}

// states checks that what is held for a request is fetched or released in time.
func (c *checker) states() {
	limit := c.plan.PinLimit + pinSlack + slack
	for _, s := range c.observed.HeldStates {
		q := c.requests[s.ID]
		if q == nil || c.processKilled(q.Gateway, s.From) {
			continue
		}
		from := s.From
		for _, a := range c.attempts[s.ID] { // in order of arrival
			if a.LastByte <= from+limit {
				from = max(from, a.Ended)
			}
		}
		if s.AnswerLost { // the attempt has ended once its client has its answer, at the latest
			from = max(from, min(q.FirstByte, q.Ended, q.ClientClosed))
		}
		until := min(s.Until, c.observed.end())
		if until > from && until-from > limit {
			c.add(HeldTooLong, from+limit, "the state of %s was held for %v with no attempt out", s.ID, until-from)
		}
	}
}

// end is the end of what the book tells of.
func (b *Observations) end() time.Duration {
	end := time.Duration(0)
	for _, l := range b.Processes {
		if l.Ended != Never {
			end = max(end, l.Ended)
		}
	}
	return end
}

// processKilled tells whether a process that lived at a time was ended by SIGKILL.
func (c *checker) processKilled(gateway int, at time.Duration) bool {
	return slices.ContainsFunc(c.observed.Processes, func(l *ProcessRecord) bool {
		return l.Gateway == gateway && l.Killed != Never && l.Started <= at && at <= l.Killed+slack
	})
}

// told checks what engines are told of the time, and that none is sent to for a client that left.
func (c *checker) deadlines() {
	for _, a := range c.observed.Attempts {
		q := c.requests[a.ID]
		if q == nil {
			continue
		}
		left := q.Sent + q.Deadline - a.FirstByte
		if a.Deadline > left+deadlineSlack+slack {
			c.add(Deadlines, a.FirstByte, "%s: an engine is told %v, its client has %v left", a.ID, a.Deadline, left)
		}
		if q.ClientClosed != Never && a.FirstByte > q.ClientClosed+closeSlack+slack {
			c.add(SentAfterClose, a.FirstByte, "%s was sent %v after its client left", a.ID, a.FirstByte-q.ClientClosed)
		}
	}
}

// events checks that events are passed on as they come.
func (c *checker) events() {
	streams, late := 0, 0
	var at time.Duration
	for _, q := range c.observed.Requests {
		if q.Status == 200 {
			streams++
		}
		if q.LateEvents > 0 {
			late++
			at = q.Ended
		}
	}
	if late*streamsPerLate > streams && late > 2 {
		c.add(EventsInTime, at, "%d of %d streams have events that came over %v late", late, streams, eventLimit)
	}
}

// lives checks that processes become ready and end as they are told.
func (c *checker) processes() {
	for _, l := range c.observed.Processes {
		if l.CrashReason != "" {
			c.add(Crash, l.Ended, "g%d: %s", l.Gateway, l.CrashReason)
		}
		over := min(l.Ended, l.Terminated, l.Killed)
		if c.drained(l) { // it was not to be healthy
			continue
		}
		if l.Ready == Never && over > l.Started+readyLimit || l.Ready != Never && l.Ready > l.Started+readyLimit {
			c.add(Ready, l.Started+readyLimit, "g%d is not ready after %v", l.Gateway, readyLimit)
		}
	}
}

// drained tells whether a process was told to drain before it had to be ready.
func (c *checker) drained(l *ProcessRecord) bool {
	return slices.ContainsFunc(c.observed.Drains, func(d *Drain) bool {
		return d.Gateway == l.Gateway && d.At >= l.Started && d.At < l.Started+readyLimit
	})
}

// hostile checks that clients that stop in the middle of a request are not kept.
func (c *checker) incompleteRequests() {
	for _, h := range c.observed.IncompleteRequests {
		h.Since = c.accepted(h.Gateway, h.Since)
		if h.Ended > h.Since+incompleteLimit+slack && c.observed.end() > h.Since+incompleteLimit+slack && !c.processKilled(h.Gateway, h.Since) {
			c.add(IncompleteKept, h.Since+incompleteLimit, "g%d keeps a client that stopped in the middle of a request", h.Gateway)
		}
	}
}
