package membership

import (
	"math"
	"slices"
)

// syncState is an anti-entropy exchange: this gateway reads the view of another one whose
// digest differs, a part at a time.
type syncState struct {
	peer      string // "" for none under way
	seq       uint32
	cursor    string // the last name received
	received  int    // replies
	attempts  int    // requests since the last reply
	deadline  Time   // for the next reply
	notBefore Time   // no other sync before
}

// startSync begins a sync with the sender of a message if views have differed for so long that
// gossip alone does not make them equal. One sync is under way at a time.
func (m *Machine) startSync(msg Message) {
	if msg.Digest == m.digest {
		m.differsSince = -1
		return
	}
	if m.differsSince < 0 {
		m.differsSince = m.now
	}
	newcomer := len(m.byName) < 2*m.cfg.MaxUpdates && m.sync.notBefore == 0 // need not wait
	if m.cfg.ProtocolV1Only || m.sync.peer != "" || m.now < m.sync.notBefore || m.now-m.differsSince < syncInterval && !newcomer {
		return
	}
	m.stats.Syncs++
	m.sync = syncState{peer: msg.From, notBefore: m.now + syncInterval}
	m.requestSync(msg.Addr)
}

// requestSync asks for the part of the view that follows the cursor.
func (m *Machine) requestSync(addr string) {
	m.sync.seq, m.sync.deadline = m.nextSeq(), m.now+syncTimeout
	m.send(addr, Message{Kind: SyncRequest, Seq: m.sync.seq, Subject: m.sync.cursor})
}

// checkSync asks again if replies have not come in time, and ends a sync after some attempts.
// Replies that are lost before others came are left to the next sync.
func (m *Machine) checkSync() {
	if m.sync.peer == "" || m.now < m.sync.deadline {
		return
	}
	m.sync.attempts++
	peer := m.members[m.sync.peer]
	if peer == nil || peer.Status >= Dead || m.sync.attempts > syncAttempts {
		m.sync.peer = ""
		return
	}
	m.requestSync(peer.Addr)
}

// answerSyncRequest sends the members that follow a name, in a few messages that may each be
// lost.
func (m *Machine) answerSyncRequest(msg Message) {
	if m.cfg.ProtocolV1Only {
		return
	}
	at, found := slices.BinarySearchFunc(m.byName, msg.Subject, compareID)
	if found {
		at++
	}
	for range syncMessages {
		reply := m.syncReply(msg.Seq, at)
		at += len(reply.Updates)
		m.send(msg.Addr, reply)
		if reply.Subject == "" {
			return
		}
	}
}

// syncReply returns a reply with as many members, from an index on, as fit.
func (m *Machine) syncReply(seq uint32, from int) Message {
	reply := Message{Kind: SyncReply, Seq: seq, From: m.cfg.ID, Addr: m.cfg.Addr, Epoch: m.epoch, Digest: m.digest, Heartbeat: math.MaxUint32}
	for _, peer := range m.byName[from:min(len(m.byName), from+m.cfg.MaxUpdates)] {
		reply.Updates, reply.Subject = append(reply.Updates, m.currentUpdate(peer)), peer.ID
	}
	if n := len(reply.Updates); n > 0 && m.cfg.CountFitting != nil {
		n = max(1, m.cfg.CountFitting(reply)) // the next reply begins with what is left out here
		reply.Updates, reply.Subject = reply.Updates[:n], reply.Updates[n-1].ID
	}
	return reply
}

// receiveSyncReply notes a reply, whose updates have been taken as any others, and asks for the
// next part when the last reply of this one has come.
func (m *Machine) receiveSyncReply(msg Message) {
	if msg.From != m.sync.peer || msg.Seq != m.sync.seq {
		return
	}
	if msg.Subject == "" || msg.Digest == m.digest { // the end, or the views are equal
		m.sync.peer = ""
		return
	}
	m.sync.cursor, m.sync.attempts = max(m.sync.cursor, msg.Subject), 0
	m.sync.received++
	if m.sync.received%syncMessages == 0 {
		m.requestSync(msg.Addr)
	}
}

// pushView adds the next part of this gateway's view to a message to one whose view differs.
func (m *Machine) pushView(received Message, answer *Message) {
	if received.Digest == m.digest || len(m.byName) == 0 {
		return
	}
	at, known := m.pushCursors[received.From]
	if !known { // a random start, or all would push the same part to a newcomer
		at = m.rng.Uint32()
	}
	answer.Updates = append(answer.Updates, m.self)
	for range min(len(m.byName), m.cfg.MaxUpdates-1) {
		peer := m.byName[int(at%uint32(len(m.byName)))]
		at++
		if peer.ID != received.From {
			answer.Updates = append(answer.Updates, m.currentUpdate(peer))
		}
	}
	m.pushCursors[received.From] = at
}
