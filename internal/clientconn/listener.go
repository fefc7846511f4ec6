package clientconn

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wellgw/decide/lifecycle"
	"wellgw/internal/accept"
)

// Limits for eviction and rejection when all connections are in use.
const (
	// A connection without a complete request for this time since its accept has eviction rank 0.
	newConnectionGrace = 300 * time.Millisecond
	// A connection that has been idle for this time since its last response has eviction rank 1.
	idleGrace = 2 * time.Second
	// Connections that are checked to free one slot.
	maxEvictAttempts = 8
	// From closing the sending side to closing the socket: the client receives its response meanwhile.
	lingerTime = 250 * time.Millisecond
	// Connections that may be in rejection concurrently, in addition to the limit.
	maxRejecting = 16
	// For the first byte of the request on a rejected connection.
	rejectReadTimeout = 50 * time.Millisecond
)

// Listener accepts a limited number of client connections. At the limit it evicts a connection for each
// new one, because idle clients would otherwise block active ones. A connection with a complete request
// in flight is never evicted.
type Listener struct {
	net.Listener
	limit        int
	service      atomic.Pointer[lifecycle.Service]
	mu           sync.Mutex
	open         map[*Conn]bool
	emptyWaiters []chan struct{} // each is closed when no connection is open
	sweepTimer   *time.Timer     // runs the next sweep; nil if none was ever scheduled
	sweepAt      time.Time
	rejecting    chan struct{} // semaphore for connections that are being rejected
	records      closeRecords
	readAhead    readAheadBudget
	serving      int           // connections that net/http has not finished, among them some that are no longer open
	finished     chan struct{} // receives when net/http has finished a connection
}

// NewListener returns a listener over l with at most limit open connections.
func NewListener(l net.Listener, limit int) *Listener {
	listener := &Listener{Listener: l, limit: limit, open: map[*Conn]bool{}, rejecting: make(chan struct{}, maxRejecting), finished: make(chan struct{}, 1)}
	listener.SetReadAheadBudget(defaultTotalBudget)
	full := lifecycle.FullService()
	listener.service.Store(&full)
	return listener
}

// Accept returns the next connection for which there is a slot. It rejects a connection that arrives
// at the limit while none can be evicted.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.awaitFinished()
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(nc, l)
		l.mu.Lock()
		accepted := len(l.open) < l.limit || l.evict()
		if accepted {
			l.open[c] = true
			l.serving++
		}
		l.mu.Unlock()
		if accepted {
			if !l.service.Load().KeepAlive {
				l.scheduleSweep(c.opened.Add(lifecycle.FirstByteTimeout))
			}
			return c, nil
		}
		l.reject(nc)
	}
}

// awaitFinished waits while net/http has too many connections to finish: what an evicted connection holds is
// free only when its goroutine has ended, which takes a while on a busy machine.
func (l *Listener) awaitFinished() {
	for {
		l.mu.Lock()
		room := l.serving < l.limit+l.limit/4+maxRejecting
		l.mu.Unlock()
		if room {
			return
		}
		<-l.finished
	}
}

// connectionFinished records that net/http has finished a connection.
func (l *Listener) connectionFinished() {
	l.mu.Lock()
	l.serving--
	l.mu.Unlock()
	select {
	case l.finished <- struct{}{}:
	default:
	}
}

// EvictOne evicts one connection, if one may be evicted.
func (l *Listener) EvictOne() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evict()
}

// reject closes a connection for which there is no slot. If the first byte of a request arrives within
// rejectReadTimeout, it first responds with status 503. If maxRejecting connections are already being
// rejected, it closes the connection without reading, and the client must retry. The goroutine ends
// within the sum of rejectReadTimeout, responseWriteTimeout and lingerTime.
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

// ConnState is an http.Server.ConnState. It records that a request has had its response.
func (l *Listener) ConnState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*Conn)
	if ok && s == http.StateClosed {
		l.connectionFinished()
	}
	if !ok || s != http.StateIdle {
		return
	}
	accept.YieldWhenIdle(nc, s)
	reusable := l.service.Load().KeepAlive
	switch last := c.requestAnswered(reusable); {
	case last: // bytes that have arrived meanwhile stay unread: the client resends them elsewhere
		_ = c.Close()
	case !reusable: // a part of the next request was read together with this one
		l.scheduleSweep(time.Now())
	}
}

// evict closes the connection that has been idle longest among those with the lowest eviction rank, and
// reports whether there was one. The caller holds l.mu. Only the selected connection's socket is
// checked for unread bytes: checking all takes one system call per connection, which cost over a third
// of the gateway's CPU time under a flood of connections.
func (l *Listener) evict() bool {
	now := time.Now()
	skipped := map[*Conn]bool{}
	for range maxEvictAttempts {
		var victim *Conn
		var victimIdle idleness
		for c := range l.open {
			if idle, evictable := c.idleness(now); evictable && !skipped[c] && (victim == nil || idle.before(victimIdle)) {
				victim, victimIdle = c, idle
			}
		}
		if victim == nil {
			return false
		}
		if victimIdle.betweenRequests && !victim.closeReadIfIdle() {
			// Its next request has arrived and will be read.
			skipped[victim] = true
			continue
		}
		l.removeLocked(victim)
		victim.respondToPartial(serviceUnavailable, ClosedEvicted)
		victim.recordClose()
		victim.closeSocket()
		return true
	}
	return false
}

// idleness describes a connection without a complete request in flight. It determines the order of
// eviction.
type idleness struct {
	evictionRank    int           // the lowest rank is evicted first
	age             time.Duration // since the connection was accepted or its last response was written
	betweenRequests bool          // no byte of the next request has been read
}

// before reports whether a connection with idleness i is evicted before one with idleness o.
func (i idleness) before(o idleness) bool {
	return i.evictionRank < o.evictionRank || i.evictionRank == o.evictionRank && i.age > o.age
}
