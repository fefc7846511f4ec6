package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// applyUpdate stores an update if it overrides the member's latest one.
func (m *Machine) applyUpdate(u Update) {
	peer := m.members[u.ID]
	if peer == nil {
		if u.Status >= Dead || u.Addr == "" {
			return // no need to add an unknown gateway as dead
		}
		peer = m.addMember(u)
	} else if !u.overrides(peer.Update) {
		return
	}
	before := peer.Status
	u.Addr = cmp.Or(u.Addr, peer.Addr)
	age, heartbeat := u.SuspicionAge, u.Heartbeat
	u.SuspicionAge, u.Heartbeat = 0, 0
	if u.Incarnation > peer.Incarnation { // the heartbeats of a new process may restart from 1
		peer.heartbeat = 0
	}
	peer.Update, m.viewChanged = u, true
	m.queueGossip(peer)
	m.countStatus(peer, before)
	m.digest ^= peer.digestPart
	peer.digestPart = u.digestPart()
	m.digest ^= peer.digestPart
	switch {
	case u.Status == Suspect:
		m.startSuspicion(peer, age, heartbeat)
	case u.Status == Dead && before != Dead:
		m.stats.Deaths++
	case u.Status == Alive && before == Dead:
		peer.flapScore, peer.flapScoreAt = m.decayedFlapScore(peer)+1, m.now
	}
	m.updateDigest()
}

// addMember adds an unknown member as alive.
func (m *Machine) addMember(u Update) *member {
	peer := &member{
		Update:      Update{ID: u.ID, Addr: u.Addr, Incarnation: u.Incarnation, Status: Alive},
		statusSince: m.now, lastMessageAt: m.now,
	}
	m.members[u.ID] = peer
	at, _ := slices.BinarySearchFunc(m.byName, u.ID, compareID)
	m.byName = slices.Insert(m.byName, at, peer)
	m.probeRing = append(m.probeRing, peer)
	m.statusCounts[Alive]++
	return peer
}

// countStatus updates the counts and notAlive for a member's new status.
func (m *Machine) countStatus(peer *member, before Status) {
	if peer.Status != before {
		peer.statusSince = m.now
		m.statusCounts[before]--
		m.statusCounts[peer.Status]++
	}
	at, listed := slices.BinarySearchFunc(m.notAlive, peer.ID, compareID)
	switch alive := peer.Status == Alive; {
	case listed && alive:
		m.notAlive = slices.Delete(m.notAlive, at, at+1)
	case !listed && !alive:
		m.notAlive = slices.Insert(m.notAlive, at, peer)
	}
}

func compareID(peer *member, id string) int { return cmp.Compare(peer.ID, id) }

// startSuspicion starts a suspicion whose unanswered probe was sent an age ago. If this gateway has
// received a message from the suspect since then, the timeout starts at that message, unless the
// suspicion is based on a later heartbeat.
func (m *Machine) startSuspicion(peer *member, age time.Duration, heartbeat uint32) {
	peer.suspectedBy = map[string]bool{}
	if peer.messageReceived && heartbeat <= peer.heartbeat {
		age = min(age, m.now-peer.lastMessageAt)
	}
	peer.heartbeat = max(peer.heartbeat, heartbeat)
	peer.deadAt = m.now + max(0, m.cfg.SuspicionTimeout-age)
}

// adjustSuspicion moves a suspect's deadline according to a heartbeat that a gateway received an age
// ago. The latest heartbeat takes precedence; otherwise a suspect that is paused just after it refuted
// a suspicion would have less time to refute the next one. For one heartbeat the highest age takes
// precedence: each hop lowers the age by the message's delay, so that with the lowest age no gateway
// would ever be declared dead when delays are long. An age without a heartbeat moves the deadline
// only while no heartbeat is known.
func (m *Machine) adjustSuspicion(peer *member, heartbeat uint32, age time.Duration) {
	deadAt := m.now + max(0, m.cfg.SuspicionTimeout-age)
	switch {
	case heartbeat < peer.heartbeat:
	case heartbeat == peer.heartbeat && heartbeat > 0:
		peer.deadAt = min(peer.deadAt, deadAt)
	default:
		if deadAt > peer.deadAt+minPause { // a difference that is worth transmitting again
			m.queueGossip(peer)
		}
		peer.heartbeat, peer.deadAt = heartbeat, max(peer.deadAt, deadAt)
	}
}

// expireMembers declares suspects dead whose suspicion has timed out, and sets leaving members that
// are unresponsive to Left. A member remains in notAlive with either status.
func (m *Machine) expireMembers() {
	for _, peer := range m.notAlive {
		ended := peer.Update
		if peer.Status == Suspect && m.now >= peer.deadAt {
			ended.Status = Dead
			m.applyUpdate(ended)
		}
		if peer.Status == Leaving && m.now-max(peer.lastMessageAt, peer.statusSince) > m.cfg.SuspicionTimeout {
			ended.Status = Left
			m.applyUpdate(ended)
		}
	}
}

// reapMembers removes members that have left and, after ReapAfter, dead ones. A gateway in a minority
// does not remove dead members: without them it would count itself as a majority.
func (m *Machine) reapMembers() {
	for _, peer := range slices.Clone(m.notAlive) {
		left := peer.Status == Left && m.now-peer.statusSince > m.cfg.DeadGrace
		dead := peer.Status == Dead && m.now-peer.statusSince > m.cfg.ReapAfter && !m.Minority()
		if !left && !dead {
			continue
		}
		delete(m.members, peer.ID)
		delete(m.pushCursors, peer.ID)
		m.statusCounts[peer.Status]--
		m.digest ^= peer.digestPart
		isReaped := func(other *member) bool { return other == peer }
		m.byName = slices.DeleteFunc(m.byName, isReaped)
		m.notAlive = slices.DeleteFunc(m.notAlive, isReaped)
		m.gossip = slices.DeleteFunc(m.gossip, isReaped)
		m.updateDigest()
	}
}

// decayedFlapScore returns how often a member was alive again after death, halved every flapHalfLife.
func (m *Machine) decayedFlapScore(peer *member) float64 {
	return peer.flapScore * math.Exp2(-(m.now-peer.flapScoreAt).Seconds()/flapHalfLife.Seconds())
}
