// Package wallclock reads the machine's wall clock, which may be stepped at any time. It is for
// what people are shown and for stamps of others; spans are measured by time.Now and time.Since,
// which go by the monotonic clock.
package wallclock

import (
	"time"

	"wellgw/internal/faultinject"
)

// Now returns the time on the wall clock, without a monotonic reading: two such times differ by
// what the wall clock says, steps included.
func Now() time.Time { return faultinject.WallClock().Round(0) }
