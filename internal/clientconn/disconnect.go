package clientconn

import (
	"context"
	"net"
	"syscall"
	"time"
	"unsafe"
)

// pollInterval is how often the connection of a client that has sent ahead is checked while its request
// is in flight: no attempt may begin 100 ms after the client has disconnected.
const pollInterval = 40 * time.Millisecond

type connKey struct{}

// ConnContext is an http.Server.ConnContext: the context of a connection's requests ends once its
// client is known to have disconnected. net/http itself reads no further than the first byte of the
// next request, so that it never sees the disconnect of a client that has sent more.
func (l *Listener) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	c, ok := nc.(*Conn)
	if !ok {
		return ctx
	}
	ctx, stop := context.WithCancel(ctx)
	c.mu.Lock()
	c.cancelRequests = stop
	c.mu.Unlock()
	return context.WithValue(ctx, connKey{}, c)
}

// clientGone reports whether the client of a request has disconnected: a request may have waited to be
// read for longer than its client waited for a response.
func clientGone(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	return ok && c.peerHungUp()
}

// NothingReadAhead reports whether nothing has been read beyond the complete request in flight. Only then
// may its response announce the connection's end: net/http would discard what it has read.
func NothingReadAhead(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.frame.complete <= c.answered+1 && c.frame.betweenRequests()
}

// pollIfAhead has the connection polled if the client has sent more than the request in flight. The
// lock is held.
func (c *Conn) pollIfAhead() {
	inHand := c.frame.complete > c.answered
	ahead := c.frame.complete > c.answered+1 || inHand && (c.unreadAtShutdown || !c.frame.betweenRequests())
	if ahead && !c.polling && !c.closing {
		c.polling = true
		time.AfterFunc(pollInterval, c.pollPeer)
	}
}

func (c *Conn) pollPeer() {
	gone := c.peerHungUp()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.polling = false; gone {
		c.peerClosed = true
		if c.cancelRequests != nil {
			c.cancelRequests()
		}
		return
	}
	c.pollIfAhead()
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

// peerHungUp reports whether the client has closed its side or the connection is broken, regardless of
// unread bytes before that.
func (c *Conn) peerHungUp() bool {
	if c.raw == nil {
		return false
	}
	is := false
	err := c.raw.Control(func(fd uintptr) {
		at := pollFd{fd: int32(fd), events: pollRdHup}
		var now syscall.Timespec
		n, _, no := syscall.Syscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&at)), 1, uintptr(unsafe.Pointer(&now)), 0, 0, 0)
		for no == syscall.EINTR {
			n, _, no = syscall.Syscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&at)), 1, uintptr(unsafe.Pointer(&now)), 0, 0, 0)
		}
		is = no == 0 && n > 0 && at.revents&(pollRdHup|pollHup|pollErr) != 0
	})
	return err != nil || is
}
