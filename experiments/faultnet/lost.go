package faultnet

import (
	"cmp"
	"net"
	"slices"
)

// Directions is a set of directions of a connection.
type Directions uint8

// The directions, which may be combined.
const (
	ToServer Directions = 1 << iota // from the dialling process to the accepting one
	ToClient                        // from the accepting process to the dialling one
	Both     = ToServer | ToClient
)

// Activity is a state of a connection, given by the direction of the data that was sent last.
type Activity uint8

// The states of activity of a connection.
const (
	AnyActivity    Activity = iota
	Idle                    // the last data was sent to the client, or no data was sent
	AwaitingAnswer          // the last data was sent to the server
)

// matches reports whether a link has the given state of activity. The net's lock is held.
func (a Activity) matches(l *link) bool {
	return a == AnyActivity || (a == AwaitingAnswer) == l.unanswered
}

// Lose loses one open connection from one process to another, drawn from the net's seed among those in the
// given state of activity. Everything sent on it in these directions is then accepted and dropped, including
// the end of the stream. Neither process sees an error, and all other connections, existing and new, still
// work. Lose reports whether there was such a connection.
func (n *Net) Lose(from, to string, activity Activity, directions Directions) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	open := n.openLinks(from, to, activity)
	if len(open) == 0 {
		return false
	}
	open[n.rng.IntN(len(open))].lost |= directions
	return true
}

// LoseAll loses every open connection from one process to another in the given state of activity, as Lose
// does, and returns their number.
func (n *Net) LoseAll(from, to string, activity Activity, directions Directions) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	open := n.openLinks(from, to, activity)
	for _, l := range open {
		l.lost |= directions
	}
	return len(open)
}

// TakeDown simulates the loss of a machine: its open connections are lost permanently. So are those opened
// until BringUp, because their relay runs on this machine and accepts them nevertheless.
func (n *Net) TakeDown(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[name] = true
	for l := range n.links {
		if l.from == name || l.to == name {
			l.lost = Both
		}
	}
}

// BringUp ends the loss of a machine: new connections work, and those that were lost stay lost.
func (n *Net) BringUp(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.down, name)
}

// TapLost sets a function that observes the data sent on lost connections. A relay's goroutine calls it.
func (n *Net) TapLost(observe func(from, to string, b []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onLost = observe
}

func (n *Net) reportLost(p pair, b []byte) {
	n.mu.Lock()
	observe := n.onLost
	n.mu.Unlock()
	if observe != nil && len(b) > 0 {
		observe(p.from, p.to, b)
	}
}

// Sever with true loses all open connections from one process to another, and all that are opened until Sever
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

// openLinks returns the links of a pair that have the given state of activity and are not lost, oldest first.
// The net's lock is held.
func (n *Net) openLinks(from, to string, activity Activity) []*link {
	var open []*link
	for l := range n.links {
		if l.pair == (pair{from, to}) && l.lost == 0 && activity.matches(l) {
			open = append(open, l)
		}
	}
	slices.SortFunc(open, func(a, b *link) int { return cmp.Compare(a.number, b.number) })
	return open
}

// addLink registers a relayed connection. It returns false if the net is closed.
func (n *Net) addLink(p pair, client, server *net.TCPConn) (*link, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastNumber++
	l := &link{pair: p, client: client, server: server, number: n.lastNumber}
	if n.down[p.from] || n.down[p.to] || n.severed[p] {
		l.lost = Both
	}
	if !n.done { // otherwise Close has reset all links already and would wait for this one
		n.links[l] = true
	}
	return l, !n.done
}

func (n *Net) removeLink(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, l)
}

// allow records data in one direction of a link, and reports whether it is to be forwarded.
func (n *Net) allow(l *link, direction Directions) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l.lost&direction != 0 {
		return false
	}
	l.unanswered = direction == ToServer
	return true
}
