package faultnet

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// chunk is how much of a connection is carried at once.
const chunk = 16 << 10

// link is one connection that is carried, from its dialler to who listens.
type link struct {
	pair
	in, out    *net.TCPConn
	number     uint64     // in order of opening
	lost       Directions // on which what is sent is dropped; the net's lock guards it
	unanswered bool       // something was sent toward out, and nothing has come back since; likewise
}

// Dial opens a way by which one process connects to another, and returns the address that
// the first is to be told. The dialled side is found at the time of each connection, so that
// it may move (see Listens). The rules of both directions hold for what is carried: a delay
// is per chunk, and Loss and Double mean nothing, as connections lose and double nothing.
// A cut holds what comes and ends no connection, as a cut wire does; Reset ends them.
func (n *Net) Dial(from, to string) (addr string, err error) {
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", fmt.Errorf("way from %s to %s: %w", from, to, err)
	}
	n.mu.Lock()
	n.doors = append(n.doors, l)
	n.mu.Unlock()
	n.group.Go(func() {
		for {
			conn, err := l.AcceptTCP()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				n.group.Go(func() { n.connect(pair{from, to}, conn) })
			}
		}
	})
	return l.Addr().String(), nil
}

// Listens says where a process takes connections.
func (n *Net) SetListener(name, addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listen[name] = addr
}

// Reset ends all connections from one process to another, as a machine that restarts does.
func (n *Net) Reset(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.pair == (pair{from, to}) {
			l.reset()
		}
	}
}

func (l *link) reset() {
	for _, c := range []*net.TCPConn{l.in, l.out} {
		_ = c.SetLinger(0)
		c.Close()
	}
}

// connect carries one connection. Before the dialled side is reached, a cut of the way there
// keeps the dialler waiting.
func (n *Net) connect(p pair, in *net.TCPConn) {
	defer in.Close()
	if !n.open(p) {
		return
	}
	n.mu.Lock()
	to := n.listen[p.to]
	n.mu.Unlock()
	conn, err := net.Dial("tcp4", to)
	if err != nil {
		_ = in.SetLinger(0) // refused there, reset here
		return
	}
	out := conn.(*net.TCPConn)
	defer out.Close()
	l, open := n.addLink(p, in, out)
	if !open {
		return
	}
	defer n.removeLink(l)
	var both sync.WaitGroup
	both.Go(func() { n.carry(l, ToServer) })
	both.Go(func() { n.carry(l, ToClient) })
	both.Wait()
}

// carry moves one direction of a connection until it ends. An orderly end is passed on as
// such; a broken one breaks the other side. Where the direction is lost, neither is passed on.
func (n *Net) carry(l *link, way Directions) {
	p, from, to := l.pair, l.in, l.out
	if way == ToClient {
		p, from, to = pair{l.to, l.from}, l.out, l.in
	}
	buf := make([]byte, chunk)
	for {
		size, err := from.Read(buf)
		if !n.open(p) {
			return
		}
		n.mu.Lock()
		wait := n.wait(n.rules[p])
		n.Relayed++
		n.mu.Unlock()
		time.Sleep(wait)
		if !n.passes(l, way) {
			n.tellLost(p, buf[:size])
			if err != nil {
				return
			}
			continue
		}
		if size > 0 {
			if _, err := to.Write(buf[:size]); err != nil {
				_ = from.SetLinger(0)
				from.Close()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			to.Close()
			return
		}
	}
}

// open waits until a direction is neither cut nor stalled; false when the net is closed.
func (n *Net) open(p pair) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for !n.over && (n.rules[p].Cut || n.rules[p].Stall) {
		n.changed.Wait()
	}
	return !n.over
}
