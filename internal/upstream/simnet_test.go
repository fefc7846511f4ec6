package upstream_test

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// simLink is the network between the gateway and one engine, in memory and, under synctest, in
// virtual time. Faults apply to all its connections.
type simLink struct {
	mu           sync.Mutex
	changed      chan struct{} // closed and replaced on every change
	delay        time.Duration // one way
	cut          bool          // no data passes, and connects do not complete
	healedAt     time.Time     // when the latest cut ended
	refused      bool          // new connections are refused
	connectDelay time.Duration // delay of a connect
	accept       func(net.Conn)
	conns        map[*simConn]bool // the gateway's ends of the connections
	opened       int               // number of connections so far
	waitStalled  func()            // waits while the gateway's process is stalled
}

func newSimLink(delay time.Duration, accept func(net.Conn), waitStalled func()) *simLink {
	return &simLink{changed: make(chan struct{}), delay: delay, accept: accept, conns: map[*simConn]bool{}, waitStalled: waitStalled}
}

// change updates the link under its lock and wakes all goroutines that wait for a change.
func (l *simLink) change(update func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update()
	l.wake()
}

// wake wakes all goroutines that wait for a change. The caller holds the lock.
func (l *simLink) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// reset breaks every connection of the link. Data that an engine has read before remains read.
func (l *simLink) reset() {
	l.change(func() {
		for c := range l.conns {
			c.broken, c.peer.broken = true, true
		}
		clear(l.conns)
	})
}

// lose loses one open connection, selected by a random number: data from the gateway never arrives
// on it and, with both, nor does data from its engine. It reports whether there was one.
func (l *simLink) lose(random int, both bool) bool {
	found := false
	l.change(func() {
		var open []*simConn
		for c := range l.conns {
			if !c.lost {
				open = append(open, c)
			}
		}
		if len(open) == 0 {
			return
		}
		slices.SortFunc(open, func(a, b *simConn) int { return cmp.Compare(a.number, b.number) })
		chosen := open[random%len(open)]
		chosen.lost, chosen.peer.lost, found = true, both, true
	})
	return found
}

// loseAll loses every open connection in both directions, as when a machine fails and returns.
func (l *simLink) loseAll() {
	l.change(func() {
		for c := range l.conns {
			c.lost, c.peer.lost = true, true
		}
	})
}

// maxConnectDelay is the longest connect delay at which an engine counts as reachable: a longer one
// uses most of releaseSlack.
const maxConnectDelay = releaseSlack / 3

// up reports whether the gateway can reach the engine.
func (l *simLink) up() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.cut && !l.refused && l.connectDelay <= maxConnectDelay
}

// cutSince reports whether the link was cut at any time since t.
func (l *simLink) cutSince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut || l.healedAt.After(t)
}

// dial opens a connection from the gateway.
func (l *simLink) dial(ctx context.Context) (net.Conn, error) {
	l.mu.Lock()
	ready := time.Now().Add(2*l.delay + l.connectDelay)
	for {
		if l.refused {
			l.mu.Unlock()
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		if !l.cut && !time.Now().Before(ready) {
			break
		}
		changed := l.changed
		l.mu.Unlock()
		wait := time.NewTimer(max(time.Until(ready), 0))
		if !time.Now().Before(ready) { // wait for the end of the cut
			wait.Reset(time.Hour)
		}
		select {
		case <-ctx.Done():
			wait.Stop()
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		case <-changed:
		case <-wait.C:
		}
		wait.Stop()
		l.mu.Lock()
	}
	l.opened++
	near, far := &simConn{link: l, number: l.opened, gatewayEnd: true}, &simConn{link: l}
	near.peer, far.peer = far, near
	l.conns[near] = true
	l.mu.Unlock()
	go l.accept(far)
	return near, nil
}

// segment is the data of one write, or the end of the stream of data, as the other end receives it.
type segment struct {
	at   time.Time
	data []byte
	end  bool
}

// simConn is one end of a connection. The lock of the link guards it.
type simConn struct {
	link            *simLink
	number          int  // of the gateway's end, in order of opening
	gatewayEnd      bool // this is the gateway's end
	peer            *simConn
	inbox           []segment
	broken          bool // reset
	closed          bool
	eofRead         bool      // the end of the other side's data has been read
	responseWritten bool      // at an engine's end: its response has been written completely
	lost            bool      // data from this end never arrives, nor does its close; no error shows
	lastSentTime    time.Time // when the other side wrote the data that was read last
	deadline        time.Time // for reads; writes never block
	unacknowledged  []segment // written, without an acknowledgement so far; at is its time of arrival
}

func (c *simConn) Read(p []byte) (int, error) {
	nonBlocking := c.readsWithoutBlocking()
	n, err := c.read(p)
	if !nonBlocking {
		c.waitStalled()
	}
	return n, err
}

// readsWithoutBlocking reports whether a read does not block: the pool's check of an idle
// connection, under the pool's lock.
func (c *simConn) readsWithoutBlocking() bool {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	return !c.deadline.IsZero() && !time.Now().Before(c.deadline)
}

// waitStalled waits while the process at this end is stalled.
func (c *simConn) waitStalled() {
	if c.gatewayEnd {
		c.link.waitStalled()
	}
}

func (c *simConn) read(p []byte) (int, error) {
	c.link.mu.Lock()
	for {
		now := time.Now()
		switch {
		case c.closed:
			c.link.mu.Unlock()
			return 0, net.ErrClosed
		case c.broken:
			c.link.mu.Unlock()
			return 0, &net.OpError{Op: "read", Err: syscall.ECONNRESET}
		}
		until := c.deadline
		if len(c.inbox) > 0 && !c.link.cut {
			first := &c.inbox[0]
			switch {
			case first.at.After(now):
				if until.IsZero() || first.at.Before(until) {
					until = first.at
				}
			case first.end:
				c.eofRead = true
				c.link.wake()
				c.link.mu.Unlock()
				return 0, io.EOF
			default:
				n := copy(p, first.data)
				c.lastSentTime = first.at.Add(-c.link.delay)
				if first.data = first.data[n:]; len(first.data) == 0 {
					c.inbox = c.inbox[1:]
				}
				c.link.mu.Unlock()
				return n, nil
			}
		}
		if !c.deadline.IsZero() && !now.Before(c.deadline) {
			c.link.mu.Unlock()
			return 0, &net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}
		}
		changed := c.link.changed
		c.link.mu.Unlock()
		wait := time.NewTimer(time.Hour)
		if !until.IsZero() {
			wait.Reset(time.Until(until))
		}
		select {
		case <-changed:
		case <-wait.C:
		}
		wait.Stop()
		c.link.mu.Lock()
	}
}

// lastSentAt returns when the other side wrote the data that was read last.
func (c *simConn) lastSentAt() time.Time {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	return c.lastSentTime
}

func (c *simConn) Write(p []byte) (int, error) {
	c.waitStalled()
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	switch {
	case c.closed:
		return 0, net.ErrClosed
	case c.broken || c.peer.closed:
		return 0, &net.OpError{Op: "write", Err: syscall.ECONNRESET}
	}
	if !c.lost {
		sent := segment{at: time.Now().Add(c.link.delay), data: append([]byte(nil), p...)}
		c.peer.inbox = append(c.peer.inbox, sent)
		c.unacknowledged = append(c.withoutAcknowledged(), sent)
	}
	c.link.wake()
	return len(p), nil
}

// Unacknowledged returns the number of bytes written whose acknowledgement has not arrived.
func (c *simConn) Unacknowledged() int {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	c.unacknowledged = c.withoutAcknowledged()
	size := 0
	for _, s := range c.unacknowledged {
		size += len(s.data)
	}
	return size
}

// withoutAcknowledged returns the segments whose acknowledgement has not arrived. The caller holds
// the lock of the link.
func (c *simConn) withoutAcknowledged() []segment {
	return slices.DeleteFunc(c.unacknowledged, func(s segment) bool { return !time.Now().Before(s.at.Add(c.link.delay)) })
}

func (c *simConn) Close() error {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	if !c.lost { // a lost connection stays in the link, so that the other end sees the reset of all links
		c.peer.inbox = append(c.peer.inbox, segment{at: time.Now().Add(c.link.delay), end: true})
		delete(c.link.conns, c)
	}
	c.link.wake()
	return nil
}

func (c *simConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

func (c *simConn) SetReadDeadline(t time.Time) error {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.deadline = t
	c.link.wake()
	return nil
}

func (c *simConn) SetWriteDeadline(time.Time) error { return nil }
func (c *simConn) LocalAddr() net.Addr              { return simAddr("gateway") }
func (c *simConn) RemoteAddr() net.Addr             { return simAddr("engine") }

type simAddr string

func (simAddr) Network() string  { return "sim" }
func (a simAddr) String() string { return string(a) }

var errUnknownAddress = errors.New("unknown engine address")

// abort resets the connection, as a process does that exits.
func (c *simConn) abort() {
	c.link.change(func() {
		if c.lost { // the gateway does not notice
			return
		}
		if !c.peer.closed && !c.unreadResponse() {
			c.broken, c.peer.broken = true, true
		}
		delete(c.link.conns, c.peer)
	})
}

// unreadResponse reports whether the gateway has data to read, which a reset would discard. The
// caller holds the lock.
func (c *simConn) unreadResponse() bool { return len(c.peer.inbox) > 0 }

// closeNoticed reports whether an engine has noticed that its client has closed the connection. The
// caller holds the lock.
func (c *simConn) closeNoticed() bool { return c.eofRead || c.closed }

// waitFor waits for a condition of the connection.
func (c *simConn) waitFor(condition func() bool) {
	for {
		c.link.mu.Lock()
		met, changed := condition(), c.link.changed
		c.link.mu.Unlock()
		if met {
			return
		}
		<-changed
	}
}

// peerLost reports whether data from the gateway no longer arrives at the engine.
func (c *simConn) peerLost() bool {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	return c.peer.lost
}
