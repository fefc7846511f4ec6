package core

import (
	"errors"

	"wellgw/decide/heldstate"
	"wellgw/routing"
)

// startRelease tells one engine to release what it holds for a request.
func (c *Core) startRelease(request *requestState, engine string) {
	c.counters.increment(countReleases)
	r := Release{
		Endpoint: request.held.endpoints[engine], ClientRequestID: request.ClientRequestID, Deadline: c.clock.at(request.held.ledger.ReleaseDeadline(engine)),
		Alternates: c.endpoints.othersByLastHeard(engine, maxAlternates), AlternatesAfter: min(alternatesAfter, c.limits.HeldStateLimit/4),
		AlternatesInterval: max(c.limits.HeldStateLimit/2, heldstate.MinReleaseInterval),
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
		request.held.ledger.DropEngine(engine)
		return
	}
	request.held.ledger.ReleaseEnded(engine, err == nil, c.clock.now())
	if err != nil {
		c.counters.increment(countReleasesFailed)
		c.log.Debug("release failed", "id", request.ClientRequestID, "engine", engine, "cause", err)
		return
	}
	c.endpoints.recordHeard(engine)
	if request.held.lingersAfterAnswer && request.lingeringAttempt != nil && engine == request.lingerTarget() {
		c.endLingering(request)
	}
}

// unreleasedRequests are the requests that are over and for which engines may still hold something.
type unreleasedRequests map[*requestState]bool

// track takes a request in or out, as its ledger says.
func (u unreleasedRequests) track(request *requestState) {
	if request.held.ledger.Completed() {
		delete(u, request)
	} else if request.answered {
		u[request] = true
	}
}

// blockDrain reports whether a draining gateway has to wait for a release.
func (u unreleasedRequests) blockDrain(now routing.Time) bool {
	for request := range u {
		if request.held.ledger.BlocksDrain(now) {
			return true
		}
	}
	return false
}
