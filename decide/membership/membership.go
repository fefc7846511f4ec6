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
	helpers     = 3                      // gateways asked to ping one that does not answer
	healthMost  = 6                      // steps by which a gateway may distrust itself
	spreadTimes = 3.0                    // times log2(n+1) that an update is passed on
	pauseLeast  = 100 * time.Millisecond // a tick that comes so late tells of a pause of one's own
	deadEvery   = 8                      // probes, of which one goes to somebody dead, so that halves meet again
	joinEvery   = 5                      // probes between calls to the addresses to join by, once somebody is known
	flapBound   = 2.0                    // returns from suspicion to death, fading, past which a gateway is not steady
	flapFade    = time.Minute
	beatUnit    = 10 * time.Millisecond
	formerPause = time.Second            // between looks for namesakes
	walkPieces  = 8                      // messages that answer one Want
	walkWait    = 500 * time.Millisecond // for the next piece of a walk; then it is given up
	walkTries   = 3                      // times that a part is asked for
	walkPause   = time.Second            // views differ for so long before one is walked, and between walks
)

// member is what a machine knows of another gateway.
type member struct {
	Update
	since    Time // of its status
	dueAt    Time // a suspect's: when it counts as dead
	heard    Time // the last message from itself
	reached  Time // the last proof that it hears us, directly
	direct   bool // the latest probe that was answered was so without help
	seen     bool // it has been heard at all
	rtt      time.Duration
	flaps    float64
	flapsAt  Time
	beat     uint32 // the latest that anybody has heard, in this incarnation
	sent     int    // times that its latest update has been passed on
	untold   bool
	mark     uint64 // its part of the digest
	accusers map[string]bool
}

// Machine is one gateway's view of the tier.
type Machine struct {
	cfg      Config
	rng      *rand.Rand
	now      Time
	self     Update
	selfSent int
	members  map[string]*member
	order    []*member // by name
	restless []*member // those of them that are not alive, by name
	untold   []*member // those whose latest update is still passed on
	counts   [Left + 1]int
	ring     []*member // probed in this order, then shuffled anew
	seq      uint32
	probes   []*probe
	relays   []relay
	nextAt   Time
	count    int // probes made
	health   int // how far this gateway distrusts itself
	epoch    uint64
	digest   uint64
	numbered uint64 // the digest to which the epoch belongs
	selfMark uint64
	share    map[string]uint32 // cursor of what is told to one whose view differs
	walk     walk
	differs  Time // since when somebody's view has been another one; -1: nobody's
	out      []Send
	stats    Stats
	formerAt Time // not before, a look for another process of a name
	foreign  bool // another process goes by this name, and is to stay
	news     bool // something that a view shows has changed
}

// Stats counts what a machine has seen.
type Stats struct {
	Walks                      uint64 // views of others looked through
	Probes, Unanswered, Helped uint64 // Helped: answered by way of others alone
	Suspected, Refuted, Died   uint64 // others suspected here; own refutations; deaths seen
	Pauses                     uint64 // own, noticed by late ticks
	Namesakes                  uint64 // messages of another process with our name
}

// New returns a machine that knows of nobody yet.
func New(cfg Config, now Time) *Machine {
	cfg.fill()
	m := &Machine{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Instance)), now: now, members: map[string]*member{},
		self:   Update{ID: cfg.ID, Addr: cfg.Addr, Incarnation: cfg.Incarnation, Status: Alive},
		nextAt: now, epoch: 1, share: map[string]uint32{}, differs: -1,
	}
	m.changed()
	m.epoch, m.news = 1, false
	return m
}

// Tick does what is due. It is to be called every fifth of an interval or so; a call that
// comes far later tells of a pause of this process or a jump of its clock.
func (m *Machine) Tick(now Time) []Send {
	m.out = m.out[:0]
	m.advance(now)
	if m.foreign {
		return nil
	}
	for _, x := range m.restless { // whose standing changes here stays in it
		if x.Status == Suspect && m.now >= x.dueAt {
			m.take(Update{ID: x.ID, Addr: x.Addr, Incarnation: x.Incarnation, Status: Dead})
		}
		if x.Status == Leaving && m.now-max(x.heard, x.since) > m.cfg.DeadAfter {
			m.take(Update{ID: x.ID, Addr: x.Addr, Incarnation: x.Incarnation, Status: Left})
		}
	}
	m.forget()
	m.follow()
	if m.now >= m.nextAt {
		m.nextAt = m.now + m.cfg.Interval
		m.next()
	}
	return m.out
}

// advance moves the clock. One that goes back stands still. A tick that comes late is a
// pause of our own: nobody could be heard meanwhile, so every deadline moves with it, and
// for a while others are given more time.
func (m *Machine) advance(now Time) {
	gap := now - m.now
	if gap <= 0 {
		return
	}
	m.now = now
	if gap < pauseLeast {
		return
	}
	m.stats.Pauses++
	m.health = min(healthMost, m.health+1+int(gap/m.cfg.Interval))
	m.probes, m.relays = nil, nil
	for _, x := range m.order {
		x.dueAt += gap
		x.heard += gap
	}
	m.walk.until += gap
	m.nextAt = m.now + m.cfg.Timeout // first what waits is read, then others are asked
}

// follow ends probes that have waited long enough.
func (m *Machine) follow() {
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool { return m.now > r.until })
	for _, p := range m.probes {
		if !p.helped && m.now >= p.helpAt {
			p.helped = true
			for _, h := range m.helpers(p.to) {
				m.send(h.Addr, Message{Kind: PingFor, Seq: p.seq, About: p.to.ID})
			}
		}
		if m.now >= p.endAt {
			m.unanswered(p)
		}
	}
	m.probes = slices.DeleteFunc(m.probes, func(p *probe) bool { return p.answered || m.now >= p.endAt })
	if m.walk.of == "" || m.now < m.walk.until {
		return
	}
	m.walk.tries++
	if x := m.members[m.walk.of]; x != nil && x.Status < Dead && m.walk.tries <= walkTries {
		m.want(x.Addr) // from where it stopped: what was lost on the way comes with another walk
	} else {
		m.walk.of = ""
	}
}

// send fills a message with what the other should know. Of one that we suspect it is told
// first of all, so that it can refute.
func (m *Machine) send(to string, msg Message, about ...*member) {
	msg.From, msg.Instance, msg.Addr = m.cfg.ID, m.cfg.Instance, m.cfg.Addr
	msg.Epoch, msg.Digest, msg.Beat = m.epoch, m.digest, uint32(m.now/beatUnit)+1
	for _, x := range about {
		if x.Status != Alive {
			msg.Updates = append(msg.Updates, m.aged(x))
		}
	}
	msg.Updates = msg.Updates[:min(len(msg.Updates), m.cfg.Updates)]
	m.fresh(&msg)
	m.out = append(m.out, Send{To: to, Message: msg})
}

// Receive takes a message.
func (m *Machine) Receive(now Time, msg Message) []Send {
	m.out = m.out[:0]
	m.advance(now)
	if msg.From == m.cfg.ID {
		if m.namesake(msg); m.foreign {
			return nil
		}
		return m.out
	}
	if m.foreign {
		return nil
	}
	for _, u := range msg.Updates {
		m.learn(msg.From, u)
	}
	x := m.members[msg.From]
	if x == nil { // it has not told of itself: ask
		m.send(msg.Addr, Message{Kind: Ping, Seq: m.number()})
	} else {
		x.heard, x.seen = m.now, true
		if x.Status == Suspect {
			m.lived(x, msg.Beat, 0)
		}
		x.beat = max(x.beat, msg.Beat)
		m.known(x)
	}
	switch msg.Kind {
	case Ping:
		answer := Message{Kind: Ack, Seq: msg.Seq}
		m.differ(msg, &answer)
		if x != nil {
			m.send(msg.Addr, answer, x)
		} else {
			m.send(msg.Addr, answer)
		}
	case Ack:
		m.acked(msg)
		if msg.Digest != m.digest && x != nil && m.rng.IntN(2) == 0 {
			more := Message{Kind: Ping, Seq: m.number()}
			m.differ(msg, &more)
			m.send(msg.Addr, more)
		}
	case Want:
		m.pieces(msg)
	case Have:
		m.piece(msg)
	case PingFor:
		if y := m.members[msg.About]; y != nil {
			r := relay{seq: m.number(), asked: msg.Seq, to: msg.Addr, about: msg.About, until: m.now + 4*m.cfg.Timeout}
			m.relays = append(m.relays, r)
			m.send(y.Addr, Message{Kind: Ping, Seq: r.seq}, y)
		}
	}
	m.agree(msg)
	m.compare(msg)
	return m.out
}

// namesake hears from another process of our own name. The one with the higher instance
// stays; the other falls silent, since two would refute each other for ever.
func (m *Machine) namesake(msg Message) {
	if msg.Instance == m.cfg.Instance {
		return // our own, come back
	}
	m.stats.Namesakes++
	if msg.Instance > m.cfg.Instance && !m.foreign {
		m.foreign, m.news = true, true
	}
	if msg.Instance < m.cfg.Instance && msg.Kind == Ping {
		m.send(msg.Addr, Message{Kind: Ack, Seq: msg.Seq}) // it learns of us by that
	}
}

// Former is told of a message from an earlier process of a name than the latest one heard.
// It is not taken, but if it comes from elsewhere than where the name is now, both may still
// run: the earlier one is told where the later one is.
func (m *Machine) Former(now Time, msg Message) []Send {
	m.out = m.out[:0]
	m.advance(now)
	x := m.members[msg.From]
	if m.foreign || x == nil || x.Addr == msg.Addr || now < m.formerAt {
		return nil
	}
	m.formerAt = now + formerPause
	m.send(msg.Addr, Message{Kind: Ping, Seq: m.number(), Updates: []Update{x.Update}})
	return m.out
}

// acked takes an answer to a ping of ours, or passes it to whom it was made for.
func (m *Machine) acked(msg Message) {
	for _, r := range m.relays {
		if r.seq == msg.Seq && r.about == msg.From {
			m.send(r.to, Message{Kind: Ack, Seq: r.asked, About: r.about})
		}
	}
	who := cmp.Or(msg.About, msg.From)
	for _, p := range m.probes {
		if p.seq != msg.Seq || p.to.ID != who || p.answered {
			continue
		}
		p.answered = true
		m.health = max(0, m.health-1)
		p.to.direct = msg.About == ""
		if p.to.direct {
			p.to.reached = m.now
			p.to.rtt = m.now - p.sentAt
		} else {
			m.stats.Helped++
		}
	}
}

// Leave says that this gateway is about to end. It is told to a few at once; the messages
// until the end carry it on.
func (m *Machine) Leave(now Time) []Send { return m.depart(now, Leaving) }

// End says that it has ended: the last word, to be sent before the process is gone.
func (m *Machine) End(now Time) []Send { return m.depart(now, Left) }

func (m *Machine) depart(now Time, s Status) []Send {
	m.out = m.out[:0]
	m.advance(now)
	m.self.Status, m.selfSent = s, 0
	m.changed()
	for _, x := range m.helpers(nil) {
		m.send(x.Addr, Message{Kind: Ping, Seq: m.number()})
	}
	return m.out
}
