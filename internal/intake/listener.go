package intake

import (
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Who gives way when all connections are taken.
const (
	silentGrace = 300 * time.Millisecond // a new connection has this long to bring its request
	idleGrace   = 2 * time.Second        // and one that has had an answer, to bring the next
	evictTries  = 8                      // connections looked at to make room for one
)

// Listener accepts clients' connections, so many at once. When all are taken it
// makes room rather than let newcomers wait: clients that have asked nothing, or
// ask nothing more, would otherwise shut out those that do. A connection with a
// whole request in hand is never closed.
type Listener struct {
	net.Listener
	limit int
	mu    sync.Mutex
	open  map[*Conn]bool
}

// NewListener returns a listener over l that holds limit connections at most.
func NewListener(l net.Listener, limit int) *Listener {
	return &Listener{Listener: l, limit: limit, open: map[*Conn]bool{}}
}

// Accept returns the next connection there is room for. A newcomer that comes
// while every other has a request in hand is closed at once, unread.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: nc, from: l, since: time.Now()}
		l.mu.Lock()
		room := len(l.open) < l.limit || l.evict()
		if room {
			l.open[c] = true
		}
		l.mu.Unlock()
		if room {
			return c, nil
		}
		nc.Close()
	}
}

// State is net/http's ConnState: it tells when a request has had its answer.
func (l *Listener) State(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*Conn); ok && s == http.StateIdle {
		c.mu.Lock()
		c.answered++
		c.since = time.Now()
		c.mu.Unlock()
	}
}

// evict closes the connection that is missed least. The lock is held. Only the one
// chosen is looked at on its socket: to look at all takes a call each, which under a
// flood of newcomers cost over a third of the gateway's time.
func (l *Listener) evict() bool {
	now := time.Now()
	spared := map[*Conn]bool{}
	for range evictTries {
		var last *Conn
		var worst wait
		for c := range l.open {
			if w, may := c.waits(now); may && !spared[c] && (last == nil || w.before(worst)) {
				last, worst = c, w
			}
		}
		if last == nil {
			return false
		}
		if worst.between && unread(last.Conn) { // its request has come and will be read
			spared[last] = true
			continue
		}
		delete(l.open, last)
		last.Conn.Close()
		return true
	}
	return false
}

// wait is how long a connection has brought nothing whole, and how far beyond
// what it may.
type wait struct {
	rank    int
	age     time.Duration
	between bool // no byte of a next request has been read
}

func (w wait) before(o wait) bool { return w.rank < o.rank || w.rank == o.rank && w.age > o.age }

// Conn is a client's connection.
type Conn struct {
	net.Conn
	from *Listener

	mu       sync.Mutex
	frame    framing
	answered int       // of the requests in frame
	since    time.Time // the connection came, or its last answer left
	spoilt   bool
	poison   []byte // what net/http reads in place of what must not be read
}

// waits tells how long the connection has been without a request in hand, and
// whether it has none.
func (c *Conn) waits(now time.Time) (wait, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frame.complete > c.answered {
		return wait{}, false
	}
	w := wait{rank: 2, age: now.Sub(c.since), between: c.frame.between() && !c.spoilt}
	switch {
	case c.answered == 0 && w.age > silentGrace:
		w.rank = 0
	case w.age > idleGrace:
		w.rank = 1
	}
	return w, true
}

// Read reads on. A request that is not framed in one clear way reads as one that
// cannot be read, and nothing is read after it: net/http answers 400 and closes.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		if c.spoilt {
			n := copy(p, c.poison)
			if c.poison = c.poison[n:]; n == 0 && len(p) > 0 {
				return 0, io.EOF
			}
			return n, nil
		}
		n, err := c.Conn.Read(p)
		c.mu.Lock()
		good, ferr := c.frame.next(p[:n])
		if ferr != nil {
			c.spoilt, c.poison = true, []byte("\x00\r\n\r\n")
		}
		c.mu.Unlock()
		if ferr == nil {
			return n, err
		}
		if good > 0 {
			return good, nil
		}
	}
}

// CloseWrite ends the sending alone, so that a client that still sends gets to
// read its error; net/http looks for it.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close makes room for another.
func (c *Conn) Close() error {
	c.from.mu.Lock()
	delete(c.from.open, c)
	c.from.mu.Unlock()
	return c.Conn.Close()
}

// unread tells whether bytes have come that nobody has read. It goes by Control,
// as the server's own read, which waits, holds the lock that Read would want.
func unread(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var b [1]byte
	some := false
	err = raw.Control(func(fd uintptr) {
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		some = n > 0 && e == nil
	})
	return err == nil && some
}
