package clientconn

import (
	"context"
	"log/slog"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// CloseReason says why a client's connection was closed. It is a value of the log and of counts.
type CloseReason string

// The reasons.
const (
	ClosedByClient    CloseReason = "client left"     // it ended its sending, or the connection broke
	ClosedIdle        CloseReason = "idle"            // it rested while connections were to end
	ClosedUnused      CloseReason = "unused"          // it brought no request while connections were to end
	ClosedAnswered    CloseReason = "last answer"     // its answer was its last, as connections were to end
	ClosedLate        CloseReason = "late request"    // its request was not whole when none was taken any more
	ClosedForRoom     CloseReason = "evicted"         // another connection needed the room
	ClosedNoRoom      CloseReason = "no room"         // it came when there was none
	ClosedMalformed   CloseReason = "malformed"       // its request could not be read
	ClosedSlowRequest CloseReason = "request timeout" // its request did not come to its end
	ClosedCut         CloseReason = "cut"             // the time of its answer was over
	ClosedByServer    CloseReason = "server"          // by net/http: an aborted answer, or "Connection: close"
)

// records counts the closes by reason and writes each to the log at level debug.
type records struct {
	mu     sync.Mutex
	counts map[string]int
	log    *slog.Logger
}

// Log has each connection's close written to log, at level debug.
func (l *Listener) Log(log *slog.Logger) {
	l.records.mu.Lock()
	defer l.records.mu.Unlock()
	l.records.log = log
}

// Closes returns how many connections were closed, by reason.
func (l *Listener) Closes() map[string]int {
	l.records.mu.Lock()
	defer l.records.mu.Unlock()
	counts := make(map[string]int, len(l.records.counts))
	for reason, n := range l.records.counts {
		counts[reason] = n
	}
	return counts
}

func (r *records) add(reason CloseReason) *slog.Logger {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	r.counts[string(reason)]++
	return r.log
}

// because notes why the connection is about to be closed; the first reason stands. The lock is held.
func (c *Conn) because(reason CloseReason) {
	if c.reason == "" {
		c.reason = reason
	}
}

// record counts the close of a connection and writes it to the log. It is called before the
// descriptor is closed, once.
func (c *Conn) record() {
	c.mu.Lock()
	if c.recorded {
		c.mu.Unlock()
		return
	}
	c.recorded = true
	if c.malformed {
		c.because(ClosedMalformed)
	}
	if c.gone {
		c.because(ClosedByClient)
	}
	c.because(ClosedByServer)
	reason, age, answered, inHand := c.reason, time.Since(c.opened), c.answered, c.frame.complete > c.answered
	c.mu.Unlock()
	log := c.from.records.add(reason)
	if log == nil || !log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	log.Debug("connection closed", "client", c.RemoteAddr(), "reason", string(reason), "age", age.Round(time.Millisecond),
		"answered", answered, "in hand", inHand, "unread", c.unreadBytes())
}

// unreadBytes returns how many bytes have come that nobody has read.
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
