// Package accept keeps a listener accepting through transient errors.
//
// Linux reports errors of the network and of single connections by accept, and a process or a
// machine that is out of descriptors or memory may have some again a moment later. None of these
// may end a service or delay it for long.
package accept

import (
	"errors"
	"log/slog"
	"net"
	"slices"
	"syscall"
	"time"

	"wellgw/internal/faultinject"
)

// Backoff after errors: it doubles from the initial to the maximal one.
const (
	initialBackoff = 2 * time.Millisecond
	maxBackoff     = 50 * time.Millisecond
	logInterval    = time.Second
)

// Listener accepts through transient errors. Accept must be called by one goroutine at a time.
type Listener struct {
	net.Listener
	// OnExhausted is called when descriptors or memory are exhausted, before accept is retried; nil
	// for none.
	OnExhausted func()

	log        *slog.Logger
	lastLogged time.Time
	failures   int // errors since the last log line
}

// New returns a listener over l that logs the errors through which it continues.
func New(l net.Listener, log *slog.Logger) *Listener {
	return &Listener{Listener: faultinject.Listener(l), log: log}
}

// Accept returns the next connection, or an error if the listener can't accept any more.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := initialBackoff; ; pause = min(2*pause, maxBackoff) {
		conn, err := l.Listener.Accept()
		if err == nil || Permanent(err) {
			return conn, err
		}
		l.logFailure(err)
		if Exhausted(err) && l.OnExhausted != nil {
			l.OnExhausted()
		}
		time.Sleep(pause)
	}
}

// logFailure logs an error, at most one line per logInterval.
func (l *Listener) logFailure(err error) {
	l.failures++
	if now := time.Now(); now.Sub(l.lastLogged) >= logInterval {
		l.log.Warn("accept failed; tried again", "listen", l.Addr(), "failures", l.failures, "cause", err)
		l.lastLogged, l.failures = now, 0
	}
}

// Permanent reports whether a listener with this error can't accept any more. EOPNOTSUPP is not among
// these: accept also reports it for a connection's network.
func Permanent(err error) bool {
	return isAny(err, net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK)
}

// Exhausted reports whether an error means that descriptors or memory are exhausted.
func Exhausted(err error) bool {
	return isAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM)
}

func isAny(err error, some ...error) bool {
	return slices.ContainsFunc(some, func(one error) bool { return errors.Is(err, one) })
}
