package upstream

import (
	"context"
	"log/slog"
	"time"
)

// closeReason is why a connection to an engine was closed.
type closeReason string

// The reasons, as they are logged.
const (
	closedStale     closeReason = "idle"             // its engine might close it at any time
	closedByEngine  closeReason = "closed by engine" // or unexpected bytes arrived on it
	closedEvicted   closeReason = "evicted"          // closed to free a slot for another connection
	closedShutdown  closeReason = "shutdown"
	closedAbandoned closeReason = "attempt abandoned"
	closedFailed    closeReason = "exchange failed"
	closedUnusable  closeReason = "not reusable" // bytes after the response, or a deadline that can't be cleared
)

// recordRead records the time of a read of n bytes.
func (b *limitedReader) recordRead(n int) {
	if n <= 0 {
		return
	}
	elapsed := int64(time.Since(b.opened))
	b.firstRead.CompareAndSwap(0, elapsed)
	b.lastRead.Store(elapsed)
}

// logClosed logs the close of a connection with the times of its first and last byte: a lost
// connection shows no error, only the absence of further bytes.
func (p *Pool) logClosed(c *conn, reason closeReason) {
	if p.opt.Log == nil || !p.opt.Log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	p.opt.Log.LogAttrs(context.Background(), slog.LevelDebug, "engine connection closed",
		slog.Uint64("connection", uint64(c.id)),
		slog.String("address", c.addr),
		slog.String("reason", string(reason)),
		slog.Duration("age", time.Since(c.reader.opened).Round(time.Millisecond)),
		slog.Duration("first byte", time.Duration(c.reader.firstRead.Load()).Round(time.Microsecond)),
		slog.Duration("last byte", time.Duration(c.reader.lastRead.Load()).Round(time.Microsecond)))
}
