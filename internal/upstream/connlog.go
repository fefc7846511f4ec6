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
	closedStale     closeReason = "idle"             // its engine might close it at any moment
	closedByEngine  closeReason = "closed by engine" // or it brought bytes that nothing had asked for
	closedEvicted   closeReason = "evicted"          // another connection needed its place
	closedShutdown  closeReason = "shutdown"
	closedAbandoned closeReason = "attempt abandoned"
	closedFailed    closeReason = "exchange failed"
	closedUnusable  closeReason = "not reusable" // bytes after the response, or a deadline that can't be lifted
)

// recordRead notes the time of a read that brought n bytes.
func (b *limitedReader) recordRead(n int) {
	if n <= 0 {
		return
	}
	since := int64(time.Since(b.opened))
	b.firstRead.CompareAndSwap(0, since)
	b.lastRead.Store(since)
}

// logClosed logs the end of a connection, with the times of what came on it: a connection that was lost
// on the way shows no error, only that nothing came any more.
func (p *Pool) logClosed(c *conn, why closeReason) {
	if p.opt.Log == nil || !p.opt.Log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	p.opt.Log.LogAttrs(context.Background(), slog.LevelDebug, "engine connection closed",
		slog.Uint64("connection", uint64(c.id)),
		slog.String("address", c.addr),
		slog.String("reason", string(why)),
		slog.Duration("age", time.Since(c.in.opened).Round(time.Millisecond)),
		slog.Duration("first byte", time.Duration(c.in.firstRead.Load()).Round(time.Microsecond)),
		slog.Duration("last byte", time.Duration(c.in.lastRead.Load()).Round(time.Microsecond)))
}
