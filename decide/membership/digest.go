package membership

import (
	"math"
	"slices"
)

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
