package upstream

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
	"unsafe"
)

// openAndEmpty reports whether a connection is open with nothing to read. A connection that its
// engine has closed, or on which it has sent unexpected bytes, is not reused.
func openAndEmpty(nc net.Conn) bool {
	var b [1]byte
	sc, ok := nc.(syscall.Conn)
	if !ok { // not backed by a socket: read without blocking
		if nc.SetReadDeadline(time.Now()) != nil {
			return false
		}
		_, err := nc.Read(b[:])
		return errors.Is(err, os.ErrDeadlineExceeded) && nc.SetReadDeadline(time.Time{}) == nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// acknowledger is a connection that is not backed by a socket and counts the bytes that the other
// end has not acknowledged.
type acknowledger interface {
	// Unacknowledged returns the number of written bytes that the other end has not acknowledged.
	Unacknowledged() int
}

// unacknowledged returns the number of written bytes that the engine's end has not acknowledged; 0
// if that is unknown. An engine's response acknowledges what the engine has received before it.
func unacknowledged(nc net.Conn) int {
	if a, ok := nc.(acknowledger); ok {
		return a.Unacknowledged()
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	count := 0
	err = raw.Control(func(fd uintptr) {
		var n int32
		if _, _, e := syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&n))); e == 0 { // see tcp(7)
			count = int(n)
		}
	})
	if err != nil {
		return 0
	}
	return count
}

// respondedBeforeCall reports whether the bytes to read on a connection were sent before any byte of
// the last call arrived at the engine, so that they belong to an earlier call.
func (c *conn) respondedBeforeCall() bool {
	return c.reused && c.callSize > 0 && unacknowledged(c.Conn) >= c.callSize
}
