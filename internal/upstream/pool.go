// Package upstream speaks HTTP/1.1 to engines on plain connections: it pools them, makes attempts,
// releases held state and requests load reports. A Dialect defines the calls and reads the
// responses.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wellgw/decide/heldstate"
	"wellgw/internal/faultinject"
	"wellgw/internal/pause"
)

// Options configure a Pool.
type Options struct {
	ConnectTimeout       time.Duration
	ServerIdleTimeout    time.Duration // engines close idle connections after this at the latest
	MaxConns             int           // open at once, over all engines
	StreamSilenceTimeout time.Duration // a stream without a byte for this long is aborted
	ReadBuffer           int           // bytes per connection; 0 = minReadBuffer
	ReuseDelay           time.Duration // delay from a response to the next request on its connection; 0 = none. See get
	// Dial opens a connection; nil for the system's own. Tests inject a network with faults.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  *slog.Logger // takes a line for each connection that is closed, at level debug; nil for none
}

// The pool's margins.
const (
	idleFraction           = 0.5                    // of ConnIdle, after which an idle connection is closed
	probeIdleTimeout       = 300 * time.Millisecond // a connection opened for a probe waits this long for a request
	sweepEvery             = 200 * time.Millisecond // between checks of idle connections
	minReadBuffer          = 4 << 10
	connectTimeoutFraction = 0.95 // of the connect timeout, so that ours expires first

	initialReconnectBackoff = 5 * time.Millisecond   // after a connect that failed on this machine; doubles
	maxReconnectTime        = 150 * time.Millisecond // total time for such retries
)

var (
	errPoolExhausted = errors.New("all connections are in use")
	errHeadTooLong   = errors.New("an answer's head is too long")
)

// conn is one connection to an engine.
type conn struct {
	net.Conn
	id         heldstate.ConnectionNumber
	in         *limitedReader
	buffered   *bufio.Reader // over in
	addr       string
	idleSince  time.Time // start of its idle time
	retireAt   time.Time // if set, it is closed when idle after this
	reused     bool      // it has carried an exchange before
	afterProbe bool      // its last response was a probe's, which is never sent twice
}

// Pool keeps idle connections to engines.
type Pool struct {
	opt    Options
	mu     sync.Mutex
	idle   map[string][]*conn
	open   int
	lastID heldstate.ConnectionNumber
}

// NewPool returns an empty pool. Sweep must run for idle connections to be closed in time.
func NewPool(opt Options) *Pool { return &Pool{opt: opt, idle: map[string][]*conn{}} }

// Sweep closes stale idle connections until ctx ends, then all idle ones.
func (p *Pool) Sweep(ctx context.Context) {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			p.retire(func(*conn) closeReason { return closedShutdown })
			return
		case now := <-t.C:
			p.retire(func(c *conn) closeReason { return p.unusable(c, now) })
		}
	}
}

// stale reports whether a connection has been idle for so long that its engine might close it just
// as the next request is written, which would end in a reset.
func (p *Pool) stale(c *conn, now time.Time) bool {
	if !c.retireAt.IsZero() && now.After(c.retireAt) {
		return true
	}
	return p.opt.ServerIdleTimeout > 0 && now.Sub(c.idleSince) > time.Duration(idleFraction*float64(p.opt.ServerIdleTimeout))
}

// unusable returns why an idle connection can't carry a request any more, "" if it can.
func (p *Pool) unusable(c *conn, now time.Time) closeReason {
	switch {
	case p.stale(c, now):
		return closedStale
	case !openAndQuiet(c.Conn):
		return closedByEngine
	}
	return ""
}

// retire closes the idle connections for which reason returns one.
func (p *Pool) retire(reason func(*conn) closeReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if why := reason(c); why != "" {
				p.closeLocked(c, why)
				continue
			}
			kept = append(kept, c)
		}
		clear(list[len(kept):])
		if p.idle[addr] = kept; len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}

// get returns an idle connection that its engine has not closed, or a new one. One that had its
// response within Options.Settle is passed over: the engine may send that response a second time,
// which could not be told from the response to the next request.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	return p.getWithTimeout(ctx, addr, p.connectTimeout())
}

// connectTimeout returns the timeout for opening a connection for an attempt.
func (p *Pool) connectTimeout() time.Duration {
	return time.Duration(connectTimeoutFraction * float64(p.opt.ConnectTimeout))
}

// getForRelease is get with no timeout but ctx for a new connection.
func (p *Pool) getForRelease(ctx context.Context, addr string) (*conn, error) {
	return p.getWithTimeout(ctx, addr, 0)
}

// dialNew opens a connection without regard to idle ones, until ctx ends.
func (p *Pool) dialNew(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	return p.dial(ctx, addr, 0)
}

// getWithTimeout is get with a timeout of its own for a new connection; 0 leaves it to ctx.
func (p *Pool) getWithTimeout(ctx context.Context, addr string, timeout time.Duration) (*conn, error) {
	p.mu.Lock()
	now := time.Now()
	for at := len(p.idle[addr]) - 1; at >= 0; at-- {
		c := p.idle[addr][at] // the newest first, so that the others may grow stale and be closed
		if !c.afterProbe && p.opt.ReuseDelay > 0 && now.Sub(c.idleSince) < p.opt.ReuseDelay {
			continue
		}
		if p.idle[addr] = slices.Delete(p.idle[addr], at, at+1); len(p.idle[addr]) == 0 {
			delete(p.idle, addr)
		}
		why := p.unusable(c, now)
		if why == "" {
			p.mu.Unlock()
			c.retireAt = time.Time{} // in use: pooled as any other from now on
			return c, nil
		}
		p.closeLocked(c, why)
	}
	return p.dial(ctx, addr, timeout)
}

// dial opens a connection within a timeout, 0 for ctx's alone. It is called with the lock held and
// unlocks it.
func (p *Pool) dial(ctx context.Context, addr string, timeout time.Duration) (*conn, error) {
	if p.opt.MaxConns > 0 && p.open >= p.opt.MaxConns && !p.evict() {
		p.mu.Unlock()
		return nil, errPoolExhausted
	}
	p.open++
	p.lastID++
	id := p.lastID
	p.mu.Unlock()
	nc, err := p.connect(ctx, addr, timeout)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, fmt.Errorf("connect to %s: %w", addr, err)
	}
	in := &limitedReader{from: nc, remaining: math.MaxInt64, opened: time.Now()}
	return &conn{Conn: nc, id: id, in: in, buffered: bufio.NewReaderSize(in, max(p.opt.ReadBuffer, minReadBuffer)), addr: addr}, nil
}

// connect opens a connection. A transient failure of this machine, such as a lack of free ports,
// says nothing about the engine and is retried for up to maxReconnectTime: nothing has been written.
func (p *Pool) connect(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	if timeout > 0 {
		var done context.CancelFunc
		ctx, done = context.WithTimeout(ctx, timeout)
		defer done()
	}
	begun := time.Now()
	for wait := initialReconnectBackoff; ; wait *= 2 {
		nc, err := p.dialOnce(ctx, addr)
		if err == nil || !isTransient(err) || time.Since(begun)+wait > maxReconnectTime {
			return nc, err
		}
		if pause.Sleep(ctx, wait); ctx.Err() != nil {
			return nil, err
		}
	}
}

func (p *Pool) dialOnce(ctx context.Context, addr string) (net.Conn, error) {
	if p.opt.Dial != nil {
		return p.opt.Dial(ctx, "tcp", addr)
	}
	d := net.Dialer{KeepAlive: -1}
	return faultinject.Dial(ctx, "tcp", addr, d.DialContext)
}

// isTransient reports whether a connect failed for lack of a resource of this machine, or of a route
// from it, that may be available a moment later.
func isTransient(err error) bool {
	for _, errno := range []syscall.Errno{
		syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.ENETDOWN, syscall.ENETUNREACH,
	} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// limitedReader fails once remaining bytes have been read. The library would read a head of any length.
type limitedReader struct {
	from      io.Reader
	remaining int64
	opened    time.Time
	firstRead atomic.Int64 // when the first byte of all was read, in nanoseconds since opened; 0 for never
	lastRead  atomic.Int64 // when the latest was
}

func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := b.from.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	b.recordRead(n)
	return n, err
}

// evict closes an idle connection of any engine to free a slot. The lock is held.
func (p *Pool) evict() bool {
	for addr, list := range p.idle {
		if len(list) > 0 {
			p.closeLocked(list[0], closedEvicted)
			p.idle[addr] = list[1:]
			return true
		}
	}
	return false
}

// putAfterProbe pools a connection after a call without side effects, such as a probe. If it was
// opened for that call, it is kept for probeIdleTimeout only, for the request that the probe
// preceded: with many gateways, the connections of all probes would fill the few that an engine
// accepts.
func (p *Pool) putAfterProbe(c *conn) {
	if !c.reused {
		c.retireAt = time.Now().Add(probeIdleTimeout)
	}
	c.afterProbe = true
	p.putIdle(c)
}

// put pools a connection whose response has been read to its end.
func (p *Pool) put(c *conn) {
	c.afterProbe = false
	p.putIdle(c)
}

func (p *Pool) putIdle(c *conn) {
	c.reused = true
	// Bytes beyond the response, such as a second one, would be taken for the next response. Bytes
	// that have arrived and are not buffered yet are checked for when the connection is reused.
	if c.buffered.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.discard(c, closedUnusable)
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// discard closes a connection that is in use.
func (p *Pool) discard(c *conn, why closeReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c, why)
}

// closeLocked closes a connection. The lock is held.
func (p *Pool) closeLocked(c *conn, why closeReason) {
	c.Close()
	p.open--
	p.logClosed(c, why)
}

// openAndQuiet reports whether a connection is open with nothing to read. One that its engine has
// closed, or has sent unexpected bytes on, is not reused.
func openAndQuiet(nc net.Conn) bool {
	var b [1]byte
	sc, ok := nc.(syscall.Conn)
	if !ok { // not a system connection: read without blocking
		if nc.SetReadDeadline(time.Now()) != nil {
			return false
		}
		_, err := nc.Read(b[:])
		return errors.Is(err, os.ErrDeadlineExceeded) && nc.SetReadDeadline(time.Time{}) == nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
