package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"wellgw/internal/core"
	"wellgw/routing"
)

// spoilt is a connection whose calls fail as a script says.
type spoilt struct {
	net.Conn
	takes   int   // bytes that are written before writes fail; -1 for all
	writing error // of writes beyond
	reading error
}

func (s *spoilt) Write(p []byte) (int, error) {
	if s.takes < 0 || len(p) <= s.takes {
		if s.takes >= 0 {
			s.takes -= len(p)
		}
		return len(p), nil
	}
	n := s.takes
	s.takes = 0
	return n, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", s.writing)}
}

func (s *spoilt) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", s.reading)}
}

func (s *spoilt) Close() error                     { return nil }
func (s *spoilt) SetDeadline(time.Time) error      { return nil }
func (s *spoilt) SetReadDeadline(time.Time) error  { return nil }
func (s *spoilt) SetWriteDeadline(time.Time) error { return nil }

func dialError(e error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", e)}
}

// tryOnce makes one attempt over connections that dial opens, and returns how it ended, whether its
// last byte was said to be written, and how often a connection was opened.
func tryOnce(t *testing.T, dial func(n int) (net.Conn, error)) (status routing.Status, written bool, dials int) {
	t.Helper()
	pool := NewPool(Options{ConnectTimeout: 10 * time.Second, Dial: func(context.Context, string, string) (net.Conn, error) {
		dials++
		return dial(dials)
	}})
	e := NewClient(pool, func(string) Dialect { return plainDialect{} })
	ended := make(chan core.Result, 1)
	e.Start(core.Attempt{
		ClientRequestID: "a", Endpoint: core.Endpoint{Addr: "127.0.0.1:1"}, Timeout: time.Second, Written: func(core.WriteRecord) { written = true },
		Payload: core.Payload{Method: "POST", Target: "/x", Body: []byte("0123456789")},
	}, func(core.Stream) { t.Error("a stream") }, func(r core.Result) { ended <- r })
	r := <-ended
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.open != 0 {
		t.Errorf("%d connections count as open after %v", pool.open, r.Status)
	}
	return r.Status, written, dials
}

// What the system says of a connection means could-not-connect before the request's last byte is
// written, and a reset, which may have run, after it. Nothing is sent twice: a connection that fails
// for want of something on this machine is opened again before anything is written, and no other.
func TestErrorsOfTheSystem(t *testing.T) {
	for _, e := range []syscall.Errno{
		syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.EMFILE, syscall.ENFILE, syscall.ENETUNREACH, syscall.EAGAIN, syscall.ENOMEM, syscall.ENETDOWN,
	} {
		status, written, dials := tryOnce(t, func(n int) (net.Conn, error) {
			if n < 3 {
				return nil, dialError(e)
			}
			return &spoilt{takes: -1, reading: syscall.ECONNRESET}, nil
		})
		if status != routing.StatusReset || !written || dials != 3 {
			t.Errorf("connect fails twice with %v: %v, written %v, %d dials", e, status, written, dials)
		}
		if status, written, dials = tryOnce(t, func(int) (net.Conn, error) { return nil, dialError(e) }); status != routing.StatusConnectFailed || written || dials < 2 {
			t.Errorf("connect fails with %v: %v, written %v, %d dials", e, status, written, dials)
		}
	}
	for _, e := range []syscall.Errno{syscall.ECONNREFUSED, syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.ECONNRESET, syscall.EPERM} {
		if status, written, dials := tryOnce(t, func(int) (net.Conn, error) { return nil, dialError(e) }); status != routing.StatusConnectFailed || written || dials != 1 {
			t.Errorf("connect fails with %v: %v, written %v, %d dials", e, status, written, dials)
		}
	}
	for _, e := range []syscall.Errno{syscall.EPIPE, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENOBUFS} {
		for _, takes := range []int{0, 1, 40} {
			status, written, dials := tryOnce(t, func(int) (net.Conn, error) { return &spoilt{takes: takes, writing: e}, nil })
			if status != routing.StatusConnectFailed || written || dials != 1 {
				t.Errorf("write fails with %v after %d bytes: %v, written %v, %d dials", e, takes, status, written, dials)
			}
		}
		status, written, dials := tryOnce(t, func(int) (net.Conn, error) { return &spoilt{takes: -1, reading: e}, nil })
		if status != routing.StatusReset || !written || dials != 1 {
			t.Errorf("read fails with %v: %v, written %v, %d dials", e, status, written, dials)
		}
	}
}

// Only a deadline of the gateway's own is none of the connection's doing.
func TestBrokenConnections(t *testing.T) {
	op := func(err error) error { return &net.OpError{Op: "read", Err: err} }
	if s := failureStatus(op(os.ErrDeadlineExceeded)); s == routing.StatusReset {
		t.Error("a deadline of ours counts as a reset")
	}
	if s := failureStatus(errors.New("spoilt")); s == routing.StatusReset {
		t.Error("a spoilt answer counts as a reset")
	}
	if s := failureStatus(op(os.NewSyscallError("read", syscall.ETIMEDOUT))); s != routing.StatusReset {
		t.Errorf("ETIMEDOUT counts as %v", s)
	}
}

// plainDialect passes a request on as it is.
type plainDialect struct{ Dialect }

func (plainDialect) Attempt(a core.Attempt) Call {
	return Call{Method: a.Payload.Method, Target: a.Payload.Target, Body: a.Payload.Body}
}
