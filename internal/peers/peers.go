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
	Listen           string                   // host and port, UDP over IPv4
	Advertise        string                   // where the others reach it, if that is another address; "" for where it listens
	Name             string                   // of this gateway, the same after a restart
	Tier             string                   // datagrams of another one are not opened
	Join             []string                 // addresses of some of the others
	TranslateAddr    func(addr string) string // where datagrams to an address go, if not there; for gateways that each know the others by addresses of their own
	Keys             *Keyring
	KeyCheckInterval time.Duration // between looks at the key file; 0 = 2 s
	FirstVersion     bool          // speak as the first version did; for a roll back
	ProbeInterval    time.Duration // between probes; 0 = membership's default, and so the next two
	ProbeTimeout     time.Duration // for a direct answer
	SuspicionTimeout time.Duration // of silence
	IncarnationFile  string        // where the incarnation outlives a restart; "" for the clock alone
	ExpectedGateways int           // gateways that the operator says there are; 0: not said
	// OnViewChange is told of every view in which something has changed. It is called by the
	// goroutine that owns the view and must not block.
	OnViewChange func(membership.View)
	// OnEvent is told of what happened to whom, for traces; nil for nobody. It must not block.
	OnEvent func(Event)
	Log     *slog.Logger
}

// The margins of the transport.
const (
	tickInterval        = 20 * time.Millisecond
	receiveQueueSize    = 1024 // datagrams read and not yet taken; more are dropped
	defaultKeyInterval  = 2 * time.Second
	maxNames            = 4096 // names whose latest process is remembered
	statusTimeout       = 200 * time.Millisecond
	staleInstanceWindow = 10 * time.Second // of silence, after which a lower instance is a clock set back, not an earlier life
)

// lastProcess is the latest process heard of a name.
type lastProcess struct {
	instance  uint64
	lastHeard time.Time
}

// Peers is a gateway's part in its tier.
type Peers struct {
	opt            Options
	conn           *net.UDPConn
	machine        *membership.Machine
	self           process
	startedAt      time.Time
	aeads          map[keyID]cipher.AEAD
	versions       peerVersions
	nonceCounter   uint64
	opened         datagramOpener
	sharing        int                    // as last told
	hasDead        bool                   // of the dead that still count some will not: no message tells
	lastProcesses  map[string]lastProcess // by name
	leaveRequests  chan struct{}
	statusRequests chan chan Status
	status         atomic.Pointer[Status] // as of the last change
	counts         struct {
		sent, sentBytes, received, receivedBytes, short, version, key, seal, replay, payload, former, full, unsent atomic.Uint64
	}
	incarnations chan uint64
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
		opt: opt, conn: conn, startedAt: time.Now(), aeads: map[keyID]cipher.AEAD{}, lastProcesses: map[string]lastProcess{}, versions: peerVersions{},
		opened:        datagramOpener{tier: opt.Tier, keyring: opt.Keys, senders: map[senderID]*replayWindow{}},
		leaveRequests: make(chan struct{}, 1), incarnations: make(chan uint64, 1), statusRequests: make(chan chan Status),
	}
	p.self = process{instance: uint64(time.Now().UnixMilli())<<16 | uint64(random[6])<<8 | uint64(random[7]), random: binary.BigEndian.Uint64(random[:])}
	p.machine = membership.New(membership.Config{
		ID: opt.Name, Addr: public, Instance: p.self.instance, Incarnation: incarnation, Join: join,
		ExpectedSize: opt.ExpectedGateways, Seed: p.self.random, Fits: FittingUpdates, FirstVersion: opt.FirstVersion, ProbeInterval: opt.ProbeInterval, ProbeTimeout: opt.ProbeTimeout, SuspicionTimeout: opt.SuspicionTimeout,
	}, 0)
	if unkept != nil {
		p.incarnations <- incarnation // to be written as soon as it can be
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
	case p.leaveRequests <- struct{}{}:
	default:
	}
}

// Run takes part until ctx ends, then says that it has left.
func (p *Peers) Run(ctx context.Context) {
	packets := make(chan []byte, receiveQueueSize)
	var group sync.WaitGroup
	group.Go(func() { p.readSocket(packets) })
	group.Go(func() { p.watchKeys(ctx) })
	group.Go(func() { p.persistIncarnations(ctx) })
	p.loop(ctx, packets)
	p.conn.Close()
	group.Wait()
}

// loop is the goroutine that owns the machine, the seals and what is known of processes.
func (p *Peers) loop(ctx context.Context, packets <-chan []byte) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		var out []membership.Outgoing
		select {
		case <-ctx.Done():
			p.sendAll(p.machine.AnnounceLeft(time.Since(p.startedAt)))
			return
		case <-p.leaveRequests:
			out = p.machine.AnnounceLeaving(time.Since(p.startedAt))
		case answer := <-p.statusRequests:
			answer <- p.snapshot()
		case <-tick.C:
			out = p.machine.Tick(time.Since(p.startedAt))
		case b := <-packets:
			switch m, how := p.receive(b); how {
			case currentMessage:
				out = p.machine.Receive(time.Since(p.startedAt), m)
			case staleMessage:
				out = p.machine.ReceiveStale(time.Since(p.startedAt), m)
			}
		}
		p.sendAll(out)
		if p.machine.Changed() || p.hasDead && p.machine.Sharing() != p.sharing {
			p.publish()
		}
	}
}

// What becomes of a datagram.
const (
	droppedDatagram = iota
	staleMessage    // whole, but of an earlier process of its name
	currentMessage
)

// watchKeys reads the key file anew every now and then.
func (p *Peers) watchKeys(ctx context.Context) {
	tick := time.NewTicker(cmp.Or(p.opt.KeyCheckInterval, defaultKeyInterval))
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
			p.opt.Log.Info("keys read", "seals", p.opt.Keys.SealingKeyID())
		}
	}
}
