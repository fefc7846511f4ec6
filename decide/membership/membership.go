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
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Time is a point on the caller's clock, as the span since an origin of its choice.
type Time = time.Duration

// Status is how a gateway stands.
type Status uint8

// The statuses, in the order in which they override each other within one incarnation.
const (
	Alive   Status = iota
	Suspect        // silent towards somebody; it may refute
	Leaving        // says that it is about to end; it takes nothing new
	Dead           // silent for too long
	Left           // ended in good order
)

// String words a status.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead", "left"}[min(s, Left)]
}

// Update is what one gateway says of another. Of two updates on one gateway that with the
// higher incarnation holds, then that with the higher status: so updates may come in any
// order and more than once.
type Update struct {
	ID          string
	Addr        string // where it is reached; may be empty in updates on the dead
	Incarnation uint64 // only the gateway itself raises it
	Status      Status
	Age         time.Duration // of a suspicion: since the probe that went unanswered
}

// over tells whether u overrides v.
func (u Update) over(v Update) bool {
	return cmp.Or(cmp.Compare(u.Incarnation, v.Incarnation), cmp.Compare(u.Status, v.Status)) > 0
}

// Kind is a kind of message.
type Kind uint8

// The kinds of message.
const (
	Ping Kind = iota
	Ack
	PingFor // asks for a ping of a third gateway, in the name of the sender
)

// Message is what gateways send each other.
type Message struct {
	Kind     Kind
	From     string
	Instance uint64 // of the process: two with one name differ
	Addr     string // of the sender
	Seq      uint32 // of the ping that this is, answers or asks for
	About    string // PingFor: whom to ping; Ack: for whom it answers, if not the sender
	Epoch    uint64
	Digest   uint64 // of the sender's view
	Updates  []Update
}

// Send is a message and where it goes.
type Send struct {
	To string // address
	Message
}

// Config is what a machine is given at its start.
type Config struct {
	ID          string
	Addr        string
	Instance    uint64
	Incarnation uint64   // above that of any earlier life, as far as is known
	Join        []string // addresses to ask until somebody answers
	Expect      int      // gateways that the operator says there are; 0: not said
	Seed        uint64
	Updates     int // most updates in one message

	Interval  time.Duration // between probes; 0 = 100 ms
	Timeout   time.Duration // for a direct answer; 0 = 80 ms
	DeadAfter time.Duration // of silence, proven by a probe; 0 = 2.3 s
	Hold      time.Duration // for which one that died still counts as sharing; 0 = 15 s
	Forget    time.Duration // after which a majority forgets the dead; 0 = 10 min
}

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
)

func (c *Config) fill() {
	c.Interval = cmp.Or(c.Interval, 100*time.Millisecond)
	c.Timeout = cmp.Or(c.Timeout, 80*time.Millisecond)
	c.DeadAfter = cmp.Or(c.DeadAfter, 2300*time.Millisecond)
	c.Hold = cmp.Or(c.Hold, 15*time.Second)
	c.Forget = cmp.Or(c.Forget, 10*time.Minute)
	c.Updates = cmp.Or(c.Updates, 6)
}

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
	sent     int // times that its latest update has been passed on
	accusers map[string]bool
}

// probe is a ping that waits for its answer.
type probe struct {
	seq      uint32
	to       *member
	sentAt   Time
	helpAt   Time // when others are asked
	endAt    Time
	helped   bool
	answered bool
}

// relay is a ping made for somebody else.
type relay struct {
	seq   uint32 // ours
	asked uint32 // theirs
	to    string // their address
	about string
	until Time
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
	ring     []*member // probed in this order, then shuffled anew
	seq      uint32
	probes   []*probe
	relays   []relay
	nextAt   Time
	count    int // probes made
	health   int // how far this gateway distrusts itself
	epoch    uint64
	digest   uint64
	share    map[string]uint32 // cursor of what is told to one whose view differs
	out      []Send
	stats    Stats
	foreign  bool // another process goes by this name, and is to stay
	news     bool // something that a view shows has changed
}

// Stats counts what a machine has seen.
type Stats struct {
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
		nextAt: now, epoch: 1, share: map[string]uint32{},
	}
	m.digest = m.sum()
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
	for _, x := range m.order {
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
	m.nextAt = m.now + m.cfg.Timeout // first what waits is read, then others are asked
}

// patience is how long an answer may take, longer the more we distrust ourselves.
func (m *Machine) patience() time.Duration { return m.cfg.Timeout * time.Duration(1+m.health) }

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
}

func (m *Machine) unanswered(p *probe) {
	m.stats.Unanswered++
	m.health = min(healthMost, m.health+1)
	if p.to.Status != Alive {
		return
	}
	m.stats.Suspected++
	m.take(Update{ID: p.to.ID, Addr: p.to.Addr, Incarnation: p.to.Incarnation, Status: Suspect, Age: m.now - p.sentAt})
	p.to.accusers = map[string]bool{m.cfg.ID: true}
}

// helpers are a few others that are alive.
func (m *Machine) helpers(but *member) []*member {
	var pool []*member
	for _, x := range m.order {
		if x != but && x.Status == Alive {
			pool = append(pool, x)
		}
	}
	m.rng.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	return pool[:min(helpers, len(pool))]
}

// next probes the next in turn: every suspect, since each answer may save it, and one other.
func (m *Machine) next() {
	m.count++
	known := false
	for _, x := range m.order {
		known = known || x.Status < Dead
		if x.Status == Suspect {
			m.probe(x)
		}
	}
	if !known || m.count%(joinEvery*len(m.order)+1) == 0 {
		for _, addr := range m.cfg.Join {
			if addr != m.cfg.Addr {
				m.send(addr, Message{Kind: Ping, Seq: m.number()})
			}
		}
	}
	if m.count%deadEvery == 0 {
		if x := m.pick(func(x *member) bool { return x.Status == Dead }); x != nil {
			m.probe(x)
		}
	}
	for range len(m.order) + 1 {
		if len(m.ring) == 0 {
			m.ring = slices.Clone(m.order)
			m.rng.Shuffle(len(m.ring), func(i, j int) { m.ring[i], m.ring[j] = m.ring[j], m.ring[i] })
		}
		if len(m.ring) == 0 {
			return
		}
		x := m.ring[0]
		m.ring = m.ring[1:]
		if m.members[x.ID] == x && (x.Status == Alive || x.Status == Leaving) {
			m.probe(x)
			return
		}
	}
}

func (m *Machine) pick(fits func(*member) bool) *member {
	var pool []*member
	for _, x := range m.order {
		if fits(x) {
			pool = append(pool, x)
		}
	}
	if len(pool) == 0 {
		return nil
	}
	return pool[m.rng.IntN(len(pool))]
}

func (m *Machine) number() uint32 {
	m.seq++
	return m.seq
}

func (m *Machine) probe(x *member) {
	m.stats.Probes++
	p := &probe{seq: m.number(), to: x, sentAt: m.now, helpAt: m.now + m.patience(), endAt: m.now + 3*m.patience()}
	m.probes = append(m.probes, p)
	m.send(x.Addr, Message{Kind: Ping, Seq: p.seq}, x)
}

// send fills a message with what the other should know. Of one that we suspect it is told
// first of all, so that it can refute.
func (m *Machine) send(to string, msg Message, about ...*member) {
	msg.From, msg.Instance, msg.Addr = m.cfg.ID, m.cfg.Instance, m.cfg.Addr
	msg.Epoch, msg.Digest = m.epoch, m.digest
	for _, x := range about {
		if x.Status != Alive {
			msg.Updates = append(msg.Updates, m.aged(x))
		}
	}
	msg.Updates = msg.Updates[:min(len(msg.Updates), m.cfg.Updates)]
	m.fresh(&msg)
	m.out = append(m.out, Send{To: to, Message: msg})
}

// aged is a member's update with the age that a suspicion has by now.
func (m *Machine) aged(x *member) Update {
	u := x.Update
	if u.Status == Suspect {
		u.Age = max(0, m.cfg.DeadAfter-(x.dueAt-m.now))
	}
	return u
}

// fresh adds the updates that have been passed on least often, ourselves among them.
func (m *Machine) fresh(msg *Message) {
	most := int(math.Ceil(spreadTimes * math.Log2(float64(len(m.order)+2))))
	if m.selfSent < most && len(msg.Updates) < m.cfg.Updates {
		m.selfSent++
		msg.Updates = append(msg.Updates, m.self)
	}
	var list []*member
	for _, x := range m.order {
		if x.sent < most && !slices.ContainsFunc(msg.Updates, func(u Update) bool { return u.ID == x.ID }) {
			list = append(list, x)
		}
	}
	slices.SortStableFunc(list, func(a, b *member) int { return cmp.Compare(a.sent, b.sent) })
	for _, x := range list[:min(len(list), max(0, m.cfg.Updates-len(msg.Updates)))] {
		x.sent++
		msg.Updates = append(msg.Updates, m.aged(x))
	}
}

// Receive takes a message.
func (m *Machine) Receive(now Time, msg Message) []Send {
	m.out = m.out[:0]
	m.advance(now)
	if msg.From == m.cfg.ID {
		m.namesake(msg)
		return nil
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
			m.lived(x, 0)
		}
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
	case PingFor:
		if y := m.members[msg.About]; y != nil {
			r := relay{seq: m.number(), asked: msg.Seq, to: msg.Addr, about: msg.About, until: m.now + 4*m.cfg.Timeout}
			m.relays = append(m.relays, r)
			m.send(y.Addr, Message{Kind: Ping, Seq: r.seq}, y)
		}
	}
	m.agree(msg)
	return m.out
}

// known: a message from a gateway that we hold for dead or left shows that it is there; it
// is told what we think of it, and raises its incarnation.
func (m *Machine) known(x *member) {
	if x.Status >= Dead {
		m.send(x.Addr, Message{Kind: Ping, Seq: m.number()}, x)
	}
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

// differ tells somebody whose view differs from ours a further part of ours, in turn.
func (m *Machine) differ(msg Message, answer *Message) {
	if msg.Digest == m.digest || len(m.order) == 0 {
		return
	}
	at := m.share[msg.From]
	answer.Updates = append(answer.Updates, m.self)
	for range min(len(m.order), m.cfg.Updates-1) {
		x := m.order[int(at)%len(m.order)]
		if at++; x.ID != msg.From {
			answer.Updates = append(answer.Updates, m.aged(x))
		}
	}
	m.share[msg.From] = at
}

// learn takes what somebody says of somebody.
func (m *Machine) learn(from string, u Update) {
	if u.ID == m.cfg.ID {
		if u.Status != m.self.Status && u.over(m.self) || u.Incarnation > m.self.Incarnation {
			m.stats.Refuted++
			m.health = min(healthMost, m.health+1) // we may have been slow to answer
			m.self.Incarnation = u.Incarnation + 1
			m.selfSent = 0
			m.changed()
		}
		return
	}
	if x := m.members[u.ID]; x != nil && u.Status == Suspect && x.Status == Suspect && u.Incarnation == x.Incarnation {
		x.accusers[from] = true
		m.lived(x, u.Age)
		return
	}
	m.take(u)
}

// lived takes it that a suspect was there so long ago: it was heard, or probed for the first
// time. Of what is said the youngest holds, or one whose accusation had just been answered
// when a pause of its own began would have the less time for it.
func (m *Machine) lived(x *member, ago time.Duration) {
	due := m.now + max(0, m.cfg.DeadAfter-ago)
	if due > x.dueAt+pauseLeast { // worth telling the others anew
		x.sent = 0
	}
	x.dueAt = max(x.dueAt, due)
}

// take enters an update if it overrides what is known.
func (m *Machine) take(u Update) {
	x := m.members[u.ID]
	if x == nil {
		if u.Status >= Dead || u.Addr == "" {
			return // the dead are not news to one that never knew them
		}
		x = &member{Update: Update{ID: u.ID, Addr: u.Addr, Incarnation: u.Incarnation, Status: Alive}, since: m.now, heard: m.now}
		m.members[u.ID] = x
		at, _ := slices.BinarySearchFunc(m.order, u.ID, func(x *member, id string) int { return cmp.Compare(x.ID, id) })
		m.order = slices.Insert(m.order, at, x)
		m.ring = append(m.ring, x)
	} else if !u.over(x.Update) {
		return
	}
	before := x.Status
	u.Addr = cmp.Or(u.Addr, x.Addr)
	age := u.Age
	u.Age = 0
	x.Update, x.sent, m.news = u, 0, true
	if u.Status != before {
		x.since = m.now
	}
	switch {
	case u.Status == Suspect:
		if x.accusers = map[string]bool{}; x.seen { // we may have heard it since
			age = min(age, m.now-x.heard)
		}
		x.dueAt = m.now + max(0, m.cfg.DeadAfter-age)
	case u.Status == Dead && before != Dead:
		m.stats.Died++
	case u.Status == Alive && before == Dead:
		x.flaps, x.flapsAt = m.flaps(x)+1, m.now
	}
	m.changed()
}

func (m *Machine) flaps(x *member) float64 {
	return x.flaps * math.Exp2(-(m.now-x.flapsAt).Seconds()/flapFade.Seconds())
}

// forget drops those that have left, and the dead after long, but for a minority: whoever
// forgets the others would take itself for all.
func (m *Machine) forget() {
	var gone []string
	for _, x := range m.order {
		left := x.Status == Left && m.now-x.since > m.cfg.Hold
		dead := x.Status == Dead && m.now-x.since > m.cfg.Forget && !m.Minority()
		if left || dead {
			gone = append(gone, x.ID)
		}
	}
	for _, id := range gone {
		delete(m.members, id)
		delete(m.share, id)
		m.order = slices.DeleteFunc(m.order, func(x *member) bool { return x.ID == id })
	}
	if len(gone) > 0 {
		m.changed()
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
