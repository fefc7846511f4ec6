package operate

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"wellgw/internal/files"
)

// writeTimeout is how long a command waits for a file that can't be written for a moment. It leaves
// room for the answer within control.AnswerTimeout.
const writeTimeout = 400 * time.Millisecond

// Load reads the ejections that an earlier process left, or another one has written, and gives them to
// the core. A file that is unreadable or damaged changes nothing.
func (h *Handler) Load() {
	if h.Store == nil {
		return
	}
	names, changed, err := h.Store.Read()
	if err != nil {
		if !h.unreadable {
			h.Log.Error("ejections file unreadable, keeping ejections in force", "cause", err)
		}
		h.unreadable = true
		return
	}
	h.unreadable = false
	if changed {
		h.Log.Info("manual ejections loaded", "engines", names)
		h.Core.SetEjected(names)
	}
}

// syncEjections writes the ejections that are not in the file yet; if there are none, it reads what
// another process has written.
func (h *Handler) syncEjections() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.pending) == 0 {
		h.Load()
		return
	}
	if err := h.writePending(); err == nil {
		h.Log.Info("ejections file write recovered")
	}
}

// setEjected ejects or restores an engine. The change is in force at once. If it can't be written it
// would not outlast this process: the result is then false after writeTimeout, while the change stays
// in force and is written as soon as possible.
func (h *Handler) setEjected(ctx context.Context, engine string, out bool) bool {
	h.mu.Lock()
	if _, ok := h.Core.Eject(ctx, engine, out); !ok || h.Store == nil {
		h.mu.Unlock()
		return ok
	}
	written, err := h.addPending(engine, out)
	h.mu.Unlock()
	if err == nil {
		return true
	}
	h.Log.Error("ejections file write failed, change in force in this process only", "engine", engine, "cause", err)
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	select {
	case <-written:
		return true
	case <-ctx.Done():
		return false
	}
}

// addPending tries to write one more change. With an error, written is closed once it has been written.
// h.mu is held.
func (h *Handler) addPending(engine string, out bool) (written <-chan struct{}, err error) {
	if h.pending == nil {
		h.pending = map[string]bool{}
	}
	h.pending[engine] = out
	err = h.writePending()
	if err != nil && h.pendingWritten == nil {
		h.pendingWritten = make(chan struct{})
	}
	return h.pendingWritten, err
}

// writePending merges the pending changes into what the file holds, and gives the result to the core.
// h.mu is held.
func (h *Handler) writePending() error {
	names, _, err := h.Store.Read()
	if err != nil && !errors.Is(err, files.ErrDamaged) {
		return err
	}
	if err != nil { // the ejections in force replace what is damaged
		names = h.Core.Ejected()
	}
	names = withChanges(names, h.pending)
	if err := h.Store.Write(names); err != nil {
		return err
	}
	h.Core.SetEjected(names)
	h.pending = nil
	if h.pendingWritten != nil {
		close(h.pendingWritten)
		h.pendingWritten = nil
	}
	return nil
}

// withChanges returns names with changes applied: true adds a name, false removes it.
func withChanges(names []string, changes map[string]bool) []string {
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	maps.Copy(set, changes)
	maps.DeleteFunc(set, func(_ string, out bool) bool { return !out })
	return slices.Sorted(maps.Keys(set))
}
