// Package watch decides how a catalog is watched: the next request and how long it may
// block, what a response or a failure says of the source, which of several agents is asked,
// and whether each service gets a blocking query of its own. It does no I/O and reads no
// clock; decide/roster decides which engines follow from the responses.
package watch

import (
	"time"

	"wellgw/decide/roster"
)

// Limits bound the requests of a watch.
type Limits struct {
	MaxWait     time.Duration // of a blocking query
	ShortWait   time.Duration // of the first blocking query after a pause
	MinPause    time.Duration // between two responses to one query, unless the index advances alone
	MaxPause    time.Duration
	PauseFactor int           // times the processing time of the last response
	MaxBackoff  time.Duration // after failures
	MinFailures int           // consecutive, before the source counts as unreachable
	MaxAge      time.Duration // of a response, since its server was in contact with the leader
}

// DefaultLimits returns the limits that hold where the operator's file sets none.
func DefaultLimits() Limits {
	return Limits{
		MaxWait: 10 * time.Second, ShortWait: time.Second, MinPause: 100 * time.Millisecond, MaxPause: time.Second,
		PauseFactor: 4, MaxBackoff: 2 * time.Second, MinFailures: 2, MaxAge: 10 * time.Second,
	}
}

// Request is the next request of a query.
type Request struct {
	Index uint64        // block until the catalog's index exceeds it; 0: do not block
	Wait  time.Duration // longest time to block
	Stale bool          // any server may answer, even without a leader
}

// Response is the metadata of a response.
type Response struct {
	Index     uint64
	Checksum  uint64        // of the body
	HasLeader bool          // whether the servers have a leader
	Age       time.Duration // since the responding server was last in contact with it
}

// Failure is the kind of failure of a request.
type Failure uint8

// The failures.
const (
	NoAgent           Failure = iota // all agents are down
	AgentUnresponsive                // the agent was marked down during the request
	Disconnected                     // any other failure of the connection
	ErrorStatus                      // an error status of the agent
	NoLeader                         // the servers have no leader
	Malformed                        // the response can't be read
)

// Query is the state of one query that is repeated, such as for the health of one service.
// It is not safe for concurrent use.
type Query struct {
	limits       Limits
	index        uint64
	checksum     uint64
	hasChecksum  bool // whether checksum is that of a response
	allowStale   bool
	unchanged    bool // the last response had nothing new
	indexStalled bool // the last response had the index of the one before
	failures     int  // consecutive
}

// NewQuery returns a query without any response yet.
func NewQuery(l Limits) *Query { return &Query{limits: l} }

// Next returns the next request. polled says that there are more queries than can block:
// the request then does not.
func (q *Query) Next(polled bool) Request {
	r := Request{Index: q.index, Wait: q.limits.MaxWait, Stale: q.allowStale}
	switch {
	case polled:
		r.Index = 0
	case !q.unchanged:
		// While the gateway paused after a response the servers may have been restored to a
		// lower index: they would then block a query for all of its wait, whatever changes.
		// So the first one after a pause is short.
		r.Wait = min(r.Wait, q.limits.ShortWait)
	}
	return r
}

// RecordResponse records a response and reports whether it has to be processed: its body is new,
// or its metadata gives reason to doubt the source.
func (q *Query) RecordResponse(r Response) (changed bool) {
	changed = !q.hasChecksum || r.Checksum != q.checksum || r.Index < q.index || !r.HasLeader || r.Age > q.limits.MaxAge
	q.indexStalled = r.Index == q.index
	if r.Index < q.index { // Consul's documentation has clients reset the index then
		q.index = 0
	} else {
		q.index = r.Index
	}
	q.checksum, q.hasChecksum = r.Checksum, true
	return changed
}

// RecordProcessed records that a response was well formed and how long its processing took, and
// returns the pause before the next request: neither a list that changes all the time nor a
// server that ignores the index is asked in a tight loop.
func (q *Query) RecordProcessed(r Response, changed bool, took time.Duration) time.Duration {
	q.failures, q.allowStale, q.unchanged = 0, !r.HasLeader, !changed
	if !changed && !q.indexStalled && q.index != 0 {
		return 0
	}
	return min(max(q.limits.MinPause, time.Duration(q.limits.PauseFactor)*took), q.limits.MaxPause)
}

// FailureAction is how to react to a failure.
type FailureAction struct {
	Reason roster.Reason // to doubt the source; Trusted if there is none yet
	Log    bool          // it is the first failure of its kind to be logged
	Pause  time.Duration // before the next request; 0 for none
}

// RecordFailure records a failure. backoff is the pause by the usual rule, retryAfter the agent's
// own, 0 without one.
func (q *Query) RecordFailure(f Failure, backoff, retryAfter time.Duration) FailureAction {
	q.index, q.hasChecksum, q.unchanged = 0, false, false // changes may have been missed: ask for the whole list
	q.failures++
	action := FailureAction{Pause: max(backoff, retryAfter)}
	switch f {
	case NoAgent:
		action.Pause = q.limits.MaxBackoff // an agent that recovers ends it earlier
	case AgentUnresponsive:
		if q.failures < q.limits.MinFailures {
			action.Pause = 0 // there may be another agent
		}
	case NoLeader:
		action.Reason, q.allowStale = roster.NoLeader, true // marks can still be seen
	case Malformed:
		action.Reason = roster.Unreadable
	}
	if action.Reason != roster.Trusted {
		action.Log = true
		return action
	}
	if q.failures >= q.limits.MinFailures { // a single failure says nothing of the source
		action.Reason, action.Log = roster.Unreachable, q.failures == q.limits.MinFailures
	}
	return action
}
