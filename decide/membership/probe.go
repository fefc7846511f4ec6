package membership

import (
	"slices"
	"time"
)

// probe is a ping that waits for its answer.
type probe struct {
	seq        uint32
	target     *member
	sentAt     Time
	indirectAt Time // when others are asked
	deadline   Time
	indirect   bool
	acked      bool
}

// forwardedPing is a ping made for somebody else.
type forwardedPing struct {
	seq        uint32 // ours
	requestSeq uint32 // theirs
	requester  string // their address
	target     string
	deadline   Time
}

// ackTimeout is how long an answer may take, longer the more we distrust ourselves.
func (m *Machine) ackTimeout() time.Duration {
	return m.cfg.ProbeTimeout * time.Duration(1+m.localHealth)
}

func (m *Machine) probeFailed(p *probe) {
	m.stats.Unanswered++
	m.localHealth = min(maxLocalHealth, m.localHealth+1)
	if p.target.Status != Alive {
		return
	}
	m.stats.Suspected++
	m.apply(Update{ID: p.target.ID, Addr: p.target.Addr, Incarnation: p.target.Incarnation, Status: Suspect, SuspicionAge: m.now - p.sentAt})
	p.target.accusers = map[string]bool{m.cfg.ID: true}
}

// randomAlive are a few others that are alive, by chance.
func (m *Machine) randomAlive(but *member) []*member {
	var pool []*member
	for range 4 * indirectProbers { // some may be met that are not alive, or twice
		if len(m.byName) == 0 || len(pool) == indirectProbers {
			break
		}
		if x := m.byName[m.rng.IntN(len(m.byName))]; x != but && x.Status == Alive && !slices.Contains(pool, x) {
			pool = append(pool, x)
		}
	}
	return pool
}

// probeNext probes the next in turn: every suspect, since each answer may save it, and one other.
func (m *Machine) probeNext() {
	m.probeRounds++
	known := m.statusCounts[Alive]+m.statusCounts[Suspect]+m.statusCounts[Leaving] > 0
	for _, x := range m.notAlive {
		if x.Status == Suspect {
			m.sendProbe(x)
		}
	}
	if !known || m.probeRounds%(rejoinEvery*len(m.byName)+1) == 0 {
		for _, addr := range m.cfg.Join {
			if addr != m.cfg.Addr {
				m.send(addr, Message{Kind: Ping, Seq: m.nextSeq()})
			}
		}
	}
	if m.probeRounds%deadProbeEvery == 0 {
		if n := m.statusCounts[Dead]; n > 0 {
			n = m.rng.IntN(n)
			for _, x := range m.notAlive {
				if x.Status != Dead {
					continue
				}
				if n == 0 {
					m.sendProbe(x)
				}
				n--
			}
		}
	}
	for range len(m.byName) + 1 {
		if len(m.probeRing) == 0 {
			m.probeRing = slices.Clone(m.byName)
			m.rng.Shuffle(len(m.probeRing), func(i, j int) { m.probeRing[i], m.probeRing[j] = m.probeRing[j], m.probeRing[i] })
		}
		if len(m.probeRing) == 0 {
			return
		}
		x := m.probeRing[0]
		m.probeRing = m.probeRing[1:]
		if m.members[x.ID] == x && (x.Status == Alive || x.Status == Leaving) {
			m.sendProbe(x)
			return
		}
	}
}

func (m *Machine) nextSeq() uint32 {
	m.seq++
	return m.seq
}

func (m *Machine) sendProbe(x *member) {
	m.stats.Probes++
	p := &probe{seq: m.nextSeq(), target: x, sentAt: m.now, indirectAt: m.now + m.ackTimeout(), deadline: m.now + 3*m.ackTimeout()}
	m.probes = append(m.probes, p)
	m.send(x.Addr, Message{Kind: Ping, Seq: p.seq}, x)
}
