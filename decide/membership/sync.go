package membership

import (
	"math"
	"slices"
)

// syncState is the state of an anti-entropy sync, in which this gateway requests the view of another
// one whose digest differs, one part at a time.
type syncState struct {
	peer      string // "" if no sync is in progress
	seq       uint32
	cursor    string // the last name received
	replies   int    // received
	attempts  int    // requests since the last reply
	deadline  Time   // for the next reply
	notBefore Time   // earliest time of the next sync
}

// startSync starts a sync with the sender of a message if the views have differed for longer than
// gossip needs to make them equal. Only one sync is in progress at a time.
func (m *Machine) startSync(msg Message) {
	if msg.Digest == m.digest {
		m.viewsDifferSince = -1
		return
	}
	if m.viewsDifferSince < 0 {
		m.viewsDifferSince = m.now
	}
	newMember := len(m.byName) < 2*m.cfg.MaxUpdates && m.sync.notBefore == 0 // syncs without delay
	if m.cfg.ProtocolV1Only || m.sync.peer != "" || m.now < m.sync.notBefore ||
		m.now-m.viewsDifferSince < syncInterval && !newMember {
		return
	}
	m.stats.Syncs++
	m.sync = syncState{peer: msg.From, notBefore: m.now + syncInterval}
	m.requestSync(msg.Addr)
}

// requestSync requests the part of the view that follows the cursor.
func (m *Machine) requestSync(addr string) {
	m.sync.seq, m.sync.deadline = m.nextSeq(), m.now+syncTimeout
	m.send(addr, Message{Kind: SyncRequest, Seq: m.sync.seq, Subject: m.sync.cursor})
}

// checkSync repeats the request if replies have timed out, and ends the sync after syncAttempts.
// A lost reply that was followed by others is not requested again; the next sync covers it.
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

// answerSyncRequest sends the members that follow a name in up to syncRepliesPerRequest messages, each
// of which may be lost.
func (m *Machine) answerSyncRequest(msg Message) {
	if m.cfg.ProtocolV1Only {
		return
	}
	at, found := slices.BinarySearchFunc(m.byName, msg.Subject, compareID)
	if found {
		at++
	}
	for range syncRepliesPerRequest {
		reply := m.syncReply(msg.Seq, at)
		at += len(reply.Updates)
		m.send(msg.Addr, reply)
		if reply.Subject == "" {
			return
		}
	}
}

// syncReply returns a reply with as many members as fit, starting at an index.
func (m *Machine) syncReply(seq uint32, from int) Message {
	reply := Message{
		Kind: SyncReply, Seq: seq, From: m.cfg.ID, Addr: m.cfg.Addr, Epoch: m.epoch, Digest: m.digest,
		Heartbeat: math.MaxUint32,
	}
	for _, peer := range m.byName[from:min(len(m.byName), from+m.cfg.MaxUpdates)] {
		reply.Updates, reply.Subject = append(reply.Updates, m.currentUpdate(peer)), peer.ID
	}
	if n := len(reply.Updates); n > 0 && m.cfg.CountFitting != nil {
		n = max(1, m.cfg.CountFitting(reply)) // the next reply starts with the first member omitted here
		reply.Updates, reply.Subject = reply.Updates[:n], reply.Updates[n-1].ID
	}
	return reply
}

// receiveSyncReply records a reply, whose updates Receive has already processed, and requests the next
// part when all replies of the current one have been received.
func (m *Machine) receiveSyncReply(msg Message) {
	if msg.From != m.sync.peer || msg.Seq != m.sync.seq {
		return
	}
	if msg.Subject == "" || msg.Digest == m.digest { // end of the view, or the views are equal
		m.sync.peer = ""
		return
	}
	m.sync.cursor, m.sync.attempts = max(m.sync.cursor, msg.Subject), 0
	m.sync.replies++
	if m.sync.replies%syncRepliesPerRequest == 0 {
		m.requestSync(msg.Addr)
	}
}

// pushView adds the next part of this gateway's view to a message to a gateway whose view differs.
func (m *Machine) pushView(received Message, answer *Message) {
	if received.Digest == m.digest || len(m.byName) == 0 {
		return
	}
	at, known := m.pushCursors[received.From]
	if !known { // a random start: otherwise all gateways would push the same part to a new member
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
