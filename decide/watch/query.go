// Package watch decides how a Consul catalog is watched: the next request and how long it may block, whether
// the source can be trusted after a response or a failure, which of several agents is queried, and whether
// each service is watched by a separate blocking query. It does no I/O and reads no clock. Package
// decide/roster derives the engines from the responses.
package watch

import (
	"time"

	"wellgw/decide/roster"
)

// Limits are the limits on the requests of a query.
type Limits struct {
	MaxWait     time.Duration // longest time that a blocking query may block
	ShortWait   time.Duration // the same for the first blocking query after a pause
	MinPause    time.Duration // shortest pause after a response, unless only its index has changed
	MaxPause    time.Duration // longest pause after a response
	PauseFactor int           // pause after a response, as a multiple of its processing time
	MaxBackoff  time.Duration // longest backoff after failures
	MinFailures int           // consecutive failures after which the source counts as unreachable
	MaxAge      time.Duration // longest time since the responding server was in contact with the leader
}

// DefaultLimits returns the default limits, for settings that are absent from the operator's file.
func DefaultLimits() Limits {
	return Limits{
		MaxWait: 10 * time.Second, ShortWait: time.Second, MinPause: 100 * time.Millisecond, MaxPause: time.Second,
		PauseFactor: 4, MaxBackoff: 2 * time.Second, MinFailures: 2, MaxAge: 10 * time.Second,
	}
}

// Request is the next request of a query.
type Request struct {
	Index uint64        // block until the catalog's index exceeds it; 0 for no blocking
	Wait  time.Duration // longest time to block
	Stale bool          // any server may respond, even without a leader
}

// Response is the metadata of a response to a query.
type Response struct {
	Index     uint64
	Checksum  uint64        // of the body
	HasLeader bool          // whether the Consul servers have a leader
	Age       time.Duration // time since the responding server was last in contact with the leader
}

// Failure is the kind of failure of a request.
type Failure uint8

// The failures.
const (
	NoAgent           Failure = iota // all agents are down
	AgentUnresponsive                // the agent was marked down during the request
	Disconnected                     // any other failure of the connection
	ErrorStatus                      // the agent returned an HTTP error status
	NoLeader                         // the servers have no leader
	Malformed                        // the response can't be parsed
)

// Query is the state of one repeated query, such as that for the health of one service. It is not safe for
// concurrent use.
type Query struct {
	limits      Limits
	index       uint64
	checksum    uint64
	hasChecksum bool // whether checksum is set
	allowStale  bool
	unchanged   bool // the last response did not have to be processed
	sameIndex   bool // the last response had the same index as the previous one
	failures    int  // consecutive failures
}

// NewQuery returns a query that has not received any response.
func NewQuery(l Limits) *Query { return &Query{limits: l} }

// Next returns the next request. polled is whether services are polled (PollingMode), in which case the
// request does not block.
func (q *Query) Next(polled bool) Request {
	r := Request{Index: q.index, Wait: q.limits.MaxWait, Stale: q.allowStale}
	switch {
	case polled:
		r.Index = 0
	case !q.unchanged:
		// During the pause after a response the servers may have been restored to a lower index. They would
		// then block a query for its full wait, regardless of any changes, so the first query after a pause
		// has a short wait.
		r.Wait = min(r.Wait, q.limits.ShortWait)
	}
	return r
}

// RecordResponse records a response and reports whether it must be processed, because its body has changed or
// because its metadata is a reason for not trusting the source.
func (q *Query) RecordResponse(r Response) (changed bool) {
	changed = !q.hasChecksum || r.Checksum != q.checksum || r.Index < q.index || !r.HasLeader || r.Age > q.limits.MaxAge
	q.sameIndex = r.Index == q.index
	if r.Index < q.index { // Consul's documentation requires clients to reset the index
		q.index = 0
	} else {
		q.index = r.Index
	}
	q.checksum, q.hasChecksum = r.Checksum, true
	return changed
}

// RecordProcessed records that a response was well formed and how long its processing took. It returns the
// pause before the next request, which prevents a tight loop of queries if a list changes continually or a
// server ignores the index.
func (q *Query) RecordProcessed(r Response, changed bool, took time.Duration) time.Duration {
	q.failures, q.allowStale, q.unchanged = 0, !r.HasLeader, !changed
	if !changed && !q.sameIndex && q.index != 0 {
		return 0
	}
	return min(max(q.limits.MinPause, time.Duration(q.limits.PauseFactor)*took), q.limits.MaxPause)
}

// FailureAction is the reaction to a failure.
type FailureAction struct {
	Reason roster.Reason // for not trusting the source; Trusted if there is none yet
	Log    bool          // whether to log the failure
	Pause  time.Duration // before the next request; 0 for no pause
}

// RecordFailure records a failure. backoff is the pause by the exponential backoff, and retryAfter is the
// pause that the agent requested, or 0.
func (q *Query) RecordFailure(f Failure, backoff, retryAfter time.Duration) FailureAction {
	q.index, q.hasChecksum, q.unchanged = 0, false, false // changes may have been missed: get the complete list
	q.failures++
	action := FailureAction{Pause: max(backoff, retryAfter)}
	switch f {
	case NoAgent:
		action.Pause = q.limits.MaxBackoff // ended early when an agent recovers
	case AgentUnresponsive:
		if q.failures < q.limits.MinFailures {
			action.Pause = 0 // retry immediately: another agent may be up
		}
	case NoLeader:
		action.Reason, q.allowStale = roster.NoLeader, true // a stale response still contains marks
	case Malformed:
		action.Reason = roster.Unreadable
	}
	if action.Reason != roster.Trusted {
		action.Log = true
		return action
	}
	if q.failures >= q.limits.MinFailures { // a single failure does not prove that the source is unreachable
		action.Reason, action.Log = roster.Unreachable, q.failures == q.limits.MinFailures
	}
	return action
}
