package membership

import (
	"cmp"
	"math"
	"slices"
)

// currentUpdate returns a member's update, with the current age of a suspicion.
func (m *Machine) currentUpdate(peer *member) Update {
	u := peer.Update
	if u.Status == Suspect {
		u.SuspicionAge, u.Heartbeat = max(0, m.cfg.SuspicionTimeout-(peer.deadAt-m.now)), peer.heartbeat
	}
	return u
}

// addGossip fills a message with the updates that have been transmitted least often, starting with
// this gateway's own.
func (m *Machine) addGossip(msg *Message) {
	limit := int(math.Ceil(retransmitFactor * math.Log2(float64(len(m.byName)+2))))
	if m.selfTransmissions < limit && len(msg.Updates) < m.cfg.MaxUpdates {
		m.selfTransmissions++
		msg.Updates = append(msg.Updates, m.self)
	}
	slices.SortStableFunc(m.gossip, func(a, b *member) int {
		return cmp.Compare(a.transmissions, b.transmissions)
	})
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
		peer.gossipQueued = peer.transmissions < limit
		return !peer.gossipQueued
	})
}

// queueGossip queues a member's latest update for transmission to other gateways.
func (m *Machine) queueGossip(peer *member) {
	peer.transmissions = 0
	if !peer.gossipQueued {
		peer.gossipQueued = true
		m.gossip = append(m.gossip, peer)
	}
}

// receiveUpdate processes an update that was received from a gateway.
func (m *Machine) receiveUpdate(from string, u Update) {
	if u.ID == m.cfg.ID {
		m.receiveOwnUpdate(u)
		return
	}
	known := m.members[u.ID]
	if known != nil && u.Status == Suspect && known.Status == Suspect && u.Incarnation == known.Incarnation {
		known.suspectedBy[from] = true
		m.adjustSuspicion(known, u.Heartbeat, u.SuspicionAge)
		return
	}
	m.applyUpdate(u)
}

// receiveOwnUpdate processes an update about this gateway: it refutes a wrong status, and pings an
// address that is not its own.
func (m *Machine) receiveOwnUpdate(u Update) {
	if u.Addr != "" && u.Addr != m.cfg.Addr && u.Status == Alive && m.now >= m.nextDuplicateCheckAt {
		m.nextDuplicateCheckAt = m.now + duplicateCheckInterval
		// The address is that of another process with this name, or a former one of this gateway.
		m.send(u.Addr, Message{Kind: Ping, Seq: m.nextSeq()})
	}
	if u.Status != m.self.Status && u.overrides(m.self) || u.Incarnation > m.self.Incarnation {
		m.stats.Refutations++
		m.localHealth = min(maxLocalHealth, m.localHealth+1) // this gateway may have answered too slowly
		m.self.Incarnation = u.Incarnation + 1
		m.selfTransmissions = 0
		m.updateDigest()
	}
}
