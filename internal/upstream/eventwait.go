package upstream

import (
	"fmt"
	"net"
	"time"

	"wellgw/internal/core"
)

// Bounds of an event that an engine writes slowly.
const (
	minEventProgress  = 100 // bytes of its data that begin the wait anew
	maxEventTimeParts = 8   // limits of the wait in which one event must be complete
)

// eventWait limits how long a stream waits for the next event of its engine. Data of an event that is
// arriving begins the wait anew, for a limited time; other bytes, such as comments, do not. Only time
// spent in reads counts: while the client's connection is blocked nothing is read, and events that have
// arrived must not expire.
type eventWait struct {
	limit       time.Duration // 0 for no limit
	elapsed     time.Duration // spent in reads since the last event, or since the wait began anew
	eventBytes  int           // data of the event that is arriving, when the wait began anew
	waited      time.Duration // spent in reads since the last event, before the wait began anew
	deadline    time.Time     // the connection's read deadline; zero for none
	deadlineSet bool          // deadline is in force, in place of that of the response head
}

// eventTimeout returns the limit for a response: the shorter one of the pool's and the payload's. A limit
// of 0 is none.
func eventTimeout(ofPool time.Duration, p core.Payload) time.Duration {
	if p.EventTimeout > 0 && (ofPool == 0 || p.EventTimeout < ofPool) {
		return p.EventTimeout
	}
	return ofPool
}

// beginRead sets the connection's deadline for a read that begins now. A deadline that is early by a
// small part of the limit stays, which saves a system call.
func (w *eventWait) beginRead(connection net.Conn, now time.Time) {
	var deadline time.Time
	if w.limit > 0 {
		deadline = now.Add(w.limit - w.elapsed)
	}
	if late := deadline.Sub(w.deadline); w.deadlineSet && late >= 0 && late <= w.limit/readDeadlineResolution {
		return
	}
	_ = connection.SetReadDeadline(deadline) // fails only on a closed connection, whose read fails as well
	w.deadline, w.deadlineSet = deadline, true
}

// endRead adds the duration of a read to the current wait.
func (w *eventWait) endRead(duration time.Duration) { w.elapsed += duration }

// restart begins the wait for another event.
func (w *eventWait) restart(limit time.Duration) {
	w.limit, w.elapsed, w.eventBytes, w.waited = limit, 0, 0, 0
}

// progress records how many bytes of the next event's data have arrived.
func (w *eventWait) progress(eventBytes int) {
	if eventBytes-w.eventBytes < minEventProgress || w.waited >= maxEventTimeParts*w.limit {
		return
	}
	w.eventBytes = eventBytes
	w.waited += w.elapsed
	w.elapsed = 0
}

// eventTimeoutError is the cause of a stream that broke because its engine stayed silent or sent
// only bytes that completed no event.
type eventTimeoutError struct {
	limit time.Duration
	bytes int // that arrived since the last event
}

func (e *eventTimeoutError) Error() string {
	return fmt.Sprintf("no further event within %v, %d bytes since the last one", e.limit, e.bytes)
}
