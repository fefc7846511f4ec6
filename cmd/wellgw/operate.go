package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"wellgw/internal/clientconn"
	"wellgw/internal/config"
	"wellgw/internal/control"
	"wellgw/internal/core"
	"wellgw/internal/ejectionfile"
	"wellgw/internal/operate"
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

// standbyFront is a front that can send clients away for a while.
type standbyFront interface{ Standby(on bool) }

// operate sets up the desk for operators' calls: the ejections an earlier process left,
// the watch on the files shared with another process, the call line where the
// configuration names one, and the settings taken on SIGHUP. handOver, nil where
// the clients' socket is not shared, is called once a newer version is ready.
func (g *gateway) operate(ctx context.Context, c *core.Core, f front, clients *clientconn.Listener, handOver func()) {
	var round atomic.Int64 // of standby; a call ends what the one before began
	desk := &operate.Desk{
		Core:  c,
		Ready: func() bool { return g.serving.Load() != nil && c.Ready() },
		Standby: func(on bool) {
			if s, ok := f.(standbyFront); ok {
				s.Standby(on)
			}
			if now := round.Add(1); on { // answers end their connections, resting ones are shut
				go func() {
					for round.Load() == now && ctx.Err() == nil {
						clients.CloseIdle()
						time.Sleep(quietLook)
					}
				}()
			}
		},
		Log: g.log,
	}
	// Ejections come only by calls, here or in the other process of an upgrade; where
	// neither can be, nothing is read or polled.
	if g.name != "" && (g.control != "" || handOver != nil) {
		desk.Store = ejectionfile.Open(os.TempDir(), g.name)
		desk.Self, desk.Newer = ejectionfile.Self{Started: time.Now(), PID: os.Getpid()}, handOver
		desk.Load()
		go desk.Watch(ctx)
	}
	g.retune = func(next *config.Platform) {
		set := next.Settings()
		if err := c.Retune(ctx, set); err != nil {
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
		g.kept.Store(int64(next.LongestWait()))
		g.log.Info("settings taken", "classes", len(set.Classes), "attempts", set.MaxAttempts)
	}
	if g.control == "" {
		return
	}
	l, err := net.Listen("tcp4", g.control)
	if err != nil {
		g.log.Error("no call line", "control", g.control, "cause", err)
		return
	}
	g.log.Info("calls taken", "control", l.Addr().String())
	go func() {
		if err := control.Serve(ctx, l, desk.Answer, g.log); err != nil {
			g.log.Error("call line ended", "cause", err)
		}
	}()
}
