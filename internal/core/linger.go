package core

import "cmp"

// keepLingering keeps the connection of a cancelled attempt open once its request is over. A
// state must not be held for long while no attempt is out, and an engine behind a network
// partition cannot be told to release it; until it has been told, the attempt stays out. Time
// and number are bounded.
func (c *Core) keepLingering(request *requestState) {
	if request.lingering == nil || request.held.lingering || !request.answered || request.activeAttempts > 0 {
		return
	}
	if c.lingering >= maxLingering {
		c.closeLingering(request)
		return
	}
	request.held.lingering = true
	c.lingering++
	c.schedule(lingerLimit, lingerLimitReached{request})
}

// lingerTarget is the engine whose release ends the lingering: the one that certainly holds a
// state or, without one, the attempt's own.
func (r *requestState) lingerTarget() string {
	return cmp.Or(r.held.lastHolder, r.lingering.endpoint.Name)
}

// endLingering closes the connection of the attempt that was kept open. Releases that arrived
// before may have had no effect, as the attempt was still waiting for the state.
func (c *Core) endLingering(request *requestState) {
	if !request.held.lingering {
		return
	}
	request.held.lingering = false
	c.lingering--
	if attempt := request.lingering; attempt != nil {
		c.closeLingering(request)
		request.held.ledger.AttemptLost(attempt.endpoint.Name, c.router.CanPrefill(attempt.endpoint.Kind))
		request.held.ledger.RepeatReleases()
	}
	c.markChanged(request)
}

// closeLingering closes the connection of a cancelled attempt that was kept open.
func (c *Core) closeLingering(request *requestState) {
	if request.lingering != nil {
		request.cancelAttempt(request.lingering)
		request.lingering = nil
	}
}
