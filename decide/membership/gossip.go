package membership

import (
	"cmp"
	"math"
	"slices"
)

// currentUpdate returns a member's update, with the present age of a suspicion.
func (m *Machine) currentUpdate(peer *member) Update {
	u := peer.Update
	if u.Status == Suspect {
		u.SuspicionAge, u.Heartbeat = max(0, m.cfg.SuspicionTimeout-(peer.deadAt-m.now)), peer.heartbeat
	}
	return u
}

// addGossip fills a message with the updates that have been passed on least often, this
// gateway's own first.
func (m *Machine) addGossip(msg *Message) {
	limit := int(math.Ceil(retransmitFactor * math.Log2(float64(len(m.byName)+2))))
	if m.selfTransmissions < limit && len(msg.Updates) < m.cfg.MaxUpdates {
		m.selfTransmissions++
		msg.Updates = append(msg.Updates, m.self)
	}
	slices.SortStableFunc(m.gossip, func(a, b *member) int { return cmp.Compare(a.transmissions, b.transmissions) })
	for _, peer := range m.gossip {
		if len(msg.Updates) >= m.cfg.MaxUpdates {
			break
		}
		if !slices.ContainsFunc(msg.Updates, func(u Update) bool { return u.ID == peer.ID }) {
			peer.transmissions++
			msg.Updates = append(msg.Updates, m.currentUpdate(peer))
		}
	}
	m.gossip = slices.DeleteFunc(m.gossip, func(peer *member) bool {
		peer.inGossip = peer.transmissions < limit
		return !peer.inGossip
	})
}

// queueGossip has a member's latest update passed on.
func (m *Machine) queueGossip(peer *member) {
	peer.transmissions = 0
	if !peer.inGossip {
		peer.inGossip = true
		m.gossip = append(m.gossip, peer)
	}
}

// receiveUpdate takes an update that a gateway has passed on.
func (m *Machine) receiveUpdate(from string, u Update) {
	if u.ID == m.cfg.ID {
		m.receiveOwnUpdate(u)
		return
	}
	known := m.members[u.ID]
	if known != nil && u.Status == Suspect && known.Status == Suspect && u.Incarnation == known.Incarnation {
		known.accusers[from] = true
		m.adjustSuspicion(known, u.Heartbeat, u.SuspicionAge)
		return
	}
	m.apply(u)
}

// receiveOwnUpdate takes an update about this gateway: it refutes one that is wrong, and pings
// the address of one that is elsewhere.
func (m *Machine) receiveOwnUpdate(u Update) {
	if u.Addr != "" && u.Addr != m.cfg.Addr && u.Status == Alive && m.now >= m.nextNamesakeAt {
		m.nextNamesakeAt = m.now + namesakeInterval
		m.send(u.Addr, Message{Kind: Ping, Seq: m.nextSeq()}) // another process of this name, or this gateway's former address
	}
	if u.Status != m.self.Status && u.overrides(m.self) || u.Incarnation > m.self.Incarnation {
		m.stats.Refutations++
		m.localHealth = min(maxLocalHealth, m.localHealth+1) // this gateway may have been slow to answer
		m.self.Incarnation = u.Incarnation + 1
		m.selfTransmissions = 0
		m.updateDigest()
	}
}
