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
	Age         time.Duration // of a suspicion: since the probe that went unanswered, or Beat was heard
	Beat        uint32        // of a suspicion: the latest of its own beats that anybody has heard; 0: not told
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
	Want    // asks for the part of a view that follows a name, since views differ
	Have    // a piece of that part, up to the name that it tells; none ends the walk
)

// Message is what gateways send each other.
type Message struct {
	Kind     Kind
	From     string
	Instance uint64 // of the process: two with one name differ
	Addr     string // of the sender
	Seq      uint32 // of the ping that this is, answers or asks for
	About    string // PingFor: whom to ping; Ack: for whom it answers, if not the sender; Want: the name to go on after
	Epoch    uint64
	Digest   uint64 // of the sender's view
	Beat     uint32 // of the sender: its own clock in beatUnit, from 1 on; 0: not told
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

	// Fits tells how many of a message's updates its carrier has room for; nil: all. The
	// rest is left out on the way, the last ones first.
	Fits func(Message) int

	Interval  time.Duration // between probes; 0 = 100 ms
	Timeout   time.Duration // for a direct answer; 0 = 80 ms
	DeadAfter time.Duration // of silence, proven by a probe; 0 = 2.3 s
	Hold      time.Duration // for which one that died still counts as sharing; 0 = 15 s
	Forget    time.Duration // after which a majority forgets the dead; 0 = 10 min
	Plain     bool          // send only the kinds that the first version knew: no Want, and no answer to one
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
	beatUnit    = 10 * time.Millisecond
	formerPause = time.Second            // between looks for namesakes
	walkPieces  = 8                      // messages that answer one Want
	walkWait    = 500 * time.Millisecond // for the next piece of a walk; then it is given up
	walkTries   = 3                      // times that a part is asked for
	walkPause   = time.Second            // views differ for so long before one is walked, and between walks
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
	beat     uint32 // the latest that anybody has heard, in this incarnation
	sent     int    // times that its latest update has been passed on
	untold   bool
	mark     uint64 // its part of the digest
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

// walk is a look through the view of somebody whose view differs, a part at a time.
type walk struct {
	of    string // "" for none under way
	seq   uint32
	after string // the last name seen
	got   int    // pieces
	tries int    // since the last one
	until Time   // when it is given up
	next  Time   // no other one before
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

// helpers are a few others that are alive, by chance.
func (m *Machine) helpers(but *member) []*member {
	var pool []*member
	for range 4 * helpers { // some may be met that are not alive, or twice
		if len(m.order) == 0 || len(pool) == helpers {
			break
		}
		if x := m.order[m.rng.IntN(len(m.order))]; x != but && x.Status == Alive && !slices.Contains(pool, x) {
			pool = append(pool, x)
		}
	}
	return pool
}

// next probes the next in turn: every suspect, since each answer may save it, and one other.
func (m *Machine) next() {
	m.count++
	known := m.counts[Alive]+m.counts[Suspect]+m.counts[Leaving] > 0
	for _, x := range m.restless {
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
		if n := m.counts[Dead]; n > 0 {
			n = m.rng.IntN(n)
			for _, x := range m.restless {
				if x.Status != Dead {
					continue
				}
				if n == 0 {
					m.probe(x)
				}
				n--
			}
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

// aged is a member's update with the age that a suspicion has by now.
func (m *Machine) aged(x *member) Update {
	u := x.Update
	if u.Status == Suspect {
		u.Age, u.Beat = max(0, m.cfg.DeadAfter-(x.dueAt-m.now)), x.beat
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
	slices.SortStableFunc(m.untold, func(a, b *member) int { return cmp.Compare(a.sent, b.sent) })
	for _, x := range m.untold {
		if len(msg.Updates) >= m.cfg.Updates {
			break
		}
		if !slices.ContainsFunc(msg.Updates, func(u Update) bool { return u.ID == x.ID }) {
			x.sent++
			msg.Updates = append(msg.Updates, m.aged(x))
		}
	}
	m.untold = slices.DeleteFunc(m.untold, func(x *member) bool {
		x.untold = x.sent < most
		return !x.untold
	})
}

// tell has a member's latest update passed on.
func (m *Machine) tell(x *member) {
	if x.sent = 0; !x.untold {
		x.untold = true
		m.untold = append(m.untold, x)
	}
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

// compare looks at whether somebody's view is another one, and stays so: then what is told
// in passing does not do, and the view is walked through. One walk is under way at a time.
func (m *Machine) compare(msg Message) {
	if msg.Digest == m.digest {
		m.differs = -1
		return
	}
	if m.differs < 0 {
		m.differs = m.now
	}
	young := len(m.order) < 2*m.cfg.Updates && m.walk.next == 0 // one that has just started need not wait
	if m.cfg.Plain || m.walk.of != "" || m.now < m.walk.next || m.now-m.differs < walkPause && !young {
		return
	}
	m.stats.Walks++
	m.walk = walk{of: msg.From, next: m.now + walkPause}
	m.want(msg.Addr)
}

// want asks for the next part of the view that is walked through.
func (m *Machine) want(addr string) {
	m.walk.seq, m.walk.until = m.number(), m.now+walkWait
	m.send(addr, Message{Kind: Want, Seq: m.walk.seq, About: m.walk.after})
}

// pieces answers a Want with what follows a name, in a few messages that may each be lost.
func (m *Machine) pieces(msg Message) {
	if m.cfg.Plain {
		return
	}
	at, _ := slices.BinarySearchFunc(m.order, msg.About, func(x *member, id string) int {
		if x.ID <= id {
			return -1
		}
		return 1
	})
	for range walkPieces {
		part := Message{Kind: Have, Seq: msg.Seq, From: m.cfg.ID, Addr: m.cfg.Addr, Epoch: m.epoch, Digest: m.digest, Beat: math.MaxUint32}
		for _, x := range m.order[at:min(len(m.order), at+m.cfg.Updates)] {
			part.Updates, part.About = append(part.Updates, m.aged(x)), x.ID
		}
		if n := len(part.Updates); n > 0 && m.cfg.Fits != nil {
			n = max(1, m.cfg.Fits(part)) // what is left out here comes with the next piece
			part.Updates, part.About = part.Updates[:n], part.Updates[n-1].ID
		}
		at += len(part.Updates)
		m.send(msg.Addr, part)
		if part.About == "" {
			return
		}
	}
}

// piece takes a part of a view that is walked through, and asks for the next when the last
// message of this one has come. Its updates have been learned like any others.
func (m *Machine) piece(msg Message) {
	if msg.From != m.walk.of || msg.Seq != m.walk.seq {
		return
	}
	if msg.About == "" || msg.Digest == m.digest { // the end, or all there was to learn
		m.walk.of = ""
		return
	}
	m.walk.after, m.walk.tries = max(m.walk.after, msg.About), 0
	if m.walk.got++; m.walk.got%walkPieces == 0 {
		m.want(msg.Addr)
	}
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

// differ tells somebody whose view differs from ours a further part of ours, in turn.
func (m *Machine) differ(msg Message, answer *Message) {
	if msg.Digest == m.digest || len(m.order) == 0 {
		return
	}
	at, met := m.share[msg.From]
	if !met { // each begins elsewhere, or all would tell a newcomer the same
		at = m.rng.Uint32()
	}
	answer.Updates = append(answer.Updates, m.self)
	for range min(len(m.order), m.cfg.Updates-1) {
		x := m.order[int(at%uint32(len(m.order)))]
		if at++; x.ID != msg.From {
			answer.Updates = append(answer.Updates, m.aged(x))
		}
	}
	m.share[msg.From] = at
}

// learn takes what somebody says of somebody.
func (m *Machine) learn(from string, u Update) {
	if u.ID == m.cfg.ID {
		if u.Addr != "" && u.Addr != m.cfg.Addr && u.Status == Alive && m.now >= m.formerAt {
			m.formerAt = m.now + formerPause
			m.send(u.Addr, Message{Kind: Ping, Seq: m.number()}) // a namesake, or where we were before
		}
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
		m.lived(x, u.Beat, u.Age)
		return
	}
	m.take(u)
}

// lived takes it that a suspect's beat was heard so long ago, by us or by somebody. Of what is
// said the latest beat holds, or one whose accusation had just been answered when a pause of
// its own began would have the less time for it. Of one beat the oldest age holds: each hop
// makes an age younger by the message's way, and by the younger one nobody would ever die
// where the ways are long. One that tells no beat has the last word only among its like.
func (m *Machine) lived(x *member, beat uint32, ago time.Duration) {
	due := m.now + max(0, m.cfg.DeadAfter-ago)
	switch {
	case beat < x.beat:
	case beat == x.beat && beat > 0:
		x.dueAt = min(x.dueAt, due)
	default:
		if due > x.dueAt+pauseLeast { // worth telling the others anew
			m.tell(x)
		}
		x.beat, x.dueAt = beat, max(x.dueAt, due)
	}
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
		at, _ := slices.BinarySearchFunc(m.order, u.ID, byID)
		m.order = slices.Insert(m.order, at, x)
		m.ring = append(m.ring, x)
		m.counts[Alive]++
	} else if !u.over(x.Update) {
		return
	}
	before := x.Status
	u.Addr = cmp.Or(u.Addr, x.Addr)
	age, beat := u.Age, u.Beat
	u.Age, u.Beat = 0, 0
	if u.Incarnation > x.Incarnation { // a process may have started anew, and its clock
		x.beat = 0
	}
	x.Update, m.news = u, true
	m.tell(x)
	if u.Status != before {
		x.since = m.now
		m.counts[before]--
		m.counts[u.Status]++
	}
	if at, in := slices.BinarySearchFunc(m.restless, x.ID, byID); in && u.Status == Alive {
		m.restless = slices.Delete(m.restless, at, at+1)
	} else if !in && u.Status != Alive {
		m.restless = slices.Insert(m.restless, at, x)
	}
	m.digest ^= x.mark
	x.mark = u.mark()
	m.digest ^= x.mark
	switch {
	case u.Status == Suspect:
		if x.accusers = map[string]bool{}; x.seen && beat <= x.beat { // we may have heard it since
			age = min(age, m.now-x.heard)
		}
		x.beat = max(x.beat, beat)
		x.dueAt = m.now + max(0, m.cfg.DeadAfter-age)
	case u.Status == Dead && before != Dead:
		m.stats.Died++
	case u.Status == Alive && before == Dead:
		x.flaps, x.flapsAt = m.flaps(x)+1, m.now
	}
	m.changed()
}

func byID(x *member, id string) int { return cmp.Compare(x.ID, id) }

func (m *Machine) flaps(x *member) float64 {
	return x.flaps * math.Exp2(-(m.now-x.flapsAt).Seconds()/flapFade.Seconds())
}

// forget drops those that have left, and the dead after long, but for a minority: whoever
// forgets the others would take itself for all.
func (m *Machine) forget() {
	for _, x := range slices.Clone(m.restless) {
		left := x.Status == Left && m.now-x.since > m.cfg.Hold
		dead := x.Status == Dead && m.now-x.since > m.cfg.Forget && !m.Minority()
		if !left && !dead {
			continue
		}
		delete(m.members, x.ID)
		delete(m.share, x.ID)
		m.counts[x.Status]--
		m.digest ^= x.mark
		is := func(y *member) bool { return y == x }
		m.order = slices.DeleteFunc(m.order, is)
		m.restless = slices.DeleteFunc(m.restless, is)
		m.untold = slices.DeleteFunc(m.untold, is)
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
