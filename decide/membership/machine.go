// Package membership decides who is in a tier of gateways: who is alive, suspected,
// leaving or dead, how many share the engines, and whether those in reach are a majority.
//
// It follows SWIM (Das, Gupta, Motivala 2002) with what Lifeguard (Dadgar, Phillips,
// Currey 2018) adds: a gateway that is slow itself gives others more time, and a suspect
// is told so that it can refute. Three things are its own. A suspicion runs from the
// moment that a probe went unanswered, wherever it is held, so that all reach the same
// verdict at about the same time. A gateway that has been paused moves all its deadlines
// by the pause before it judges anybody. And the dead of a minority stay counted.
//
// The package does no I/O, starts nothing and reads no clock: times come in as spans since
// any origin, messages as values, and what is to be sent is returned. A Machine is not safe
// for concurrent use.
package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// The margins of a machine.
const (
	indirectProbers  = 3                      // gateways asked to ping one that does not answer
	maxLocalHealth   = 6                      // steps by which a gateway may distrust itself
	retransmitFactor = 3.0                    // times log2(n+1) that an update is passed on
	minPause         = 100 * time.Millisecond // a tick that comes so late tells of a pause of one's own
	deadProbeEvery   = 8                      // probes, of which one goes to somebody dead, so that halves meet again
	rejoinEvery      = 5                      // probes between calls to the addresses to join by, once somebody is known
	maxSteadyFlaps   = 2.0                    // returns from suspicion to death, fading, past which a gateway is not steady
	flapHalfLife     = time.Minute
	heartbeatUnit    = 10 * time.Millisecond
	namesakeInterval = time.Second            // between looks for namesakes
	syncMessages     = 8                      // messages that answer one Want
	syncTimeout      = 500 * time.Millisecond // for the next piece of a walk; then it is given up
	syncAttempts     = 3                      // times that a part is asked for
	syncInterval     = time.Second            // views differ for so long before one is walked, and between walks
)

// member is what a machine knows of another gateway.
type member struct {
	Update
	statusSince   Time // of its status
	deadAt        Time // a suspect's: when it counts as dead
	lastHeard     Time // the last message from itself
	lastDirectAck Time // the last proof that it hears us, directly
	ackedDirectly bool // the latest probe that was answered was so without help
	everHeard     bool // it has been heard at all
	rtt           time.Duration
	flapScore     float64
	flapScoreAt   Time
	heartbeat     uint32 // the latest that anybody has heard, in this incarnation
	transmissions int    // times that its latest update has been passed on
	inGossip      bool
	digestPart    uint64 // its part of the digest
	accusers      map[string]bool
}

// Machine is one gateway's view of the tier.
type Machine struct {
	cfg               Config
	rng               *rand.Rand
	now               Time
	self              Update
	selfTransmissions int
	members           map[string]*member
	byName            []*member // by name
	notAlive          []*member // those of them that are not alive, by name
	gossip            []*member // those whose latest update is still passed on
	statusCounts      [Left + 1]int
	probeRing         []*member // probed in this order, then shuffled anew
	seq               uint32
	probes            []*probe
	forwarded         []forwardedPing
	nextProbeAt       Time
	probeRounds       int // probes made
	localHealth       int // how far this gateway distrusts itself
	epoch             uint64
	digest            uint64
	epochDigest       uint64 // the digest to which the epoch belongs
	selfDigestPart    uint64
	pushCursors       map[string]uint32 // cursor of what is told to one whose view differs
	sync              syncState
	differsSince      Time // since when somebody's view has been another one; -1: nobody's
	out               []Outgoing
	stats             Stats
	nextNamesakeAt    Time // not before, a look for another process of a name
	silenced          bool // another process goes by this name, and is to stay
	viewChanged       bool // something that a view shows has changed
}

// Stats counts what a machine has seen.
type Stats struct {
	Syncs                    uint64 `json:"Walks"` // views of others looked through
	Probes, Unanswered       uint64
	IndirectAcks             uint64 `json:"Helped"` // answered by way of others alone
	Suspected, Refuted, Died uint64 // others suspected here; own refutations; deaths seen
	Pauses                   uint64 // own, noticed by late ticks
	Namesakes                uint64 // messages of another process with our name
}

// New returns a machine that knows of nobody yet.
func New(cfg Config, now Time) *Machine {
	cfg.setDefaults()
	m := &Machine{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Instance)), now: now, members: map[string]*member{},
		self:        Update{ID: cfg.ID, Addr: cfg.Addr, Incarnation: cfg.Incarnation, Status: Alive},
		nextProbeAt: now, epoch: 1, pushCursors: map[string]uint32{}, differsSince: -1,
	}
	m.updateDigest()
	m.epoch, m.viewChanged = 1, false
	return m
}

// Tick does what is due. It is to be called every fifth of an interval or so; a call that
// comes far later tells of a pause of this process or a jump of its clock.
func (m *Machine) Tick(now Time) []Outgoing {
	m.out = m.out[:0]
	m.advanceClock(now)
	if m.silenced {
		return nil
	}
	for _, x := range m.notAlive { // whose standing changes here stays in it
		if x.Status == Suspect && m.now >= x.deadAt {
			m.apply(Update{ID: x.ID, Addr: x.Addr, Incarnation: x.Incarnation, Status: Dead})
		}
		if x.Status == Leaving && m.now-max(x.lastHeard, x.statusSince) > m.cfg.SuspicionTimeout {
			m.apply(Update{ID: x.ID, Addr: x.Addr, Incarnation: x.Incarnation, Status: Left})
		}
	}
	m.reap()
	m.checkProbes()
	if m.now >= m.nextProbeAt {
		m.nextProbeAt = m.now + m.cfg.ProbeInterval
		m.probeNext()
	}
	return m.out
}

// advanceClock moves the clock. One that goes back stands still. A tick that comes late is a
// pause of our own: nobody could be heard meanwhile, so every deadline moves with it, and
// for a while others are given more time.
func (m *Machine) advanceClock(now Time) {
	gap := now - m.now
	if gap <= 0 {
		return
	}
	m.now = now
	if gap < minPause {
		return
	}
	m.stats.Pauses++
	m.localHealth = min(maxLocalHealth, m.localHealth+1+int(gap/m.cfg.ProbeInterval))
	m.probes, m.forwarded = nil, nil
	for _, x := range m.byName {
		x.deadAt += gap
		x.lastHeard += gap
	}
	m.sync.deadline += gap
	m.nextProbeAt = m.now + m.cfg.ProbeTimeout // first what waits is read, then others are asked
}

// checkProbes ends probes that have waited long enough.
func (m *Machine) checkProbes() {
	m.forwarded = slices.DeleteFunc(m.forwarded, func(r forwardedPing) bool { return m.now > r.deadline })
	for _, p := range m.probes {
		if !p.indirect && m.now >= p.indirectAt {
			p.indirect = true
			for _, h := range m.randomAlive(p.target) {
				m.send(h.Addr, Message{Kind: PingReq, Seq: p.seq, Subject: p.target.ID})
			}
		}
		if m.now >= p.deadline {
			m.probeFailed(p)
		}
	}
	m.probes = slices.DeleteFunc(m.probes, func(p *probe) bool { return p.acked || m.now >= p.deadline })
	if m.sync.peer == "" || m.now < m.sync.deadline {
		return
	}
	m.sync.tries++
	if x := m.members[m.sync.peer]; x != nil && x.Status < Dead && m.sync.tries <= syncAttempts {
		m.requestSync(x.Addr) // from where it stopped: what was lost on the way comes with another walk
	} else {
		m.sync.peer = ""
	}
}

// send fills a message with what the other should know. Of one that we suspect it is told
// first of all, so that it can refute.
func (m *Machine) send(to string, msg Message, about ...*member) {
	msg.From, msg.Instance, msg.Addr = m.cfg.ID, m.cfg.Instance, m.cfg.Addr
	msg.Epoch, msg.Digest, msg.Heartbeat = m.epoch, m.digest, uint32(m.now/heartbeatUnit)+1
	for _, x := range about {
		if x.Status != Alive {
			msg.Updates = append(msg.Updates, m.currentUpdate(x))
		}
	}
	msg.Updates = msg.Updates[:min(len(msg.Updates), m.cfg.MaxUpdates)]
	m.addGossip(&msg)
	m.out = append(m.out, Outgoing{To: to, Message: msg})
}

// Receive takes a message.
func (m *Machine) Receive(now Time, msg Message) []Outgoing {
	m.out = m.out[:0]
	m.advanceClock(now)
	if msg.From == m.cfg.ID {
		if m.receiveNamesake(msg); m.silenced {
			return nil
		}
		return m.out
	}
	if m.silenced {
		return nil
	}
	for _, u := range msg.Updates {
		m.receiveUpdate(msg.From, u)
	}
	x := m.members[msg.From]
	if x == nil { // it has not told of itself: ask
		m.send(msg.Addr, Message{Kind: Ping, Seq: m.nextSeq()})
	} else {
		x.lastHeard, x.everHeard = m.now, true
		if x.Status == Suspect {
			m.adjustSuspicion(x, msg.Heartbeat, 0)
		}
		x.heartbeat = max(x.heartbeat, msg.Heartbeat)
		m.contradict(x)
	}
	switch msg.Kind {
	case Ping:
		answer := Message{Kind: Ack, Seq: msg.Seq}
		m.pushView(msg, &answer)
		if x != nil {
			m.send(msg.Addr, answer, x)
		} else {
			m.send(msg.Addr, answer)
		}
	case Ack:
		m.receiveAck(msg)
		if msg.Digest != m.digest && x != nil && m.rng.IntN(2) == 0 {
			more := Message{Kind: Ping, Seq: m.nextSeq()}
			m.pushView(msg, &more)
			m.send(msg.Addr, more)
		}
	case SyncRequest:
		m.answerSyncRequest(msg)
	case SyncReply:
		m.receiveSyncReply(msg)
	case PingReq:
		if y := m.members[msg.Subject]; y != nil {
			r := forwardedPing{seq: m.nextSeq(), requestSeq: msg.Seq, requester: msg.Addr, target: msg.Subject, deadline: m.now + 4*m.cfg.ProbeTimeout}
			m.forwarded = append(m.forwarded, r)
			m.send(y.Addr, Message{Kind: Ping, Seq: r.seq}, y)
		}
	}
	m.adoptEpoch(msg)
	m.startSync(msg)
	return m.out
}

// receiveNamesake hears from another process of our own name. The one with the higher instance
// stays; the other falls silent, since two would refute each other for ever.
func (m *Machine) receiveNamesake(msg Message) {
	if msg.Instance == m.cfg.Instance {
		return // our own, come back
	}
	m.stats.Namesakes++
	if msg.Instance > m.cfg.Instance && !m.silenced {
		m.silenced, m.viewChanged = true, true
	}
	if msg.Instance < m.cfg.Instance && msg.Kind == Ping {
		m.send(msg.Addr, Message{Kind: Ack, Seq: msg.Seq}) // it learns of us by that
	}
}

// ReceiveStale is told of a message from an earlier process of a name than the latest one heard.
// It is not taken, but if it comes from elsewhere than where the name is now, both may still
// run: the earlier one is told where the later one is.
func (m *Machine) ReceiveStale(now Time, msg Message) []Outgoing {
	m.out = m.out[:0]
	m.advanceClock(now)
	x := m.members[msg.From]
	if m.silenced || x == nil || x.Addr == msg.Addr || now < m.nextNamesakeAt {
		return nil
	}
	m.nextNamesakeAt = now + namesakeInterval
	m.send(msg.Addr, Message{Kind: Ping, Seq: m.nextSeq(), Updates: []Update{x.Update}})
	return m.out
}

// receiveAck takes an answer to a ping of ours, or passes it to whom it was made for.
func (m *Machine) receiveAck(msg Message) {
	for _, r := range m.forwarded {
		if r.seq == msg.Seq && r.target == msg.From {
			m.send(r.requester, Message{Kind: Ack, Seq: r.requestSeq, Subject: r.target})
		}
	}
	who := cmp.Or(msg.Subject, msg.From)
	for _, p := range m.probes {
		if p.seq != msg.Seq || p.target.ID != who || p.acked {
			continue
		}
		p.acked = true
		m.localHealth = max(0, m.localHealth-1)
		p.target.ackedDirectly = msg.Subject == ""
		if p.target.ackedDirectly {
			p.target.lastDirectAck = m.now
			p.target.rtt = m.now - p.sentAt
		} else {
			m.stats.IndirectAcks++
		}
	}
}

// AnnounceLeaving says that this gateway is about to end. It is told to a few at once; the messages
// until the end carry it on.
func (m *Machine) AnnounceLeaving(now Time) []Outgoing { return m.announce(now, Leaving) }

// AnnounceLeft says that it has ended: the last word, to be sent before the process is gone.
func (m *Machine) AnnounceLeft(now Time) []Outgoing { return m.announce(now, Left) }

func (m *Machine) announce(now Time, s Status) []Outgoing {
	m.out = m.out[:0]
	m.advanceClock(now)
	m.self.Status, m.selfTransmissions = s, 0
	m.updateDigest()
	for _, x := range m.randomAlive(nil) {
		m.send(x.Addr, Message{Kind: Ping, Seq: m.nextSeq()})
	}
	return m.out
}
