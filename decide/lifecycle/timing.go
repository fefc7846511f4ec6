package lifecycle

import "time"

// How long connections are given once they are to end.
const (
	// DrainRequestTimeout is how long after the start of a drain a request may be completed.
	// Operators want no request carried 4 s after the command that was sent later than 2 s after it.
	DrainRequestTimeout = 1500 * time.Millisecond
	// HandOverRequestTimeout is the same after a hand-over: as long as any request may take to arrive.
	HandOverRequestTimeout = 2500 * time.Millisecond
	// ShutdownRequestTimeout is the same after a process that ends has stopped accepting.
	ShutdownRequestTimeout = 150 * time.Millisecond
	// AnswerTimeout bounds an answer that is under way when its connection is to end, beyond the
	// longest wait for its first event.
	AnswerTimeout = 5 * time.Minute
	// AcceptGrace is how long after SIGTERM new clients are accepted: those who route them may not
	// have noticed.
	AcceptGrace = 500 * time.Millisecond
	// FirstByteTimeout is how long a new connection may take to bring its first byte.
	FirstByteTimeout = 300 * time.Millisecond

	// unreadRecheckInterval is the time until bytes that have arrived are looked for again.
	unreadRecheckInterval = 20 * time.Millisecond
)

// When SIGKILL comes, on the platform: the longest wait of clients, or maxKillWait if that is
// shorter, and minKillDelay after SIGTERM.
const (
	minKillDelay = 700 * time.Millisecond
	maxKillWait  = 3 * time.Second
	killMargin   = 100 * time.Millisecond // left unused before the kill
)

// The steps of a shutdown before the kill.
const (
	// rejectBeforeKill is the start of rejections before the kill, where clients resume streams elsewhere.
	rejectBeforeKill = 1100 * time.Millisecond
	// failBeforeKill is the same where streams go on up to the kill.
	failBeforeKill = 400 * time.Millisecond

	rejectPeriod  = 250 * time.Millisecond // from rejections to failures: engines may be about to answer
	failPeriod    = 50 * time.Millisecond  // for the last answers to be written
	releasePeriod = 500 * time.Millisecond // for releases at engines, the second call included
)
