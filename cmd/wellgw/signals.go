package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// processSignals are those that the process handles while it serves.
type processSignals struct {
	terminate <-chan os.Signal // SIGTERM and interrupts
	reload    <-chan os.Signal // SIGHUP; one that waits stands for all that come meanwhile
}

// ignoreWriteSignals has writes fail with EPIPE and EFBIG: neither a log that nobody reads nor a
// full disk may end the process.
func ignoreWriteSignals() { signal.Ignore(syscall.SIGPIPE, syscall.SIGXFSZ) }

// notifySignals takes signals from now on, to the very end: SIGHUP may come during the shutdown.
func notifySignals() processSignals {
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return processSignals{terminate: terminate, reload: reload}
}

// reloadOnSignal reads the configuration again on every signal, until ctx ends. One that can't be
// used changes nothing: a gateway in service must not end for a mistake in a file.
func (s *server) reloadOnSignal(ctx context.Context, reload <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		}
		if err := s.directory.reload(ctx, s.supervisor); err != nil {
			s.log.Error("configuration reload failed, keeping previous", "cause", err)
			continue
		}
		s.log.Info("configuration reloaded")
	}
}
