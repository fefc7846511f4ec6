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

// faultyConn is a connection whose calls fail with given errors.
type faultyConn struct {
	net.Conn
	writable int   // bytes that can be written before writes fail; -1 for no limit
	writeErr error // error of further writes
	readErr  error
}

func (c *faultyConn) Write(p []byte) (int, error) {
	if c.writable < 0 || len(p) <= c.writable {
		if c.writable >= 0 {
			c.writable -= len(p)
		}
		return len(p), nil
	}
	n := c.writable
	c.writable = 0
	return n, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.writeErr)}
}

func (c *faultyConn) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.readErr)}
}

func (c *faultyConn) Close() error                     { return nil }
func (c *faultyConn) SetDeadline(time.Time) error      { return nil }
func (c *faultyConn) SetReadDeadline(time.Time) error  { return nil }
func (c *faultyConn) SetWriteDeadline(time.Time) error { return nil }

func dialError(e error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", e)}
}

// runAttempt makes one attempt over connections that dial opens. It returns the status, whether
// Written was called, and the number of dials.
func runAttempt(t *testing.T, dial func(n int) (net.Conn, error)) (status routing.Status, written bool, dials int) {
	t.Helper()
	pool := NewPool(Options{ConnectTimeout: 10 * time.Second, Dial: func(context.Context, string, string) (net.Conn, error) {
		dials++
		return dial(dials)
	}})
	client := NewClient(pool, func(string) Dialect { return plainDialect{} })
	ended := make(chan core.Result, 1)
	client.Start(core.Attempt{
		ClientRequestID: "a", Endpoint: core.Endpoint{Addr: "127.0.0.1:1"}, Timeout: time.Second, Written: func(core.WriteRecord) { written = true },
		Payload: core.Payload{Method: "POST", Target: "/x", Body: []byte("0123456789")},
	}, func(core.Stream) { t.Error("the attempt returned a stream") }, func(r core.Result) { ended <- r })
	r := <-ended
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.open != 0 {
		t.Errorf("%d connections count as open after %v", pool.open, r.Status)
	}
	return r.Status, written, dials
}

// A system error before the last byte of the request is written means that the connect failed; a
// later one is a reset, after which the request may have run. Nothing is sent twice: only a connect
// that fails for lack of a local resource is retried, as nothing has been written.
func TestSystemErrors(t *testing.T) {
	for _, e := range []syscall.Errno{
		syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.EMFILE, syscall.ENFILE, syscall.ENETUNREACH, syscall.EAGAIN, syscall.ENOMEM, syscall.ENETDOWN,
	} {
		status, written, dials := runAttempt(t, func(n int) (net.Conn, error) {
			if n < 3 {
				return nil, dialError(e)
			}
			return &faultyConn{writable: -1, readErr: syscall.ECONNRESET}, nil
		})
		if status != routing.StatusReset || !written || dials != 3 {
			t.Errorf("connect fails twice with %v: %v, written %v, %d dials", e, status, written, dials)
		}
		if status, written, dials = runAttempt(t, func(int) (net.Conn, error) { return nil, dialError(e) }); status != routing.StatusConnectFailed || written || dials < 2 {
			t.Errorf("connect fails with %v: %v, written %v, %d dials", e, status, written, dials)
		}
	}
	for _, e := range []syscall.Errno{syscall.ECONNREFUSED, syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.ECONNRESET, syscall.EPERM} {
		if status, written, dials := runAttempt(t, func(int) (net.Conn, error) { return nil, dialError(e) }); status != routing.StatusConnectFailed || written || dials != 1 {
			t.Errorf("connect fails with %v: %v, written %v, %d dials", e, status, written, dials)
		}
	}
	for _, e := range []syscall.Errno{syscall.EPIPE, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENOBUFS} {
		for _, writable := range []int{0, 1, 40} {
			status, written, dials := runAttempt(t, func(int) (net.Conn, error) { return &faultyConn{writable: writable, writeErr: e}, nil })
			if status != routing.StatusConnectFailed || written || dials != 1 {
				t.Errorf("write fails with %v after %d bytes: %v, written %v, %d dials", e, writable, status, written, dials)
			}
		}
		status, written, dials := runAttempt(t, func(int) (net.Conn, error) { return &faultyConn{writable: -1, readErr: e}, nil })
		if status != routing.StatusReset || !written || dials != 1 {
			t.Errorf("read fails with %v: %v, written %v, %d dials", e, status, written, dials)
		}
	}
}

// Every network error counts as a reset, except an expired deadline of the gateway.
func TestFailureStatus(t *testing.T) {
	op := func(err error) error { return &net.OpError{Op: "read", Err: err} }
	if s := failureStatus(op(os.ErrDeadlineExceeded)); s == routing.StatusReset {
		t.Error("an expired deadline of the gateway counts as a reset")
	}
	if s := failureStatus(errors.New("malformed")); s == routing.StatusReset {
		t.Error("a malformed response counts as a reset")
	}
	if s := failureStatus(op(os.NewSyscallError("read", syscall.ETIMEDOUT))); s != routing.StatusReset {
		t.Errorf("ETIMEDOUT counts as %v", s)
	}
}

// plainDialect sends a payload unchanged.
type plainDialect struct{ Dialect }

func (plainDialect) Attempt(a core.Attempt) Call {
	return Call{Method: a.Payload.Method, Target: a.Payload.Target, Body: a.Payload.Body}
}
