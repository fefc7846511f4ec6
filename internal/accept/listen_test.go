package accept

import (
	"context"
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
)

// Listen retries if the address is temporarily in use or the machine is short of descriptors; it fails
// immediately if the address can't be used.
func TestListenRetriesTransientErrors(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	listenError := func(e syscall.Errno) error {
		return &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", e)}
	}
	for _, e := range []syscall.Errno{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR} {
		attempts := 0
		l, err := listen(t.Context(), "a", log, func() (net.Listener, error) {
			if attempts++; attempts < 4 {
				return nil, listenError(e)
			}
			return &fakeListener{}, nil
		})
		if l == nil || err != nil || attempts != 4 {
			t.Errorf("%v: %v, %v after %d attempts", e, l, err, attempts)
		}
	}
	for _, e := range []syscall.Errno{syscall.EACCES, syscall.EINVAL} {
		attempts := 0
		if _, err := listen(t.Context(), "a", log, func() (net.Listener, error) { attempts++; return nil, listenError(e) }); err == nil || attempts != 1 {
			t.Errorf("%v: %v after %d attempts", e, err, attempts)
		}
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := listen(canceled, "a", log, func() (net.Listener, error) { return nil, listenError(syscall.EADDRINUSE) }); err == nil {
		t.Error("Listen succeeded after the context was canceled")
	}
	if _, err := Listen(t.Context(), "tcp4", "no address", log); err == nil {
		t.Error("Listen succeeded with an invalid address")
	}
}
