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

// Limits for eviction and rejection when all connections are in use.
const (
	newConnectionGrace = 300 * time.Millisecond // from accept to the first request before a connection may be evicted first
	idleGrace          = 2 * time.Second        // from a response to the next request, likewise
	maxEvictAttempts   = 8                      // connections checked to free one slot
	lingerTime         = 250 * time.Millisecond // from closing the sending side to the close: by then the client has its response
	maxRejecting       = 16                     // connections that are being rejected at once, beyond the limit
	rejectReadTimeout  = 50 * time.Millisecond  // for the request on a connection that is rejected
)

// Listener accepts a limited number of client connections. When all are in use it evicts one rather
// than let new ones wait: idle clients would otherwise starve active ones. A connection with a
// complete request in flight is never evicted.
type Listener struct {
	net.Listener
	limit        int
	service      atomic.Pointer[lifecycle.Service]
	mu           sync.Mutex
	open         map[*Conn]bool
	emptyWaiters []chan struct{} // closed once no connection is open
	sweepTimer   *time.Timer     // of the next sweep; nil before the first
	sweepDue     time.Time
	rejecting    chan struct{} // semaphore of connections that are being rejected
	records      closeRecords
}

// NewListener returns a listener over l with at most limit open connections.
func NewListener(l net.Listener, limit int) *Listener {
	out := &Listener{Listener: l, limit: limit, open: map[*Conn]bool{}, rejecting: make(chan struct{}, maxRejecting)}
	full := lifecycle.FullService()
	out.service.Store(&full)
	return out
}

// Accept returns the next connection for which there is a slot. A connection that arrives while all
// others have a request in flight is rejected.
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
			if !l.service.Load().KeepAlive {
				l.scheduleSweep(c.opened.Add(lifecycle.FirstByteTimeout))
			}
			return c, nil
		}
		l.reject(nc)
	}
}

// EvictOne evicts a connection, if one may be evicted.
func (l *Listener) EvictOne() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evict()
}

// reject closes a connection for which there is no slot. If its request arrives in time, it is answered
// first. If too many are being answered, it is closed unread, and its client has to retry. The
// goroutine ends within rejectReadTimeout, responseWriteTimeout and lingerTime.
func (l *Listener) reject(nc net.Conn) {
	l.records.add(ClosedNoSlot)
	select {
	case l.rejecting <- struct{}{}:
	default:
		nc.Close()
		return
	}
	go func() {
		defer func() { <-l.rejecting }()
		defer nc.Close()
		_ = nc.SetReadDeadline(time.Now().Add(rejectReadTimeout))
		if n, _ := nc.Read(make([]byte, 1)); n == 0 {
			return
		}
		_ = nc.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
		if _, err := io.WriteString(nc, serviceUnavailable); err != nil {
			return
		}
		if half, ok := nc.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
			time.Sleep(lingerTime)
		}
	}()
}

// ConnState is an http.Server.ConnState: it shows when a request has had its response.
func (l *Listener) ConnState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok || s != http.StateIdle {
		return
	}
	reusable := l.service.Load().KeepAlive
	switch over := c.requestAnswered(reusable); {
	case over: // what has arrived meanwhile is not read: its client sends it elsewhere
		_ = c.Close()
	case !reusable: // part of the next request was read with this one
		l.scheduleSweep(time.Now())
	}
}

// evict closes the connection with the lowest eviction rank that has been idle longest. The lock is
// held. Only the chosen one's socket is checked: checking all takes a system call each, which under a
// flood of connections cost over a third of the gateway's CPU time.
func (l *Listener) evict() bool {
	now := time.Now()
	spared := map[*Conn]bool{}
	for range maxEvictAttempts {
		var last *Conn
		var worst idleness
		for c := range l.open {
			if w, may := c.idleness(now); may && !spared[c] && (last == nil || w.before(worst)) {
				last, worst = c, w
			}
		}
		if last == nil {
			return false
		}
		if worst.betweenRequests && !last.shutIfIdle() { // its request has arrived and will be read
			spared[last] = true
			continue
		}
		l.forget(last)
		last.respondToPartial(serviceUnavailable, ClosedEvicted)
		last.recordClose()
		last.Conn.Close()
		return true
	}
	return false
}

// idleness is how long a connection has been without a complete request, and how soon it may be
// evicted.
type idleness struct {
	evictionRank    int
	age             time.Duration
	betweenRequests bool // no byte of the next request has been read
}

func (w idleness) before(o idleness) bool {
	return w.evictionRank < o.evictionRank || w.evictionRank == o.evictionRank && w.age > o.age
}
