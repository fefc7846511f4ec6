package main

import (
	"context"
	"os"
	"time"

	"wellgw/decide/lifecycle"
	"wellgw/internal/accept"
	"wellgw/internal/control"
	"wellgw/internal/ejectionfile"
	"wellgw/internal/operate"
	"wellgw/internal/pause"
	"wellgw/internal/wallclock"
)

// startOperatorControl starts what operators reach a running gateway by: commands on the control
// listener, where the configuration names one, and the files shared with another process.
func (s *server) startOperatorControl(ctx context.Context) {
	handler := &operate.Handler{
		Core:  s.core,
		Ready: func() bool { return s.status.listenAddress.Load() != nil && s.core.Ready() },
		Drain: s.drain,
		Log:   s.log,
	}
	s.shareFiles(ctx, handler)
	if s.control != "" {
		go s.serveControl(ctx, handler)
	}
}

// drain has clients sent away, or ends that; it tells whether the process could do so.
func (s *server) drain(ctx context.Context, on bool) bool {
	if on {
		return s.supervisor.post(ctx, lifecycle.Drain{}, string(control.Standby))
	}
	return s.supervisor.post(ctx, lifecycle.Activate{}, string(control.Active))
}

// shareFiles loads the ejections that an earlier process left, and watches the files shared with
// another process of an upgrade. On a shared socket a newer version takes over once it is ready.
//
// Ejections come only by commands, here or in the other process of an upgrade; where neither can
// be, nothing is read or polled.
func (s *server) shareFiles(ctx context.Context, handler *operate.Handler) {
	if s.name == "" || s.control == "" && !s.sharedSocket {
		return
	}
	handler.Store = ejectionfile.Open(os.TempDir(), s.name)
	var err error
	if handler.Process, err = handler.Store.Claim(wallclock.Now(), os.Getpid()); err != nil {
		s.log.Warn("process start not recorded; a process started later may not be recognized as newer", "cause", err)
	}
	if s.sharedSocket {
		handler.OnSuccessorReady = func() { s.supervisor.post(ctx, lifecycle.HandOver{}, "successor ready") }
	}
	handler.Load()
	go handler.Watch(ctx)
}

// Delays before the control listener is opened again after an error.
const (
	minControlRetry = 20 * time.Millisecond
	maxControlRetry = time.Second
)

// serveControl serves operators' commands until ctx ends. A control listener that can't be opened,
// or is lost, is opened again: without it nobody could tell the process to drain.
func (s *server) serveControl(ctx context.Context, handler *operate.Handler) {
	for delay := minControlRetry; ctx.Err() == nil; delay = min(2*delay, maxControlRetry) {
		l, err := accept.Listen(ctx, "tcp4", s.control, s.log)
		if err == nil {
			s.log.Info("control listener open", "control", l.Addr().String())
			delay = minControlRetry
			err = control.Serve(ctx, accept.New(l, s.log), handler.HandleCommand, s.log)
		}
		if err != nil {
			s.log.Error("control listener failed, retrying", "control", s.control, "cause", err)
		}
		pause.Sleep(ctx, delay)
	}
}
