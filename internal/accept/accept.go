// Package accept keeps a listener accepting through errors that pass.
//
// Linux reports errors of the network and of single connections by accept, and a process or a
// machine that is out of descriptors or memory may have some again a moment later. None of these
// may end a service or hold it up for long.
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

// Pauses after errors. They grow from the first to the last.
const (
	firstPause = 2 * time.Millisecond
	lastPause  = 50 * time.Millisecond
	logEvery   = time.Second
)

// Listener accepts through errors that pass. Accept must be called by one goroutine at a time.
type Listener struct {
	net.Listener
	// MakeRoom is called when descriptors or memory are short, before accept is tried again; nil
	// for nothing to be done.
	MakeRoom func()

	log    *slog.Logger
	logged time.Time
	failed int // errors since the latest line of the log
}

// New returns a listener over l that logs the errors it passes over.
func New(l net.Listener, log *slog.Logger) *Listener {
	return &Listener{Listener: faultinject.Listener(l), log: log}
}

// Accept returns the next connection, or an error if there will be none any more.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		conn, err := l.Listener.Accept()
		if err == nil || Permanent(err) {
			return conn, err
		}
		l.note(err)
		if Exhausted(err) && l.MakeRoom != nil {
			l.MakeRoom()
		}
		time.Sleep(pause)
	}
}

// note writes an error to the log, but no more than one line a second.
func (l *Listener) note(err error) {
	l.failed++
	if now := time.Now(); now.Sub(l.logged) >= logEvery {
		l.log.Warn("accept failed; tried again", "listen", l.Addr(), "failures", l.failed, "cause", err)
		l.logged, l.failed = now, 0
	}
}

// Permanent tells whether a listener that gave this error is of no more use. EOPNOTSUPP is not
// among these: accept reports it of a connection's network, too.
func Permanent(err error) bool {
	return isAny(err, net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK)
}

// Exhausted tells whether an error says that descriptors or memory are short.
func Exhausted(err error) bool {
	return isAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM)
}

func isAny(err error, some ...error) bool {
	return slices.ContainsFunc(some, func(one error) bool { return errors.Is(err, one) })
}
