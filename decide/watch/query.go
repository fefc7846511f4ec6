// Package watch decides how a catalogue is followed: what is asked next and for how
// long, what an answer or a failure is worth, which of several agents is asked, and
// whether each service can have a query of its own. It does no I/O and reads no clock;
// what an answer makes of the engines is decided in decide/roster.
package watch

import (
	"time"

	"wellgw/decide/roster"
)

// Limits are the figures of following.
type Limits struct {
	MaxWait     time.Duration // longest blocking query
	ShortWait   time.Duration // the same for the first one after a pause
	MinPause    time.Duration // between two answers to one question
	MaxPause    time.Duration
	PauseFactor int           // times as long as the last answer took to digest
	MaxBackoff  time.Duration // longest wait while nobody answers
	MinFailures int           // failures in a row that say something of the source
	MaxAge      time.Duration // a server that heard from its leader longer ago is behind
}

// DefaultLimits returns the usual figures.
func DefaultLimits() Limits {
	return Limits{
		MaxWait: 10 * time.Second, ShortWait: time.Second, MinPause: 100 * time.Millisecond, MaxPause: time.Second,
		PauseFactor: 4, MaxBackoff: 2 * time.Second, MinFailures: 2, MaxAge: 10 * time.Second,
	}
}

// Request is the next question.
type Request struct {
	Index uint64        // 0: to be answered at once
	Wait  time.Duration // with Index
	Stale bool          // any server may answer, with a leader or without
}

// Response is what came, as far as following goes.
type Response struct {
	Index     uint64
	Checksum  uint64        // of the body
	HasLeader bool          // the servers know one
	Age       time.Duration // since the server that answered heard from it
}

// Failure is a way in which a question came to nothing.
type Failure uint8

// The failures.
const (
	NoAgent      Failure = iota // none is known to live
	AgentHung                   // the agent was given up while it was asked
	Disconnected                // anything else between here and there
	ErrorStatus                 // an error of the agent's own
	NoLeader                    // the servers have no leader to ask
	Malformed                   // what came cannot be read
)

// Query is one question that is asked again and again, such as the health of one
// service. It is not safe for concurrent use.
type Query struct {
	limits       Limits
	index        uint64
	checksum     uint64
	hasChecksum  bool // sum is that of a body
	allowStale   bool
	unchanged    bool // the last answer had no news
	indexStalled bool // and its index did not move
	failures     int
}

// NewQuery returns a subject that has yet to be asked about.
func NewQuery(l Limits) *Query { return &Query{limits: l} }

// Next returns what to ask. inTurn says that the subject is one of more than can be
// watched: it is then asked at once and never blocks.
func (q *Query) Next(inTurn bool) Request {
	a := Request{Index: q.index, Wait: q.limits.MaxWait, Stale: q.allowStale}
	switch {
	case inTurn:
		a.Index = 0
	case !q.unchanged:
		// While the gateway paused after an answer the servers may have been restored to a
		// lower index: they would then hold a query for as long as it allows, whatever
		// changes. So the first one after a pause is short.
		a.Wait = min(a.Wait, q.limits.ShortWait)
	}
	return a
}

// Responded takes an answer in and tells whether there is news in it: another body, or
// anything for which it has to be looked at in full.
func (q *Query) Responded(a Response) (news bool) {
	news = !q.hasChecksum || a.Checksum != q.checksum || a.Index < q.index || !a.HasLeader || a.Age > q.limits.MaxAge
	q.indexStalled = a.Index == q.index
	if a.Index < q.index { // by Consul's documentation the question then starts anew
		q.index = 0
	} else {
		q.index = a.Index
	}
	q.checksum, q.hasChecksum = a.Checksum, true
	return news
}

// Processed notes that an answer made sense and how long it took to digest, and returns how
// long to wait before the next question: neither a list that changes all the time nor a
// server that ignores the index is asked in a tight loop.
func (q *Query) Processed(a Response, news bool, took time.Duration) time.Duration {
	q.failures, q.allowStale, q.unchanged = 0, !a.HasLeader, !news
	if !news && !q.indexStalled && q.index != 0 {
		return 0
	}
	return min(max(q.limits.MinPause, time.Duration(q.limits.PauseFactor)*took), q.limits.MaxPause)
}

// FailureAction is what a failure leads to.
type FailureAction struct {
	Reason roster.Reason // what it says of the source; Believed if nothing yet
	Log    bool          // it is the first that a person should know of
	Pause  time.Duration // before the next question; 0 = none
}

// Failed notes a failure. backoff is how long to wait by the usual rule, hint what the
// agent asked for, 0 if it did not.
func (q *Query) Failed(f Failure, backoff, hint time.Duration) FailureAction {
	q.index, q.hasChecksum, q.unchanged = 0, false, false // what was missed is unknown: ask for all of it
	q.failures++
	v := FailureAction{Pause: max(backoff, hint)}
	switch f {
	case NoAgent:
		v.Pause = q.limits.MaxBackoff // or less: an agent that comes back ends it
	case AgentHung:
		if q.failures < q.limits.MinFailures {
			v.Pause = 0 // there may be another agent
		}
	case NoLeader:
		v.Reason, q.allowStale = roster.NoLeader, true // marks can still be seen
	case Malformed:
		v.Reason = roster.Unreadable
	}
	if v.Reason != roster.Trusted {
		v.Log = true
		return v
	}
	if q.failures >= q.limits.MinFailures { // one question that fails is no news yet
		v.Reason, v.Log = roster.Unreachable, q.failures == q.limits.MinFailures
	}
	return v
}
