package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// apply enters an update if it overrides what is known.
func (m *Machine) apply(u Update) {
	peer := m.members[u.ID]
	if peer == nil {
		if u.Status >= Dead || u.Addr == "" {
			return // a gateway that was never known need not be known as dead
		}
		peer = m.add(u)
	} else if !u.overrides(peer.Update) {
		return
	}
	before := peer.Status
	u.Addr = cmp.Or(u.Addr, peer.Addr)
	age, heartbeat := u.SuspicionAge, u.Heartbeat
	u.SuspicionAge, u.Heartbeat = 0, 0
	if u.Incarnation > peer.Incarnation { // a new process may count its heartbeats from 1 again
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
		m.suspect(peer, age, heartbeat)
	case u.Status == Dead && before != Dead:
		m.stats.Deaths++
	case u.Status == Alive && before == Dead:
		peer.flapScore, peer.flapScoreAt = m.decayedFlaps(peer)+1, m.now
	}
	m.updateDigest()
}

// add enters a member that was not known, as alive.
func (m *Machine) add(u Update) *member {
	peer := &member{Update: Update{ID: u.ID, Addr: u.Addr, Incarnation: u.Incarnation, Status: Alive}, statusSince: m.now, lastHeard: m.now}
	m.members[u.ID] = peer
	at, _ := slices.BinarySearchFunc(m.byName, u.ID, compareID)
	m.byName = slices.Insert(m.byName, at, peer)
	m.probeRing = append(m.probeRing, peer)
	m.statusCounts[Alive]++
	return peer
}

// countStatus keeps the counts and notAlive in step with a member's new status.
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

// suspect begins a suspicion whose probe went unanswered an age ago. The suspect may have been
// heard since: then the suspicion runs from there, unless it rests on a later heartbeat.
func (m *Machine) suspect(peer *member, age time.Duration, heartbeat uint32) {
	peer.accusers = map[string]bool{}
	if peer.everHeard && heartbeat <= peer.heartbeat {
		age = min(age, m.now-peer.lastHeard)
	}
	peer.heartbeat = max(peer.heartbeat, heartbeat)
	peer.deadAt = m.now + max(0, m.cfg.SuspicionTimeout-age)
}

// adjustSuspicion moves a suspect's deadline: some gateway heard the heartbeat an age ago. The
// latest heartbeat holds; otherwise a suspect that is paused just after it had answered an
// accusation would have less time to refute the next. For one heartbeat the highest age
// holds: each hop lowers an age by the message's delay, and by the lowest no gateway would
// ever be dead where delays are long. An age without a heartbeat moves the deadline only while
// no heartbeat is known.
func (m *Machine) adjustSuspicion(peer *member, heartbeat uint32, age time.Duration) {
	deadAt := m.now + max(0, m.cfg.SuspicionTimeout-age)
	switch {
	case heartbeat < peer.heartbeat:
	case heartbeat == peer.heartbeat && heartbeat > 0:
		peer.deadAt = min(peer.deadAt, deadAt)
	default:
		if deadAt > peer.deadAt+minPause { // enough for the others to be told again
			m.queueGossip(peer)
		}
		peer.heartbeat, peer.deadAt = heartbeat, max(peer.deadAt, deadAt)
	}
}

// expire declares suspects dead whose suspicion has timed out, and takes members that are
// leaving and silent as having left. Neither status takes a member out of notAlive.
func (m *Machine) expire() {
	for _, peer := range m.notAlive {
		ended := peer.Update
		if peer.Status == Suspect && m.now >= peer.deadAt {
			ended.Status = Dead
			m.apply(ended)
		}
		if peer.Status == Leaving && m.now-max(peer.lastHeard, peer.statusSince) > m.cfg.SuspicionTimeout {
			ended.Status = Left
			m.apply(ended)
		}
	}
}

// reap removes those that have left, and the dead after a long time unless this gateway is in
// a minority: one that forgot the others would take itself for the whole tier.
func (m *Machine) reap() {
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
		same := func(other *member) bool { return other == peer }
		m.byName = slices.DeleteFunc(m.byName, same)
		m.notAlive = slices.DeleteFunc(m.notAlive, same)
		m.gossip = slices.DeleteFunc(m.gossip, same)
		m.updateDigest()
	}
}

// decayedFlaps returns a member's returns from death, each halved by every flapHalfLife since.
func (m *Machine) decayedFlaps(peer *member) float64 {
	return peer.flapScore * math.Exp2(-(m.now-peer.flapScoreAt).Seconds()/flapHalfLife.Seconds())
}
