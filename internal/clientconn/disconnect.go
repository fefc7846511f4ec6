package clientconn

import (
	"context"
	"net"
	"syscall"
	"time"
	"unsafe"
)

// pollInterval is the interval at which a connection with pipelined bytes is checked for a disconnect
// while its request is in flight. It is below 100 ms because no attempt may begin 100 ms after the
// client has disconnected.
const pollInterval = 40 * time.Millisecond

type connKey struct{}

// ConnContext is an http.Server.ConnContext. It returns a context for the connection's requests that is
// cancelled when a disconnect of the client is detected. net/http reads only the first byte of the next
// request, so it doesn't detect the disconnect of a client that has sent more than that.
func (l *Listener) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	c, ok := nc.(*Conn)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	c.cancelRequests = cancel
	c.mu.Unlock()
	return context.WithValue(ctx, connKey{}, c)
}

// Disconnected reports whether the client of a request has disconnected. It does not block, and may be called
// from any goroutine while the request is in flight.
func Disconnected(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	return ok && c.peerHungUp()
}

// NothingReadAhead reports whether no byte has been read beyond the complete request in flight. Only
// then may the response contain "Connection: close": net/http would discard the bytes read ahead.
func NothingReadAhead(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.frame.complete <= c.answered+1 && c.frame.betweenRequests()
}

// pollIfPipelined schedules pollPeer if the client has sent bytes beyond the request in flight. The
// caller holds c.mu.
func (c *Conn) pollIfPipelined() {
	if c.pipelined() && !c.polling && !c.closing {
		c.polling = true
		time.AfterFunc(pollInterval, c.pollPeer)
	}
}

// pipelined reports whether the client has sent bytes beyond the request in flight. The caller holds c.mu.
func (c *Conn) pipelined() bool {
	inFlight := c.frame.complete > c.answered
	return c.frame.complete > c.answered+1 || inFlight && (c.unreadAtShutdown || !c.frame.betweenRequests())
}

// pollPeer cancels the connection's requests if the client has disconnected, and otherwise schedules the
// next poll.
func (c *Conn) pollPeer() {
	hungUp := c.peerHungUp()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.polling = false; hungUp {
		c.peerClosed = true
		if c.cancelRequests != nil {
			c.cancelRequests()
		}
		return
	}
	c.pollIfPipelined()
}

// pollFd is struct pollfd of ppoll(2).
type pollFd struct {
	fd              int32
	events, revents int16
}

// Event bits of poll(2), which package syscall does not define.
const (
	pollErr   = 0x8
	pollHup   = 0x10
	pollRdHup = 0x2000
)

// peerHungUp reports whether the client has closed its sending side or the connection is broken, even
// if unread bytes precede that.
func (c *Conn) peerHungUp() bool {
	if c.raw == nil {
		return false
	}
	open := true
	err := c.raw.Control(func(fd uintptr) {
		if open = !socketHungUp(fd); open {
			c.mu.Lock()
			defer c.mu.Unlock()
			open = !c.mayReadAhead() || c.readUnread(fd)
		}
	})
	return err != nil || !open
}

// mayReadAhead reports whether bytes that have arrived may be read ahead: they belong to a request after the
// one in flight. The caller holds c.mu.
func (c *Conn) mayReadAhead() bool { return c.pipelined() && !c.closing && !c.malformed }

// socketHungUp reports whether the peer of a socket has closed its sending side, or the connection is broken.
func socketHungUp(fd uintptr) bool {
	poll := pollFd{fd: int32(fd), events: pollRdHup}
	var noWait syscall.Timespec
	n, _, errno := syscall.Syscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&poll)), 1, uintptr(unsafe.Pointer(&noWait)), 0, 0, 0)
	for errno == syscall.EINTR {
		n, _, errno = syscall.Syscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&poll)), 1, uintptr(unsafe.Pointer(&noWait)), 0, 0, 0)
	}
	return errno == 0 && n > 0 && poll.revents&(pollRdHup|pollHup|pollErr) != 0
}
