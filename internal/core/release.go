package core

import (
	"errors"

	"wellgw/decide/heldstate"
)

// startRelease tells one engine to release what it holds for a request.
func (c *Core) startRelease(request *requestState, engine string) {
	c.counts[countReleases]++
	r := Release{
		Endpoint: request.held.members[engine], ClientRequestID: request.ClientRequestID, Deadline: c.origin.Add(request.held.ledger.Until(engine)),
		Alternates: c.othersByLastHeard(engine), AlternatesAfter: min(elsewhereAfter, c.limits.HeldStateLimit/4),
		AlternatesInterval: max(c.limits.HeldStateLimit/2, heldstate.RepeatLeast),
	}
	request.held.stopRelease[engine] = c.transport.Release(r, func(err error) {
		c.post(releaseEnded{request, engine, err})
	})
}

// recordRelease records how a release ended.
func (c *Core) recordRelease(request *requestState, engine string, err error) {
	delete(request.held.stopRelease, engine)
	c.markChanged(request)
	if errors.Is(err, ErrNoRelease) {
		request.held.ledger.Forget(engine)
		return
	}
	request.held.ledger.ReleaseEnded(engine, err == nil, c.now())
	if err != nil {
		c.counts[countReleasesFailed]++
		c.log.Debug("release failed", "id", request.ClientRequestID, "engine", engine, "cause", err)
		return
	}
	c.recordHeard(engine)
	if request.held.lingering && request.lingering != nil && engine == request.lingerTarget() {
		c.endLingering(request)
	}
}

// trackUnreleased keeps a request that is over in a table while something may be held for it.
func (c *Core) trackUnreleased(request *requestState) {
	if request.held.ledger.Done() {
		delete(c.unreleased, request)
	} else if request.answered {
		c.unreleased[request] = true
	}
}
