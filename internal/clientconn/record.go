package clientconn

import (
	"context"
	"log/slog"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// CloseReason is the reason why a client connection was closed. Its values appear in logs and counts.
type CloseReason string

// The reasons for closing a connection.
const (
	ClosedByClient        CloseReason = "client left"     // client closed its sending side, or connection broke
	ClosedIdle            CloseReason = "idle"            // idle during a drain or shutdown
	ClosedUnused          CloseReason = "unused"          // no request on it during a drain or shutdown
	ClosedAfterLastAnswer CloseReason = "last answer"     // last response written during a drain or shutdown
	ClosedRequestExpired  CloseReason = "late request"    // request incomplete when none were accepted any longer
	ClosedEvicted         CloseReason = "evicted"         // slot needed for another connection
	ClosedNoSlot          CloseReason = "no room"         // no slot free at its accept, and none could be freed
	ClosedMalformed       CloseReason = "malformed"       // request could not be parsed
	ClosedSlowRequest     CloseReason = "request timeout" // request incomplete when a read deadline passed
	ClosedAnswerAborted   CloseReason = "cut"             // response exceeded its time limit
	ClosedByServer        CloseReason = "server"          // by net/http: aborted answer or "Connection: close"
)

// closeRecords counts closed connections by reason and logs each at level debug.
type closeRecords struct {
	mu     sync.Mutex
	counts map[string]int
	log    *slog.Logger
}

// SetLogger sets the logger for closed connections, which are logged at level debug.
func (l *Listener) SetLogger(log *slog.Logger) {
	l.records.mu.Lock()
	defer l.records.mu.Unlock()
	l.records.log = log
}

// CloseCounts returns the number of closed connections by reason.
func (l *Listener) CloseCounts() map[string]int {
	l.records.mu.Lock()
	defer l.records.mu.Unlock()
	counts := make(map[string]int, len(l.records.counts))
	for reason, n := range l.records.counts {
		counts[reason] = n
	}
	return counts
}

// ConnectionCounts are the numbers of open connections by state.
type ConnectionCounts struct {
	Unused    int `json:"unused"`    // no request has arrived
	Idle      int `json:"idle"`      // between requests
	Receiving int `json:"receiving"` // a request is arriving
	InFlight  int `json:"in flight"` // a request is being answered
	Closing   int `json:"closing"`   // only their client still closes
}

// ConnectionCounts returns the numbers of open connections by state.
func (l *Listener) ConnectionCounts() (counts ConnectionCounts) {
	for _, c := range l.openConnections() {
		c.count(&counts)
	}
	return counts
}

// count adds the connection to the counts.
func (c *Conn) count(counts *ConnectionCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing:
		counts.Closing++
	case c.frame.complete > c.answered:
		counts.InFlight++
	case !c.frame.betweenRequests():
		counts.Receiving++
	case c.answered == 0:
		counts.Unused++
	default:
		counts.Idle++
	}
}

// add counts a closed connection, and returns the logger.
func (r *closeRecords) add(reason CloseReason) *slog.Logger {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	r.counts[string(reason)]++
	return r.log
}

// setReason records the reason for which the connection will be closed, unless one is recorded already.
// The caller holds c.mu.
func (c *Conn) setReason(reason CloseReason) {
	if c.reason == "" {
		c.reason = reason
	}
}

// recordClose counts and logs the close of a connection; further calls do nothing. It must be called
// before the file descriptor is closed, as it reads the number of unread bytes from it.
func (c *Conn) recordClose() {
	c.mu.Lock()
	if c.recorded {
		c.mu.Unlock()
		return
	}
	c.recorded = true
	if c.malformed {
		c.setReason(ClosedMalformed)
	}
	if c.peerClosed {
		c.setReason(ClosedByClient)
	}
	c.setReason(ClosedByServer)
	reason, age, answered, inFlight := c.reason, time.Since(c.opened), c.answered, c.frame.complete > c.answered
	c.mu.Unlock()
	log := c.listener.records.add(reason)
	if log == nil || !log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	log.Debug("connection closed", "client", c.RemoteAddr(), "reason", string(reason), "age", age.Round(time.Millisecond),
		"answered", answered, "in hand", inFlight, "unread", c.unreadBytes())
}

// unreadBytes returns the number of bytes that have arrived and have not been read.
func (c *Conn) unreadBytes() int {
	if c.raw == nil {
		return 0
	}
	var n int32
	_ = c.raw.Control(func(fd uintptr) {
		if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&n))); errno != 0 {
			n = 0
		}
	})
	return int(n)
}
