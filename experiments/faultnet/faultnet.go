// Package faultnet injects network faults between real processes on loopback, in user space: it places a
// relay in front of each process and applies one rule to each direction of each pair of processes. OpenPort
// relays datagrams and Dial relays connections.
package faultnet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Rule is the fault applied to the traffic of one direction. The zero value forwards all of it
// without delay.
type Rule struct {
	Cut    bool          `json:"cut,omitempty"`
	Stall  bool          `json:"stall,omitempty"`  // queued up to maxStalled, then the oldest dropped
	Loss   float64       `json:"loss,omitempty"`   // fraction of datagrams dropped
	Double float64       `json:"double,omitempty"` // fraction of datagrams sent twice
	Delay  time.Duration `json:"delay,omitempty"`
	Jitter time.Duration `json:"jitter,omitempty"` // maximum random extra delay; reorders datagrams
}

// maxStalled is the maximum number of datagrams queued for a stalled direction.
const maxStalled = 1024

type pair struct{ from, to string }

// Net is a set of relays. It is safe for concurrent use.
type Net struct {
	mu      sync.Mutex
	rng     *rand.Rand
	ports   map[string]*Port
	senders map[netip.AddrPort]string // names of the processes, by the address they send from
	rules   map[pair]Rule
	stalled map[pair][][]byte
	tap     func(from, to string, b []byte)
	onLost  func(from, to string, b []byte)
	Relayed uint64 // datagrams, and chunks of connections, that were forwarded
	wg      sync.WaitGroup

	backends   map[string]string // the address at which each process accepts connections
	listeners  []net.Listener
	links      map[*link]bool
	lastNumber uint64 // number of the most recently opened link
	severed    map[pair]bool
	down       map[string]bool
	changed    *sync.Cond // signalled when a rule changes or the net closes
	done       bool
}

// Port is the datagram relay in front of one process.
type Port struct {
	name    string
	conn    *net.UDPConn
	backend netip.AddrPort
}

// New returns a net without faults. All its random choices derive from seed.
func New(seed uint64) *Net {
	n := &Net{
		rng: rand.New(rand.NewPCG(seed, 3)), ports: map[string]*Port{}, senders: map[netip.AddrPort]string{},
		rules: map[pair]Rule{}, stalled: map[pair][][]byte{}, backends: map[string]string{},
		links: map[*link]bool{}, down: map[string]bool{}, severed: map[pair]bool{},
	}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// OpenPort opens the datagram relay in front of a process. The peers of the process must send to the returned
// address.
func (n *Net) OpenPort(name string) (addr string, err error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", fmt.Errorf("relay of %s: %w", name, err)
	}
	p := &Port{name: name, conn: conn}
	n.mu.Lock()
	n.ports[name] = p
	n.mu.Unlock()
	n.wg.Go(func() { n.relay(p) })
	return conn.LocalAddr().String(), nil
}

// SetBackend sets the address at which the process behind a relay listens and from which it sends. It must
// be called again after the process restarts.
func (n *Net) SetBackend(name, addr string) error {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("relay of %s: %w", name, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.ports[name]
	delete(n.senders, p.backend)
	p.backend = at
	n.senders[at] = name
	return nil
}

// SetRule sets the rule of a direction. When a stall ends, the queued datagrams are forwarded.
func (n *Net) SetRule(from, to string, r Rule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := pair{from, to}
	n.rules[k] = r
	n.changed.Broadcast()
	if !r.Stall {
		for _, b := range n.stalled[k] {
			n.forward(n.ports[to], b, r)
		}
		delete(n.stalled, k)
	}
}

// Tap sets a function that observes every datagram before any rule applies. A relay's goroutine calls it
// while the net's lock is held.
func (n *Net) Tap(observe func(from, to string, b []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tap = observe
}

// SetAll sets the rule of every direction between the named processes.
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
			if n.isClosed(p) {
				return
			}
			continue // an earlier datagram was forwarded to a process that has exited
		}
		n.mu.Lock()
		n.receive(p, n.senders[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())],
			append([]byte(nil), buf[:size]...))
		n.mu.Unlock()
	}
}

func (n *Net) isClosed(p *Port) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ports[p.name] != p
}

// receive applies the rule of a direction to one datagram. A datagram from an unknown sender is forwarded:
// the sender is a process that has just started.
func (n *Net) receive(p *Port, from string, b []byte) {
	k := pair{from, p.name}
	r := n.rules[k]
	if n.tap != nil {
		n.tap(from, p.name, b)
	}
	switch {
	case r.Cut || n.rng.Float64() < r.Loss:
	case r.Stall:
		n.stalled[k] = append(n.stalled[k], b)
		if excess := len(n.stalled[k]) - maxStalled; excess > 0 {
			n.stalled[k] = n.stalled[k][excess:]
		}
	default:
		n.forward(p, b, r)
		if n.rng.Float64() < r.Double {
			n.forward(p, b, r)
		}
	}
}

// forward sends a datagram to the process behind the relay, after the delay of the rule.
func (n *Net) forward(p *Port, b []byte, r Rule) {
	wait := n.delay(r)
	n.Relayed++
	if wait == 0 {
		_, _ = p.conn.WriteToUDPAddrPort(b, p.backend)
		return
	}
	time.AfterFunc(wait, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		_, _ = p.conn.WriteToUDPAddrPort(b, p.backend) // fails after Close, or if the process has exited
	})
}

func (n *Net) delay(r Rule) time.Duration {
	if r.Jitter <= 0 {
		return r.Delay
	}
	return r.Delay + time.Duration(n.rng.Int64N(int64(r.Jitter)))
}

// Close closes all relays and resets their connections.
func (n *Net) Close() {
	n.mu.Lock()
	ports, listeners := n.ports, n.listeners
	n.ports, n.done = map[string]*Port{}, true
	n.changed.Broadcast()
	for l := range n.links {
		l.reset()
	}
	n.mu.Unlock()
	for _, l := range listeners {
		l.Close()
	}
	for _, p := range ports {
		p.conn.Close()
	}
	n.wg.Wait()
}
