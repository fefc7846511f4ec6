package membership

import "cmp"

// Receive takes a message and returns what is to be sent.
func (m *Machine) Receive(now Time, msg Message) []Outgoing {
	m.begin(now)
	if msg.From == m.cfg.ID {
		m.receiveNamesake(msg)
	}
	if m.silenced {
		return nil
	}
	if msg.From == m.cfg.ID {
		return m.out
	}
	for _, u := range msg.Updates {
		m.receiveUpdate(msg.From, u)
	}
	sender := m.members[msg.From]
	if sender == nil { // its own update was not among those: an answer will hold it
		m.send(msg.Addr, Message{Kind: Ping, Seq: m.nextSeq()})
	} else {
		m.noteHeard(sender, msg.Heartbeat)
	}
	switch msg.Kind {
	case Ping:
		m.receivePing(sender, msg)
	case Ack:
		m.receiveAck(sender, msg)
	case SyncRequest:
		m.answerSyncRequest(msg)
	case SyncReply:
		m.receiveSyncReply(msg)
	case PingReq:
		m.forwardPing(msg)
	}
	m.adoptEpoch(msg)
	m.startSync(msg)
	return m.out
}

// noteHeard takes a message from a member as a sign of life. A member that is held for dead
// or left is told so, and refutes by raising its incarnation.
func (m *Machine) noteHeard(sender *member, heartbeat uint32) {
	sender.lastHeard, sender.everHeard = m.now, true
	if sender.Status == Suspect {
		m.adjustSuspicion(sender, heartbeat, 0)
	}
	sender.heartbeat = max(sender.heartbeat, heartbeat)
	if sender.Status >= Dead {
		m.send(sender.Addr, Message{Kind: Ping, Seq: m.nextSeq()}, sender)
	}
}

// receivePing answers a ping; sender is nil for one that is not a member.
func (m *Machine) receivePing(sender *member, msg Message) {
	answer := Message{Kind: Ack, Seq: msg.Seq}
	m.pushView(msg, &answer)
	m.send(msg.Addr, answer, sender)
}

// receiveAck takes an answer to a ping of this gateway, or passes it to the gateway that the
// ping was made for.
func (m *Machine) receiveAck(sender *member, msg Message) {
	for _, f := range m.forwarded {
		if f.seq == msg.Seq && f.target == msg.From {
			m.send(f.requester, Message{Kind: Ack, Seq: f.requestSeq, Subject: f.target})
		}
	}
	target := cmp.Or(msg.Subject, msg.From)
	for _, p := range m.probes {
		if p.seq == msg.Seq && p.target.ID == target && !p.acked {
			m.probeAcked(p, msg.Subject == "")
		}
	}
	if msg.Digest != m.digest && sender != nil && m.rng.IntN(2) == 0 {
		more := Message{Kind: Ping, Seq: m.nextSeq()}
		m.pushView(msg, &more)
		m.send(msg.Addr, more)
	}
}

// receiveNamesake takes a message from another process with this gateway's name. The process
// with the higher instance stays; the other one goes silent, since each would refute what the
// other says for ever.
func (m *Machine) receiveNamesake(msg Message) {
	if msg.Instance == m.cfg.Instance {
		return // a message of this process that came back
	}
	m.stats.DuplicateNames++
	if msg.Instance > m.cfg.Instance && !m.silenced {
		m.silenced, m.viewChanged = true, true
	}
	if msg.Instance < m.cfg.Instance && msg.Kind == Ping {
		m.send(msg.Addr, Message{Kind: Ack, Seq: msg.Seq}) // by which it learns of the higher instance
	}
}

// ReceiveStale takes a message from an earlier process of a name than the latest one heard. Its
// content is ignored, but if it comes from another address than the name has now, both may
// still run: the earlier process is told the address of the later one.
func (m *Machine) ReceiveStale(now Time, msg Message) []Outgoing {
	m.begin(now)
	latest := m.members[msg.From]
	if m.silenced || latest == nil || latest.Addr == msg.Addr || now < m.nextNamesakeAt {
		return nil
	}
	m.nextNamesakeAt = now + namesakeInterval
	m.send(msg.Addr, Message{Kind: Ping, Seq: m.nextSeq(), Updates: []Update{latest.Update}})
	return m.out
}
