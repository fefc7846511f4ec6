package accept

import (
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
)

// failing is a listener that fails before each connection, then for good.
type failing struct {
	errs []error
	made []net.Conn
}

func (f *failing) Accept() (net.Conn, error) {
	if len(f.errs) > 0 {
		err := f.errs[0]
		f.errs = f.errs[1:]
		return nil, err
	}
	if len(f.made) > 0 {
		c := f.made[0]
		f.made = f.made[1:]
		return c, nil
	}
	return nil, &net.OpError{Op: "accept", Err: net.ErrClosed}
}

func (f *failing) Close() error   { return nil }
func (f *failing) Addr() net.Addr { return &net.TCPAddr{} }

// errno is how the net package words what accept returned.
func errno(e syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", e)}
}

// Every error that accept(2) documents and that passes is passed over; room is made where
// descriptors or memory are short; what is for good ends it.
func TestAcceptPassesErrorsOver(t *testing.T) {
	passing := []syscall.Errno{
		syscall.ECONNABORTED, syscall.EINTR, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
		syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ECONNRESET,
	}
	inner := &failing{made: []net.Conn{&net.TCPConn{}}}
	for _, e := range passing {
		inner.errs = append(inner.errs, errno(e))
	}
	l := New(inner, slog.New(slog.DiscardHandler))
	room := 0
	l.OnExhausted = func() { room++ }
	if c, err := l.Accept(); c == nil || err != nil {
		t.Errorf("%v, %v", c, err)
	}
	if room != 4 {
		t.Errorf("room made %d times, want 4", room)
	}
	if _, err := l.Accept(); !Permanent(err) {
		t.Errorf("a closed listener: %v", err)
	}
	for _, e := range []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		inner.errs = []error{errno(e)}
		if _, err := l.Accept(); !Permanent(err) {
			t.Errorf("%v: %v", e, err)
		}
	}
}
