// Package upstream speaks HTTP/1.1 to engines on plain connections: it keeps a
// pool of them, makes attempts, lets go of held states and asks for load reports.
// What is said on them is a Dialect's matter.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"wellgw/internal/faultinject"
	"wellgw/internal/pause"
)

// Options are the figures of a pool.
type Options struct {
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // engines close idle connections after this at the latest
	MaxConns       int           // open at once, over all engines
	StreamSilence  time.Duration // a stream that says nothing for this long is broken off
	ReadBuffer     int           // bytes of each connection; 0 = leastBuffer
	Settle         time.Duration // from an answer to the next request on its connection; 0 = none. See get
	// Dial opens a connection; nil for the system's own. Tests give a network with faults.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// The pool's margins.
const (
	idlePart    = 0.5                    // of ConnIdle, after which an idle connection is retired
	briefIdle   = 300 * time.Millisecond // a connection opened for a probe waits so long for a request
	sweepEvery  = 200 * time.Millisecond // how often idle connections are looked at
	leastBuffer = 4 << 10
	connectPart = 0.95 // of the connect time-out, so that ours comes first

	firstReconnect = 5 * time.Millisecond   // after a connection that this machine failed, growing
	reconnectFor   = 150 * time.Millisecond // tried again for no longer
)

var (
	errTooMany = errors.New("all connections are in use")
	errHead    = errors.New("an answer's head is too long")
)

// conn is one connection to an engine.
type conn struct {
	net.Conn
	in       *bounded
	buffered *bufio.Reader // over in
	addr     string
	idle     time.Time // since when it has been idle
	until    time.Time // if set, it is retired once idle past this
	used     bool      // it has carried an exchange before
	calm     bool      // its last answer was a probe's, to which no second one comes
}

// Pool keeps idle connections to engines.
type Pool struct {
	opt  Options
	mu   sync.Mutex
	idle map[string][]*conn
	open int
}

// NewPool returns an empty pool. Sweep must run for idle connections to be watched.
func NewPool(opt Options) *Pool { return &Pool{opt: opt, idle: map[string][]*conn{}} }

// Sweep looks after idle connections until ctx ends, then closes them.
func (p *Pool) Sweep(ctx context.Context) {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			p.retire(func(*conn) bool { return true })
			return
		case now := <-t.C:
			p.retire(func(c *conn) bool { return p.stale(c, now) || !quiet(c.Conn) })
		}
	}
}

// stale tells whether a connection has been idle so long that its engine might
// close it just as the next request is written, which would end in a reset.
func (p *Pool) stale(c *conn, now time.Time) bool {
	if !c.until.IsZero() && now.After(c.until) {
		return true
	}
	return p.opt.ConnIdle > 0 && now.Sub(c.idle) > time.Duration(idlePart*float64(p.opt.ConnIdle))
}

func (p *Pool) retire(old func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if old(c) {
				c.Close()
				p.open--
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

// get returns an idle connection that its engine has not closed, or a new one. One that has
// had its answer just now is left alone: what comes on it next may be that answer once more,
// and nothing tells it from the next one's.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	return p.getWithin(ctx, addr, p.connectTimeout())
}

// connectTimeout is how long a connection for an attempt may take.
func (p *Pool) connectTimeout() time.Duration {
	return time.Duration(connectPart * float64(p.opt.ConnectTimeout))
}

// dialNew opens a connection whatever idle ones there are, within ctx's time.
func (p *Pool) dialNew(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	return p.dial(ctx, addr, 0)
}

// getWithin is get with a time-out of its own for a new connection; 0 leaves it to ctx.
func (p *Pool) getWithin(ctx context.Context, addr string, timeout time.Duration) (*conn, error) {
	p.mu.Lock()
	now := time.Now()
	for at := len(p.idle[addr]) - 1; at >= 0; at-- {
		c := p.idle[addr][at] // the newest first: the others may grow old and be retired
		if !c.calm && p.opt.Settle > 0 && now.Sub(c.idle) < p.opt.Settle {
			continue
		}
		if p.idle[addr] = slices.Delete(p.idle[addr], at, at+1); len(p.idle[addr]) == 0 {
			delete(p.idle, addr)
		}
		if !p.stale(c, now) && quiet(c.Conn) {
			p.mu.Unlock()
			c.until = time.Time{} // taken: it lives as any other
			return c, nil
		}
		c.Close()
		p.open--
	}
	return p.dial(ctx, addr, timeout)
}

// dial opens a connection within a time-out, 0 for ctx's alone. The lock is held and let go.
func (p *Pool) dial(ctx context.Context, addr string, timeout time.Duration) (*conn, error) {
	if p.opt.MaxConns > 0 && p.open >= p.opt.MaxConns && !p.evict() {
		p.mu.Unlock()
		return nil, errTooMany
	}
	p.open++
	p.mu.Unlock()
	nc, err := p.connect(ctx, addr, timeout)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, fmt.Errorf("connect to %s: %w", addr, err)
	}
	in := &bounded{from: nc, left: math.MaxInt64}
	return &conn{Conn: nc, in: in, buffered: bufio.NewReaderSize(in, max(p.opt.ReadBuffer, leastBuffer)), addr: addr}, nil
}

// connect opens a connection. What fails on this machine for a moment, such as for want of a free
// port, says nothing of the engine and is tried again for a moment: nothing has been written.
func (p *Pool) connect(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	if timeout > 0 {
		var done context.CancelFunc
		ctx, done = context.WithTimeout(ctx, timeout)
		defer done()
	}
	begun := time.Now()
	for wait := firstReconnect; ; wait *= 2 {
		nc, err := p.dialOnce(ctx, addr)
		if err == nil || !momentary(err) || time.Since(begun)+wait > reconnectFor {
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

// momentary tells whether a connection failed for want of something on this machine, or of a
// route from it, that may be there again a moment later.
func momentary(err error) bool {
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

// bounded reads no more than is left. The library would read a head of any length.
type bounded struct {
	from io.Reader
	left int64
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errHead
	}
	n, err := b.from.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// evict closes an idle connection of any engine to make room. The lock is held.
func (p *Pool) evict() bool {
	for addr, list := range p.idle {
		if len(list) > 0 {
			list[0].Close()
			p.idle[addr] = list[1:]
			p.open--
			return true
		}
	}
	return false
}

// putBrief gives back a connection that was opened for a call of no effect, such
// as a probe: it is kept only briefIdle for the request that the call came before.
// Among many gateways, every probe's connection kept for long would fill the few
// that an engine holds. One that had carried work before is kept as usual.
func (p *Pool) putBrief(c *conn) {
	if !c.used {
		c.until = time.Now().Add(briefIdle)
	}
	c.calm = true
	p.keep(c)
}

// put gives back a connection whose answer has been read to its end.
func (p *Pool) put(c *conn) {
	c.calm = false
	p.keep(c)
}

func (p *Pool) keep(c *conn) {
	c.used = true
	// More than the answer, such as a second one, would be taken for the next one's. What
	// has come and is not read yet is looked for when the connection is taken again.
	if c.buffered.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.drop(c)
		return
	}
	c.idle = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

func (p *Pool) drop(c *conn) {
	c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// quiet tells whether a connection is open with nothing to read. An engine that
// has closed its side, or has sent something unasked, gets no further request.
func quiet(nc net.Conn) bool {
	var b [1]byte
	sc, ok := nc.(syscall.Conn)
	if !ok { // of another make than the system's: read without waiting
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
