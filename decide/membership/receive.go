package membership

import "cmp"

// Receive processes a message and returns the messages to send.
func (m *Machine) Receive(now Time, msg Message) []Outgoing {
	m.beginCall(now)
	if msg.From == m.cfg.ID {
		m.receiveFromDuplicate(msg)
	}
	if m.superseded {
		return nil
	}
	if msg.From == m.cfg.ID {
		return m.outgoing
	}
	for _, u := range msg.Updates {
		m.receiveUpdate(msg.From, u)
	}
	sender := m.members[msg.From]
	if sender == nil { // unknown, and its own update was missing: its answer will contain it
		m.send(msg.Addr, Message{Kind: Ping, Seq: m.nextSeq()})
	} else {
		m.recordContact(sender, msg.Heartbeat)
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
	return m.outgoing
}

// recordContact records that a message was received from a member. A member with status Dead or Left
// is sent that status, so that it refutes it with a higher incarnation.
func (m *Machine) recordContact(sender *member, heartbeat uint32) {
	sender.lastMessageAt, sender.messageReceived = m.now, true
	if sender.Status == Suspect {
		m.adjustSuspicion(sender, heartbeat, 0)
	}
	sender.heartbeat = max(sender.heartbeat, heartbeat)
	if sender.Status >= Dead {
		m.send(sender.Addr, Message{Kind: Ping, Seq: m.nextSeq()}, sender)
	}
}

// receivePing answers a ping; sender is nil if it is not a member.
func (m *Machine) receivePing(sender *member, msg Message) {
	answer := Message{Kind: Ack, Seq: msg.Seq}
	m.pushView(msg, &answer)
	m.send(msg.Addr, answer, sender)
}

// receiveAck processes an answer to a ping by this gateway, or forwards it to the gateway that
// requested the ping.
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
		ping := Message{Kind: Ping, Seq: m.nextSeq()}
		m.pushView(msg, &ping)
		m.send(msg.Addr, ping)
	}
}

// receiveFromDuplicate processes a message from another process with this gateway's name. The process
// with the lower instance stops sending, since the two would refute each other's updates endlessly.
func (m *Machine) receiveFromDuplicate(msg Message) {
	if msg.Instance == m.cfg.Instance {
		return // a message of this process that was sent back to it
	}
	m.stats.DuplicateNames++
	if msg.Instance > m.cfg.Instance && !m.superseded {
		m.superseded, m.viewChanged = true, true
	}
	if msg.Instance < m.cfg.Instance && msg.Kind == Ping {
		m.send(msg.Addr, Message{Kind: Ack, Seq: msg.Seq}) // the answer contains the higher instance
	}
}

// ReceiveStale processes a message from a process that was replaced by a later one with the same name.
// Its content is ignored. If its address differs from that of the later process, both may still be
// running: the earlier process is sent the update with the address of the later one.
func (m *Machine) ReceiveStale(now Time, msg Message) []Outgoing {
	m.beginCall(now)
	latest := m.members[msg.From]
	if m.superseded || latest == nil || latest.Addr == msg.Addr || now < m.nextDuplicateCheckAt {
		return nil
	}
	m.nextDuplicateCheckAt = now + duplicateCheckInterval
	m.send(msg.Addr, Message{Kind: Ping, Seq: m.nextSeq(), Updates: []Update{latest.Update}})
	return m.outgoing
}
