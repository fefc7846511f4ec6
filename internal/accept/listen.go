package accept

import (
	"context"
	"log/slog"
	"net"
	"syscall"
	"time"

	"wellgw/internal/pause"
)

// Limits on the backoff between attempts to listen, and on the total time spent on them.
const (
	initialListenBackoff = 10 * time.Millisecond
	maxListenBackoff     = 250 * time.Millisecond
	maxListenTime        = 5 * time.Second
)

// Listen opens a listener like net.Listen. It retries transient errors for up to maxListenTime, such as
// an address that an earlier process still uses, or a shortage of descriptors on the machine.
func Listen(ctx context.Context, network, address string, log *slog.Logger) (net.Listener, error) {
	return listen(ctx, address, log, func() (net.Listener, error) { return net.Listen(network, address) })
}

func listen(ctx context.Context, address string, log *slog.Logger, open func() (net.Listener, error)) (net.Listener, error) {
	start := time.Now()
	for backoff := initialListenBackoff; ; backoff = min(2*backoff, maxListenBackoff) {
		l, err := open()
		if err == nil || !isTransient(err) || time.Since(start)+backoff > maxListenTime {
			return l, err
		}
		log.Warn("can't listen yet; tried again", "listen", address, "cause", err)
		if pause.Sleep(ctx, backoff); ctx.Err() != nil {
			return nil, err
		}
	}
}

// isTransient reports whether listening may succeed at a later attempt after err.
func isTransient(err error) bool {
	return Exhausted(err) || isAny(err, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EINTR, syscall.EAGAIN)
}
