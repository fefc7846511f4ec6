package core

import (
	"context"
	"time"
)

// drainPollInterval is the time between two checks whether a drain has ended: releases cease to block
// it by time alone.
const drainPollInterval = 20 * time.Millisecond

// Drain waits until no request is in hand and no release blocks the end of the gateway, or until the
// core has ended.
func (c *Core) Drain(ctx context.Context) error {
	drained := make(chan struct{})
	c.post(drainRequested{drained})
	select {
	case <-drained:
		return nil
	case <-c.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// NotifyShutdown has the router give up every request that still waits, and all that come from now on, as
// the gateway has no time left; if final, also those that a decode engine may be about to answer. The
// fronts end the streams.
func (c *Core) NotifyShutdown(final bool) { c.post(shutdownBegun{final}) }

// awaitDrained has drained closed once nothing is in hand.
func (c *Core) awaitDrained(drained chan<- struct{}) {
	c.drainWaiters = append(c.drainWaiters, drained)
	c.pollDrain()
}

// pollDrain has the core reconcile, and so check for the end of a drain, until none waits for one.
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
