package peers

import (
	"cmp"
	"context"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"wellgw/decide/membership"
	"wellgw/internal/wallclock"
)

// Options set a gateway's part in its tier up.
type Options struct {
	Listen          string                   // host and port, UDP over IPv4
	Advertise       string                   // where the others reach it, if that is another address; "" for where it listens
	Name            string                   // of this gateway, the same after a restart
	Tier            string                   // datagrams of another one are not opened
	Join            []string                 // addresses of some of the others
	Route           func(addr string) string // where datagrams to an address go, if not there; for gateways that each know the others by addresses of their own
	Keys            *Keyring
	KeysEvery       time.Duration // between looks at the key file; 0 = 2 s
	Plain           bool          // speak as the first version did; for a roll back
	Interval        time.Duration // between probes; 0 = membership's default, and so the next two
	Timeout         time.Duration // for a direct answer
	DeadAfter       time.Duration // of silence
	IncarnationFile string        // where the incarnation outlives a restart; "" for the clock alone
	Expect          int           // gateways that the operator says there are; 0: not said
	// Changed is told of every view in which something has changed. It is called by the
	// goroutine that owns the view and must not block.
	Changed func(membership.View)
	// Event is told of what happened to whom, for traces; nil for nobody. It must not block.
	Event func(Event)
	Log   *slog.Logger
}

// The margins of the transport.
const (
	tickEvery  = 20 * time.Millisecond
	waiting    = 1024 // datagrams read and not yet taken; more are dropped
	keysEvery  = 2 * time.Second
	mostNames  = 4096 // names whose latest process is remembered
	statusWait = 200 * time.Millisecond
	formerFor  = 10 * time.Second // of silence, after which a lower instance is a clock set back, not an earlier life
)

// life is the latest process heard of a name.
type life struct {
	instance uint64
	heard    time.Time
}

// Peers is a gateway's part in its tier.
type Peers struct {
	opt     Options
	conn    *net.UDPConn
	machine *membership.Machine
	me      process
	origin  time.Time
	sealers map[keyID]cipher.AEAD
	speaks  versions
	counter uint64
	opened  opened
	sharing int             // as last told
	aging   bool            // of the dead that still count some will not: no message tells
	latest  map[string]life // by name
	leave   chan struct{}
	asked   chan chan Status
	status  atomic.Pointer[Status] // as of the last change
	counts  struct {
		sent, sentBytes, received, receivedBytes, short, version, key, seal, replay, payload, former, full, unsent atomic.Uint64
	}
	inc chan uint64
}

// New opens the socket and reads the incarnation; nothing is sent before Run. An error
// names the setting.
func New(opt Options) (*Peers, error) {
	if len(opt.Name) > MaxName || opt.Name == "" {
		return nil, fmt.Errorf("peers.name: %q must hold 1 to %d bytes", opt.Name, MaxName)
	}
	at, err := net.ResolveUDPAddr("udp4", opt.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	join := make([]string, 0, len(opt.Join))
	for _, j := range opt.Join {
		a, err := net.ResolveUDPAddr("udp4", j)
		if err != nil {
			return nil, fmt.Errorf("peers.join: %w", err)
		}
		join = append(join, a.String())
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	public := conn.LocalAddr().String()
	if opt.Advertise != "" {
		a, err := net.ResolveUDPAddr("udp4", opt.Advertise)
		if err != nil {
			conn.Close()
			return nil, fmt.Errorf("peers.advertise: %w", err)
		}
		public = a.String()
	}
	incarnation, err := startIncarnation(opt.IncarnationFile, wallclock.Now())
	unkept := err
	if unkept != nil {
		opt.Log.Warn("incarnation not kept; the tier corrects it", "cause", unkept)
	}
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		conn.Close()
		return nil, err
	}
	p := &Peers{
		opt: opt, conn: conn, origin: time.Now(), sealers: map[keyID]cipher.AEAD{}, latest: map[string]life{}, speaks: versions{},
		opened: opened{tier: opt.Tier, ring: opt.Keys, from: map[opener]*window{}},
		leave:  make(chan struct{}, 1), inc: make(chan uint64, 1), asked: make(chan chan Status),
	}
	p.me = process{instance: uint64(time.Now().UnixMilli())<<16 | uint64(random[6])<<8 | uint64(random[7]), random: binary.BigEndian.Uint64(random[:])}
	p.machine = membership.New(membership.Config{
		ID: opt.Name, Addr: public, Instance: p.me.instance, Incarnation: incarnation, Join: join,
		ExpectedSize: opt.Expect, Seed: p.me.random, Fits: Fits, FirstVersion: opt.Plain, ProbeInterval: opt.Interval, ProbeTimeout: opt.Timeout, SuspicionTimeout: opt.DeadAfter,
	}, 0)
	if unkept != nil {
		p.inc <- incarnation // to be written as soon as it can be
	}
	p.publish()
	opt.Log.Info("peers", "listen", p.Addr(), "reached", public)
	return p, nil
}

// Addr is where the gateway is reached by the others.
func (p *Peers) Addr() string { return p.conn.LocalAddr().String() }

// Leave tells the tier that this gateway is about to end. It does not wait.
func (p *Peers) Leave() {
	select {
	case p.leave <- struct{}{}:
	default:
	}
}

// Run takes part until ctx ends, then says that it has left.
func (p *Peers) Run(ctx context.Context) {
	packets := make(chan []byte, waiting)
	var group sync.WaitGroup
	group.Go(func() { p.read(packets) })
	group.Go(func() { p.watchKeys(ctx) })
	group.Go(func() { p.keepIncarnation(ctx) })
	p.own(ctx, packets)
	p.conn.Close()
	group.Wait()
}

// own is the goroutine that owns the machine, the seals and what is known of processes.
func (p *Peers) own(ctx context.Context, packets <-chan []byte) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		var out []membership.Outgoing
		select {
		case <-ctx.Done():
			p.send(p.machine.AnnounceLeft(time.Since(p.origin)))
			return
		case <-p.leave:
			out = p.machine.AnnounceLeaving(time.Since(p.origin))
		case answer := <-p.asked:
			answer <- p.now()
		case <-tick.C:
			out = p.machine.Tick(time.Since(p.origin))
		case b := <-packets:
			switch m, how := p.decode(b); how {
			case taken:
				out = p.machine.Receive(time.Since(p.origin), m)
			case former:
				out = p.machine.ReceiveStale(time.Since(p.origin), m)
			}
		}
		p.send(out)
		if p.machine.Changed() || p.aging && p.machine.Sharing() != p.sharing {
			p.publish()
		}
	}
}

// What becomes of a datagram.
const (
	dropped = iota
	former  // whole, but of an earlier process of its name
	taken
)

// watchKeys reads the key file anew every now and then.
func (p *Peers) watchKeys(ctx context.Context) {
	tick := time.NewTicker(cmp.Or(p.opt.KeysEvery, keysEvery))
	defer tick.Stop()
	bad := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		changed, err := p.opt.Keys.Reload()
		if err != nil && err.Error() != bad {
			bad = err.Error()
			p.opt.Log.Error("the keys stay as they are", "cause", err)
		}
		if changed {
			bad = ""
			p.opt.Log.Info("keys read", "seals", p.opt.Keys.InUse())
		}
	}
}
