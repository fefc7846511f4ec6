package core

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"wellgw/decide/heldstate"
	"wellgw/routing"
)

// Bounds of the engines that a release is sent to while the holder of the state is out of reach.
const (
	maxAlternates   = 8                      // for one release
	alternatesAfter = 100 * time.Millisecond // for which only the holder is tried, or a quarter of the limit
)

// startRelease sends an engine a release for what it holds for a request.
func (c *Core) startRelease(request *requestState, engine string) {
	c.counters.increment(countReleases)
	release := Release{
		Endpoint:          request.held.endpoints[engine],
		ClientRequestID:   request.ClientRequestID,
		Alternates:        c.endpoints.othersByLastHeard(engine, maxAlternates),
		AlternateDelay:    min(alternatesAfter, c.limits.HeldStateLimit/4),
		AlternateInterval: max(c.limits.HeldStateLimit/2, heldstate.MinReleaseInterval),
		Deadline:          c.clock.at(request.held.ledger.ReleaseDeadline(engine)),
	}
	request.held.stopRelease[engine] = c.transport.Release(release, func(err error) {
		c.post(releaseEnded{request, engine, err})
	})
}

// recordRelease records how a release ended.
func (c *Core) recordRelease(request *requestState, engine string, err error) {
	delete(request.held.stopRelease, engine)
	c.markChanged(request)
	if errors.Is(err, ErrReleaseUnsupported) {
		request.held.ledger.DropEngine(engine)
		return
	}
	request.held.ledger.ReleaseEnded(engine, err == nil, c.clock.now())
	if err != nil {
		c.counters.increment(countReleasesFailed)
		c.log.LogAttrs(context.Background(), slog.LevelDebug, "release failed",
			slog.String("id", request.ClientRequestID), slog.String("engine", engine), slog.Any("cause", err))
		return
	}
	c.logStateEnd(request, engine, stateReleased)
	c.endpoints.recordHeard(engine)
	if request.held.lingersAfterAnswer && request.lingeringAttempt != nil && engine == request.lingerTarget() {
		c.endLingering(request)
	}
}

// unreleasedRequests are the requests that are answered and for which engines may still hold state.
type unreleasedRequests map[*requestState]bool

// track adds a request, or takes it out once its ledger has nothing left to release.
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
