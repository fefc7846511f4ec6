// Package starttime converts the start times of engines to the gateway's monotonic clock.
//
// Engine lists state starts by the wall clock of whoever wrote them. A gateway's wall clock may be
// stepped while it runs, so that to subtract a stamp from it at each read could make an engine seem warm
// long ago, or cold once more. A Table converts each stamp once, when it is first seen. Where the wall
// clock was stepped since the table was made, the later of the possible starts is taken: at worst an
// engine is taken to be cold for one warm-up more than it is.
//
// It does no I/O and reads no clock.
package starttime

import "time"

// Time is a point on the caller's monotonic clock, as the duration since an arbitrary origin.
type Time = time.Duration

// Unknown stands for a start long ago.
const Unknown Time = 0

// MaxEngines bounds the engines that are remembered; the oldest are forgotten first. Engines come under
// ever new names, so that the table would otherwise grow without bound.
const MaxEngines = 1 << 14

// Clock is one moment on both clocks.
type Clock struct {
	Now  Time
	Wall time.Time
}

// start is an engine's start.
type start struct {
	reportedAt   time.Time // as stated
	startedAt    Time      // the stamp on the monotonic clock
	lastReported Time      // when the stamp was stated last
}

// Table remembers the starts of engines by name. Use New.
type Table struct {
	origin         Clock // when the table was made
	starts         map[string]*start
	insertionOrder []string // the keys of starts, oldest first
}

// New returns a table that is made at origin.
func New(origin Clock) *Table { return &Table{origin: origin, starts: map[string]*start{}} }

// Start returns when an engine started for which a list states stamp; Unknown for the zero time.
func (t *Table) Start(name string, stamp time.Time, clock Clock) Time {
	if stamp.IsZero() {
		return Unknown
	}
	previous := t.starts[name]
	if previous != nil && previous.reportedAt.Equal(stamp) {
		previous.lastReported = clock.Now
		return previous.startedAt
	}
	startedAt := clock.Now - t.minAge(stamp, clock)
	if previous != nil { // it has restarted since its former stamp was last stated
		startedAt = max(startedAt, previous.lastReported)
	} else {
		t.addName(name)
	}
	t.starts[name] = &start{reportedAt: stamp, startedAt: startedAt, lastReported: clock.Now}
	return startedAt
}

// minAge returns the least age that the wall clock allows: as it is now, and as it would be had it not
// been stepped since the table was made. A stamp in the future counts as the present moment.
func (t *Table) minAge(stamp time.Time, clock Clock) time.Duration {
	unstepped := t.origin.Wall.Add(clock.Now - t.origin.Now)
	return max(0, min(clock.Wall.Sub(stamp), unstepped.Sub(stamp)))
}

// addName makes room for a new name.
func (t *Table) addName(name string) {
	if len(t.insertionOrder) >= MaxEngines {
		delete(t.starts, t.insertionOrder[0])
		t.insertionOrder = t.insertionOrder[1:]
	}
	t.insertionOrder = append(t.insertionOrder, name)
}
