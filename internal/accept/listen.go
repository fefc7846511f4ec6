package accept

import (
	"context"
	"log/slog"
	"net"
	"syscall"
	"time"

	"wellgw/internal/pause"
)

// Backoff between attempts to listen, and the time after which they end.
const (
	initialListenBackoff = 10 * time.Millisecond
	maxListenBackoff     = 250 * time.Millisecond
	maxListenTime        = 5 * time.Second
)

// Listen opens a listener like net.Listen. Transient errors are retried for up to maxListenTime: a former
// process that still holds the address, or a machine that is out of descriptors.
func Listen(ctx context.Context, network, address string, log *slog.Logger) (net.Listener, error) {
	return listen(ctx, address, log, func() (net.Listener, error) { return net.Listen(network, address) })
}

func listen(ctx context.Context, address string, log *slog.Logger, open func() (net.Listener, error)) (net.Listener, error) {
	begun := time.Now()
	for wait := initialListenBackoff; ; wait = min(2*wait, maxListenBackoff) {
		l, err := open()
		if err == nil || !isTransient(err) || time.Since(begun)+wait > maxListenTime {
			return l, err
		}
		log.Warn("can't listen yet; tried again", "listen", address, "cause", err)
		if pause.Sleep(ctx, wait); ctx.Err() != nil {
			return nil, err
		}
	}
}

// isTransient reports whether an address at which listening failed may become available.
func isTransient(err error) bool {
	return Exhausted(err) || isAny(err, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EINTR, syscall.EAGAIN)
}
