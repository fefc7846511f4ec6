package core

import "cmp"

// lingerAfterAnswer keeps the connection of a cancelled attempt open once its request is over. A
// state must not be held for long while no attempt is out, and an engine behind a network
// partition cannot be told to release it; until it has been told, the attempt stays out. Time
// and number are bounded.
func (c *Core) lingerAfterAnswer(request *requestState) {
	if request.lingeringAttempt == nil || request.held.lingersAfterAnswer || !request.answered || request.activeAttempts > 0 {
		return
	}
	if c.lingeringCount >= maxLingering {
		c.closeLingeringAttempt(request)
		return
	}
	request.held.lingersAfterAnswer = true
	c.lingeringCount++
	c.schedule(lingerLimit, lingerLimitReached{request})
}

// lingerTarget is the engine whose release ends the lingering: the one that certainly holds a
// state or, without one, the attempt's own.
func (r *requestState) lingerTarget() string {
	return cmp.Or(r.held.lastHolder, r.lingeringAttempt.endpoint.Name)
}

// endLingering closes the connection of the attempt that was kept open. Releases that arrived
// before may have had no effect, as the attempt was still waiting for the state.
func (c *Core) endLingering(request *requestState) {
	if !request.held.lingersAfterAnswer {
		return
	}
	request.held.lingersAfterAnswer = false
	c.lingeringCount--
	if attempt := request.lingeringAttempt; attempt != nil {
		c.closeLingeringAttempt(request)
		request.held.ledger.AttemptLost(attempt.endpoint.Name, c.router.CanPrefill(attempt.endpoint.Kind))
		request.held.ledger.RepeatReleases()
	}
	c.markChanged(request)
}

// closeLingeringAttempt closes the connection of a cancelled attempt that was kept open.
func (c *Core) closeLingeringAttempt(request *requestState) {
	if request.lingeringAttempt != nil {
		request.closeCancelled(request.lingeringAttempt)
		request.lingeringAttempt = nil
	}
}
