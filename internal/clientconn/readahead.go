package clientconn

import (
	"errors"
	"io"
	"sync/atomic"
	"syscall"

	"wellgw/internal/faultinject"
)

// Sizes of what is read ahead, in bytes.
const (
	minReadAheadBuffer = 8 << 10
	maxReadAheadBytes  = 1 << 20 // for one connection
	defaultTotalBudget = 4 << 20 // for all connections
)

// readAheadBudget limits the memory of the bytes that are read ahead on all connections.
type readAheadBudget struct{ available atomic.Int64 }

// reserve takes n bytes of the budget, and reports whether they were available.
func (b *readAheadBudget) reserve(n int) bool {
	if b.available.Add(-int64(n)) < 0 {
		b.available.Add(int64(n))
		return false
	}
	return true
}

func (b *readAheadBudget) release(n int) { b.available.Add(int64(n)) }

// SetReadAheadBudget sets how many bytes may be read ahead on all connections together. It must be called
// before Accept.
func (l *Listener) SetReadAheadBudget(bytes int64) { l.readAhead.available.Store(bytes) }

// ReadAheadAvailable returns how many more bytes may be read ahead.
func (l *Listener) ReadAheadAvailable() int64 { return l.readAhead.available.Load() }

// readAhead is what has arrived on a connection beyond the bytes that net/http has read. The end of a
// connection is behind its unread bytes: while they fill the socket's buffer, the client's system cannot
// even send it. So they are read while a request is in flight.
type readAhead struct {
	bytes    []byte // not yet passed on
	reserved int    // bytes of the budget that are taken; the capacity of the buffer
	err      error  // of the read after these bytes; nil if the connection was open
}

// readUnread reads what has arrived on the connection, within the limits. It returns false if the client has
// closed its sending side or the connection is broken. The caller holds c.mu.
func (c *Conn) readUnread(fd uintptr) (open bool) {
	for c.ahead.err == nil && c.growAhead() {
		free := c.ahead.bytes[len(c.ahead.bytes):cap(c.ahead.bytes)]
		n, err := faultinject.Read(int(fd), free)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			c.releaseEmptyAhead()
			return true
		case err != nil:
			c.ahead.err = c.readFailure(err)
		case n == 0:
			c.ahead.err = io.EOF
		default:
			c.ahead.bytes = c.ahead.bytes[:len(c.ahead.bytes)+n]
		}
	}
	return c.ahead.err == nil
}

// growAhead makes room for the next read, and reports whether the limits allow that. The caller holds c.mu.
func (c *Conn) growAhead() bool {
	if len(c.ahead.bytes) < cap(c.ahead.bytes) {
		return true
	}
	size := max(minReadAheadBuffer, 2*cap(c.ahead.bytes))
	if size > maxReadAheadBytes || !c.listener.readAhead.reserve(size) {
		return false
	}
	next := make([]byte, len(c.ahead.bytes), size)
	copy(next, c.ahead.bytes)
	c.listener.readAhead.release(c.ahead.reserved)
	c.ahead.bytes, c.ahead.reserved = next, size
	return true
}

// takeAhead passes on bytes that were read ahead, or the error after them. It returns false if there is
// neither. The caller holds c.mu.
func (c *Conn) takeAhead(p []byte) (n int, ok bool, err error) {
	if len(c.ahead.bytes) == 0 {
		return 0, c.ahead.err != nil, c.ahead.err
	}
	n = copy(p, c.ahead.bytes)
	c.ahead.bytes = c.ahead.bytes[n:]
	c.releaseEmptyAhead()
	return n, true, nil
}

// releaseEmptyAhead frees the buffer once all its bytes are passed on. The caller holds c.mu.
func (c *Conn) releaseEmptyAhead() {
	if len(c.ahead.bytes) == 0 {
		c.releaseAhead()
	}
}

// releaseAhead frees the buffer. The caller holds c.mu.
func (c *Conn) releaseAhead() {
	c.listener.readAhead.release(c.ahead.reserved)
	c.ahead.bytes, c.ahead.reserved = nil, 0
}
