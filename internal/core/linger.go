package core

import (
	"cmp"
	"time"
)

// Bounds of lingering attempts of completed requests.
const (
	lingerLimit  = 15 * time.Second // longer network partitions are rare
	maxLingering = 32               // each occupies a connection and the memory of a request body
)

// keepLingering keeps the connection of a cancelled attempt open after its request has completed. State must
// not be held beyond its limit with no attempt in flight, and a release can't reach an engine behind a
// network partition, so the attempt stays in flight until the release is delivered. The time is bounded by
// lingerLimit and the number of such attempts by maxLingering.
func (c *Core) keepLingering(request *requestState) {
	if request.lingeringAttempt == nil || request.held.lingersAfterAnswer || !request.answered || request.activeAttempts > 0 {
		return
	}
	if c.lingeringCount >= maxLingering {
		c.closeLingeringAttempt(request)
		return
	}
	request.held.lingersAfterAnswer = true
	c.requests.useClientID(request.ClientRequestID)
	c.lingeringCount++
	c.schedule(lingerLimit, lingerTimedOut{request})
}

// lingerReleaseEngine returns the engine whose release ends the lingering: the engine that certainly holds
// state or, if there is none, the attempt's own.
func (r *requestState) lingerReleaseEngine() string {
	return cmp.Or(r.held.lastHolder, r.lingeringAttempt.endpoint.Name)
}

// endLingering closes the connection of a completed request's lingering attempt and repeats the releases:
// those that arrived earlier may have had no effect, as the attempt was still waiting for the state.
func (c *Core) endLingering(request *requestState) {
	if !request.held.lingersAfterAnswer {
		return
	}
	request.held.lingersAfterAnswer = false
	c.requests.freeClientID(request.ClientRequestID)
	c.lingeringCount--
	if attempt := request.lingeringAttempt; attempt != nil {
		c.closeLingeringAttempt(request)
		request.held.ledger.AttemptLost(attempt.endpoint.Name, c.router.CanPrefill(attempt.endpoint.Kind))
		request.held.ledger.RepeatReleases()
	}
	c.markChanged(request)
}

// closeLingeringAttempt closes the connection of a request's lingering attempt, if there is one.
func (c *Core) closeLingeringAttempt(request *requestState) {
	if request.lingeringAttempt != nil {
		request.closeCancelled(request.lingeringAttempt)
		request.lingeringAttempt = nil
	}
}
