package core

import (
	"context"

	"wellgw/routing"
)

// Counter is the name of a counter. Results of attempts and final answers have counters too, under the
// names below. The names are shown to operators and must not change.
type Counter string

// The counters other than those of results and answers.
const (
	countOpenRequests   Counter = "open" // the number of open requests now
	countRequests       Counter = "requests"
	countAttempts       Counter = "attempts"
	countDuplicates     Counter = "duplicate id"
	countClientsGone    Counter = "gone" // clients that disconnected before their answer
	countReleases       Counter = "releases"
	countReleasesFailed Counter = "releases failed"
	countStatesExpired  Counter = "states expired"
)

var statusNames = [...]Counter{
	routing.StatusServed: "served", routing.StatusPrefilled: "read", routing.StatusError: "error",
	routing.StatusRejected: "full", routing.StatusTimeout: "timeout", routing.StatusConnectFailed: "no connect",
	routing.StatusReset: "reset", routing.StatusCancelled: "cancelled", routing.StatusNotSent: "unsent",
}

var verdictNames = [...]Counter{Rejected: "refused", Failed: "failed", DeadlineExceeded: "overdue", Duplicate: "duplicate", Streaming: "serving"}

// maxTrafficClasses bounds the classes that are counted, since a client's request may name any class.
const maxTrafficClasses = 64

// Traffic counts the requests of one class since the process started.
type Traffic struct {
	Requests, PromptTokens                   int // submitted requests and their prompt tokens
	Served, ServedPromptTokens, OutputTokens int // the same of completed requests, and tokens of their answers
}

// counters holds the core's counters since the process started. It is owned by the core's goroutine.
type counters struct {
	events  map[Counter]int
	traffic map[string]*Traffic // by class
}

func newCounters() counters {
	return counters{events: map[Counter]int{}, traffic: map[string]*Traffic{}}
}

func (c counters) increment(counter Counter) { c.events[counter]++ }

// addTraffic calls add to update the traffic of a class. Classes beyond maxTrafficClasses are ignored.
func (c counters) addTraffic(class string, add func(*Traffic)) {
	t := c.traffic[class]
	if t == nil {
		if len(c.traffic) >= maxTrafficClasses {
			return
		}
		t = &Traffic{}
		c.traffic[class] = t
	}
	add(t)
}

// byClass returns a copy of the traffic counts.
func (c counters) byClass() map[string]Traffic {
	traffic := make(map[string]Traffic, len(c.traffic))
	for class, t := range c.traffic {
		traffic[class] = *t
	}
	return traffic
}

// byName returns a copy of the counters, including the number of open requests.
func (c counters) byName(open int) map[string]int {
	counts := map[string]int{string(countOpenRequests): open}
	for counter, n := range c.events {
		counts[string(counter)] = n
	}
	return counts
}

// Traffic returns the counts of submitted and served requests by class.
func (c *Core) Traffic(ctx context.Context) map[string]Traffic {
	return runQuery(ctx, c, c.counters.byClass)
}

// Counts returns all counters by name, for the log and the admin view.
func (c *Core) Counts(ctx context.Context) map[string]int {
	return runQuery(ctx, c, func() map[string]int { return c.counters.byName(c.requests.len()) })
}
