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

// Responses to requests that have arrived in part and are not waited for any longer.
const (
	requestTimeout     = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	serviceUnavailable = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// respondToPartial responds to a request whose head has arrived in part, before its connection is
// closed, and reports whether there was one: net/http would close many without a response.
func (c *Conn) respondToPartial(text string, reason CloseReason) bool {
	c.mu.Lock()
	partial := !c.readClosed && !c.closing && !c.malformed && c.frame.complete == c.answered && c.frame.partialHead()
	if c.readClosed = c.readClosed || partial; partial || reason == ClosedEvicted {
		c.setReason(reason)
	}
	c.mu.Unlock()
	if !partial {
		return false
	}
	_ = c.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	_, _ = io.WriteString(c.Conn, text)
	return true
}

// responseWriteTimeout is the timeout for writing a response of a few bytes to the socket's buffer.
const responseWriteTimeout = 10 * time.Millisecond

// Conn is a client's connection.
type Conn struct {
	net.Conn
	listener *Listener
	raw      syscall.RawConn // nil for a connection that is not the system's

	mu               sync.Mutex
	frame            framing
	answered         int // requests of frame that have been answered
	opened           time.Time
	idleSince        time.Time // the connection was accepted, or its last response was written
	malformed        bool
	replacement      []byte // what net/http reads in place of malformed bytes
	received         bool   // a byte has been read
	unreadAtShutdown bool   // bytes have arrived that are not read because of the shutdown
	peerClosed       bool   // the client has closed its side, or the connection is broken
	readClosed       bool   // nothing more is read: the client has to send it elsewhere
	writeClosed      bool   // net/http has closed the sending side and waits
	closing          bool   // Close has been called
	polling          bool   // pollPeer is scheduled; see pollIfAhead
	requestExpired   bool   // its request was not complete in time and is rejected
	cancelRequests   func() // cancels the context of its requests; nil for none
	reason           CloseReason
	recorded         bool // the close has been recorded

	// State of the read in progress; there is one at a time.
	readFunc   func(fd uintptr) bool
	readBuffer []byte
	readCount  int
	readErr    error
}

func newConn(nc net.Conn, l *Listener) *Conn {
	c := &Conn{Conn: nc, listener: l, opened: time.Now()}
	c.idleSince = c.opened
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	c.readFunc = c.readAvailable
	return c
}

// requestAnswered records that a request has had its response, and reports whether that was the
// connection's last: it is not reusable, and nothing has been read beyond the request.
func (c *Conn) requestAnswered(reusable bool) (over bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered++
	c.idleSince = time.Now()
	if over = !reusable && c.frame.betweenRequests() && c.frame.complete <= c.answered; over {
		c.readClosed = true
		c.setReason(ClosedAfterLastAnswer)
	}
	return over
}

// idleness returns how long the connection has been without a request in flight, and whether it has
// none.
func (c *Conn) idleness(now time.Time) (idleness, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frame.complete > c.answered && !c.closing {
		return idleness{}, false
	}
	w := idleness{evictionRank: 2, age: now.Sub(c.idleSince), betweenRequests: c.frame.betweenRequests() && !c.malformed}
	switch {
	case c.readClosed || c.answered == 0 && w.age > newConnectionGrace:
		w.evictionRank = 0
	case w.age > idleGrace:
		w.evictionRank = 1
	}
	return w, true
}

// Read implements net.Conn. A request with ambiguous framing is replaced by one that net/http can't
// parse, and nothing is read after it: net/http responds 400 and closes.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		if c.malformed {
			n := copy(p, c.replacement)
			if c.replacement = c.replacement[n:]; n == 0 && len(p) > 0 {
				return 0, io.EOF
			}
			return n, nil
		}
		c.readBuffer = p
		if c.raw == nil {
			n, err := c.Conn.Read(p)
			c.mu.Lock()
			if c.trackFrames(n, err); c.readClosed {
				c.readCount, c.readErr = 0, net.ErrClosed
			}
			c.mu.Unlock()
		} else if err := c.raw.Read(c.readFunc); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.readTimedOut()
				err = c.readError(err)
			}
			return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
		}
		c.readBuffer = nil // net/http owns the buffer and reuses it
		if !c.malformed || c.readCount > 0 {
			return c.readCount, c.readErr
		}
	}
}

// readTimedOut responds to a request whose head was not complete in time. For a body, Read returns the
// error to its reader.
func (c *Conn) readTimedOut() {
	c.mu.Lock()
	overdue := c.requestExpired
	c.mu.Unlock()
	text, reason := requestTimeout, ClosedSlowRequest
	if overdue {
		text, reason = serviceUnavailable, ClosedRequestExpired
	}
	if c.respondToPartial(text, reason) {
		_ = c.Close() // net/http would respond to some of these as well
	}
}

// readError returns ErrRequestExpired for a read that was ended because its request is rejected.
func (c *Conn) readError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestExpired {
		return ErrRequestExpired
	}
	return err
}

// readAvailable reads what has arrived. Bytes count as part of a request in flight from the moment
// they are read: a connection is closed for reading before that, or not at all.
func (c *Conn) readAvailable(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readClosed {
		c.readCount, c.readErr = 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: net.ErrClosed}
		return true
	}
	if c.requestExpired { // reading on would accept a request that has been rejected
		c.readCount, c.readErr = 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: ErrRequestExpired}
		return true
	}
	if c.lastRequestInFlight() && socketHasUnread(fd) {
		c.unreadAtShutdown = true
		c.pollIfAhead()
		return false
	}
	n, err := faultinject.Read(int(fd), c.readBuffer)
	for errors.Is(err, syscall.EINTR) {
		n, err = faultinject.Read(int(fd), c.readBuffer)
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return false
	case err != nil:
		err = &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0 && len(c.readBuffer) > 0:
		err = io.EOF
	}
	c.trackFrames(max(n, 0), err)
	return true
}

// lastRequestInFlight reports whether the connection ends with the response to the request in flight.
// net/http reads the first byte of the next request while one is in flight: that byte would count as
// the beginning of a request and keep the connection open beyond the shutdown. The lock is held.
func (c *Conn) lastRequestInFlight() bool {
	return !c.listener.service.Load().KeepAlive && c.frame.complete > c.answered && c.frame.betweenRequests()
}

// trackFrames follows the framing of what has been read. The lock is held.
func (c *Conn) trackFrames(n int, err error) {
	c.received = c.received || n > 0
	good, ferr := c.frame.advance(c.readBuffer[:n])
	if c.readCount, c.readErr = n, err; ferr != nil {
		c.malformed, c.replacement = true, []byte("\x00\r\n\r\n")
		c.readCount, c.readErr = good, nil
	}
	c.pollIfAhead()
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) { // ETIMEDOUT is not a deadline of ours
		c.peerClosed = true
	}
}

// shutIfIdle closes a connection for reading if no request is in flight or arriving, and reports
// whether it did.
func (c *Conn) shutIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readClosed || c.closing { // a lingering connection may be evicted
		return true
	}
	if c.frame.complete > c.answered || !c.frame.betweenRequests() || c.malformed || hasUnreadBytes(c.Conn) {
		return false
	}
	c.readClosed = true
	return true
}

// CloseWrite closes the sending side alone, so that a client that is still sending can read its
// error. net/http checks for this method.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	c.readClosed, c.writeClosed = true, true
	c.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection. If its client may still be sending, only the sending side is closed at
// first: closing with unread bytes resets the connection, and its client may lose a response that it
// has not read yet.
func (c *Conn) Close() error {
	c.mu.Lock()
	linger := !c.writeClosed && !c.peerClosed && c.received
	again := c.closing
	c.readClosed, c.closing = true, true
	c.mu.Unlock()
	if again {
		return nil
	}
	half, can := c.Conn.(interface{ CloseWrite() error })
	if !linger || !can || half.CloseWrite() != nil {
		return c.closeNow()
	}
	_ = c.SetReadDeadline(time.Now()) // wakes the reader
	time.AfterFunc(lingerTime, func() { _ = c.closeNow() })
	return nil
}

// closeNow closes the connection and frees its slot.
func (c *Conn) closeNow() error {
	c.listener.remove(c)
	c.mu.Lock()
	stop := c.cancelRequests
	c.mu.Unlock()
	if stop != nil {
		stop()
	}
	c.recordClose()
	return c.Conn.Close()
}

// hasUnreadBytes reports whether bytes have arrived that have not been read. It uses Control, as the
// server's own blocking read holds the lock that Read would need.
func hasUnreadBytes(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	some := false
	err = raw.Control(func(fd uintptr) { some = socketHasUnread(fd) })
	return err == nil && some
}

// socketHasUnread reports whether a socket holds unread bytes. If the system can't say, for example for
// lack of memory, they are assumed to exist: closing with unread bytes would reset the connection
// under a request.
func socketHasUnread(fd uintptr) bool {
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
