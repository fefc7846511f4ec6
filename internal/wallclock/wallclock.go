// Package wallclock reads the machine's wall clock, which may be stepped at any time. Use it for times
// that people read and for comparison with timestamps of other machines. Measure durations with time.Now
// and time.Since instead, which use the monotonic clock.
package wallclock

import (
	"time"

	"wellgw/internal/faultinject"
)

// Now returns the time of the wall clock without a monotonic reading. The difference of two such times
// therefore includes steps of the clock.
func Now() time.Time { return faultinject.WallClock().Round(0) }
