package core

import (
	"context"
	"time"
)

// IdleFor returns for how long no request has been submitted or open.
func (c *Core) IdleFor(ctx context.Context) time.Duration {
	return runQuery(ctx, c, c.requests.idleFor)
}

// runQuery calls answer in the core's goroutine and returns its result. It returns the zero value if Run
// has returned or ctx is done first.
func runQuery[T any](ctx context.Context, c *Core, answer func() T) T {
	reply := make(chan T, 1)
	return await(ctx, c, query[T]{answer, reply}, reply)
}

// await posts a message and waits for its reply. It returns the zero value if Run has returned or ctx is
// done first.
func await[T any](ctx context.Context, c *Core, m message, reply <-chan T) (answer T) {
	c.post(m)
	select {
	case answer = <-reply:
	case <-c.done:
	case <-ctx.Done():
	}
	return answer
}
