// Package membership decides who is in a tier of gateways: who is alive, suspected,
// leaving or dead, how many share the engines, and whether the reachable ones are a majority.
//
// It follows SWIM (Das, Gupta, Motivala 2002) with the extensions of Lifeguard (Dadgar,
// Phillips, Currey 2018): a gateway with a poor local health gives others more time, and a
// suspect is told of the suspicion so that it can refute. It departs from both in three
// points. A suspicion runs from the moment that a probe went unanswered, at whichever gateway
// it is held, so that all declare a death at about the same time. A gateway that has been
// paused moves all its deadlines by the pause before it suspects any other. And a minority
// keeps counting the dead.
//
// The package does no I/O, starts no goroutine and reads no clock: times are passed in as spans
// since any origin, messages as values, and what is to be sent is returned. A Machine is not
// safe for concurrent use.
package membership

import (
	"math/rand/v2"
	"time"
)

// The parameters of the protocol that no operator sets.
const (
	indirectProbers  = 3                      // gateways that a PingReq goes to
	maxLocalHealth   = 6                      // Lifeguard's upper bound of the local health multiplier, less one
	retransmitFactor = 3.0                    // times log2(n+1) that an update is passed on
	minPause         = 100 * time.Millisecond // a tick later than that means that this process was paused
	deadProbeEvery   = 8                      // probe rounds, of which one also probes a dead gateway, so that partitions merge
	rejoinEvery      = 5                      // probe rounds a known gateway between pings of the addresses to join by
	maxSteadyFlaps   = 2.0                    // decayed returns from death, past which a gateway is not steady
	flapHalfLife     = time.Minute
	heartbeatUnit    = 10 * time.Millisecond
	namesakeInterval = time.Second            // between pings that look for another process of a name
	syncMessages     = 8                      // messages that answer one SyncRequest
	syncTimeout      = 500 * time.Millisecond // for the next reply of a sync
	syncAttempts     = 3                      // requests for the same part before a sync is given up
	syncInterval     = time.Second            // views differ for so long before a sync, and between syncs
)

// member is what a machine knows of another gateway.
type member struct {
	Update
	statusSince   Time
	deadAt        Time // a suspect's: when its suspicion times out
	lastHeard     Time // the last message from itself
	lastDirectAck Time
	ackedDirectly bool // the latest probe that was answered was answered without a PingReq
	everHeard     bool
	rtt           time.Duration
	flapScore     float64 // returns from death, as of flapScoreAt; decays with flapHalfLife
	flapScoreAt   Time
	heartbeat     uint32 // the latest that any gateway has heard in this incarnation
	transmissions int    // times that its latest update has been passed on
	inGossip      bool
	digestPart    uint64
	accusers      map[string]bool
}

// Machine is one gateway's view of the tier.
type Machine struct {
	cfg   Config
	rng   *rand.Rand
	now   Time
	out   []Outgoing // what the present call returns
	stats Stats

	self              Update
	selfTransmissions int  // times that self has been passed on
	silenced          bool // another process has this name, and is to stay
	nextNamesakeAt    Time // no ping that looks for another process of a name before

	members      map[string]*member
	byName       []*member // all of them, sorted
	notAlive     []*member // those with another status than Alive, sorted by name
	gossip       []*member // those whose latest update is still passed on
	statusCounts [Left + 1]int

	localHealth int // Lifeguard's local health multiplier less one: 0 is healthy
	probeRing   []*member
	probeRounds int
	nextProbeAt Time
	probes      []*probe
	forwarded   []forwardedPing
	seq         uint32

	epoch          uint64
	digest         uint64
	epochDigest    uint64 // the digest to which the epoch belongs
	selfDigestPart uint64
	viewChanged    bool // since the last call of Changed

	sync         syncState
	pushCursors  map[string]uint32 // by the gateway whose view differs: where pushView goes on
	differsSince Time              // since when views received have differed; -1: the latest did not
}

// Stats counts what a machine has seen since its start.
type Stats struct {
	Syncs          uint64 `json:"Walks"` // begun with gateways whose views differ
	Probes         uint64
	FailedProbes   uint64 `json:"Unanswered"` // probes
	IndirectAcks   uint64 `json:"Helped"`     // probes answered only by way of other gateways
	Suspicions     uint64 `json:"Suspected"`  // gateways suspected by this one
	Refutations    uint64 `json:"Refuted"`    // suspicions of this gateway
	Deaths         uint64 `json:"Died"`
	Pauses         uint64 // of this process, as late ticks show
	DuplicateNames uint64 `json:"Namesakes"` // messages of another process with this gateway's name
}

// New returns a machine that knows of no other gateway yet.
func New(cfg Config, now Time) *Machine {
	cfg.setDefaults()
	m := &Machine{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Instance)), now: now, members: map[string]*member{},
		self:        Update{ID: cfg.ID, Addr: cfg.Addr, Incarnation: cfg.Incarnation, Status: Alive},
		nextProbeAt: now, pushCursors: map[string]uint32{}, differsSince: -1,
	}
	m.updateDigest()
	m.epoch, m.viewChanged = 1, false
	return m
}

// Tick does what is due. It is to be called every fifth of a probe interval or so; a call that
// comes far later means that this process was paused or that its clock jumped.
func (m *Machine) Tick(now Time) []Outgoing {
	m.begin(now)
	if m.silenced {
		return nil
	}
	m.expire()
	m.reap()
	m.checkProbes()
	m.checkSync()
	if m.now >= m.nextProbeAt {
		m.nextProbeAt = m.now + m.cfg.ProbeInterval
		m.probeNext()
	}
	return m.out
}

// begin starts a call: nothing to send yet, and the clock as given.
func (m *Machine) begin(now Time) {
	m.out = m.out[:0]
	m.advanceClock(now)
}

// advanceClock moves the clock; one that goes back stands still. A late tick is a pause of this
// process: nothing could be heard meanwhile, so every deadline moves by the pause, and local
// health falls.
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
		peer.lastHeard += gap
	}
	m.sync.deadline += gap
	m.nextProbeAt = m.now + m.cfg.ProbeTimeout // what waits in the socket is read before the next probe
}

// AnnounceLeaving announces to a few gateways that this one is about to end; the messages
// until its end pass it on.
func (m *Machine) AnnounceLeaving(now Time) []Outgoing { return m.announce(now, Leaving) }

// AnnounceLeft announces that this gateway has ended. What it returns is to be sent before the
// process exits.
func (m *Machine) AnnounceLeft(now Time) []Outgoing { return m.announce(now, Left) }

func (m *Machine) announce(now Time, s Status) []Outgoing {
	m.begin(now)
	m.self.Status, m.selfTransmissions = s, 0
	m.updateDigest()
	for _, peer := range m.randomAlive(nil) {
		m.send(peer.Addr, Message{Kind: Ping, Seq: m.nextSeq()})
	}
	return m.out
}

// send queues a message with the updates that its receiver should know. Those on the members
// in about come first unless they are alive, so that a suspect can refute; nil ones are skipped.
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
	m.out = append(m.out, Outgoing{To: to, Message: msg})
}

func (m *Machine) nextSeq() uint32 {
	m.seq++
	return m.seq
}
