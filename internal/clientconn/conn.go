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

// Responses to requests of which only a part has arrived when their connection is closed.
const (
	requestTimeout     = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	serviceUnavailable = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// respondToPartial writes text as the response to a request whose head has arrived only in part, and
// reports whether there is such a request. The caller then closes the connection; net/http would close
// many of these connections without a response.
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

// responseWriteTimeout is the timeout for writing one of the short responses to the socket's buffer.
const responseWriteTimeout = 10 * time.Millisecond

// Conn is a client connection.
type Conn struct {
	net.Conn
	listener *Listener
	raw      syscall.RawConn // nil if the connection doesn't implement syscall.Conn

	mu               sync.Mutex
	frame            framing
	answered         int // requests that have had their response
	opened           time.Time
	idleSince        time.Time // when the connection was accepted, or its last response was written
	malformed        bool
	replacement      []byte // bytes that net/http reads in place of malformed ones
	received         bool   // at least one byte has been read
	unreadAtShutdown bool   // bytes have arrived during the shutdown and are not read
	peerClosed       bool   // the client has closed its sending side, or the connection is broken
	readClosed       bool   // no further byte is read: the client must resend it on another connection
	writeClosed      bool   // net/http has closed the sending side and waits before it calls Close
	closing          bool   // Close has been called
	polling          bool   // pollPeer is scheduled; see pollIfPipelined
	requestExpired   bool   // its request was incomplete at the deadline and is rejected
	cancelRequests   func() // cancels the context of its requests; nil if there is none
	reason           CloseReason
	recorded         bool // the close has been recorded
	ahead            readAhead

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

// requestAnswered records that a request has had its response, and reports whether that was the last
// response on the connection: the connection is not reusable, and no byte of another request has been
// read.
func (c *Conn) requestAnswered(reusable bool) (last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered++
	c.idleSince = time.Now()
	if last = !reusable && c.frame.betweenRequests() && c.frame.complete <= c.answered; last {
		c.readClosed = true
		c.setReason(ClosedAfterLastAnswer)
	}
	return last
}

// idleness returns the connection's idle time and eviction rank. It returns false if a complete request
// is in flight, in which case the connection must not be evicted.
func (c *Conn) idleness(now time.Time) (idleness, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frame.complete > c.answered && !c.closing {
		return idleness{}, false
	}
	idle := idleness{evictionRank: 2, age: now.Sub(c.idleSince), betweenRequests: c.frame.betweenRequests() && !c.malformed}
	switch {
	case c.readClosed || c.answered == 0 && idle.age > newConnectionGrace:
		idle.evictionRank = 0
	case idle.age > idleGrace:
		idle.evictionRank = 1
	}
	return idle, true
}

// Read implements net.Conn. It replaces a request with ambiguous framing by bytes that net/http can't
// parse, and reads nothing after them: net/http responds with status 400 and closes the connection.
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
		c.readBuffer = nil // net/http owns the buffer and reuses it after Read
		if !c.malformed || c.readCount > 0 {
			return c.readCount, c.readErr
		}
	}
}

// readTimedOut responds to a request whose head was incomplete when the read deadline passed. If it is
// the body that is incomplete, Read returns the error to the handler that reads it.
func (c *Conn) readTimedOut() {
	c.mu.Lock()
	expired := c.requestExpired
	c.mu.Unlock()
	text, reason := requestTimeout, ClosedSlowRequest
	if expired {
		text, reason = serviceUnavailable, ClosedRequestExpired
	}
	if c.respondToPartial(text, reason) {
		_ = c.Close() // otherwise net/http would write a second response to some of these requests
	}
}

// readError returns ErrRequestExpired if the read timed out because its request is rejected, and err
// otherwise.
func (c *Conn) readError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestExpired {
		return ErrRequestExpired
	}
	return err
}

// readAvailable reads the bytes that have arrived, without blocking; it returns false if there are
// none. It reads and updates the framing in one critical section, so that a connection is never closed
// for reading after a request's bytes are read and before they count as a request in flight.
func (c *Conn) readAvailable(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readClosed {
		c.readCount, c.readErr = 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: net.ErrClosed}
		return true
	}
	if c.requestExpired { // another read would accept a request that has been rejected
		c.readCount, c.readErr = 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: ErrRequestExpired}
		return true
	}
	if c.lastRequestInFlight() && (len(c.ahead.bytes) > 0 || socketHasUnread(fd)) {
		c.unreadAtShutdown = true
		c.pollIfPipelined()
		return false
	}
	if n, ok, err := c.takeAhead(c.readBuffer); ok {
		c.trackFrames(n, err)
		return true
	}
	n, err := faultinject.Read(int(fd), c.readBuffer)
	for errors.Is(err, syscall.EINTR) {
		n, err = faultinject.Read(int(fd), c.readBuffer)
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return false
	case err != nil:
		err = c.readFailure(err)
	case n == 0 && len(c.readBuffer) > 0:
		err = io.EOF
	}
	c.trackFrames(max(n, 0), err)
	return true
}

// readFailure returns the error of a failed read of the socket.
func (c *Conn) readFailure(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
}

// lastRequestInFlight reports whether the connection will be closed after the response to the request
// in flight. While a request is in flight, net/http reads the first byte of the next one. That byte
// would count as the beginning of a request and prolong the shutdown. The caller holds c.mu.
func (c *Conn) lastRequestInFlight() bool {
	return !c.listener.service.Load().KeepAlive && c.frame.complete > c.answered && c.frame.betweenRequests()
}

// trackFrames updates the framing with the n bytes that have been read. The caller holds c.mu.
func (c *Conn) trackFrames(n int, err error) {
	c.received = c.received || n > 0
	valid, framingErr := c.frame.advance(c.readBuffer[:n])
	if c.readCount, c.readErr = n, err; framingErr != nil {
		c.malformed, c.replacement = true, []byte("\x00\r\n\r\n")
		c.readCount, c.readErr = valid, nil
	}
	c.pollIfPipelined()
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) { // ETIMEDOUT is not a read deadline of the server
		c.peerClosed = true
	}
}

// closeReadIfIdle closes a connection for reading if no request is in flight or arriving, and reports
// whether the connection is closed for reading.
func (c *Conn) closeReadIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readClosed || c.closing { // a closing connection that still lingers may be evicted
		return true
	}
	if c.frame.complete > c.answered || !c.frame.betweenRequests() || c.malformed || c.hasUnread() {
		return false
	}
	c.readClosed = true
	return true
}

// CloseWrite closes only the sending side, so that a client that is still sending can read its error
// response. net/http uses this method if a connection has it.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	c.readClosed, c.writeClosed = true, true
	c.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection. If its client may still be sending, Close closes only the sending side,
// and the connection lingerTime later: closing a connection with unread bytes resets it, and the client
// may lose a response that it has not read yet.
func (c *Conn) Close() error {
	c.mu.Lock()
	linger := !c.writeClosed && !c.peerClosed && c.received
	alreadyClosing := c.closing
	c.readClosed, c.closing = true, true
	c.mu.Unlock()
	if alreadyClosing {
		return nil
	}
	half, supported := c.Conn.(interface{ CloseWrite() error })
	if !linger || !supported || half.CloseWrite() != nil {
		return c.closeNow()
	}
	_ = c.SetReadDeadline(time.Now()) // unblocks a pending Read
	time.AfterFunc(lingerTime, func() { _ = c.closeNow() })
	return nil
}

// closeNow closes the connection without lingering, and frees its slot.
func (c *Conn) closeNow() error {
	c.listener.remove(c)
	c.mu.Lock()
	cancel := c.cancelRequests
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	c.recordClose()
	return c.closeSocket()
}

// closeSocket closes the socket and frees what was read ahead.
func (c *Conn) closeSocket() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseAhead()
	return err
}

// hasUnread reports whether bytes have arrived that net/http has not read. The caller holds c.mu.
func (c *Conn) hasUnread() bool { return len(c.ahead.bytes) > 0 || hasUnreadBytes(c.Conn) }

// hasUnreadBytes reports whether bytes have arrived that have not been read. It uses RawConn.Control
// because the server's blocking read holds the lock that RawConn.Read needs.
func hasUnreadBytes(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) { unread = socketHasUnread(fd) })
	return err == nil && unread
}

// socketHasUnread reports whether a socket has unread bytes. If the system call fails for lack of
// memory, it assumes that there are some: closing with unread bytes would reset the connection while a
// request is arriving.
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
