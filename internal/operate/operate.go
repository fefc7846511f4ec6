// Package operate carries out operators' calls on a running gateway: it answers
// status, takes engines out by hand and back, and drains the clients' side.
package operate

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"wellgw/internal/control"
	"wellgw/internal/ejectionfile"
	"wellgw/internal/files"
)

// Look is how often the files shared with the other process of an upgrade are
// read: its ejections, and whether it is a newer version that is ready.
const Look = 100 * time.Millisecond

// Core is what of the core the desk needs.
type Core interface {
	Eject(ctx context.Context, name string, out bool) (names []string, ok bool)
	SetEjected(names []string)
	Ejected() []string
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

	mu      sync.Mutex      // one call on engines at a time, file included
	unsaved map[string]bool // calls in force that are not in the file: whether the engine is out
	saved   chan struct{}   // closed once they are; nil while there are none
	damaged bool            // the file was, when it was read last
}

// saveWait is how long a call waits for a file that can't be written for a moment.
const saveWait = 400 * time.Millisecond

// Load reads the ejections that an earlier process left and gives them to the core. A file that
// can't be read, or is damaged, changes nothing.
func (d *Desk) Load() {
	if d.Store == nil {
		return
	}
	names, changed, err := d.Store.Read()
	if err != nil {
		if !d.damaged {
			d.Log.Error("ejections not read; those in force stay", "cause", err)
		}
		d.damaged = true
		return
	}
	d.damaged = false
	if changed {
		d.Log.Info("engines out by hand, as found", "engines", names)
		d.Core.SetEjected(names)
	}
}

// sync writes the calls that are not in the file yet, or else reads what another process has
// written there. The lock is held.
func (d *Desk) sync() {
	if len(d.unsaved) == 0 {
		d.Load()
		return
	}
	if err := d.save(); err == nil {
		d.Log.Info("ejections written again")
	}
}

// save adds the calls that are not in the file to what is there. The lock is held.
func (d *Desk) save() error {
	names, _, err := d.Store.Read()
	if err != nil && !errors.Is(err, files.ErrDamaged) {
		return err
	}
	if err != nil { // what is in force replaces what can't be read
		names = d.Core.Ejected()
	}
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	for name, out := range d.unsaved {
		if set[name] = out; !out {
			delete(set, name)
		}
	}
	names = slices.Sorted(maps.Keys(set))
	if err := d.Store.Write(names); err != nil {
		return err
	}
	d.Core.SetEjected(names)
	d.unsaved = nil
	if d.saved != nil {
		close(d.saved)
		d.saved = nil
	}
	return nil
}

// Watch reads the shared files every Look until ctx ends.
func (d *Desk) Watch(ctx context.Context) {
	if d.Store == nil {
		return
	}
	t := time.NewTicker(Look)
	defer t.Stop()
	marked, failed := false, false
	for {
		d.mu.Lock()
		d.sync()
		d.mu.Unlock()
		if d.Newer != nil {
			if !marked && d.Ready() {
				err := d.Store.MarkReady(d.Self)
				if err != nil && !failed {
					d.Log.Error("not said to be ready, tried again; an older version goes on taking clients", "cause", err)
				}
				marked, failed = err == nil, err != nil
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
func (d *Desk) Answer(ctx context.Context, c control.Command) bool {
	switch c.Verb {
	case control.Status:
		return d.Ready()
	case control.Standby, control.Active:
		return d.Drain(ctx, c.Verb == control.Standby)
	case control.MaintOn, control.MaintOff:
		return d.eject(ctx, c.ID, c.Verb == control.MaintOn)
	}
	return false
}

// eject carries out a call on an engine. It is in force at once. Where it can't be written, so
// that it would not outlast this process, the answer is no once saveWait is over; it stays in force
// and is written as soon as that can be done.
func (d *Desk) eject(ctx context.Context, id string, out bool) bool {
	d.mu.Lock()
	if _, ok := d.Core.Eject(ctx, id, out); !ok || d.Store == nil {
		d.mu.Unlock()
		return ok
	}
	if d.unsaved == nil {
		d.unsaved = map[string]bool{}
	}
	d.unsaved[id] = out
	err := d.save()
	if err != nil && d.saved == nil {
		d.saved = make(chan struct{})
	}
	saved := d.saved
	d.mu.Unlock()
	if err == nil {
		return true
	}
	d.Log.Error("ejections not written; they hold in this process, and are written when that can be done", "engine", id, "cause", err)
	wait, stop := context.WithTimeout(ctx, saveWait)
	defer stop()
	select {
	case <-saved:
		return true
	case <-wait.Done():
		return false
	}
}
