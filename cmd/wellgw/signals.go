package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// processSignals holds the channels of the signals that a serving process handles.
type processSignals struct {
	terminate <-chan os.Signal // SIGTERM and interrupts
	reload    <-chan os.Signal // SIGHUP; signals that arrive while one is pending are merged with it
}

// ignoreWriteErrorSignals makes writes fail with EPIPE and EFBIG instead of a signal: neither a log without
// a reader nor a full disk may end the process.
func ignoreWriteErrorSignals() { signal.Ignore(syscall.SIGPIPE, syscall.SIGXFSZ) }

// subscribeSignals starts to receive signals. The subscription is never cancelled, as SIGHUP may arrive
// during the shutdown and must not end the process.
func subscribeSignals() processSignals {
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return processSignals{terminate: terminate, reload: reload}
}

// reloadOnSignal reloads the configuration on every signal until ctx is done. An invalid configuration
// changes nothing: a running gateway must not stop because of an error in a file.
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
