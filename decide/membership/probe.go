package membership

import (
	"slices"
	"time"
)

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

// patience is how long an answer may take, longer the more we distrust ourselves.
func (m *Machine) patience() time.Duration { return m.cfg.Timeout * time.Duration(1+m.health) }

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
