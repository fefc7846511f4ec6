package accept

import (
	"context"
	"log/slog"
	"net"
	"syscall"
	"time"

	"wellgw/internal/pause"
)

// Pauses between tries to listen, and for how long it is tried.
const (
	firstListenPause = 10 * time.Millisecond
	lastListenPause  = 250 * time.Millisecond
	listenFor        = 5 * time.Second
)

// Listen opens a listener of a network, as net.Listen does. What may pass is tried again for a while: a former process
// that still holds the address, or a machine that is short of descriptors.
func Listen(ctx context.Context, network, address string, log *slog.Logger) (net.Listener, error) {
	return listen(ctx, address, log, func() (net.Listener, error) { return net.Listen(network, address) })
}

func listen(ctx context.Context, address string, log *slog.Logger, open func() (net.Listener, error)) (net.Listener, error) {
	begun := time.Now()
	for wait := firstListenPause; ; wait = min(2*wait, lastListenPause) {
		l, err := open()
		if err == nil || !mayPass(err) || time.Since(begun)+wait > listenFor {
			return l, err
		}
		log.Warn("can't listen yet; tried again", "listen", address, "cause", err)
		if pause.Sleep(ctx, wait); ctx.Err() != nil {
			return nil, err
		}
	}
}

// mayPass tells whether an address that could not be listened at may be free a moment later.
func mayPass(err error) bool {
	return Exhausted(err) || isAny(err, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EINTR, syscall.EAGAIN)
}
