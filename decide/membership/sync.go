package membership

import (
	"math"
	"slices"
)

// syncState is a look through the view of somebody whose view differs, a part at a time.
type syncState struct {
	peer      string // "" for none under way
	seq       uint32
	cursor    string // the last name seen
	received  int    // pieces
	tries     int    // since the last one
	deadline  Time   // when it is given up
	notBefore Time   // no other one before
}

// startSync looks at whether somebody's view is another one, and stays so: then what is told
// in passing does not do, and the view is walked through. One walk is under way at a time.
func (m *Machine) startSync(msg Message) {
	if msg.Digest == m.digest {
		m.differsSince = -1
		return
	}
	if m.differsSince < 0 {
		m.differsSince = m.now
	}
	young := len(m.byName) < 2*m.cfg.MaxUpdates && m.sync.notBefore == 0 // one that has just started need not wait
	if m.cfg.FirstVersion || m.sync.peer != "" || m.now < m.sync.notBefore || m.now-m.differsSince < syncInterval && !young {
		return
	}
	m.stats.Syncs++
	m.sync = syncState{peer: msg.From, notBefore: m.now + syncInterval}
	m.requestSync(msg.Addr)
}

// requestSync asks for the next part of the view that is walked through.
func (m *Machine) requestSync(addr string) {
	m.sync.seq, m.sync.deadline = m.nextSeq(), m.now+syncTimeout
	m.send(addr, Message{Kind: SyncRequest, Seq: m.sync.seq, Subject: m.sync.cursor})
}

// answerSyncRequest answers a Want with what follows a name, in a few messages that may each be lost.
func (m *Machine) answerSyncRequest(msg Message) {
	if m.cfg.FirstVersion {
		return
	}
	at, _ := slices.BinarySearchFunc(m.byName, msg.Subject, func(x *member, id string) int {
		if x.ID <= id {
			return -1
		}
		return 1
	})
	for range syncMessages {
		part := Message{Kind: SyncReply, Seq: msg.Seq, From: m.cfg.ID, Addr: m.cfg.Addr, Epoch: m.epoch, Digest: m.digest, Heartbeat: math.MaxUint32}
		for _, x := range m.byName[at:min(len(m.byName), at+m.cfg.MaxUpdates)] {
			part.Updates, part.Subject = append(part.Updates, m.currentUpdate(x)), x.ID
		}
		if n := len(part.Updates); n > 0 && m.cfg.Fits != nil {
			n = max(1, m.cfg.Fits(part)) // what is left out here comes with the next piece
			part.Updates, part.Subject = part.Updates[:n], part.Updates[n-1].ID
		}
		at += len(part.Updates)
		m.send(msg.Addr, part)
		if part.Subject == "" {
			return
		}
	}
}

// receiveSyncReply takes a part of a view that is walked through, and asks for the next when the last
// message of this one has come. Its updates have been learned like any others.
func (m *Machine) receiveSyncReply(msg Message) {
	if msg.From != m.sync.peer || msg.Seq != m.sync.seq {
		return
	}
	if msg.Subject == "" || msg.Digest == m.digest { // the end, or all there was to learn
		m.sync.peer = ""
		return
	}
	m.sync.cursor, m.sync.tries = max(m.sync.cursor, msg.Subject), 0
	if m.sync.received++; m.sync.received%syncMessages == 0 {
		m.requestSync(msg.Addr)
	}
}

// known: a message from a gateway that we hold for dead or left shows that it is there; it
// is told what we think of it, and raises its incarnation.
func (m *Machine) contradict(x *member) {
	if x.Status >= Dead {
		m.send(x.Addr, Message{Kind: Ping, Seq: m.nextSeq()}, x)
	}
}

// pushView tells somebody whose view differs from ours a further part of ours, in turn.
func (m *Machine) pushView(msg Message, answer *Message) {
	if msg.Digest == m.digest || len(m.byName) == 0 {
		return
	}
	at, met := m.pushCursors[msg.From]
	if !met { // each begins elsewhere, or all would tell a newcomer the same
		at = m.rng.Uint32()
	}
	answer.Updates = append(answer.Updates, m.self)
	for range min(len(m.byName), m.cfg.MaxUpdates-1) {
		x := m.byName[int(at%uint32(len(m.byName)))]
		if at++; x.ID != msg.From {
			answer.Updates = append(answer.Updates, m.currentUpdate(x))
		}
	}
	m.pushCursors[msg.From] = at
}
