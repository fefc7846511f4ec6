package lifecycle

import "time"

// Margins of the table.
const (
	// DrainRequestTimeout is how long after a drain began a request may come to its end. Operators want
	// no request carried 4 s after the call that was sent later than 2 s after it.
	DrainRequestTimeout = 1500 * time.Millisecond
	// HandOverRequestTimeout is the same after a hand-over: as long as any request may take to come.
	HandOverRequestTimeout = 2500 * time.Millisecond
	// ShutdownRequestTimeout is the same after a process that ends has stopped accepting.
	ShutdownRequestTimeout = 150 * time.Millisecond
	// AnswerTimeout bounds an answer that is under way when its connection is to end, beyond the
	// longest wait for its first event.
	AnswerTimeout = 5 * time.Minute
	// AcceptGrace is how long after SIGTERM new clients keep coming.
	AcceptGrace = 500 * time.Millisecond
	// FirstByteTimeout is how long a new connection may take to bring its first byte.
	FirstByteTimeout = 300 * time.Millisecond

	minKillDelay     = 700 * time.Millisecond // SIGKILL follows SIGTERM by the longest wait, of
	maxKillWait      = 3 * time.Second        // maxKillWait at most, and no less than this
	rejectBeforeKill = 1100 * time.Millisecond
	killMargin       = 100 * time.Millisecond // left unused before the kill
	rejectPeriod     = 250 * time.Millisecond // from refusals to failures: engines may be about to answer
	failPeriod       = 50 * time.Millisecond  // for the last answers to be written
	releasePeriod    = 500 * time.Millisecond // for releases, the second call included
	failBeforeKill   = 400 * time.Millisecond // before the kill, where streams go on up to it
	unreadRecheck    = 20 * time.Millisecond  // until bytes that have arrived are looked for again
)
