package clientconn

import (
	"context"
	"log/slog"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// CloseReason is why a client's connection was closed. Its values appear in logs and counts.
type CloseReason string

// The reasons for closing a connection.
const (
	ClosedByClient        CloseReason = "client left"     // the client closed its side, or the connection broke
	ClosedIdle            CloseReason = "idle"            // idle during a drain or shutdown
	ClosedUnused          CloseReason = "unused"          // no request arrived on it during a drain or shutdown
	ClosedAfterLastAnswer CloseReason = "last answer"     // its response was its last, during a drain or shutdown
	ClosedRequestExpired  CloseReason = "late request"    // its request was not complete when requests were no longer accepted
	ClosedEvicted         CloseReason = "evicted"         // another connection needed its slot
	ClosedNoSlot          CloseReason = "no room"         // it arrived when all slots were in use
	ClosedMalformed       CloseReason = "malformed"       // its request could not be parsed
	ClosedSlowRequest     CloseReason = "request timeout" // its request was not complete in time
	ClosedAnswerAborted   CloseReason = "cut"             // its response exceeded its time limit
	ClosedByServer        CloseReason = "server"          // by net/http: an aborted answer, or "Connection: close"
)

// closeRecords counts closes by reason and logs each at level debug.
type closeRecords struct {
	mu     sync.Mutex
	counts map[string]int
	log    *slog.Logger
}

// SetLogger sets the logger for closes, which are logged at level debug.
func (l *Listener) SetLogger(log *slog.Logger) {
	l.records.mu.Lock()
	defer l.records.mu.Unlock()
	l.records.log = log
}

// CloseCounts returns how many connections were closed, by reason.
func (l *Listener) CloseCounts() map[string]int {
	l.records.mu.Lock()
	defer l.records.mu.Unlock()
	counts := make(map[string]int, len(l.records.counts))
	for reason, n := range l.records.counts {
		counts[reason] = n
	}
	return counts
}

func (r *closeRecords) add(reason CloseReason) *slog.Logger {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	r.counts[string(reason)]++
	return r.log
}

// setReason records why the connection is about to be closed; the first reason wins. The lock is held.
func (c *Conn) setReason(reason CloseReason) {
	if c.reason == "" {
		c.reason = reason
	}
}

// recordClose counts and logs the close of a connection, once. It is called before the descriptor is
// closed.
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
	reason, age, answered, inHand := c.reason, time.Since(c.opened), c.answered, c.frame.complete > c.answered
	c.mu.Unlock()
	log := c.listener.records.add(reason)
	if log == nil || !log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	log.Debug("connection closed", "client", c.RemoteAddr(), "reason", string(reason), "age", age.Round(time.Millisecond),
		"answered", answered, "in hand", inHand, "unread", c.unreadBytes())
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
