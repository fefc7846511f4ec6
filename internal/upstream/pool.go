// Package upstream is an HTTP/1.1 client for engines over plain TCP connections: it pools
// connections, makes attempts, releases held state and requests load reports. A Dialect builds the
// calls and parses the responses.
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
	MaxConns             int           // maximum open connections, over all engines
	StreamSilenceTimeout time.Duration // a stream without a further event for this long is aborted
	ReadBuffer           int           // bytes per connection; 0 = minReadBuffer
	// Dial opens a connection; nil for net.Dialer. Tests inject a network with faults.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  *slog.Logger // logs each closed connection at level debug; nil for no log
}

// Timeouts and limits of the pool.
const (
	idleFraction           = 0.5                    // of ServerIdleTimeout; idle connections are closed after it
	probeIdleTimeout       = 300 * time.Millisecond // idle timeout of a connection that was opened for a probe
	sweepInterval          = 200 * time.Millisecond // between checks of idle connections
	minReadBuffer          = 4 << 10
	connectTimeoutFraction = 0.95 // of the connect timeout, so that the gateway's own timeout expires first

	// reuseDelay is the time for which a connection must have been silent after a response before it carries
	// another request. An engine may send a response a second time, some milliseconds late.
	reuseDelay = 30 * time.Millisecond

	initialReconnectBackoff = 5 * time.Millisecond   // after a transient local failure; doubles
	maxReconnectTime        = 150 * time.Millisecond // limit on the total time of these retries
)

var (
	errPoolExhausted = errors.New("all connections are in use")
	errHeadTooLong   = errors.New("response head is too long")
)

// conn is one connection to an engine.
type conn struct {
	net.Conn
	id         heldstate.ConnectionNumber
	reader     *limitedReader
	buffered   *bufio.Reader // over reader
	addr       string
	idleSince  time.Time // start of its idle time
	retireAt   time.Time // if set, the connection is closed when it is idle after this time
	reused     bool      // it has carried an exchange before
	afterProbe bool      // its last response was to a probe, which engines never send twice
	callSize   int       // bytes of the last call written
}

// Pool keeps idle connections to engines.
type Pool struct {
	opt        Options
	reuseDelay time.Duration
	mu         sync.Mutex
	idle       map[string][]*conn
	open       int
	lastID     heldstate.ConnectionNumber
}

// NewPool returns an empty pool. Idle connections are closed only while Sweep runs.
func NewPool(opt Options) *Pool {
	return &Pool{opt: opt, reuseDelay: reuseDelay, idle: map[string][]*conn{}}
}

// Sweep closes stale idle connections until ctx ends, then all idle ones.
func (p *Pool) Sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
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

// unusable returns why an idle connection can no longer carry a request, "" if it can.
func (p *Pool) unusable(c *conn, now time.Time) closeReason {
	switch {
	case p.stale(c, now):
		return closedStale
	case !openAndEmpty(c.Conn):
		return closedByEngine
	}
	return ""
}

// retire closes the idle connections for which check returns a reason.
func (p *Pool) retire(check func(*conn) closeReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, conns := range p.idle {
		remaining := conns[:0]
		for _, c := range conns {
			if reason := check(c); reason != "" {
				p.closeLocked(c, reason)
				continue
			}
			remaining = append(remaining, c)
		}
		clear(conns[len(remaining):])
		if p.idle[addr] = remaining; len(remaining) == 0 {
			delete(p.idle, addr)
		}
	}
}

// get returns an idle connection that its engine has not closed, or a new one. It skips a
// connection whose last response arrived within reuseDelay: the engine may send that response a
// second time, which could not be distinguished from the response to the next request.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	return p.getWithTimeout(ctx, addr, p.connectTimeout())
}

// connectTimeout returns the timeout of a connect for an attempt.
func (p *Pool) connectTimeout() time.Duration {
	return time.Duration(connectTimeoutFraction * float64(p.opt.ConnectTimeout))
}

// getForRelease is get with ctx as the only timeout of a new connection.
func (p *Pool) getForRelease(ctx context.Context, addr string) (*conn, error) {
	return p.getWithTimeout(ctx, addr, 0)
}

// dialNew opens a connection even if idle ones exist, with ctx as the only timeout.
func (p *Pool) dialNew(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	return p.dial(ctx, addr, 0)
}

// getWithTimeout is get with a timeout for a new connection; 0 for the deadline of ctx alone.
func (p *Pool) getWithTimeout(ctx context.Context, addr string, timeout time.Duration) (*conn, error) {
	p.mu.Lock()
	now := time.Now()
	for i := len(p.idle[addr]) - 1; i >= 0; i-- {
		c := p.idle[addr][i] // newest first, so that older ones become stale and are closed
		if !c.afterProbe && now.Sub(c.idleSince) < p.reuseDelay {
			continue
		}
		if p.idle[addr] = slices.Delete(p.idle[addr], i, i+1); len(p.idle[addr]) == 0 {
			delete(p.idle, addr)
		}
		reason := p.unusable(c, now)
		if reason == "" {
			p.mu.Unlock()
			c.retireAt = time.Time{} // in use now, so a later idle period has no special timeout
			return c, nil
		}
		p.closeLocked(c, reason)
	}
	return p.dial(ctx, addr, timeout)
}

// dial opens a connection within a timeout, 0 for the deadline of ctx alone. The caller holds the
// lock; dial unlocks it.
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
	reader := &limitedReader{source: nc, remaining: math.MaxInt64, opened: time.Now()}
	return &conn{Conn: nc, id: id, reader: reader, buffered: bufio.NewReaderSize(reader, max(p.opt.ReadBuffer, minReadBuffer)), addr: addr}, nil
}

// connect opens a connection. A transient local failure, such as a lack of free ports, is no
// evidence about the engine. It is retried for up to maxReconnectTime, which is safe because
// nothing has been written.
func (p *Pool) connect(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	if timeout > 0 {
		var done context.CancelFunc
		ctx, done = context.WithTimeout(ctx, timeout)
		defer done()
	}
	started := time.Now()
	for backoff := initialReconnectBackoff; ; backoff *= 2 {
		nc, err := p.dialOnce(ctx, addr)
		if err == nil || !isTransient(err) || time.Since(started)+backoff > maxReconnectTime {
			return nc, err
		}
		if pause.Sleep(ctx, backoff); ctx.Err() != nil {
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

// isTransient reports whether a connect failed for lack of a local resource or route that may
// become available shortly.
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

// limitedReader fails once remaining bytes have been read. http.ReadResponse alone would read a
// head of any length.
type limitedReader struct {
	source    io.Reader
	remaining int64
	opened    time.Time
	firstRead atomic.Int64 // when the first byte was read, in nanoseconds since opened; 0 for never
	lastRead  atomic.Int64 // when the latest byte was read, likewise
}

func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	b.recordRead(n)
	return n, err
}

// evict closes an idle connection of any engine to free a slot. The caller holds the lock.
func (p *Pool) evict() bool {
	for addr, conns := range p.idle {
		if len(conns) > 0 {
			p.closeLocked(conns[0], closedEvicted)
			p.idle[addr] = conns[1:]
			return true
		}
	}
	return false
}

// putAfterProbe pools a connection after a call without side effects, such as a probe. A connection
// that was opened for that call stays idle for at most probeIdleTimeout, which is enough for the
// request that the probe preceded: with many gateways, the connections of all probes would exhaust
// the few that an engine accepts.
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
	// Bytes after the response, such as a second response, would be read as the next response.
	// Bytes that have arrived and are not buffered yet are checked for when the connection is
	// reused.
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
func (p *Pool) discard(c *conn, reason closeReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c, reason)
}

// closeLocked closes a connection. The caller holds the lock.
func (p *Pool) closeLocked(c *conn, reason closeReason) {
	c.Close()
	p.open--
	p.logClosed(c, reason)
}
