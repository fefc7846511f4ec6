package clientconn

import (
	"context"
	"net"
	"syscall"
	"time"
	"unsafe"
)

// lookEvery is how often a client that has sent ahead is looked at while its request is in
// hand: a request that nobody waits for must not be sent on 100 ms later.
const lookEvery = 40 * time.Millisecond

type connKey struct{}

// ConnContext is net/http's: the context of a connection's requests ends once its client is
// known to have gone. net/http itself reads on only to the first byte of a next request, so
// that it never sees the end of a client that has sent more.
func (l *Listener) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	c, ok := nc.(*Conn)
	if !ok {
		return ctx
	}
	ctx, stop := context.WithCancel(ctx)
	c.mu.Lock()
	c.stop = stop
	c.mu.Unlock()
	return context.WithValue(ctx, connKey{}, c)
}

// left tells whether the client of a request has gone, by its connection as it is now: a
// request may have waited to be read for longer than its client waited for an answer.
func left(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	return ok && c.hungUp()
}

// NothingAhead tells whether the request in hand, whole, is all that has been read. Only then may its
// answer say that the connection ends with it: net/http would close over what it has read.
func NothingAhead(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.frame.complete <= c.answered+1 && c.frame.between()
}

// watch has the client looked at where it has sent more than the request in hand. The lock
// is held.
func (c *Conn) watch() {
	inHand := c.frame.complete > c.answered
	ahead := c.frame.complete > c.answered+1 || inHand && (c.leftOver || !c.frame.between())
	if ahead && !c.watched && !c.closing {
		c.watched = true
		time.AfterFunc(lookEvery, c.look)
	}
}

func (c *Conn) look() {
	gone := c.hungUp()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watched = false; gone {
		c.gone = true
		if c.stop != nil {
			c.stop()
		}
		return
	}
	c.watch()
}

// pollFd is the system's: what is asked of a descriptor, and what it said.
type pollFd struct {
	fd             int32
	events, answer int16
}

// The system's names for what poll tells; syscall has none for them.
const (
	pollErr   = 0x8
	pollHup   = 0x10
	pollRdHup = 0x2000
)

// hungUp tells whether the client has ended its sending or the connection is broken,
// whatever has come before that and is not read.
func (c *Conn) hungUp() bool {
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
		is = no == 0 && n > 0 && at.answer&(pollRdHup|pollHup|pollErr) != 0
	})
	return err != nil || is
}
