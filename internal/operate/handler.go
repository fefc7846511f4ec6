// Package operate executes operators' commands on a running gateway: it reports readiness, ejects and
// restores engines manually, drains the client connections, and hands over to a successor process.
package operate

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"wellgw/internal/control"
	"wellgw/internal/ejectionfile"
)

// PollInterval is how often a process reads the files that it shares with the other process during an
// upgrade: the ejections file and the ready mark. The documentation for operators states 0.1 s.
const PollInterval = 100 * time.Millisecond

// Core is the part of the gateway's core that Handler uses. Implementations are safe for concurrent use.
type Core interface {
	// Eject ejects an engine, or restores it if eject is false, and returns the ejected engines. ok is
	// false for an engine that was never listed, and if ctx is done first.
	Eject(ctx context.Context, name string, eject bool) (names []string, ok bool)
	// SetEjected replaces the set of ejected engines.
	SetEjected(names []string)
	// Ejected returns the set of ejected engines.
	Ejected() []string
}

// Handler executes commands. Its exported fields must be set before its first use.
type Handler struct {
	Core  Core
	Store *ejectionfile.Store // nil: ejections are neither stored nor shared with other processes
	Ready func() bool         // reports whether this process can serve
	// Drain starts a drain, or ends it if on is false, and reports whether it succeeded.
	Drain func(ctx context.Context, on bool) bool
	Log   *slog.Logger

	// Process is the identity of this process, as returned by Store.Claim.
	Process ejectionfile.Process
	// OnSuccessorReady is called once, from Watch, when a successor has written its ready mark to Store.
	// It is nil in a process that does not share its socket: such a process neither writes a ready mark
	// nor checks for a successor.
	OnSuccessorReady func()

	mu sync.Mutex // serializes changes of the ejections, including writes of the file
	// pending holds, by engine, the ejections (true) and restorations (false) that are not yet written.
	pending map[string]bool
	// pendingWritten is closed once pending has been written; nil unless the last write of pending failed.
	pendingWritten chan struct{}
	readFailed     bool // the last read of the file failed; avoids logging the error repeatedly

	// markWriteFailed is set if the last write of the ready mark failed, to avoid logging the error
	// repeatedly. It is used by Watch only.
	markWriteFailed bool
}

// HandleCommand executes a command; it is a control.Handler.
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

// Watch polls the shared files every PollInterval until ctx is done. Without a Store it returns
// immediately.
func (h *Handler) Watch(ctx context.Context) {
	if h.Store == nil {
		return
	}
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		h.syncEjections()
		if h.OnSuccessorReady != nil {
			h.checkHandover()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// checkHandover hands over to a successor that has written its ready mark; otherwise it marks this
// process ready once it can serve. A predecessor that becomes ready at the same time may overwrite the
// mark of this process. The mark is then written again, since it triggers the predecessor's hand-over.
func (h *Handler) checkHandover() {
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

// markReady writes the ready mark if this process can serve; a failed write is retried at the next poll.
// Until a write succeeds, the predecessor keeps accepting clients.
func (h *Handler) markReady() {
	if !h.Ready() {
		return
	}
	err := h.Store.MarkReady(h.Process)
	if err != nil && !h.markWriteFailed {
		h.Log.Error("ready mark write failed, retrying; a predecessor keeps accepting clients", "cause", err)
	}
	h.markWriteFailed = err != nil
}
