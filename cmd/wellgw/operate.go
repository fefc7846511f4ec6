package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"wellgw/decide/lifecycle"
	"wellgw/internal/accept"
	"wellgw/internal/config"
	"wellgw/internal/control"
	"wellgw/internal/core"
	"wellgw/internal/ejectionfile"
	"wellgw/internal/operate"
	"wellgw/internal/pause"
	"wellgw/internal/wallclock"
)

// inheritedListener returns the clients' listener that the platform hands down,
// as the descriptor that EDGE_SOCKET_FD names; nil where there is none.
func inheritedListener(env func(string) string) (net.Listener, error) {
	v := env("EDGE_SOCKET_FD")
	if v == "" {
		return nil, nil
	}
	fd, err := strconv.Atoi(v)
	if err != nil || fd < 3 {
		return nil, fmt.Errorf("EDGE_SOCKET_FD: %q is no descriptor", v)
	}
	file := os.NewFile(uintptr(fd), "clients")
	l, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("EDGE_SOCKET_FD: %w", err)
	}
	file.Close() // FileListener holds a copy of its own
	return l, nil
}

// operate sets up the desk for operators' calls: the ejections an earlier process left,
// the watch on the files shared with another process, the call line where the
// configuration names one, and the settings taken on SIGHUP. Where the clients' socket is
// shared, a newer version takes over once it is ready.
func (g *gateway) operate(ctx context.Context, c *core.Core, f front, life *supervisor, shared bool) {
	desk := &operate.Handler{
		Core:  c,
		Ready: func() bool { return g.serving.Load() != nil && c.Ready() },
		Drain: func(ctx context.Context, on bool) bool {
			if on {
				return life.post(ctx, lifecycle.Drain{}, string(control.Standby))
			}
			return life.post(ctx, lifecycle.Activate{}, string(control.Active))
		},
		Log: g.log,
	}
	var handOver func()
	if shared {
		handOver = func() { life.post(ctx, lifecycle.HandOver{}, "a newer version serves") }
	}
	// Ejections come only by calls, here or in the other process of an upgrade; where
	// neither can be, nothing is read or polled.
	if g.name != "" && (g.control != "" || handOver != nil) {
		desk.Store = ejectionfile.Open(os.TempDir(), g.name)
		var err error
		if desk.Process, err = desk.Store.Claim(wallclock.Now(), os.Getpid()); err != nil {
			g.log.Warn("the start is not written down; a process started later may not be seen to be newer", "cause", err)
		}
		desk.OnSuccessorReady = handOver
		desk.Load()
		go desk.Watch(ctx)
	}
	g.retune = func(next *config.Platform) {
		set := next.Settings()
		if err := c.Reconfigure(ctx, set); err != nil {
			g.log.Error("settings not taken, the old ones stay", "cause", err)
			return
		}
		if r, ok := f.(interface{ Retune(classes []string) }); ok {
			names := make([]string, 0, len(set.Classes))
			for _, cl := range set.Classes {
				names = append(names, cl.Name)
			}
			r.Retune(names)
		}
		life.post(ctx, lifecycle.SettingsChanged{MaxWait: next.LongestWait()}, "settings")
		g.log.Info("settings taken", "classes", len(set.Classes), "attempts", set.MaxAttempts)
	}
	if g.control != "" {
		go g.takeCalls(ctx, desk)
	}
}

// Pauses before the call line is opened again after an error.
const (
	firstCallPause = 20 * time.Millisecond
	lastCallPause  = time.Second
)

// takeCalls answers operators' calls until ctx ends. A call line that can't be opened, or is lost,
// is opened again: without it nobody could tell the process to drain.
func (g *gateway) takeCalls(ctx context.Context, desk *operate.Handler) {
	for wait := firstCallPause; ctx.Err() == nil; wait = min(2*wait, lastCallPause) {
		l, err := accept.Listen(ctx, "tcp4", g.control, g.log)
		if err == nil {
			g.log.Info("calls taken", "control", l.Addr().String())
			wait = firstCallPause
			err = control.Serve(ctx, accept.New(l, g.log), desk.HandleCommand, g.log)
		}
		if err != nil {
			g.log.Error("no call line; opened again", "control", g.control, "cause", err)
		}
		pause.Sleep(ctx, wait)
	}
}
