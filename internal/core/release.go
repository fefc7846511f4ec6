package core

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"wellgw/decide/heldstate"
	"wellgw/routing"
)

// Bounds of sending a release to alternates while the engine that holds the state is unreachable.
const (
	maxAlternates     = 8                      // per release
	maxAlternateDelay = 100 * time.Millisecond // before the first alternate; at most a quarter of HeldStateLimit
)

// startRelease starts a release of the state that an engine holds for a request.
func (c *Core) startRelease(request *requestState, engine string) {
	c.counters.increment(countReleases)
	release := Release{
		Endpoint:          request.held.endpoints[engine],
		ClientRequestID:   request.ClientRequestID,
		Alternates:        c.endpoints.alternatesByLastResponse(engine, maxAlternates),
		AlternateDelay:    min(maxAlternateDelay, c.limits.HeldStateLimit/4),
		AlternateInterval: max(c.limits.HeldStateLimit/2, heldstate.MinReleaseInterval),
		Deadline:          c.clock.fromRouterTime(request.held.ledger.ReleaseDeadline(engine)),
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
	c.endpoints.recordResponse(engine)
	if request.held.lingersAfterAnswer && request.lingeringAttempt != nil && engine == request.lingerReleaseEngine() {
		c.endLingering(request)
	}
}

// unreleasedRequests is the set of answered requests for which engines may still hold state.
type unreleasedRequests map[*requestState]bool

// track adds an answered request, and removes it once its ledger has nothing more to release.
func (u unreleasedRequests) track(request *requestState) {
	if request.held.ledger.Completed() {
		delete(u, request)
	} else if request.answered {
		u[request] = true
	}
}

// blockDrain reports whether a draining gateway must wait for a release.
func (u unreleasedRequests) blockDrain(now routing.Time) bool {
	for request := range u {
		if request.held.ledger.BlocksDrain(now) {
			return true
		}
	}
	return false
}
