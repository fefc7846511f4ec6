// Package membership maintains the membership of a tier of gateways: which members are alive,
// suspected, leaving or dead, how many use the engines, and whether the reachable ones are a majority.
//
// It implements SWIM (Das, Gupta, Motivala 2002) with the extensions of Lifeguard (Dadgar,
// Phillips, Currey 2018): a gateway with poor local health uses longer timeouts, and a suspect
// receives the suspicion so that it can refute it. It differs from both in three respects:
//   - The timeout of a suspicion starts when the unanswered probe was sent, at every gateway that
//     receives the suspicion, so that all of them declare the death at about the same time.
//   - A gateway that was paused moves all its deadlines by the pause before it suspects a member.
//   - A gateway in a minority continues to count dead members.
//
// The package does no I/O, starts no goroutine and reads no clock: times are passed in as durations
// since an arbitrary origin, messages as values, and outgoing messages are returned. A Machine is
// not safe for concurrent use.
package membership

import (
	"math/rand/v2"
	"time"
)

// The parameters of the protocol that are not configurable.
const (
	indirectProbers        = 3                      // gateways to which a PingReq is sent
	maxLocalHealth         = 6                      // maximum of Lifeguard's local health multiplier, minus one
	retransmitFactor       = 3.0                    // times log2(n+1): transmissions of an update
	minPause               = 100 * time.Millisecond // minimum gap between calls that counts as a pause
	deadProbeRounds        = 8                      // rounds per probe of a dead gateway, to merge partitions
	rejoinRoundsPerMember  = 5                      // rounds per known gateway between pings of JoinAddrs
	maxStableFlapScore     = 2.0                    // flap score from which a gateway is not stable
	flapHalfLife           = time.Minute
	heartbeatUnit          = 10 * time.Millisecond
	duplicateCheckInterval = time.Second            // between pings to a possible duplicate of this name
	syncRepliesPerRequest  = 8                      // maximum number of replies to one SyncRequest
	syncTimeout            = 500 * time.Millisecond // for the next reply of a sync
	syncAttempts           = 3                      // for one part before a sync is abandoned
	syncInterval           = time.Second            // for which views differ before a sync; also between syncs
)

// member is the state of another gateway.
type member struct {
	Update
	statusSince     Time
	deadAt          Time // when the suspicion of a suspect times out
	lastMessageAt   Time // time of the latest message from the gateway itself
	lastDirectAck   Time
	ackedDirectly   bool // the latest answered probe was answered without a PingReq
	messageReceived bool
	rtt             time.Duration
	flapScore       float64 // times back alive after death, at flapScoreAt; decays with flapHalfLife
	flapScoreAt     Time
	heartbeat       uint32 // the latest that any gateway has received in this incarnation
	transmissions   int    // of its latest update
	gossipQueued    bool
	digestPart      uint64
	suspectedBy     map[string]bool // names of the gateways that suspect it
}

// Machine is one gateway's view of the tier.
type Machine struct {
	cfg      Config
	rng      *rand.Rand
	now      Time
	outgoing []Outgoing // messages that the current call returns
	stats    Stats

	self                 Update
	selfTransmissions    int  // of self
	superseded           bool // a process with a higher instance uses this name
	nextDuplicateCheckAt Time // earliest time of the next ping that detects another process with the same name

	members      map[string]*member
	byName       []*member // all members, sorted by name
	notAlive     []*member // members with a status other than Alive, sorted by name
	gossip       []*member // members whose latest update is still transmitted
	statusCounts [Left + 1]int

	localHealth int // Lifeguard's local health multiplier minus one: 0 is healthy
	probeRing   []*member
	probeRounds int
	nextProbeAt Time
	probes      []*probe
	forwarded   []forwardedPing
	seq         uint32

	epoch          uint64
	digest         uint64
	epochDigest    uint64 // the digest for which the epoch was set
	selfDigestPart uint64
	viewChanged    bool // since the last call of Changed

	sync             syncState
	pushCursors      map[string]uint32 // by gateway whose view differs: the index at which pushView continues
	viewsDifferSince Time              // when received views began to differ; -1: the latest was equal
}

// Stats counts the events of a machine since its start.
type Stats struct {
	Syncs          uint64 `json:"Walks"` // started with gateways whose views differ
	Probes         uint64
	FailedProbes   uint64 `json:"Unanswered"` // probes without an answer
	IndirectAcks   uint64 `json:"Helped"`     // probes answered only through other gateways
	Suspicions     uint64 `json:"Suspected"`  // of other gateways by this one
	Refutations    uint64 `json:"Refuted"`    // of suspicions of this gateway
	Deaths         uint64 `json:"Died"`
	Pauses         uint64 // of this process, detected by late ticks
	DuplicateNames uint64 `json:"Namesakes"` // messages from another process with this gateway's name
}

// New returns a machine without other members.
func New(cfg Config, now Time) *Machine {
	cfg.setDefaults()
	m := &Machine{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Instance)), now: now, members: map[string]*member{},
		self:        Update{ID: cfg.ID, Addr: cfg.Addr, Incarnation: cfg.Incarnation, Status: Alive},
		nextProbeAt: now, pushCursors: map[string]uint32{}, viewsDifferSince: -1,
	}
	m.updateDigest()
	m.epoch, m.viewChanged = 1, false
	return m
}

// Tick applies timeouts and sends probes. It must be called about five times per probe interval; a
// much later call means that this process was paused or that its clock jumped.
func (m *Machine) Tick(now Time) []Outgoing {
	m.beginCall(now)
	if m.superseded {
		return nil
	}
	m.expireMembers()
	m.reapMembers()
	m.checkProbes()
	m.checkSync()
	if m.now >= m.nextProbeAt {
		m.nextProbeAt = m.now + m.cfg.ProbeInterval
		m.probeNext()
	}
	return m.outgoing
}

// beginCall clears the outgoing messages and advances the clock.
func (m *Machine) beginCall(now Time) {
	m.outgoing = m.outgoing[:0]
	m.advanceClock(now)
}

// advanceClock advances the clock and ignores a clock that runs backwards. A late tick indicates a
// pause of this process: it could not receive messages during it, so every deadline moves by the
// pause, and local health gets worse.
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
	for _, peer := range m.byName {
		peer.deadAt += gap
		peer.lastMessageAt += gap
	}
	m.sync.deadline += gap
	m.nextProbeAt = m.now + m.cfg.ProbeTimeout // messages queued in the socket are read before the next probe
}

// AnnounceLeaving sends a few gateways the update that this one is about to stop; later messages
// repeat it.
func (m *Machine) AnnounceLeaving(now Time) []Outgoing { return m.announce(now, Leaving) }

// AnnounceLeft sends a few gateways the update that this one has stopped. The returned messages must
// be sent before the process exits.
func (m *Machine) AnnounceLeft(now Time) []Outgoing { return m.announce(now, Left) }

func (m *Machine) announce(now Time, s Status) []Outgoing {
	m.beginCall(now)
	m.self.Status, m.selfTransmissions = s, 0
	m.updateDigest()
	for _, peer := range m.randomAlive(nil) {
		m.send(peer.Addr, Message{Kind: Ping, Seq: m.nextSeq()})
	}
	return m.outgoing
}

// send queues a message with gossip. Updates on the members in about are added first unless they are
// alive, so that a suspect can refute; nil members are skipped.
func (m *Machine) send(to string, msg Message, about ...*member) {
	msg.From, msg.Instance, msg.Addr = m.cfg.ID, m.cfg.Instance, m.cfg.Addr
	msg.Epoch, msg.Digest, msg.Heartbeat = m.epoch, m.digest, uint32(m.now/heartbeatUnit)+1
	for _, peer := range about {
		if peer != nil && peer.Status != Alive {
			msg.Updates = append(msg.Updates, m.currentUpdate(peer))
		}
	}
	msg.Updates = msg.Updates[:min(len(msg.Updates), m.cfg.MaxUpdates)]
	m.addGossip(&msg)
	m.outgoing = append(m.outgoing, Outgoing{To: to, Message: msg})
}

func (m *Machine) nextSeq() uint32 {
	m.seq++
	return m.seq
}
