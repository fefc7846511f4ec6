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
	Listen    string   // host and port, UDP over IPv4
	Advertise string   // the address at which the others reach it, if another; "" for Listen
	Name      string   // of this gateway, the same after a restart
	Tier      string   // datagrams of another tier are not opened
	Join      []string // addresses of some other gateways
	// TranslateAddr returns the address that datagrams to an address go to; nil for the same.
	// It is for gateways that each know the others by addresses of their own.
	TranslateAddr    func(addr string) string
	Keys             *Keyring
	KeyCheckInterval time.Duration // between readings of the key file; 0 = 2 s
	ProtocolV1Only   bool          // use the first version of the protocol, for a roll back
	ProbeInterval    time.Duration // 0 = membership's default, and so the next two
	ProbeTimeout     time.Duration // for a direct answer
	SuspicionTimeout time.Duration // from the unanswered probe until a gateway is dead
	IncarnationFile  string        // where the incarnation outlives a restart; "" for the clock alone
	ExpectedGateways int           // in the tier according to the operator; 0: unknown
	// OnViewChange is called with every view that differs from the one before, by the goroutine
	// that owns the protocol's state. It must not block.
	OnViewChange func(membership.View)
	// OnEvent is called with every change of a gateway's status, for traces; nil for none. It
	// must not block.
	OnEvent func(Event)
	Log     *slog.Logger
}

// The parameters of the transport.
const (
	tickInterval        = 20 * time.Millisecond // a fifth of the default probe interval
	receiveQueueSize    = 1024                  // datagrams read and not yet opened; more are dropped
	defaultKeyInterval  = 2 * time.Second
	maxNames            = 4096                   // names whose latest process is kept
	statusTimeout       = 200 * time.Millisecond // for the owning goroutine to answer Status
	staleInstanceWindow = 10 * time.Second       // of silence, after which a lower instance is a clock set back, not an earlier process
)

// lastProcess is the latest process heard of a name.
type lastProcess struct {
	instance  uint64
	lastHeard time.Time
}

// counters count datagrams, as Counts shows them.
type counters struct {
	sent, sentBytes, received, receivedBytes atomic.Uint64
	notADatagram, unknownVersion, unknownKey atomic.Uint64
	badSeal, replayed, badPayload            atomic.Uint64
	staleInstance, queueFull, sendFailed     atomic.Uint64
}

// Peers is a gateway's part in its tier.
type Peers struct {
	opt       Options
	conn      *net.UDPConn
	self      process
	startedAt time.Time // the origin of the machine's times
	counts    counters
	status    atomic.Pointer[Status] // as of the last change

	leaveRequests  chan struct{}
	statusRequests chan chan Status
	incarnations   chan uint64 // to be written, the latest alone

	// Of the goroutine in loop alone, after New.
	machine       *membership.Machine
	aeads         map[keyID]cipher.AEAD
	versions      peerVersions
	nonceCounter  uint64
	opened        datagramOpener
	lastProcesses map[string]lastProcess // by name
	sharing       int                    // as last published
	hasDead       bool                   // as last published: the dead stop counting as sharing without any message
}

// New opens the socket and reads the incarnation; nothing is sent before Run. An error
// names the setting.
func New(opt Options) (*Peers, error) {
	if len(opt.Name) > MaxNameLen || opt.Name == "" {
		return nil, fmt.Errorf("peers.name: %q must hold 1 to %d bytes", opt.Name, MaxNameLen)
	}
	at, err := net.ResolveUDPAddr("udp4", opt.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	join := make([]string, 0, len(opt.Join))
	for _, addr := range opt.Join {
		resolved, err := net.ResolveUDPAddr("udp4", addr)
		if err != nil {
			return nil, fmt.Errorf("peers.join: %w", err)
		}
		join = append(join, resolved.String())
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	p, err := newOn(conn, opt, join)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return p, nil
}

// newOn returns a gateway's part on an open socket.
func newOn(conn *net.UDPConn, opt Options, join []string) (*Peers, error) {
	advertised := conn.LocalAddr().String()
	if opt.Advertise != "" {
		resolved, err := net.ResolveUDPAddr("udp4", opt.Advertise)
		if err != nil {
			return nil, fmt.Errorf("peers.advertise: %w", err)
		}
		advertised = resolved.String()
	}
	incarnation, unsaved := startIncarnation(opt.IncarnationFile, wallclock.Now())
	if unsaved != nil {
		opt.Log.Warn("incarnation file unusable, the tier corrects the incarnation", "cause", unsaved)
	}
	self, err := newProcess()
	if err != nil {
		return nil, err
	}
	p := &Peers{
		opt: opt, conn: conn, self: self, startedAt: time.Now(),
		aeads: map[keyID]cipher.AEAD{}, lastProcesses: map[string]lastProcess{}, versions: peerVersions{},
		opened:        datagramOpener{tier: opt.Tier, keyring: opt.Keys, senders: map[senderID]*replayWindow{}},
		leaveRequests: make(chan struct{}, 1), incarnations: make(chan uint64, 1), statusRequests: make(chan chan Status),
	}
	p.machine = membership.New(membership.Config{
		ID: opt.Name, Addr: advertised, Instance: self.instance, Incarnation: incarnation, JoinAddrs: join,
		ExpectedSize: opt.ExpectedGateways, Seed: self.random, CountFitting: CountFittingUpdates, ProtocolV1Only: opt.ProtocolV1Only,
		ProbeInterval: opt.ProbeInterval, ProbeTimeout: opt.ProbeTimeout, SuspicionTimeout: opt.SuspicionTimeout,
	}, 0)
	if unsaved != nil {
		p.incarnations <- incarnation // to be written as soon as it can be
	}
	p.publish()
	opt.Log.Info("tier transport listening", "listen", p.Addr(), "advertised", advertised)
	return p, nil
}

// newProcess returns what identifies this process: its start, with two random bytes for
// processes started in one millisecond, and a random number.
func newProcess() (process, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return process{}, err
	}
	return process{
		instance: uint64(time.Now().UnixMilli())<<16 | uint64(random[6])<<8 | uint64(random[7]),
		random:   binary.BigEndian.Uint64(random[:]),
	}, nil
}

// Addr is the address of the socket.
func (p *Peers) Addr() string { return p.conn.LocalAddr().String() }

// AnnounceLeaving has this gateway announce that it is about to end. It does not wait for that.
func (p *Peers) AnnounceLeaving() {
	select {
	case p.leaveRequests <- struct{}{}:
	default:
	}
}

// Run takes part until ctx ends, then announces that this gateway has left, and returns when
// all its goroutines have ended.
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

// loop owns the machine, the keys derived and what is known of other processes.
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
			switch m, verdict := p.receive(b); verdict {
			case currentMessage:
				out = p.machine.Receive(time.Since(p.startedAt), m)
			case staleMessage:
				out = p.machine.ReceiveStale(time.Since(p.startedAt), m)
			}
		}
		p.sendAll(out)
		if p.machine.Changed() || p.hasDead && p.machine.ActiveGateways() != p.sharing {
			p.publish()
		}
	}
}

// watchKeys reads the key file anew at an interval. An error is logged once until it changes.
func (p *Peers) watchKeys(ctx context.Context) {
	tick := time.NewTicker(cmp.Or(p.opt.KeyCheckInterval, defaultKeyInterval))
	defer tick.Stop()
	lastError := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		changed, err := p.opt.Keys.Reload()
		if err != nil && err.Error() != lastError {
			lastError = err.Error()
			p.opt.Log.Error("key file reload failed, keeping previous keys", "cause", err)
		}
		if changed {
			lastError = ""
			p.opt.Log.Info("keyring reloaded", "sealing_key", p.opt.Keys.SealingKeyID())
		}
	}
}
