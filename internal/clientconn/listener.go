package clientconn

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wellgw/decide/lifecycle"
)

// Who gives way when all connections are taken.
const (
	silentGrace = 300 * time.Millisecond // a new connection has this long to bring its request
	idleGrace   = 2 * time.Second        // and one that has had an answer, to bring the next
	evictTries  = 8                      // connections looked at to make room for one
	lingerFor   = 250 * time.Millisecond // from the end of the sending to the close: a client's answer has arrived
	rejectMost  = 16                     // newcomers rejected at once: they are beyond the limit
	rejectWait  = 50 * time.Millisecond  // for the request of a newcomer that is rejected
)

// Listener accepts clients' connections, so many at once. When all are taken it
// makes room rather than let newcomers wait: clients that have asked nothing, or
// ask nothing more, would otherwise shut out those that do. A connection with a
// whole request in hand is never closed.
type Listener struct {
	net.Listener
	limit     int
	service   atomic.Pointer[lifecycle.Service]
	mu        sync.Mutex
	open      map[*Conn]bool
	emptied   []chan struct{} // closed once no connection is open
	alarm     *time.Timer     // of the next sweep; nil before the first
	alarmAt   time.Time
	rejecting chan struct{} // bounds the newcomers that are being rejected
	records   records
}

// NewListener returns a listener over l that holds limit connections at most.
func NewListener(l net.Listener, limit int) *Listener {
	out := &Listener{Listener: l, limit: limit, open: map[*Conn]bool{}, rejecting: make(chan struct{}, rejectMost)}
	full := lifecycle.FullService()
	out.service.Store(&full)
	return out
}

// Accept returns the next connection there is room for. A newcomer that comes
// while every other has a request in hand is rejected.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(nc, l)
		l.mu.Lock()
		room := len(l.open) < l.limit || l.evict()
		if room {
			l.open[c] = true
		}
		l.mu.Unlock()
		if room {
			if !l.service.Load().Reusable {
				l.scheduleSweep(c.opened.Add(lifecycle.NewConnection))
			}
			return c, nil
		}
		l.reject(nc)
	}
}

// MakeRoom closes the connection that is missed least, where one may be closed.
func (l *Listener) MakeRoom() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evict()
}

// reject closes a newcomer for whom there is no room. One whose request comes is answered
// first. Where too many are being answered it is closed unread: its client sends once more.
func (l *Listener) reject(nc net.Conn) {
	l.records.add(ClosedNoRoom)
	select {
	case l.rejecting <- struct{}{}:
	default:
		nc.Close()
		return
	}
	go func() {
		defer func() { <-l.rejecting }()
		defer nc.Close()
		_ = nc.SetReadDeadline(time.Now().Add(rejectWait))
		if n, _ := nc.Read(make([]byte, 1)); n == 0 {
			return
		}
		_ = nc.SetWriteDeadline(time.Now().Add(answerWithin))
		if _, err := io.WriteString(nc, noRoom); err != nil {
			return
		}
		if half, ok := nc.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
			time.Sleep(lingerFor)
		}
	}()
}

// State is net/http's ConnState: it tells when a request has had its answer.
func (l *Listener) State(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok || s != http.StateIdle {
		return
	}
	reusable := l.service.Load().Reusable
	switch over := c.answeredOne(reusable); {
	case over: // what has come meanwhile is not read: its client sends it elsewhere
		_ = c.Close()
	case !reusable: // half a request has been read with the one before it
		l.scheduleSweep(time.Now())
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
		if worst.between && !last.shutIfIdle() { // its request has come and will be read
			spared[last] = true
			continue
		}
		l.forget(last)
		last.answerPartial(noRoom, ClosedForRoom)
		last.record()
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
