// Package faultnet puts faults between real processes on loopback, in user space: a relay
// before each process, with a rule for each direction of each pair, for datagrams (Port) and
// for connections (Dial).
package faultnet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Rule is what happens to what goes in one direction. The zero value lets all pass at once.
type Rule struct {
	Cut    bool          `json:"cut,omitempty"`
	Stall  bool          `json:"stall,omitempty"` // held until the rule ends; the oldest are lost beyond a bound
	Loss   float64       `json:"loss,omitempty"`  // part lost
	Double float64       `json:"double,omitempty"`
	Delay  time.Duration `json:"delay,omitempty"`
	Jitter time.Duration `json:"jitter,omitempty"` // drawn anew for each, so that they overtake each other
}

// stalled is the most datagrams that a stalled direction holds.
const stalled = 1024

type pair struct{ from, to string }

// Net is a set of relays. It is safe for concurrent use.
type Net struct {
	mu      sync.Mutex
	rng     *rand.Rand
	ports   map[string]*Port
	names   map[netip.AddrPort]string // of who is behind the relays, by where they send from
	rules   map[pair]Rule
	held    map[pair][][]byte
	tap     func(from, to string, b []byte)
	onLost  func(from, to string, b []byte)
	Relayed uint64 // datagrams, and parts of connections, passed on
	group   sync.WaitGroup

	listen   map[string]string // where processes take connections
	doors    []net.Listener
	links    map[*link]bool
	lastLink uint64 // the number of the link that was opened last
	severed  map[pair]bool
	vanished map[string]bool
	changed  *sync.Cond // a rule, or over
	over     bool
}

// Port is the relay before one process.
type Port struct {
	name   string
	conn   *net.UDPConn
	behind netip.AddrPort
}

// New returns a net without faults; all its chance comes from seed.
func New(seed uint64) *Net {
	n := &Net{
		rng: rand.New(rand.NewPCG(seed, 3)), ports: map[string]*Port{}, names: map[netip.AddrPort]string{},
		rules: map[pair]Rule{}, held: map[pair][][]byte{}, listen: map[string]string{}, links: map[*link]bool{}, vanished: map[string]bool{}, severed: map[pair]bool{},
	}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// Port opens the relay before a process, whose address the others are to be told.
func (n *Net) OpenPort(name string) (addr string, err error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", fmt.Errorf("relay of %s: %w", name, err)
	}
	p := &Port{name: name, conn: conn}
	n.mu.Lock()
	n.ports[name] = p
	n.mu.Unlock()
	n.group.Go(func() { n.relay(p) })
	return conn.LocalAddr().String(), nil
}

// Behind says where the process behind a relay listens, and sends from. After a restart it
// is said anew.
func (n *Net) SetBackend(name, addr string) error {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("relay of %s: %w", name, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.ports[name]
	delete(n.names, p.behind)
	p.behind = at
	n.names[at] = name
	return nil
}

// Set gives a direction a rule. What a stall has held goes on its way when it ends.
func (n *Net) SetRule(from, to string, r Rule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := pair{from, to}
	n.rules[k] = r
	n.changed.Broadcast()
	if !r.Stall {
		for _, b := range n.held[k] {
			n.pass(n.ports[to], b, r)
		}
		delete(n.held, k)
	}
}

// Tap has somebody told of every datagram before any rule, from a relay's goroutine.
func (n *Net) Tap(tell func(from, to string, b []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tap = tell
}

// All gives every direction between the names a rule.
func (n *Net) SetAll(names []string, r Rule) {
	for _, a := range names {
		for _, b := range names {
			if a != b {
				n.SetRule(a, b, r)
			}
		}
	}
}

func (n *Net) relay(p *Port) {
	buf := make([]byte, 64<<10)
	for {
		size, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if n.closed(p) {
				return
			}
			continue // what was passed to a process that is gone
		}
		n.mu.Lock()
		n.take(p, n.names[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())], append([]byte(nil), buf[:size]...))
		n.mu.Unlock()
	}
}

func (n *Net) closed(p *Port) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ports[p.name] != p
}

// take decides on one datagram. One of a process that is not known passes: it is one that
// has just started.
func (n *Net) take(p *Port, from string, b []byte) {
	k := pair{from, p.name}
	r := n.rules[k]
	if n.tap != nil {
		n.tap(from, p.name, b)
	}
	switch {
	case r.Cut || n.rng.Float64() < r.Loss:
	case r.Stall:
		n.held[k] = append(n.held[k], b)
		if over := len(n.held[k]) - stalled; over > 0 {
			n.held[k] = n.held[k][over:]
		}
	default:
		n.pass(p, b, r)
		if n.rng.Float64() < r.Double {
			n.pass(p, b, r)
		}
	}
}

// pass sends a datagram on, at once or later.
func (n *Net) pass(p *Port, b []byte, r Rule) {
	wait := n.wait(r)
	n.Relayed++
	if wait == 0 {
		_, _ = p.conn.WriteToUDPAddrPort(b, p.behind)
		return
	}
	time.AfterFunc(wait, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		_, _ = p.conn.WriteToUDPAddrPort(b, p.behind) // an error after the end, or to one that is gone
	})
}

func (n *Net) wait(r Rule) time.Duration {
	if r.Jitter <= 0 {
		return r.Delay
	}
	return r.Delay + time.Duration(n.rng.Int64N(int64(r.Jitter)))
}

// Close ends all relays.
func (n *Net) Close() {
	n.mu.Lock()
	ports, doors := n.ports, n.doors
	n.ports, n.over = map[string]*Port{}, true
	n.changed.Broadcast()
	for l := range n.links {
		l.reset()
	}
	n.mu.Unlock()
	for _, d := range doors {
		d.Close()
	}
	for _, p := range ports {
		p.conn.Close()
	}
	n.group.Wait()
}
