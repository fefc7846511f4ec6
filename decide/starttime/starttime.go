// Package starttime decides when engines started, on the gateway's own clock.
//
// Lists state starts by the wall clock of whoever wrote them. A gateway's wall clock may be stepped
// while it runs, so a stamp is not to be subtracted from it each time that it is read: an engine
// would seem long warm, or cold once more. A Table turns each stamp into a time of the caller's
// monotonic clock once, when it is first seen. Where the wall clock was stepped since the table
// was made, the later of the starts that it allows is taken: an engine is then taken to be colder
// than it is, for one warm-up at most. It does no I/O and reads no clock.
package starttime

import "time"

// Time is a point on the caller's monotonic clock, as the duration since an arbitrary origin.
type Time = time.Duration

// Unknown stands for a start long ago.
const Unknown Time = 0

// MaxEngines bounds the engines remembered; the oldest are forgotten first.
const MaxEngines = 1 << 14

// Clock is one moment on both clocks.
type Clock struct {
	Now  Time
	Wall time.Time
}

type start struct {
	stamp time.Time // as stated
	at    Time      // what was made of it
	seen  Time      // when the stamp was stated last
}

// Table remembers the starts of engines by name. Use New.
type Table struct {
	origin Clock
	starts map[string]*start
	order  []string // of starts, oldest first
}

// New returns a table that was made at a moment.
func New(origin Clock) *Table { return &Table{origin: origin, starts: map[string]*start{}} }

// Start returns when an engine started that a list states to have started at stamp; Unknown for the
// zero time.
func (t *Table) Start(name string, stamp time.Time, clock Clock) Time {
	if stamp.IsZero() {
		return Unknown
	}
	known := t.starts[name]
	if known != nil && known.stamp.Equal(stamp) {
		known.seen = clock.Now
		return known.at
	}
	at := clock.Now - t.age(stamp, clock)
	if known != nil { // it has started anew since its former stamp was stated
		at = max(at, known.seen)
	} else {
		t.remember(name)
	}
	t.starts[name] = &start{stamp: stamp, at: at, seen: clock.Now}
	return at
}

// age is the least age that the wall clock allows: as it is now, and as it would be had it not been
// stepped since the table was made. A stamp in the future is one of this moment.
func (t *Table) age(stamp time.Time, clock Clock) time.Duration {
	unstepped := t.origin.Wall.Add(clock.Now - t.origin.Now)
	return max(0, min(clock.Wall.Sub(stamp), unstepped.Sub(stamp)))
}

func (t *Table) remember(name string) {
	if len(t.order) >= MaxEngines {
		delete(t.starts, t.order[0])
		t.order = t.order[1:]
	}
	t.order = append(t.order, name)
}
