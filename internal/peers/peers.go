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

// Options configure the membership of a gateway in its tier.
type Options struct {
	Listen    string   // host and port, UDP over IPv4
	Advertise string   // address at which other gateways reach this one; "" for Listen
	Name      string   // name of this gateway, which does not change with a restart
	Tier      string   // name of the tier; datagrams of other tiers are dropped
	Join      []string // addresses of some other gateways of the tier
	// TranslateAddr returns the address to which datagrams for an advertised address are sent; nil
	// to use the advertised address. It is for networks in which each gateway reaches the same
	// peer at a different address.
	TranslateAddr    func(addr string) string
	Keys             *Keyring
	KeyCheckInterval time.Duration // time between reads of the key file; 0 for 2 s
	ProtocolV1Only   bool          // send and accept version 1 of the protocol only, for a rollback
	ProbeInterval    time.Duration // here and in the next two fields, 0 selects the default of decide/membership
	ProbeTimeout     time.Duration // time within which a direct probe must be answered
	SuspicionTimeout time.Duration // from the unanswered probe until the gateway is declared dead
	IncarnationFile  string        // stores the incarnation across restarts; "" to derive it from the clock alone
	ExpectedGateways int           // configured size of the tier; 0 for unknown
	// OnViewChange is called with each view that differs from the previous one, by the goroutine
	// that owns the protocol's state. It must not block.
	OnViewChange func(membership.View)
	// OnEvent is called with each change of a gateway's status, for traces; it may be nil. It must
	// not block.
	OnEvent func(Event)
	Log     *slog.Logger
}

// Parameters of the transport.
const (
	tickInterval       = 20 * time.Millisecond // a fifth of the default probe interval
	receiveQueueSize   = 1024                  // datagrams read but not yet decrypted; further ones are dropped
	defaultKeyInterval = 2 * time.Second
	maxPeerEntries     = 4096                   // names or addresses with state; at the limit all are cleared
	statusTimeout      = 200 * time.Millisecond // for the reply of the owning goroutine to Status
	// staleInstanceWindow is the time without messages from a gateway after which a lower instance is
	// accepted: its clock has been set back, and the message is not from an earlier process.
	staleInstanceWindow = 10 * time.Second
)

// lastProcess is the process of a gateway name from which the last message was accepted.
type lastProcess struct {
	instance     uint64
	lastReceived time.Time
}

// counters are the counters behind Counts.
type counters struct {
	sent, sentBytes, received, receivedBytes atomic.Uint64
	invalidSize, unknownVersion, unknownKey  atomic.Uint64
	badSeal, replayed, badPayload            atomic.Uint64
	staleInstance, queueFull, sendFailed     atomic.Uint64
}

// Peers is the membership of one gateway in its tier.
type Peers struct {
	opt       Options
	conn      *net.UDPConn
	self      process
	startedAt time.Time // zero of the state machine's times
	counts    counters
	status    atomic.Pointer[Status] // as published at the last change

	leaveRequests  chan struct{}
	statusRequests chan chan Status
	incarnations   chan uint64 // the latest incarnation to be written to the file

	// Owned by the goroutine in loop, once New has returned.
	machine        *membership.Machine
	aeads          map[keyID]cipher.AEAD
	versions       peerVersions
	nonceCounter   uint64
	opener         datagramOpener
	lastProcesses  map[string]lastProcess // by gateway name
	activeGateways int                    // as last published
	// hasDeadPeer is whether the last published view has a dead peer. A dead gateway stops counting as
	// active after some time, without any message that marks the state machine as changed.
	hasDeadPeer bool
}

// New opens the socket and reads the incarnation file. It sends nothing; Run does. An error
// contains the name of the invalid setting.
func New(opt Options) (*Peers, error) {
	if len(opt.Name) > MaxNameLen || opt.Name == "" {
		return nil, fmt.Errorf("peers.name: %q must have 1 to %d bytes", opt.Name, MaxNameLen)
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
	p, err := newOnConn(conn, opt, join)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return p, nil
}

// newOnConn returns Peers on an open socket.
func newOnConn(conn *net.UDPConn, opt Options, join []string) (*Peers, error) {
	advertised := conn.LocalAddr().String()
	if opt.Advertise != "" {
		resolved, err := net.ResolveUDPAddr("udp4", opt.Advertise)
		if err != nil {
			return nil, fmt.Errorf("peers.advertise: %w", err)
		}
		advertised = resolved.String()
	}
	incarnation, saveErr := startIncarnation(opt.IncarnationFile, wallclock.Now())
	if saveErr != nil {
		opt.Log.Warn("incarnation file unusable, the tier corrects the incarnation", "cause", saveErr)
	}
	self, err := newProcess()
	if err != nil {
		return nil, err
	}
	p := &Peers{
		opt: opt, conn: conn, self: self, startedAt: time.Now(),
		aeads: map[keyID]cipher.AEAD{}, lastProcesses: map[string]lastProcess{}, versions: peerVersions{},
		opener:        datagramOpener{tier: opt.Tier, keyring: opt.Keys, senders: map[senderID]*replayWindow{}},
		leaveRequests: make(chan struct{}, 1), incarnations: make(chan uint64, 1), statusRequests: make(chan chan Status),
	}
	p.machine = membership.New(membership.Config{
		ID: opt.Name, Addr: advertised, Instance: self.instance, Incarnation: incarnation, JoinAddrs: join,
		ExpectedSize: opt.ExpectedGateways, Seed: self.random, CountFitting: CountFittingUpdates, ProtocolV1Only: opt.ProtocolV1Only,
		ProbeInterval: opt.ProbeInterval, ProbeTimeout: opt.ProbeTimeout, SuspicionTimeout: opt.SuspicionTimeout,
	}, 0)
	if saveErr != nil {
		p.incarnations <- incarnation // persistIncarnations retries until the file is writable
	}
	p.publish()
	opt.Log.Info("tier transport listening", "listen", p.Addr(), "advertised", advertised)
	return p, nil
}

// newProcess returns the identity of this process: an instance made of its start time and two
// random bytes, which distinguish processes started in the same millisecond, and a random number.
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

// Addr returns the local address of the socket.
func (p *Peers) Addr() string { return p.conn.LocalAddr().String() }

// AnnounceLeaving requests that this gateway announce its graceful shutdown to the tier. It
// returns without waiting for the announcement.
func (p *Peers) AnnounceLeaving() {
	select {
	case p.leaveRequests <- struct{}{}:
	default:
	}
}

// Run runs the protocol until ctx ends. It then announces that this gateway has left the tier, and
// returns when all its goroutines have ended.
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

// loop owns the state machine, the derived keys and the state kept about other processes.
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
		if p.machine.Changed() || p.hasDeadPeer && p.machine.ActiveGateways() != p.activeGateways {
			p.publish()
		}
	}
}

// watchKeys reloads the key file at an interval. An error is logged only if it differs from the
// previous one.
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
