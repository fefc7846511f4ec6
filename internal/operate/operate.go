// Package operate carries out operators' calls on a running gateway: it answers
// status, takes engines out by hand and back, and drains the clients' side.
package operate

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"wellgw/internal/control"
	"wellgw/internal/ejectionfile"
)

// Look is how often the files shared with the other process of an upgrade are
// read: its ejections, and whether it is a newer version that is ready.
const Look = 100 * time.Millisecond

// Core is what of the core the desk needs.
type Core interface {
	Eject(ctx context.Context, name string, out bool) (names []string, ok bool)
	SetEjected(names []string)
}

// Desk answers calls. Its fields are set before the first call.
type Desk struct {
	Core  Core
	Store *ejectionfile.Store // nil keeps ejections in this process alone
	Ready func() bool         // this process can serve
	// Drain sends clients away while on; it tells whether the process could do what was asked.
	Drain func(ctx context.Context, on bool) bool
	Log   *slog.Logger

	// With a Store, Self says it is ready there, and Newer is called once when a
	// newer process says so; nil Newer for a process that shares no socket.
	Self  ejectionfile.Self
	Newer func()

	mu sync.Mutex // one call on engines at a time, file included
}

// Load reads the ejections that an earlier process left and gives them to the core.
func (d *Desk) Load() {
	if d.Store == nil {
		return
	}
	names, changed, err := d.Store.Read()
	if err != nil {
		d.Log.Error("ejections not read", "cause", err)
		return
	}
	if changed {
		d.Log.Info("engines out by hand, as found", "engines", names)
		d.Core.SetEjected(names)
	}
}

// Watch reads the shared files every Look until ctx ends.
func (d *Desk) Watch(ctx context.Context) {
	if d.Store == nil {
		return
	}
	t := time.NewTicker(Look)
	defer t.Stop()
	marked := false
	for {
		d.mu.Lock()
		d.Load()
		d.mu.Unlock()
		if d.Newer != nil {
			if !marked && d.Ready() {
				if err := d.Store.MarkReady(d.Self); err != nil {
					d.Log.Error("not said to be ready; an older version goes on taking clients", "cause", err)
				}
				marked = true
			}
			if o, ok := d.Store.Ready(); ok && d.Self.Newer(o) {
				d.Log.Info("a newer version serves; nothing new is taken here", "pid", o.PID)
				d.Newer()
				d.Newer = nil
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Answer is a control.Handler.
func (d *Desk) Answer(ctx context.Context, c control.Call) bool {
	switch c.Verb {
	case control.Status:
		return d.Ready()
	case control.Standby, control.Active:
		return d.Drain(ctx, c.Verb == control.Standby)
	case control.MaintOn, control.MaintOff:
		d.mu.Lock()
		defer d.mu.Unlock()
		names, ok := d.Core.Eject(ctx, c.ID, c.Verb == control.MaintOn)
		if !ok {
			return false
		}
		if d.Store != nil {
			if err := d.Store.Write(names); err != nil {
				d.Log.Error("ejections not written; they hold in this process only", "cause", err)
			}
		}
		return true
	}
	return false
}
