package core

import (
	"context"
	"time"
)

// drainPollInterval is the time between two checks whether a draining gateway may end: releases stop
// to block it as time passes, which no message tells.
const drainPollInterval = 20 * time.Millisecond

// Drain waits until no request is in hand and no release is under way.
func (c *Core) Drain(ctx context.Context) error {
	ch := make(chan struct{})
	c.post(drainRequested{ch})
	select {
	case <-ch:
		return nil
	case <-c.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Abandon has the module give up every request that still waits, and all that come from
// now on, as the gateway has no time left; with last those too that a decode engine may be about
// to answer. Streams are the fronts' to end.
func (c *Core) Abandon(last bool) {
	c.post(shutdownBegun{last})
}

// awaitDrained has drained closed once nothing is in hand.
func (c *Core) awaitDrained(drained chan<- struct{}) {
	c.drainWaiters = append(c.drainWaiters, drained)
	c.pollDrain()
}

// pollDrain reconciles from time to time until nobody waits for a drain any longer.
func (c *Core) pollDrain() {
	if len(c.drainWaiters) > 0 {
		c.schedule(drainPollInterval, drainPolled{})
	}
}

// endDrain lets the waiters go if nothing is in hand.
func (c *Core) endDrain() {
	if len(c.drainWaiters) == 0 || c.requests.len() > 0 || c.unreleased.blockDrain(c.clock.now()) {
		return
	}
	for _, drained := range c.drainWaiters {
		close(drained)
	}
	c.drainWaiters = nil
}
