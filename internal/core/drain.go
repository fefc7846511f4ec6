package core

import "context"

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

// releasesBlockDrain tells whether a draining gateway has to wait for a release.
func (c *Core) releasesBlockDrain() bool {
	now := c.now()
	for request := range c.unreleased {
		if request.held.ledger.Urgent(now) {
			return true
		}
	}
	return false
}
