package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wellgw/internal/core"
)

// attemptHandle is an attempt in flight. The function that clears conn must close or pool the
// connection.
type attemptHandle struct {
	mu      sync.Mutex
	conn    *conn
	closed  bool
	writing bool // the first byte may have been written
	cancel  context.CancelFunc
	pool    *Pool

	firstByte atomic.Pointer[core.FirstByte] // nil until a byte has arrived
}

// FirstByte implements core.Handle.
func (t *attemptHandle) FirstByte() (core.FirstByte, bool) {
	first := t.firstByte.Load()
	if first == nil {
		return core.FirstByte{}, false
	}
	return *first, true
}

// recordFirstByte records that the response to the attempt has begun to arrive on its connection.
func (t *attemptHandle) recordFirstByte(c *conn) {
	t.firstByte.CompareAndSwap(nil, &core.FirstByte{Connection: c.id, At: time.Now()})
}

// setConn records the connection in use. It returns false if the attempt has been cancelled.
func (t *attemptHandle) setConn(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = c
	return !t.closed
}

// beginWrite records that the first byte is about to be written. It returns false if the attempt
// has been cancelled.
func (t *attemptHandle) beginWrite() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writing = !t.closed
	return t.writing
}

// dropUnwritten closes the connection, to which nothing has been written.
func (t *attemptHandle) dropUnwritten() {
	t.mu.Lock()
	c := t.conn
	t.conn, t.writing = nil, false
	t.mu.Unlock()
	if c != nil {
		t.pool.discard(c, closedByEngine)
	}
}

// Cancel implements core.Handle.
func (t *attemptHandle) Cancel() { t.abort() }

// Withdraw implements core.Handle.
func (t *attemptHandle) Withdraw() bool {
	t.mu.Lock()
	writing := t.writing
	t.closed = t.closed || !writing
	t.mu.Unlock()
	if !writing {
		t.abort()
	}
	return !writing
}

// abort cancels the attempt. The engine notices the cancellation by the close of the connection.
func (t *attemptHandle) abort() {
	t.mu.Lock()
	c := t.conn
	t.conn, t.closed = nil, true
	t.mu.Unlock()
	t.cancel()
	if c != nil {
		t.pool.discard(c, closedAbandoned)
	}
}

// endAttempt ends the attempt. With reuse, its connection returns to the pool; otherwise it is
// closed. After abort there is no connection.
func (t *attemptHandle) endAttempt(reuse bool) {
	t.mu.Lock()
	c := t.conn
	t.conn, t.closed = nil, true
	t.mu.Unlock()
	t.cancel()
	switch {
	case c == nil:
	case reuse:
		t.pool.put(c)
	default:
		t.pool.discard(c, closedFailed)
	}
}
