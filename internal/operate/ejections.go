package operate

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"wellgw/internal/files"
)

// writeTimeout is how long a command waits for the ejections file to become writable after a failed
// write. It is below control.AnswerTimeout, so that there is time for the answer.
const writeTimeout = 400 * time.Millisecond

// Load reads the ejections that an earlier or concurrent process of this gateway has written and applies
// them to the core. If the file is unreadable or damaged, the ejections in force stay unchanged.
func (h *Handler) Load() {
	if h.Store == nil {
		return
	}
	names, changed, err := h.Store.Read()
	if err != nil {
		if !h.readFailed {
			h.Log.Error("ejections file unreadable, keeping ejections in force", "cause", err)
		}
		h.readFailed = true
		return
	}
	h.readFailed = false
	if changed {
		h.Log.Info("manual ejections loaded", "engines", names)
		h.Core.SetEjected(names)
	}
}

// syncEjections writes the pending changes to the ejections file; if there are none, it loads the changes
// that another process has written.
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

// setEjected ejects or restores an engine and reports success. The change is in force immediately. A
// change that is not in the file would be lost at a restart: if writing still fails after writeTimeout,
// the result is false, but the change stays in force and the write is retried.
func (h *Handler) setEjected(ctx context.Context, engine string, eject bool) bool {
	h.mu.Lock()
	if _, ok := h.Core.Eject(ctx, engine, eject); !ok || h.Store == nil {
		h.mu.Unlock()
		return ok
	}
	written, err := h.addPending(engine, eject)
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

// addPending adds a change to the pending ones and writes them. If that fails, the returned channel is
// closed as soon as a later write succeeds. h.mu must be held.
func (h *Handler) addPending(engine string, eject bool) (written <-chan struct{}, err error) {
	if h.pending == nil {
		h.pending = map[string]bool{}
	}
	h.pending[engine] = eject
	err = h.writePending()
	if err != nil && h.pendingWritten == nil {
		h.pendingWritten = make(chan struct{})
	}
	return h.pendingWritten, err
}

// writePending merges the pending changes into the content of the file, which no other process changes
// meanwhile, and applies the result to the core. h.mu must be held.
func (h *Handler) writePending() error {
	var names []string
	err := h.Store.Update(func(stored []string, err error) ([]string, error) {
		if err != nil && !errors.Is(err, files.ErrDamaged) {
			return nil, err
		}
		if err != nil { // the ejections in force replace the damaged content
			stored = h.Core.Ejected()
		}
		names = withChanges(stored, h.pending)
		return names, nil
	})
	if err != nil {
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
	maps.DeleteFunc(set, func(_ string, eject bool) bool { return !eject })
	return slices.Sorted(maps.Keys(set))
}
