package core

import (
	"time"

	"wellgw/internal/wallclock"
	"wellgw/routing"
)

// initialRouterTime is what the router's clock shows at the start, so that no time on it is 0.
const initialRouterTime = 24 * time.Hour

// clock gives the time to the router, which counts it from an origin of the core's choice. It is
// set once.
type clock struct {
	origin time.Time        // monotonic
	wall   func() time.Time // the wall clock, which may be stepped: for time stamps of others alone
}

func newClock() clock {
	return clock{origin: time.Now().Add(-initialRouterTime), wall: wallclock.Now}
}

// now returns the time on the router's clock.
func (c clock) now() routing.Time { return time.Since(c.origin) }

// toRouterTime returns what the router's clock showed at a time.
func (c clock) toRouterTime(at time.Time) routing.Time { return at.Sub(c.origin) }

// fromRouterTime returns when the router's clock shows t.
func (c clock) fromRouterTime(t routing.Time) time.Time { return c.origin.Add(t) }
