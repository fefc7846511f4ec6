package faultnet

import (
	"cmp"
	"net"
	"slices"
)

// Directions are directions of a connection, from the side of who dialled it.
type Directions uint8

// The directions, which may be combined.
const (
	ToServer Directions = 1 << iota // to who was dialled
	ToClient                        // to who dialled
	Both     = ToServer | ToClient
)

// Use is what a connection does at a moment.
type Activity uint8

// The uses of connections.
const (
	AnyActivity    Activity = iota
	Idle                    // what came last was an answer, or nothing has come
	AwaitingAnswer          // something was sent toward who was dialled, and no answer has come yet
)

// matches reports whether a link is in a use. The net's lock is held.
func (u Activity) matches(l *link) bool {
	return u == AnyActivity || (u == AwaitingAnswer) == l.unanswered
}

// Lose loses one open connection from one process to another, drawn from the net's seed among those in a
// use. What is sent on it that way is taken and dropped from then on, the end of the sending included; no
// side sees an error, and all other connections, old and new, go on. It reports whether there was one.
func (n *Net) Lose(from, to string, use Activity, ways Directions) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	open := n.openLinks(from, to, use)
	if len(open) == 0 {
		return false
	}
	open[n.rng.IntN(len(open))].lost |= ways
	return true
}

// LoseAll loses every open connection from one process to another that is in a use, and returns how
// many there were.
func (n *Net) LoseAll(from, to string, use Activity, ways Directions) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	open := n.openLinks(from, to, use)
	for _, l := range open {
		l.lost |= ways
	}
	return len(open)
}

// Vanish has a machine vanish: its open connections are lost for good. So are those opened until Return,
// as their relay on this machine takes them all the same.
func (n *Net) TakeDown(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vanished[name] = true
	for l := range n.links {
		if l.from == name || l.to == name {
			l.lost = Both
		}
	}
}

// Return has a machine come back: new connections work, and those that were lost stay lost.
func (n *Net) BringUp(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.vanished, name)
}

// TapLost has somebody told of what was sent on a lost connection, from a relay's goroutine.
func (n *Net) TapLost(tell func(from, to string, b []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onLost = tell
}

func (n *Net) tellLost(p pair, b []byte) {
	n.mu.Lock()
	tell := n.onLost
	n.mu.Unlock()
	if tell != nil && len(b) > 0 {
		tell(p.from, p.to, b)
	}
}

// Sever loses all connections from one process to another, those that are open and those opened until it
// is called with false.
func (n *Net) Sever(from, to string, severed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.severed[pair{from, to}] = severed; !severed {
		return
	}
	for l := range n.links {
		if l.pair == (pair{from, to}) {
			l.lost = Both
		}
	}
}

// openLinks returns the links of a pair that are in a use and not lost yet, the oldest first. The lock is held.
func (n *Net) openLinks(from, to string, use Activity) []*link {
	var open []*link
	for l := range n.links {
		if l.pair == (pair{from, to}) && l.lost == 0 && use.matches(l) {
			open = append(open, l)
		}
	}
	slices.SortFunc(open, func(a, b *link) int { return cmp.Compare(a.number, b.number) })
	return open
}

// addLink records a connection that is carried from now on; false if the net is closed.
func (n *Net) addLink(p pair, in, out *net.TCPConn) (*link, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastLink++
	l := &link{pair: p, in: in, out: out, number: n.lastLink}
	if n.vanished[p.from] || n.vanished[p.to] || n.severed[p] {
		l.lost = Both
	}
	if !n.over { // Close has reset all links and would wait for this one
		n.links[l] = true
	}
	return l, !n.over
}

func (n *Net) removeLink(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, l)
}

// passes records that something is carried one way of a link, and reports whether it arrives.
func (n *Net) passes(l *link, way Directions) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l.lost&way != 0 {
		return false
	}
	l.unanswered = way == ToServer
	return true
}
