package soak

import (
	"fmt"
	"slices"
	"time"
)

// Limits of the rules. They include slack for a machine that runs several programs concurrently.
const (
	// slack is for delays of this machine: the experiment's own clients and engines wait for a CPU core too.
	slack            = 250 * time.Millisecond
	answerSlack      = 500 * time.Millisecond
	drainCheckDelay  = 4 * time.Second
	drainAcceptLimit = 2 * time.Second
	drainEndLimit    = 2 * time.Second
	maxNoticeDelay   = 6 * time.Second
	pinSlack         = 350 * time.Millisecond
	deadlineSlack    = 150 * time.Millisecond
	closeSlack       = 100 * time.Millisecond
	eventLimit       = 300 * time.Millisecond
	streamsPerLate   = 20 // at most one stream in this many may have a late event
	readyLimit       = 10 * time.Second
	incompleteLimit  = 3 * time.Second
	killGrace        = 700 * time.Millisecond
)

// Rule is the name of a rule of the protocol, as the report prints it.
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

// Violation is one violation of a rule.
type Violation struct {
	Rule   Rule
	At     time.Duration
	Detail string
}

func (b Violation) String() string {
	return fmt.Sprintf("%s at %.3fs: %s", b.Rule, b.At.Seconds(), b.Detail)
}

// Check returns the violations in the observations, in order of time.
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

// accepted returns the earliest time at which a process could accept what a client sent at the time sent.
// On a socket owned by the platform, connections are established after a kill while no process runs.
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

// killed reports whether SIGKILL ended the process of a request while the request was open, in a way that
// excuses a missing answer: a kill without SIGTERM, or a kill after SIGTERM for a request that was sent at
// most killGrace after the SIGTERM.
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

// cutAllowed reports whether the request's process was allowed to cut its stream to exit in time.
func (c *checker) cutAllowed(q *Request) bool {
	for _, l := range c.observed.Processes {
		if l.Gateway == q.Gateway && c.plan.Resume && l.Terminated != Never && q.Ended >= l.Terminated && q.Ended <= l.Terminated+5*time.Second {
			return true
		}
	}
	return false
}

// answers checks that every accepted request has one final answer, complete and in time.
func (c *checker) answers() {
	for _, q := range c.observed.Requests {
		if q.ClientClosed != Never || c.killed(q) {
			continue
		}
		attempts := c.attempts[q.ID]
		limit := q.Sent + q.Deadline + answerSlack + slack
		switch {
		case q.Status == 0 && len(attempts) > 0:
			c.add(Lost, q.Ended, "%s was forwarded and its connection ended without an answer", q.ID)
		case q.Status == 0:
			if q.Ended > limit && q.Ended != Never || q.Ended == Never {
				c.add(Lost, limit, "%s has no answer", q.ID)
			}
		case q.FirstByte > limit:
			c.add(Lost, q.FirstByte, "%s was answered %v after its limit", q.ID, q.FirstByte-limit)
		case q.Status == 200 && !q.Complete && !c.faultInjected(attempts) && !c.cutAllowed(q) && c.plan.breaks(q.Gateway) == 0 && len(c.plan.Network) == 0:
			c.add(Lost, q.Ended, "%s: the stream was cut off although its engine did not fail", q.ID)
		case q.Status >= 400 && q.Status < 500 && q.Status != 429 && q.Status != 408:
			c.add(Lost, q.Ended, "%s got status %d", q.ID, q.Status)
		}
	}
}

// breaks returns the rate of injected connection failures between a gateway and its engines.
func (p Plan) breaks(gateway int) float64 { return p.Faults[gateway].Break }

// faultInjected reports whether an engine hung, or closed the connection, on purpose in one of the attempts.
func (c *checker) faultInjected(attempts []*Attempt) bool {
	return slices.ContainsFunc(attempts, func(a *Attempt) bool { return a.FaultInjected })
}

// duplicates checks that requests of class effect single_shot run at most once.
func (c *checker) duplicates() {
	if c.plan.Effect != SingleShot {
		return
	}
	for id, attempts := range c.attempts {
		ran := 0
		last := time.Duration(0)
		for _, a := range attempts {
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

// engineDrains checks that a draining engine gets no new attempts.
func (c *checker) engineDrains() {
	for _, t := range c.observed.DrainNotices {
		notice := min(t.At, t.Since+maxNoticeDelay)
		for _, a := range c.observed.Attempts {
			q := c.requests[a.ID]
			if q == nil || q.Gateway != t.Gateway || a.Engine != t.Engine || !a.Decode {
				continue
			}
			if a.FirstByte > notice+drainGrace+slack && a.FirstByte < t.Until {
				c.add(EngineDrain, a.FirstByte, "%s was sent to d%d %v after the notice of its drain", a.ID, a.Engine, a.FirstByte-notice)
			}
		}
	}
}

// ejections checks that a manually ejected engine gets no new attempts, including from the processes that
// succeed the one that got the command.
func (c *checker) ejections() {
	for _, e := range c.observed.Ejections {
		for _, a := range c.observed.Attempts {
			q := c.requests[a.ID]
			if q == nil || q.Gateway != e.Gateway || a.Engine != e.Engine || !a.Decode {
				continue
			}
			if a.FirstByte > e.At+drainGrace+slack && a.FirstByte < e.Until {
				c.add(EngineDrain, a.FirstByte, "%s was sent to d%d %v after the manual ejection of the engine", a.ID, a.Engine, a.FirstByte-e.At)
			}
		}
	}
}

// clientDrains checks drains by command, 4 s after the command and 2 s after the end of the drain.
func (c *checker) clientDrains() {
	for _, d := range c.observed.Drains {
		at := d.At + drainCheckDelay
		if !d.DrainInterrupted && d.Until > at {
			c.checkDrain(d, at)
		}
		if d.ActiveAt != Never && !d.ActiveInterrupted && d.HealthyAfter > d.ActiveAt+drainEndLimit+slack {
			c.add(ClientDrain, d.ActiveAt+drainEndLimit, "g%d does not report healthy %v after the end of its drain", d.Gateway, drainEndLimit)
		}
	}
}

func (c *checker) checkDrain(d *Drain, at time.Duration) {
	if d.HealthyInDrain != Never {
		c.add(ClientDrain, d.HealthyInDrain, "g%d reports healthy while it drains", d.Gateway)
	}
	for _, conn := range c.observed.Conns {
		if conn.Gateway != d.Gateway || conn.Opened > at-slack || conn.Closed < at+slack {
			continue
		}
		busy := slices.ContainsFunc(c.observed.Requests, func(q *Request) bool {
			return q.Conn == conn && q.Sent <= at && q.Ended > at
		})
		if !busy {
			c.add(ClientDrain, at, "g%d has an idle connection while it drains, open since %.3fs", d.Gateway, conn.Opened.Seconds())
		}
	}
	for _, q := range c.observed.Requests {
		if q.Gateway == d.Gateway && q.Conn.Opened < at && q.Sent > d.At+drainAcceptLimit && q.Sent <= at && q.Status == 200 {
			c.add(ClientDrain, q.Sent, "g%d accepted %s %v after the drain command", d.Gateway, q.ID, q.Sent-d.At)
		}
	}
}

// states checks that every held state is fetched or released in time.
func (c *checker) states() {
	limit := c.plan.PinLimit + pinSlack + slack
	for _, s := range c.observed.HeldStates {
		q := c.requests[s.ID]
		if q == nil || c.processKilled(q.Gateway, s.From) {
			continue
		}
		from := s.From
		for _, a := range c.attempts[s.ID] { // sorted by arrival
			if a.LastByte <= from+limit {
				from = max(from, a.Ended)
			}
		}
		if s.AnswerLost { // the attempt has ended when its client has the answer, at the latest
			from = max(from, min(q.FirstByte, q.Ended, q.ClientClosed))
		}
		until := min(s.Until, c.observed.end())
		if until > from && until-from > limit {
			c.add(HeldTooLong, from+limit, "the state of %s was held for %v without an attempt in flight", s.ID, until-from)
		}
	}
}

// end returns the exit time of the last process.
func (b *Observations) end() time.Duration {
	end := time.Duration(0)
	for _, l := range b.Processes {
		if l.Ended != Never {
			end = max(end, l.Ended)
		}
	}
	return end
}

// processKilled reports whether SIGKILL ended a process that ran at the given time.
func (c *checker) processKilled(gateway int, at time.Duration) bool {
	return slices.ContainsFunc(c.observed.Processes, func(l *ProcessRecord) bool {
		return l.Gateway == gateway && l.Killed != Never && l.Started <= at && at <= l.Killed+slack
	})
}

// deadlines checks the deadlines sent to engines, and that no attempt starts after its client closed.
func (c *checker) deadlines() {
	for _, a := range c.observed.Attempts {
		q := c.requests[a.ID]
		if q == nil {
			continue
		}
		left := q.Sent + q.Deadline - a.FirstByte
		if a.Deadline > left+deadlineSlack+slack {
			c.add(Deadlines, a.FirstByte, "%s: the deadline sent to the engine is %v, the remaining time of the client %v", a.ID, a.Deadline, left)
		}
		if q.ClientClosed != Never && a.FirstByte > q.ClientClosed+closeSlack+slack {
			c.add(SentAfterClose, a.FirstByte, "%s was sent %v after its client closed the connection", a.ID, a.FirstByte-q.ClientClosed)
		}
	}
}

// events checks that gateways forward events without delay.
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
		c.add(EventsInTime, at, "%d of %d streams have events delayed by more than %v", late, streams, eventLimit)
	}
}

// processes checks that processes become ready in time and exit only when stopped.
func (c *checker) processes() {
	for _, l := range c.observed.Processes {
		if l.CrashReason != "" {
			c.add(Crash, l.Ended, "g%d: %s", l.Gateway, l.CrashReason)
		}
		over := min(l.Ended, l.Terminated, l.Killed)
		if c.drained(l) { // a draining process does not report ready
			continue
		}
		if l.Ready == Never && over > l.Started+readyLimit || l.Ready != Never && l.Ready > l.Started+readyLimit {
			c.add(Ready, l.Started+readyLimit, "g%d is not ready after %v", l.Gateway, readyLimit)
		}
	}
}

// drained reports whether a process got a drain command before its readiness limit.
func (c *checker) drained(l *ProcessRecord) bool {
	return slices.ContainsFunc(c.observed.Drains, func(d *Drain) bool {
		return d.Gateway == l.Gateway && d.At >= l.Started && d.At < l.Started+readyLimit
	})
}

// incompleteRequests checks that gateways close connections whose request stays incomplete.
func (c *checker) incompleteRequests() {
	for _, h := range c.observed.IncompleteRequests {
		h.Since = c.accepted(h.Gateway, h.Since)
		if h.Ended > h.Since+incompleteLimit+slack && c.observed.end() > h.Since+incompleteLimit+slack && !c.processKilled(h.Gateway, h.Since) {
			c.add(IncompleteKept, h.Since+incompleteLimit, "g%d did not close a connection with an incomplete request", h.Gateway)
		}
	}
}
