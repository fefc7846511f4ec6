// Package starttime converts the start times of engines to the gateway's monotonic clock.
//
// Engine lists contain start times by the wall clock of the machine that reported them. The wall clock of the
// gateway may be stepped while it runs. If the age of an engine were computed from the wall clock at each
// read, a step could make a cold engine count as warm, or a warm engine as cold. A Table therefore converts
// each start time once, when it is first reported. If the wall clock has been stepped since the table was
// created, the latest possible start is used, so that an engine counts as cold for at most one additional
// warm-up.
//
// It does no I/O and reads no clock.
package starttime

import "time"

// Time is a point on the caller's monotonic clock, as the duration since an arbitrary origin.
type Time = time.Duration

// Unknown stands for an unknown start, which counts as long ago.
const Unknown Time = 0

// MaxEngines is the maximum number of engines in a table, which evicts the engine that was added first.
// Without a limit, the table would grow indefinitely, because new engines have new names.
const MaxEngines = 1 << 14

// Clock is one reading of both clocks.
type Clock struct {
	Now  Time
	Wall time.Time
}

// start is the start time of an engine.
type start struct {
	reportedStart time.Time // as reported, by the wall clock
	startedAt     Time      // reportedStart converted to the monotonic clock
	lastReported  Time      // when reportedStart was last reported
}

// Table contains the start times of engines by name. The zero value is not usable; see New.
type Table struct {
	origin         Clock // when the table was created
	starts         map[string]*start
	insertionOrder []string // the keys of starts, oldest first
}

// New returns an empty table that is created at origin.
func New(origin Clock) *Table { return &Table{origin: origin, starts: map[string]*start{}} }

// Start returns when the named engine started, by the monotonic clock, if a list reports reportedStart for
// it. It returns Unknown for the zero time.
func (t *Table) Start(name string, reportedStart time.Time, clock Clock) Time {
	if reportedStart.IsZero() {
		return Unknown
	}
	previous := t.starts[name]
	if previous != nil && previous.reportedStart.Equal(reportedStart) {
		previous.lastReported = clock.Now
		return previous.startedAt
	}
	startedAt := clock.Now - t.minAge(reportedStart, clock)
	if previous != nil { // it has restarted since its previous start time was last reported
		startedAt = max(startedAt, previous.lastReported)
	} else {
		t.addName(name)
	}
	t.starts[name] = &start{reportedStart: reportedStart, startedAt: startedAt, lastReported: clock.Now}
	return startedAt
}

// minAge returns the lower of two ages: by the wall clock, and by the wall clock as it would be without steps
// since the table was created. A start time in the future yields an age of 0.
func (t *Table) minAge(reportedStart time.Time, clock Clock) time.Duration {
	unstepped := t.origin.Wall.Add(clock.Now - t.origin.Now)
	return max(0, min(clock.Wall.Sub(reportedStart), unstepped.Sub(reportedStart)))
}

// addName adds a new name to the insertion order and evicts the oldest name from a full table.
func (t *Table) addName(name string) {
	if len(t.insertionOrder) >= MaxEngines {
		delete(t.starts, t.insertionOrder[0])
		t.insertionOrder = t.insertionOrder[1:]
	}
	t.insertionOrder = append(t.insertionOrder, name)
}
