package core

import (
	"cmp"
	"time"
)

// Bounds of lingering attempts of requests that are over.
const (
	lingerLimit  = 15 * time.Second // network partitions seldom last longer
	maxLingering = 32               // each keeps a connection and a body
)

// keepLingering keeps the connection of a cancelled attempt open once its request is over. State
// must not be held for long with no attempt in flight, and an engine behind a network partition can't
// be sent a release; until that is delivered, the attempt stays in flight. Time and number are bounded.
func (c *Core) keepLingering(request *requestState) {
	if request.lingeringAttempt == nil || request.held.lingersAfterAnswer || !request.answered || request.activeAttempts > 0 {
		return
	}
	if c.lingeringCount >= maxLingering {
		c.closeLingeringAttempt(request)
		return
	}
	request.held.lingersAfterAnswer = true
	c.lingeringCount++
	c.schedule(lingerLimit, lingerTimedOut{request})
}

// lingerReleaseEngine returns the engine whose release ends the lingering: the one that certainly holds state
// or, without one, the attempt's own.
func (r *requestState) lingerReleaseEngine() string {
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

// closeLingeringAttempt closes the connection of an attempt that lingers, if there is one.
func (c *Core) closeLingeringAttempt(request *requestState) {
	if request.lingeringAttempt != nil {
		request.closeCancelled(request.lingeringAttempt)
		request.lingeringAttempt = nil
	}
}
