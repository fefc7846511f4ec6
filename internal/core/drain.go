package core

import (
	"context"
	"time"
)

// drainPollInterval is the interval at which the core checks whether a drain has completed. Polling is
// needed because a release may stop blocking the drain without any message, by the passing of time.
const drainPollInterval = 20 * time.Millisecond

// Drain waits until no request is open and no release blocks the gateway's shutdown, or until Run has
// returned.
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

// NotifyShutdown makes the router answer all waiting and future requests with a rejection or a failure, since
// the gateway is about to exit; if final, also the requests in flight at a decode engine. The fronts end
// the streams.
func (c *Core) NotifyShutdown(final bool) { c.post(shutdownStarted{final}) }

// awaitDrained registers a channel that is closed when the core is drained.
func (c *Core) awaitDrained(drained chan<- struct{}) {
	c.drainWaiters = append(c.drainWaiters, drained)
	c.pollDrain()
}

// pollDrain schedules the next check for the end of a drain while any caller waits for it. The check is
// part of reconcile, which runs after every message.
func (c *Core) pollDrain() {
	if len(c.drainWaiters) > 0 {
		c.schedule(drainPollInterval, drainPollTimerFired{})
	}
}

// completeDrain notifies the callers that wait for a drain if it has completed.
func (c *Core) completeDrain() {
	if len(c.drainWaiters) == 0 || c.requests.len() > 0 || c.unreleased.blockDrain(c.clock.now()) {
		return
	}
	for _, drained := range c.drainWaiters {
		close(drained)
	}
	c.drainWaiters = nil
}
