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

// startOperatorControl starts the ways by which operators control a running gateway: commands on the
// control listener, if one is configured, and the files shared with another process of the gateway.
func (s *server) startOperatorControl(ctx context.Context) {
	handler := &operate.Handler{
		Core:  s.core,
		Ready: func() bool { return s.status.listenAddress.Load() != nil && s.core.Ready() },
		Drain: s.drain,
		Log:   s.log,
	}
	s.openSharedFiles(ctx, handler)
	if s.control != "" {
		go s.serveControl(ctx, handler)
	}
}

// drain starts a drain or ends it, and reports whether the state of the process allowed that.
func (s *server) drain(ctx context.Context, enable bool) bool {
	if enable {
		return s.supervisor.post(ctx, lifecycle.Drain{}, string(control.Standby))
	}
	return s.supervisor.post(ctx, lifecycle.Activate{}, string(control.Active))
}

// openSharedFiles loads the ejections that an earlier process stored and watches the files shared with
// the other process of an upgrade. With a shared socket this process hands over to a newer one that is ready.
//
// Ejections are set only by commands to this process or to the other process of an upgrade. Without a
// control listener and a shared socket there are neither, so no file is read or polled.
func (s *server) openSharedFiles(ctx context.Context, handler *operate.Handler) {
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
	if s.requestIDs != nil {
		s.requestIDs.Share(handler.Store.RequestIDsPath())
	}
	handler.Load()
	go handler.Watch(ctx)
}

// Delays before the control listener is reopened after an error.
const (
	minControlRetry = 20 * time.Millisecond
	maxControlRetry = time.Second
)

// serveControl serves operators' commands until ctx is done. It reopens a control listener that can't be
// opened or fails later: without the listener operators can't drain the process.
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
