package accept

import (
	"context"
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
)

// An address that is taken for a moment, or a machine that is short of descriptors, does not keep a
// process from starting; an address that can't be used does, at once.
func TestListenWaitsForWhatPasses(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	failure := func(e syscall.Errno) error {
		return &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", e)}
	}
	for _, e := range []syscall.Errno{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR} {
		tries := 0
		l, err := listen(t.Context(), "a", log, func() (net.Listener, error) {
			if tries++; tries < 4 {
				return nil, failure(e)
			}
			return &failing{}, nil
		})
		if l == nil || err != nil || tries != 4 {
			t.Errorf("%v: %v, %v after %d tries", e, l, err, tries)
		}
	}
	for _, e := range []syscall.Errno{syscall.EACCES, syscall.EINVAL} {
		tries := 0
		if _, err := listen(t.Context(), "a", log, func() (net.Listener, error) { tries++; return nil, failure(e) }); err == nil || tries != 1 {
			t.Errorf("%v: %v after %d tries", e, err, tries)
		}
	}
	ended, end := context.WithCancel(t.Context())
	end()
	if _, err := listen(ended, "a", log, func() (net.Listener, error) { return nil, failure(syscall.EADDRINUSE) }); err == nil {
		t.Error("listened though the context has ended")
	}
	if _, err := Listen(t.Context(), "tcp4", "no address", log); err == nil {
		t.Error("listened at no address")
	}
}
