package core

import (
	"context"
	"time"
)

// IdleFor returns for how long no request has come and none has been in hand.
func (c *Core) IdleFor(ctx context.Context) time.Duration {
	return runQuery(ctx, c, func() time.Duration {
		if len(c.requests) > 0 {
			c.lastBusy = time.Now()
		}
		return time.Since(c.lastBusy)
	})
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

// runQuery has the core's goroutine answer a question; it returns the zero value if the core
// or ctx ends first.
func runQuery[T any](ctx context.Context, c *Core, answer func() T) T {
	reply := make(chan T, 1)
	return await(ctx, c, query[T]{answer, reply}, reply)
}

// await posts a message and waits for the reply to it; it returns the zero value if the core
// or ctx ends first.
func await[T any](ctx context.Context, c *Core, m message, reply <-chan T) (answer T) {
	c.post(m)
	select {
	case answer = <-reply:
	case <-c.done:
	case <-ctx.Done():
	}
	return answer
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
