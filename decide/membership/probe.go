package membership

import (
	"slices"
	"time"
)

// probe is a ping by this gateway that awaits an answer.
type probe struct {
	seq        uint32
	target     *member
	sentAt     Time
	indirectAt Time // when PingReqs are sent
	deadline   Time
	indirect   bool // PingReqs have been sent
	acked      bool
}

// forwardedPing is a ping on behalf of another gateway.
type forwardedPing struct {
	seq        uint32 // of this gateway's ping
	requestSeq uint32 // of the PingReq
	requester  string // address of the sender of the PingReq
	target     string
	deadline   Time
}

// probeTimeoutsPerForward is the timeout of a forwarded ping, in probe timeouts.
const probeTimeoutsPerForward = 4

// ackTimeout returns the timeout of a direct answer, which increases as the local health gets worse.
func (m *Machine) ackTimeout() time.Duration {
	return m.cfg.ProbeTimeout * time.Duration(1+m.localHealth)
}

// ackTimeoutsPerProbe is the number of ack timeouts after which a probe has failed.
const ackTimeoutsPerProbe = 3

func (m *Machine) sendProbe(target *member) {
	m.stats.Probes++
	p := &probe{
		seq: m.nextSeq(), target: target, sentAt: m.now,
		indirectAt: m.now + m.ackTimeout(), deadline: m.now + ackTimeoutsPerProbe*m.ackTimeout(),
	}
	m.probes = append(m.probes, p)
	m.send(target.Addr, Message{Kind: Ping, Seq: p.seq}, target)
}

// probeAcked completes a probe that was answered, directly or through another gateway.
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

// probeFailed completes a probe without an answer: its target becomes a suspect.
func (m *Machine) probeFailed(p *probe) {
	m.stats.FailedProbes++
	m.localHealth = min(maxLocalHealth, m.localHealth+1)
	if p.target.Status != Alive {
		return
	}
	m.stats.Suspicions++
	suspicion := p.target.Update
	suspicion.Status, suspicion.SuspicionAge = Suspect, m.now-p.sentAt
	m.applyUpdate(suspicion)
	p.target.suspectedBy = map[string]bool{m.cfg.ID: true}
}

// checkProbes sends PingReqs for probes without a direct answer and completes those that timed out.
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
		deadline: m.now + probeTimeoutsPerForward*m.cfg.ProbeTimeout,
	}
	m.forwarded = append(m.forwarded, f)
	m.send(target.Addr, Message{Kind: Ping, Seq: f.seq}, target)
}

// randomAlive returns up to indirectProbers random members that are alive, without exclude.
func (m *Machine) randomAlive(exclude *member) []*member {
	var chosen []*member
	for range 4 * indirectProbers { // a draw may yield a member that is not alive or was already drawn
		if len(m.byName) == 0 || len(chosen) == indirectProbers {
			break
		}
		if peer := m.byName[m.rng.IntN(len(m.byName))]; peer != exclude &&
			peer.Status == Alive && !slices.Contains(chosen, peer) {
			chosen = append(chosen, peer)
		}
	}
	return chosen
}

// probeNext runs one probe round: it probes every suspect, since each answer may refute the
// suspicion, and the next member of the ring; at longer intervals also a dead member and the join
// addresses.
func (m *Machine) probeNext() {
	m.probeRounds++
	for _, peer := range m.notAlive {
		if peer.Status == Suspect {
			m.sendProbe(peer)
		}
	}
	known := m.statusCounts[Alive]+m.statusCounts[Suspect]+m.statusCounts[Leaving] > 0
	if !known || m.probeRounds%(rejoinRoundsPerMember*len(m.byName)+1) == 0 {
		m.pingJoinAddrs()
	}
	if m.probeRounds%deadProbeRounds == 0 {
		m.probeDead()
	}
	m.probeFromRing()
}

// pingJoinAddrs pings the join addresses.
func (m *Machine) pingJoinAddrs() {
	for _, addr := range m.cfg.JoinAddrs {
		if addr != m.cfg.Addr {
			m.send(addr, Message{Kind: Ping, Seq: m.nextSeq()})
		}
	}
}

// probeDead probes one dead member, chosen uniformly at random: after a partition has healed, each
// side has the members of the other as dead, and would never contact them without this probe.
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

// probeFromRing probes the next member that is alive or leaving. The ring is shuffled again after all
// members have been probed, which bounds the time between two probes of a member.
func (m *Machine) probeFromRing() {
	for range len(m.byName) + 1 {
		if len(m.probeRing) == 0 {
			m.probeRing = slices.Clone(m.byName)
			m.rng.Shuffle(len(m.probeRing), func(i, j int) {
				m.probeRing[i], m.probeRing[j] = m.probeRing[j], m.probeRing[i]
			})
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
