package core

import (
	"context"

	"wellgw/routing"
)

// Counter names something that the core counts. Outcomes of attempts and final answers are counted
// under their names, too.
type Counter string

// What is counted beside outcomes and answers.
const (
	countOpen           Counter = "open" // requests in hand now
	countRequests       Counter = "requests"
	countAttempts       Counter = "attempts"
	countDuplicates     Counter = "duplicate id"
	countGone           Counter = "gone" // clients that left before their answer
	countReleases       Counter = "releases"
	countReleasesFailed Counter = "releases failed"
	countEnginesChecked Counter = "engines checked"
	countStatesExpired  Counter = "states expired"
)

var statusNames = [...]Counter{
	routing.StatusServed: "served", routing.StatusPrefilled: "read", routing.StatusError: "error",
	routing.StatusRejected: "full", routing.StatusTimeout: "timeout", routing.StatusConnectFailed: "no connect",
	routing.StatusReset: "reset", routing.StatusCancelled: "cancelled", routing.StatusNotSent: "unsent",
}

var verdictNames = [...]Counter{Rejected: "refused", Failed: "failed", DeadlineExceeded: "overdue", Duplicate: "duplicate", Streaming: "serving"}

// Traffic counts the requests of one class since the start.
type Traffic struct {
	Asked, Prompt                int // requests, and their prompt tokens
	Served, ServedPrompt, Output int // the same of completed requests; tokens of their answers
}

// maxTrafficClasses bounds the classes that are counted: clients may name any.
const maxTrafficClasses = 64

func (c *Core) addTraffic(class string, add func(*Traffic)) {
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

// Traffic returns what has been asked and served, by class.
func (c *Core) Traffic(ctx context.Context) map[string]Traffic {
	return runQuery(ctx, c, func() map[string]Traffic {
		m := make(map[string]Traffic, len(c.traffic))
		for class, t := range c.traffic {
			m[class] = *t
		}
		return m
	})
}

// Counts returns how often each outcome and answer came, for the log.
func (c *Core) Counts(ctx context.Context) map[string]int {
	return runQuery(ctx, c, func() map[string]int {
		counts := map[string]int{string(countOpen): len(c.requests)}
		for counter, n := range c.counts {
			counts[string(counter)] = n
		}
		return counts
	})
}
