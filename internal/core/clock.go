package core

import (
	"time"

	"wellgw/internal/wallclock"
	"wellgw/routing"
)

// clockOffset is what the router's clock shows at the start, so that no time on it is 0.
const clockOffset = 24 * time.Hour

// clock gives the time to the router, which counts it from an origin of the core's choice. It is
// set once.
type clock struct {
	origin time.Time        // monotonic
	wall   func() time.Time // the wall clock, which may be stepped: for time stamps of others alone
}

func newClock() clock {
	return clock{origin: time.Now().Add(-clockOffset), wall: wallclock.Now}
}

// now returns the time on the router's clock.
func (c clock) now() routing.Time { return time.Since(c.origin) }

// of returns what the router's clock showed at a time.
func (c clock) of(at time.Time) routing.Time { return at.Sub(c.origin) }

// at returns when the router's clock shows t.
func (c clock) at(t routing.Time) time.Time { return c.origin.Add(t) }
