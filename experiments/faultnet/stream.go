package faultnet

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// chunkSize is the maximum number of bytes forwarded in one step.
const chunkSize = 16 << 10

// link is one relayed connection.
type link struct {
	pair
	client, server *net.TCPConn
	number         uint64     // in the order in which links were opened
	lost           Directions // data in these directions is dropped; guarded by the net's lock
	unanswered     bool       // the last data was sent to the server; guarded by the net's lock
}

// Dial opens a relay for connections from one process to another, and returns the address that the first
// process must dial. The address of the second process is looked up for each connection, so that it may
// change (see SetListener). The rules of both directions apply: a delay applies to each chunk, and Loss and
// Double have no effect, because a stream loses and duplicates no data. A cut delays the data and closes no
// connection, as a cut cable does; Reset closes connections.
func (n *Net) Dial(from, to string) (addr string, err error) {
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", fmt.Errorf("relay from %s to %s: %w", from, to, err)
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	n.wg.Go(func() {
		for {
			conn, err := l.AcceptTCP()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				n.wg.Go(func() { n.connect(pair{from, to}, conn) })
			}
		}
	})
	return l.Addr().String(), nil
}

// SetListener sets the address at which a process accepts connections.
func (n *Net) SetListener(name, addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.backends[name] = addr
}

// Reset resets all connections from one process to another, as the restart of a machine does.
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
	for _, c := range []*net.TCPConn{l.client, l.server} {
		_ = c.SetLinger(0)
		c.Close()
	}
}

// connect relays one connection. While the direction to the server is cut or stalled, it waits before it
// connects to the server.
func (n *Net) connect(p pair, client *net.TCPConn) {
	defer client.Close()
	if !n.waitOpen(p) {
		return
	}
	n.mu.Lock()
	addr := n.backends[p.to]
	n.mu.Unlock()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		_ = client.SetLinger(0) // the relay has accepted already, so a refused connection becomes a reset
		return
	}
	server := conn.(*net.TCPConn)
	defer server.Close()
	l, open := n.addLink(p, client, server)
	if !open {
		return
	}
	defer n.removeLink(l)
	var directions sync.WaitGroup
	directions.Go(func() { n.relayStream(l, ToServer) })
	directions.Go(func() { n.relayStream(l, ToClient) })
	directions.Wait()
}

// relayStream forwards the data of one direction of a connection until it ends. It forwards the end of the
// stream, and resets the other side after an error. Where the direction is lost, it forwards neither.
func (n *Net) relayStream(l *link, direction Directions) {
	p, from, to := l.pair, l.client, l.server
	if direction == ToClient {
		p, from, to = pair{l.to, l.from}, l.server, l.client
	}
	buf := make([]byte, chunkSize)
	for {
		size, err := from.Read(buf)
		if !n.waitOpen(p) {
			return
		}
		n.mu.Lock()
		wait := n.delay(n.rules[p])
		n.Relayed++
		n.mu.Unlock()
		time.Sleep(wait)
		if !n.allow(l, direction) {
			n.reportLost(p, buf[:size])
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

// waitOpen waits until a direction is neither cut nor stalled. It returns false when the net is closed.
func (n *Net) waitOpen(p pair) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for !n.done && (n.rules[p].Cut || n.rules[p].Stall) {
		n.changed.Wait()
	}
	return !n.done
}
