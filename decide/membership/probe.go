package membership

import (
	"slices"
	"time"
)

// probe is a ping of this gateway that waits for its answer.
type probe struct {
	seq        uint32
	target     *member
	sentAt     Time
	indirectAt Time // when others are asked to ping the target
	deadline   Time
	indirect   bool // others have been asked
	acked      bool
}

// forwardedPing is a ping on behalf of another gateway.
type forwardedPing struct {
	seq        uint32 // of this gateway's ping
	requestSeq uint32 // of the PingReq
	requester  string // its address
	target     string
	deadline   Time
}

// forwardTimeouts is how many probe timeouts an answer to a forwarded ping is waited for.
const forwardTimeouts = 4

// ackTimeout is how long a direct answer may take, longer the worse the local health is.
func (m *Machine) ackTimeout() time.Duration {
	return m.cfg.ProbeTimeout * time.Duration(1+m.localHealth)
}

// probeDeadline is the part of a probe's time, in ack timeouts, after which it has failed.
const probeDeadline = 3

func (m *Machine) sendProbe(target *member) {
	m.stats.Probes++
	p := &probe{
		seq: m.nextSeq(), target: target, sentAt: m.now,
		indirectAt: m.now + m.ackTimeout(), deadline: m.now + probeDeadline*m.ackTimeout(),
	}
	m.probes = append(m.probes, p)
	m.send(target.Addr, Message{Kind: Ping, Seq: p.seq}, target)
}

// probeAcked ends a probe with an answer, direct or by way of another gateway.
func (m *Machine) probeAcked(p *probe, direct bool) {
	p.acked = true
	m.localHealth = max(0, m.localHealth-1)
	p.target.ackedDirectly = direct
	if !direct {
		m.stats.IndirectAcks++
		return
	}
	p.target.lastDirectAck = m.now
	p.target.rtt = m.now - p.sentAt
}

// probeFailed ends a probe without an answer: its target is suspected.
func (m *Machine) probeFailed(p *probe) {
	m.stats.FailedProbes++
	m.localHealth = min(maxLocalHealth, m.localHealth+1)
	if p.target.Status != Alive {
		return
	}
	m.stats.Suspicions++
	suspicion := p.target.Update
	suspicion.Status, suspicion.SuspicionAge = Suspect, m.now-p.sentAt
	m.apply(suspicion)
	p.target.accusers = map[string]bool{m.cfg.ID: true}
}

// checkProbes sends the PingReqs that are due and ends the probes that have timed out.
func (m *Machine) checkProbes() {
	m.forwarded = slices.DeleteFunc(m.forwarded, func(f forwardedPing) bool { return m.now > f.deadline })
	for _, p := range m.probes {
		if !p.indirect && m.now >= p.indirectAt {
			p.indirect = true
			for _, prober := range m.randomAlive(p.target) {
				m.send(prober.Addr, Message{Kind: PingReq, Seq: p.seq, Subject: p.target.ID})
			}
		}
		if m.now >= p.deadline {
			m.probeFailed(p)
		}
	}
	m.probes = slices.DeleteFunc(m.probes, func(p *probe) bool { return p.acked || m.now >= p.deadline })
}

// forwardPing pings a gateway on behalf of the sender of a PingReq.
func (m *Machine) forwardPing(msg Message) {
	target := m.members[msg.Subject]
	if target == nil {
		return
	}
	f := forwardedPing{
		seq: m.nextSeq(), requestSeq: msg.Seq, requester: msg.Addr, target: msg.Subject,
		deadline: m.now + forwardTimeouts*m.cfg.ProbeTimeout,
	}
	m.forwarded = append(m.forwarded, f)
	m.send(target.Addr, Message{Kind: Ping, Seq: f.seq}, target)
}

// randomAlive returns up to indirectProbers members that are alive, other than one.
func (m *Machine) randomAlive(except *member) []*member {
	var pool []*member
	for range 4 * indirectProbers { // draws may meet members that are not alive, or twice
		if len(m.byName) == 0 || len(pool) == indirectProbers {
			break
		}
		if peer := m.byName[m.rng.IntN(len(m.byName))]; peer != except && peer.Status == Alive && !slices.Contains(pool, peer) {
			pool = append(pool, peer)
		}
	}
	return pool
}

// probeNext does one round: it probes every suspect, since each answer may refute, and the
// next member of the ring; now and then also a dead one and the addresses to join by.
func (m *Machine) probeNext() {
	m.probeRounds++
	for _, peer := range m.notAlive {
		if peer.Status == Suspect {
			m.sendProbe(peer)
		}
	}
	known := m.statusCounts[Alive]+m.statusCounts[Suspect]+m.statusCounts[Leaving] > 0
	if !known || m.probeRounds%(rejoinEvery*len(m.byName)+1) == 0 {
		m.join()
	}
	if m.probeRounds%deadProbeEvery == 0 {
		m.probeDead()
	}
	m.probeFromRing()
}

// join pings the addresses to join by.
func (m *Machine) join() {
	for _, addr := range m.cfg.JoinAddrs {
		if addr != m.cfg.Addr {
			m.send(addr, Message{Kind: Ping, Seq: m.nextSeq()})
		}
	}
}

// probeDead probes one dead member, drawn evenly: both sides of a healed partition hold the
// other for dead, and would never meet again without it.
func (m *Machine) probeDead() {
	dead := m.statusCounts[Dead]
	if dead == 0 {
		return
	}
	skip := m.rng.IntN(dead)
	for _, peer := range m.notAlive {
		if peer.Status != Dead {
			continue
		}
		if skip == 0 {
			m.sendProbe(peer)
		}
		skip--
	}
}

// probeFromRing probes the next member that is alive or leaving. The ring is shuffled anew
// once all have been probed, which bounds the time until any one is.
func (m *Machine) probeFromRing() {
	for range len(m.byName) + 1 {
		if len(m.probeRing) == 0 {
			m.probeRing = slices.Clone(m.byName)
			m.rng.Shuffle(len(m.probeRing), func(i, j int) { m.probeRing[i], m.probeRing[j] = m.probeRing[j], m.probeRing[i] })
		}
		if len(m.probeRing) == 0 {
			return
		}
		next := m.probeRing[0]
		m.probeRing = m.probeRing[1:]
		reaped := m.members[next.ID] != next
		if !reaped && (next.Status == Alive || next.Status == Leaving) {
			m.sendProbe(next)
			return
		}
	}
}
