// Package accept retries transient errors of listening and accepting.
//
// On Linux, accept also returns errors of the network and of single connections, and a shortage of
// descriptors or memory, in the process or on the machine, may be temporary. None of these errors may
// stop a service or delay it for long.
package accept

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"slices"
	"syscall"
	"time"

	"wellgw/internal/faultinject"
)

// The backoff after an error doubles from initialBackoff to maxBackoff.
const (
	initialBackoff = 2 * time.Millisecond
	maxBackoff     = 50 * time.Millisecond
	logInterval    = time.Second
)

// Listener retries accept after transient errors. Accept must be called by one goroutine at a time.
type Listener struct {
	net.Listener
	// OnExhausted, if not nil, is called when descriptors or memory are exhausted, before accept is
	// retried, so that it can release some.
	OnExhausted func()

	log        *slog.Logger
	lastLogged time.Time
	failures   int // errors since the last log line
}

// New returns a Listener that wraps l and logs the errors after which it retries accept.
func New(l net.Listener, log *slog.Logger) *Listener {
	return &Listener{Listener: faultinject.Listener(l), log: log}
}

// Accept returns the next connection, or an error if the listener has failed permanently.
func (l *Listener) Accept() (net.Conn, error) {
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		runtime.Gosched() // a crowd of new connections must not keep the processor from the accepted ones
		conn, err := l.Listener.Accept()
		if err == nil || Permanent(err) {
			return conn, err
		}
		l.logFailure(err)
		if Exhausted(err) && l.OnExhausted != nil {
			l.OnExhausted()
		}
		time.Sleep(backoff)
	}
}

// YieldWhenIdle is an http.Server.ConnState. It lets other goroutines run after each answer: a connection on
// which requests wait unread would otherwise keep the processor until its goroutine is preempted, once for
// each step of every other request.
func YieldWhenIdle(_ net.Conn, s http.ConnState) {
	if s == http.StateIdle {
		runtime.Gosched()
	}
}

// logFailure logs an error, with at most one line per logInterval.
func (l *Listener) logFailure(err error) {
	l.failures++
	if now := time.Now(); now.Sub(l.lastLogged) >= logInterval {
		l.log.Warn("accept failed; tried again", "listen", l.Addr(), "failures", l.failures, "cause", err)
		l.lastLogged, l.failures = now, 0
	}
}

// Permanent reports whether a listener can't accept any connections after err. EOPNOTSUPP is not
// permanent, since accept also returns it for errors in the network of a single connection.
func Permanent(err error) bool {
	return isAny(err, net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK)
}

// Exhausted reports whether err means that descriptors or memory are exhausted.
func Exhausted(err error) bool {
	return isAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM)
}

func isAny(err error, targets ...error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}
