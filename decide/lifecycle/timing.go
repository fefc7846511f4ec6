package lifecycle

import "time"

// Timeouts of connections that are no longer kept alive.
const (
	// DrainRequestTimeout is the time after the start of a drain within which a request may be completed.
	// Operators require that, 4 s after the command, no request is served that was sent more than 2 s after it.
	DrainRequestTimeout = 1500 * time.Millisecond
	// HandOverRequestTimeout is the same after a hand-over: the maximum time that a request may take to arrive.
	HandOverRequestTimeout = 2500 * time.Millisecond
	// ShutdownRequestTimeout is the same after a terminating process has stopped accepting.
	ShutdownRequestTimeout = 150 * time.Millisecond
	// AnswerTimeout limits an answer in progress once its connection is no longer kept alive. The maximum
	// wait for its first event is added to it.
	AnswerTimeout = 5 * time.Minute
	// AcceptGrace is how long new clients are accepted after SIGTERM: the components that route them may not
	// have noticed the shutdown.
	AcceptGrace = 500 * time.Millisecond
	// FirstByteTimeout is the time within which the first byte must arrive on a new connection.
	FirstByteTimeout = 300 * time.Millisecond

	// unreadRecheckInterval is the time between two checks for received bytes that have not been read.
	unreadRecheckInterval = 20 * time.Millisecond
)

// The time of SIGKILL on the platform, measured from SIGTERM: minKillDelay plus the longest wait of clients,
// of which at most maxKillWait counts.
const (
	minKillDelay = 700 * time.Millisecond
	maxKillWait  = 3 * time.Second
	killMargin   = 100 * time.Millisecond // unused reserve before the kill
)

// Durations of the shutdown steps before the kill.
const (
	// rejectBeforeKill is the time from the first rejections to the kill if clients resume streams at
	// another process.
	rejectBeforeKill = 1100 * time.Millisecond
	// failBeforeKill is the same if streams continue up to the kill.
	failBeforeKill = 400 * time.Millisecond

	rejectPeriod = 250 * time.Millisecond // from rejections to failures: engines may be about to answer
	failPeriod   = 50 * time.Millisecond  // time for writing the last answers
	// releasePeriod is the time for releases at engines, including a second release for engines that detect
	// the end of a connection late.
	releasePeriod = 500 * time.Millisecond
)
