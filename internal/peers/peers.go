package peers

import (
	"cmp"
	"context"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wellgw/decide/membership"
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

// Counts are datagrams since the start.
type Counts struct {
	Sent, SentBytes, Received, ReceivedBytes                 uint64
	Short, Version, Key, Seal, Replay, Payload, Former, Full uint64 // dropped, by reason
	Unsent                                                   uint64 // the system would not take them
}

// Status is what operators are shown.
type Status struct {
	Name, Tier, Listen, Key string
	View                    membership.View
	Clock                   time.Duration // the view's times count from the same origin
	Counts                  Counts
}

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
	incarnation, err := startIncarnation(opt.IncarnationFile)
	if err != nil {
		conn.Close()
		return nil, err
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
		Expect: opt.Expect, Seed: p.me.random, Fits: Fits, Plain: opt.Plain, Interval: opt.Interval, Timeout: opt.Timeout, DeadAfter: opt.DeadAfter,
	}, 0)
	p.publish()
	opt.Log.Info("peers", "listen", p.Addr(), "reached", public)
	return p, nil
}

// startIncarnation is above that of an earlier life, by what was written down or, without
// it, by the clock. The tier corrects it if both are lost.
func startIncarnation(path string) (uint64, error) {
	clock := uint64(time.Now().Unix())
	if path == "" {
		return clock, nil
	}
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return clock, writeIncarnation(path, clock)
	}
	if err != nil {
		return 0, fmt.Errorf("peers.incarnation_file: %w", err)
	}
	last, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	if err != nil { // cut off or overwritten: the tier knows better
		last = 0
	}
	next := max(last+1, clock)
	return next, writeIncarnation(path, next)
}

// writeIncarnation replaces the file whole.
func writeIncarnation(path string, n uint64) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".incarnation")
	if err != nil {
		return fmt.Errorf("peers.incarnation_file: %w", err)
	}
	defer os.Remove(f.Name())
	_, err = fmt.Fprintln(f, n)
	if err = errors.Join(err, f.Sync(), f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("peers.incarnation_file: %w", err)
	}
	return nil
}

// Addr is where the gateway is reached by the others.
func (p *Peers) Addr() string { return p.conn.LocalAddr().String() }

// Status returns the present view and counts, for people. Nothing that serves waits for it:
// it asks the goroutine that owns the view and, if that is not to be had at once, takes the
// view of the last change.
func (p *Peers) Status() Status {
	s := *p.status.Load()
	answer := make(chan Status, 1)
	late := time.NewTimer(statusWait)
	defer late.Stop()
	select {
	case p.asked <- answer:
		s = <-answer
	case <-late.C:
	}
	s.Clock, s.Key, s.Counts = time.Since(p.origin), p.opt.Keys.InUse(), p.Counts()
	return s
}

// Counts returns what has been sent, received and dropped.
func (p *Peers) Counts() Counts {
	c := &p.counts
	return Counts{
		Sent: c.sent.Load(), SentBytes: c.sentBytes.Load(), Received: c.received.Load(), ReceivedBytes: c.receivedBytes.Load(),
		Short: c.short.Load(), Version: c.version.Load(), Key: c.key.Load(), Seal: c.seal.Load(), Replay: c.replay.Load(),
		Payload: c.payload.Load(), Former: c.former.Load(), Full: c.full.Load(), Unsent: c.unsent.Load(),
	}
}

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
		var out []membership.Send
		select {
		case <-ctx.Done():
			p.send(p.machine.End(time.Since(p.origin)))
			return
		case <-p.leave:
			out = p.machine.Leave(time.Since(p.origin))
		case answer := <-p.asked:
			answer <- p.now()
		case <-tick.C:
			out = p.machine.Tick(time.Since(p.origin))
		case b := <-packets:
			switch m, how := p.decode(b); how {
			case taken:
				out = p.machine.Receive(time.Since(p.origin), m)
			case former:
				out = p.machine.Former(time.Since(p.origin), m)
			}
		}
		p.send(out)
		if p.machine.Changed() || p.aging && p.machine.Sharing() != p.sharing {
			p.publish()
		}
	}
}

func (p *Peers) now() Status {
	return Status{Name: p.opt.Name, Tier: p.opt.Tier, Listen: p.Addr(), View: p.machine.View()}
}

// publish shows the view, and tells of it if it is another one.
func (p *Peers) publish() {
	s := p.now()
	v, before := s.View, p.status.Load()
	p.status.Store(&s)
	p.sharing, p.aging = v.Sharing, slices.ContainsFunc(v.Others, func(g membership.Gateway) bool { return g.Status == membership.Dead })
	if before == nil {
		return
	}
	p.tell(before.View, v)
	if was := before.View; was.Epoch == v.Epoch && was.Digest == v.Digest && was.Sharing == v.Sharing && was.Minority == v.Minority && was.Silenced == v.Silenced {
		return
	}
	if v.Self.Incarnation != before.View.Self.Incarnation {
		select {
		case <-p.inc: // an older one that has not been written
		default:
		}
		p.inc <- v.Self.Incarnation
	}
	p.opt.Log.Info("tier", "epoch", v.Epoch, "others", len(v.Others), "sharing", v.Sharing, "minority", v.Minority, "silenced", v.Silenced)
	if p.opt.Changed != nil {
		p.opt.Changed(v)
	}
}

// Event is a change of how a gateway stands, with what is needed to find out why.
type Event struct {
	Gateway, From, To string        // From is "" for one that was not known
	Incarnation       uint64        // of the gateway
	Since             time.Time     // it stood as From
	Silent            time.Duration // since it was last heard
	OneWay            bool          // others reach it, but our own pings are not answered
	Accusers          int           // that held it for suspect
	Distrust          int           // steps by which this gateway distrusts itself
	Pauses            uint64        // of this gateway's own since its start
}

// tell logs and hands on who stands otherwise than before. Suspicions come and go, and are
// told of only to whoever traces.
func (p *Peers) tell(before, now membership.View) {
	was := make(map[string]membership.Gateway, len(before.Others))
	for _, g := range before.Others {
		was[g.ID] = g
	}
	clock := time.Since(p.origin)
	for _, g := range now.Others {
		old, known := was[g.ID]
		if known && old.Status == g.Status {
			continue
		}
		e := Event{
			Gateway: g.ID, To: g.Status.String(), Incarnation: g.Incarnation, Since: p.origin.Add(old.Since), Silent: clock - g.Heard,
			OneWay: old.OneWay, Accusers: old.Accusers, Distrust: now.Health, Pauses: now.Stats.Pauses,
		}
		if known {
			e.From = old.Status.String()
		} else {
			e.Since = time.Now()
		}
		if p.opt.Event != nil {
			p.opt.Event(e)
		}
		if g.Status == membership.Suspect || known && old.Status == membership.Suspect && g.Status == membership.Alive {
			continue
		}
		p.opt.Log.Info("member", "gateway", g.ID, "standing", e.To, "incarnation", g.Incarnation, "accusers", e.Accusers,
			"heard_ms", e.Silent.Milliseconds(), "distrust", e.Distrust, "pauses", e.Pauses)
	}
}

// read takes datagrams off the socket, as fast as they come: what nobody has time for is
// dropped here and not in the system's buffer, where it would crowd out what is good.
func (p *Peers) read(packets chan<- []byte) {
	buf := make([]byte, 2*MaxMessage)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an answer to what was sent to nobody
		}
		p.counts.received.Add(1)
		p.counts.receivedBytes.Add(uint64(n))
		if n == 0 || n > MaxMessage {
			p.counts.short.Add(1)
			continue
		}
		select {
		case packets <- append([]byte(nil), buf[:n]...):
		default:
			p.counts.full.Add(1)
		}
	}
}

// What becomes of a datagram.
const (
	dropped = iota
	former  // whole, but of an earlier process of its name
	taken
)

// decode opens and reads a datagram, and counts why one is not taken.
func (p *Peers) decode(b []byte) (membership.Message, int) {
	var m membership.Message
	payload, from, err := p.opened.open(b)
	if err == nil && p.opt.Plain && b[0] > oldest {
		err = errVersion
	}
	if err == nil {
		m, err = decode(b[0], payload)
	}
	if was := p.latest[m.From]; err == nil && from.instance < was.instance && time.Since(was.heard) < formerFor {
		p.counts.former.Add(1) // of an earlier life: late, or sent again by somebody
		return m, former
	}
	switch {
	case errors.Is(err, errShort):
		p.counts.short.Add(1)
	case errors.Is(err, errVersion):
		p.counts.version.Add(1)
	case errors.Is(err, errKey):
		p.counts.key.Add(1)
	case errors.Is(err, errSeal):
		p.counts.seal.Add(1)
	case errors.Is(err, errReplay):
		p.counts.replay.Add(1)
	case err != nil:
		p.counts.payload.Add(1)
	default:
		if len(p.latest) >= mostNames {
			clear(p.latest)
		}
		p.latest[m.From] = life{from.instance, time.Now()}
		p.speaks.heard(m.Addr, b[0])
		m.Instance = from.instance
		return m, taken
	}
	return m, dropped
}

func (p *Peers) send(out []membership.Send) {
	if len(out) == 0 {
		return
	}
	first := (*p.opt.Keys.keys.Load())[0]
	aead := p.sealers[first.id]
	if aead == nil {
		var err error
		if aead, err = sealer(first.value, p.opt.Tier, p.me); err != nil {
			p.opt.Log.Error("peers", "cause", err)
			return
		}
		clear(p.sealers)
		p.sealers[first.id] = aead
	}
	for _, s := range out {
		say := p.speaks.of(s.To, s.Kind)
		if p.opt.Plain {
			say = say[:1]
		}
		to := s.To
		if p.opt.Route != nil {
			to = p.opt.Route(to)
		}
		at, bad := netip.ParseAddrPort(to)
		for _, as := range say {
			payload, err := encode(as, s.Message)
			if err != nil || bad != nil {
				p.counts.unsent.Add(1)
				continue
			}
			p.counter++
			b := seal(aead, as, first.id, p.me, p.counter, payload)
			if _, err := p.conn.WriteToUDPAddrPort(b, at); err != nil {
				p.counts.unsent.Add(1)
				continue
			}
			p.counts.sent.Add(1)
			p.counts.sentBytes.Add(uint64(len(b)))
		}
	}
}

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

// keepIncarnation writes down what the tier has made us raise.
func (p *Peers) keepIncarnation(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-p.inc:
			if p.opt.IncarnationFile == "" {
				continue
			}
			if err := writeIncarnation(p.opt.IncarnationFile, n); err != nil {
				p.opt.Log.Warn("incarnation not written", "cause", err)
			}
		}
	}
}
