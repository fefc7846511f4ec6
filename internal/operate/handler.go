// Package operate carries out operators' commands on a running gateway: it answers status, ejects and
// restores engines, drains the clients' side, and hands over to a successor process.
package operate

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"wellgw/internal/control"
	"wellgw/internal/ejectionfile"
)

// PollInterval is how often the files shared with the other process of an upgrade are read: the
// ejections, and the mark of the process that is ready. Operators are told of 0.1 s.
const PollInterval = 100 * time.Millisecond

// Core is what the handler needs of the gateway's core. Implementations are safe for concurrent use.
type Core interface {
	// Eject ejects an engine, or restores it if out is false. ok is false for an engine that was never
	// listed, and if ctx ends first.
	Eject(ctx context.Context, name string, out bool) (names []string, ok bool)
	// SetEjected replaces the set of ejected engines.
	SetEjected(names []string)
	// Ejected returns the set of ejected engines.
	Ejected() []string
}

// Handler carries out commands. Its exported fields are set before its first use.
type Handler struct {
	Core  Core
	Store *ejectionfile.Store // nil keeps ejections in this process alone
	Ready func() bool         // reports whether this process can serve
	// Drain begins a drain, or ends it if on is false, and reports whether the process could do so.
	Drain func(ctx context.Context, on bool) bool
	Log   *slog.Logger

	// Process is this process as Store's Claim returned it.
	Process ejectionfile.Process
	// OnSuccessorReady is called once, from Watch, when a successor has marked itself ready in Store.
	// It is nil in a process that shares no socket, which then neither marks itself nor looks for one.
	OnSuccessorReady func()

	mu sync.Mutex // held over a change of ejections, file included
	// pending has the accepted ejections (true) and restorations (false) that are not in the file yet.
	pending map[string]bool
	// pendingWritten is closed once pending has been written; nil while there is nothing to wait for.
	pendingWritten chan struct{}
	unreadable     bool // the file was, at the last read: its error is logged once

	markFailed bool // the last write of the ready mark failed: its error is logged once; Watch alone uses it
}

// HandleCommand is a control.Handler.
func (h *Handler) HandleCommand(ctx context.Context, command control.Command) bool {
	switch command.Verb {
	case control.Status:
		return h.Ready()
	case control.Standby, control.Active:
		return h.Drain(ctx, command.Verb == control.Standby)
	case control.MaintOn, control.MaintOff:
		return h.setEjected(ctx, command.EngineID, command.Verb == control.MaintOn)
	}
	return false
}

// Watch reads the shared files every PollInterval until ctx ends. Without a Store it returns at once.
func (h *Handler) Watch(ctx context.Context) {
	if h.Store == nil {
		return
	}
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		h.syncEjections()
		if h.OnSuccessorReady != nil {
			h.followHandover()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// followHandover hands over to a successor that has marked itself ready, or else marks this process
// ready once it can serve. A predecessor that became ready at the same moment may have overwritten
// the mark of this process since: it is then written again, as the predecessor hands over by it.
func (h *Handler) followHandover() {
	ready, ok := h.Store.ReadyProcess()
	switch {
	case ok && h.Process.SupersededBy(ready):
		h.Log.Info("successor ready, handing over", "pid", ready.PID)
		h.OnSuccessorReady()
		h.OnSuccessorReady = nil
	case !ok || ready.SupersededBy(h.Process):
		h.markReady()
	}
}

// markReady marks this process ready in the store if it can serve; failures are retried at the next
// poll. Until it succeeds, the predecessor goes on accepting clients.
func (h *Handler) markReady() {
	if !h.Ready() {
		return
	}
	err := h.Store.MarkReady(h.Process)
	if err != nil && !h.markFailed {
		h.Log.Error("ready mark write failed, retrying; a predecessor keeps accepting clients", "cause", err)
	}
	h.markFailed = err != nil
}
