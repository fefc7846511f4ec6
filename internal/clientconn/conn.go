package clientconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"wellgw/internal/faultinject"
)

// What a client is told whose request began to come and is not waited for any longer.
const (
	requestTimeout = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noRoom         = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// answerPartial answers a request whose head has come in part, before its connection is
// closed, and tells whether there was one: net/http would close many without a word.
func (c *Conn) answerPartial(text string, reason CloseReason) bool {
	c.mu.Lock()
	partial := !c.shut && !c.closing && !c.malformed && c.frame.complete == c.answered && c.frame.partialHead()
	if c.shut = c.shut || partial; partial || reason == ClosedForRoom {
		c.because(reason)
	}
	c.mu.Unlock()
	if !partial {
		return false
	}
	_ = c.SetWriteDeadline(time.Now().Add(answerWithin))
	_, _ = io.WriteString(c.Conn, text)
	return true
}

// answerWithin is how long an answer of a few bytes may take to reach the system's buffer.
const answerWithin = 10 * time.Millisecond

// Conn is a client's connection.
type Conn struct {
	net.Conn
	from *Listener
	raw  syscall.RawConn // nil for a connection of another make than the system's

	mu          sync.Mutex
	frame       framing
	answered    int // of the requests in frame
	opened      time.Time
	since       time.Time // the connection came, or its last answer left
	malformed   bool
	replacement []byte // what net/http reads in place of what must not be read
	heard       bool   // something has been read
	leftOver    bool   // bytes have come that the shutdown keeps from being read
	gone        bool   // the client has ended its sending, or the connection is broken
	shut        bool   // nothing more is read: what comes is for the client to send again
	half        bool   // net/http has ended the sending and waited
	closing     bool   // Close has been called
	watched     bool   // see watch
	overdue     bool   // its request did not come to its end in time and is refused
	stop        func() // ends the context of its requests; nil for none
	reason      CloseReason
	recorded    bool // its close is

	// Of the read under way; there is one at a time.
	step func(fd uintptr) bool
	into []byte
	read int
	err  error
}

func newConn(nc net.Conn, l *Listener) *Conn {
	c := &Conn{Conn: nc, from: l, opened: time.Now()}
	c.since = c.opened
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	c.step = c.readStep
	return c
}

// answeredOne notes that a request has had its answer, and tells whether that was the connection's
// last: it is not reusable, and nothing has been read beyond.
func (c *Conn) answeredOne(reusable bool) (over bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered++
	c.since = time.Now()
	if over = !reusable && c.frame.between() && c.frame.complete <= c.answered; over {
		c.shut = true
		c.because(ClosedAnswered)
	}
	return over
}

// waits tells how long the connection has been without a request in hand, and
// whether it has none.
func (c *Conn) waits(now time.Time) (wait, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frame.complete > c.answered && !c.closing {
		return wait{}, false
	}
	w := wait{rank: 2, age: now.Sub(c.since), between: c.frame.between() && !c.malformed}
	switch {
	case c.shut || c.answered == 0 && w.age > silentGrace:
		w.rank = 0
	case w.age > idleGrace:
		w.rank = 1
	}
	return w, true
}

// Read reads on. A request that is not framed in one clear way reads as one that
// cannot be read, and nothing is read after it: net/http answers 400 and closes.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		if c.malformed {
			n := copy(p, c.replacement)
			if c.replacement = c.replacement[n:]; n == 0 && len(p) > 0 {
				return 0, io.EOF
			}
			return n, nil
		}
		c.into = p
		if c.raw == nil {
			n, err := c.Conn.Read(p)
			c.mu.Lock()
			if c.take(n, err); c.shut {
				c.read, c.err = 0, net.ErrClosed
			}
			c.mu.Unlock()
		} else if err := c.raw.Read(c.step); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.readTimedOut()
				err = c.readError(err)
			}
			return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
		}
		c.into = nil // it is net/http's, which lends it to others
		if !c.malformed || c.read > 0 {
			return c.read, c.err
		}
	}
}

// readTimedOut answers a request whose head did not come to its end. Of a body its reader learns.
func (c *Conn) readTimedOut() {
	c.mu.Lock()
	overdue := c.overdue
	c.mu.Unlock()
	text, reason := requestTimeout, ClosedSlowRequest
	if overdue {
		text, reason = noRoom, ClosedLate
	}
	if c.answerPartial(text, reason) {
		_ = c.Close() // net/http would answer some of these too
	}
}

// readError names a read that was ended because its request is refused.
func (c *Conn) readError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overdue {
		return ErrLate
	}
	return err
}

// readStep takes what has come. What is read belongs to a request in hand from the same
// moment on: a connection is shut before its bytes are read, or not at all.
func (c *Conn) readStep(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut {
		c.read, c.err = 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: net.ErrClosed}
		return true
	}
	if c.overdue { // nor is one that has been refused read on: it would be taken after all
		c.read, c.err = 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: ErrLate}
		return true
	}
	if c.lastInHand() && hasUnread(fd) {
		c.leftOver = true
		c.watch()
		return false
	}
	n, err := faultinject.Read(int(fd), c.into)
	for errors.Is(err, syscall.EINTR) {
		n, err = faultinject.Read(int(fd), c.into)
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return false
	case err != nil:
		err = &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0 && len(c.into) > 0:
		err = io.EOF
	}
	c.take(max(n, 0), err)
	return true
}

// lastInHand tells whether the connection ends with the answer to the request in hand. net/http
// reads the first byte of a next request while one is in hand: that byte would count as a request
// on its way and keep the connection open beyond the shutdown. The lock is held.
func (c *Conn) lastInHand() bool {
	return !c.from.service.Load().Reusable && c.frame.complete > c.answered && c.frame.between()
}

// take follows the frames of what has been read. The lock is held.
func (c *Conn) take(n int, err error) {
	c.heard = c.heard || n > 0
	good, ferr := c.frame.advance(c.into[:n])
	if c.read, c.err = n, err; ferr != nil {
		c.malformed, c.replacement = true, []byte("\x00\r\n\r\n")
		c.read, c.err = good, nil
	}
	c.watch()
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) { // ETIMEDOUT is no deadline of ours
		c.gone = true
	}
}

// shutIfIdle shuts a connection on which no request is in hand or on its way, and tells
// whether it did.
func (c *Conn) shutIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut || c.closing { // a lingering one gives way to others
		return true
	}
	if c.frame.complete > c.answered || !c.frame.between() || c.malformed || unread(c.Conn) {
		return false
	}
	c.shut = true
	return true
}

// CloseWrite ends the sending alone, so that a client that still sends gets to
// read its error; net/http looks for it.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	c.shut, c.half = true, true
	c.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close ends the connection. Where its client may still send, only the sending ends at
// first: to close over bytes that nobody has read resets a connection, and its client may
// lose an answer that has come but is not read yet.
func (c *Conn) Close() error {
	c.mu.Lock()
	linger := !c.half && !c.gone && c.heard
	again := c.closing
	c.shut, c.closing = true, true
	c.mu.Unlock()
	if again {
		return nil
	}
	half, can := c.Conn.(interface{ CloseWrite() error })
	if !linger || !can || half.CloseWrite() != nil {
		return c.end()
	}
	_ = c.SetReadDeadline(time.Now()) // whoever reads learns of it now
	time.AfterFunc(lingerFor, func() { _ = c.end() })
	return nil
}

// end closes the connection and makes room for another.
func (c *Conn) end() error {
	c.from.remove(c)
	c.mu.Lock()
	stop := c.stop
	c.mu.Unlock()
	if stop != nil {
		stop()
	}
	c.record()
	return c.Conn.Close()
}

// unread tells whether bytes have come that nobody has read. It goes by Control,
// as the server's own read, which waits, holds the lock that Read would want.
func unread(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	some := false
	err = raw.Control(func(fd uintptr) { some = hasUnread(fd) })
	return err == nil && some
}

// hasUnread tells whether a socket holds bytes that nobody has read. Where the system can't tell
// for a moment, such as for want of memory, they are taken to be there: to close over them would
// reset the connection under a request.
func hasUnread(fd uintptr) bool {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case err == nil:
			return n > 0
		}
		return errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ENOBUFS)
	}
}
