package core

import (
	"time"

	"wellgw/internal/wallclock"
	"wellgw/routing"
)

// initialRouterTime is the router's time at the start, so that no time of the router is 0.
const initialRouterTime = 24 * time.Hour

// clock converts between the system's time and the router's, which counts from an origin that the core
// sets. It does not change after newClock.
type clock struct {
	origin time.Time        // monotonic
	wall   func() time.Time // the wall clock, which may be stepped: only for time stamps of other hosts
}

func newClock() clock {
	return clock{origin: time.Now().Add(-initialRouterTime), wall: wallclock.Now}
}

// now returns the current time of the router.
func (c clock) now() routing.Time { return time.Since(c.origin) }

// toRouterTime converts a system time to the router's.
func (c clock) toRouterTime(at time.Time) routing.Time { return at.Sub(c.origin) }

// fromRouterTime converts a time of the router to the system's.
func (c clock) fromRouterTime(t routing.Time) time.Time { return c.origin.Add(t) }
