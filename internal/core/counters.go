package core

import (
	"context"

	"wellgw/routing"
)

// Counter names something that the core counts. Results of attempts and final answers are counted
// under their names, too. The names are shown to operators and stay as they are.
type Counter string

// What is counted beside results and answers.
const (
	countOpen           Counter = "open" // requests in hand now
	countRequests       Counter = "requests"
	countAttempts       Counter = "attempts"
	countDuplicates     Counter = "duplicate id"
	countGone           Counter = "gone" // clients that disconnected before their answer
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

// maxTrafficClasses bounds the classes that are counted: clients may name any.
const maxTrafficClasses = 64

// Traffic counts the requests of one class since the start.
type Traffic struct {
	Requests, PromptTokens                   int // requests, and their prompt tokens
	Served, ServedPromptTokens, OutputTokens int // the same of completed requests; tokens of their answers
}

// counters is what the core has counted since the start. It is owned by the core's goroutine.
type counters struct {
	events  map[Counter]int
	traffic map[string]*Traffic // by class
}

func newCounters() counters {
	return counters{events: map[Counter]int{}, traffic: map[string]*Traffic{}}
}

func (c counters) increment(counter Counter) { c.events[counter]++ }

// addTraffic has add update the traffic of a class.
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

// byClass returns a copy of the traffic.
func (c counters) byClass() map[string]Traffic {
	traffic := make(map[string]Traffic, len(c.traffic))
	for class, t := range c.traffic {
		traffic[class] = *t
	}
	return traffic
}

// byName returns a copy of the counters, with the number of requests in hand.
func (c counters) byName(open int) map[string]int {
	counts := map[string]int{string(countOpen): open}
	for counter, n := range c.events {
		counts[string(counter)] = n
	}
	return counts
}

// Traffic returns what has been asked and served, by class.
func (c *Core) Traffic(ctx context.Context) map[string]Traffic {
	return runQuery(ctx, c, c.counters.byClass)
}

// Counts returns how often each result and answer came, for the log.
func (c *Core) Counts(ctx context.Context) map[string]int {
	return runQuery(ctx, c, func() map[string]int { return c.counters.byName(c.requests.len()) })
}
