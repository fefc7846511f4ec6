package accept

import (
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
)

// fakeListener returns errs, then conns, and then a permanent error.
type fakeListener struct {
	errs  []error
	conns []net.Conn
}

func (f *fakeListener) Accept() (net.Conn, error) {
	if len(f.errs) > 0 {
		err := f.errs[0]
		f.errs = f.errs[1:]
		return nil, err
	}
	if len(f.conns) > 0 {
		c := f.conns[0]
		f.conns = f.conns[1:]
		return c, nil
	}
	return nil, &net.OpError{Op: "accept", Err: net.ErrClosed}
}

func (f *fakeListener) Close() error   { return nil }
func (f *fakeListener) Addr() net.Addr { return &net.TCPAddr{} }

// acceptError wraps an error number of accept as the net package does.
func acceptError(e syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", e)}
}

// Accept retries after every transient error that accept(2) documents, calls OnExhausted if descriptors or
// memory are exhausted, and returns a permanent error.
func TestAcceptRetriesTransientErrors(t *testing.T) {
	transient := []syscall.Errno{
		syscall.ECONNABORTED, syscall.EINTR, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
		syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ECONNRESET,
	}
	inner := &fakeListener{conns: []net.Conn{&net.TCPConn{}}}
	for _, e := range transient {
		inner.errs = append(inner.errs, acceptError(e))
	}
	l := New(inner, slog.New(slog.DiscardHandler))
	exhausted := 0
	l.OnExhausted = func() { exhausted++ }
	if c, err := l.Accept(); c == nil || err != nil {
		t.Errorf("Accept: %v, %v, want a connection", c, err)
	}
	if exhausted != 4 {
		t.Errorf("OnExhausted called %d times, want 4", exhausted)
	}
	if _, err := l.Accept(); !Permanent(err) {
		t.Errorf("closed listener: %v, want a permanent error", err)
	}
	for _, e := range []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		inner.errs = []error{acceptError(e)}
		if _, err := l.Accept(); !Permanent(err) {
			t.Errorf("%v: %v, want a permanent error", e, err)
		}
	}
}
