package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// currentUpdate is a member's update with the age that a suspicion has by now.
func (m *Machine) currentUpdate(x *member) Update {
	u := x.Update
	if u.Status == Suspect {
		u.SuspicionAge, u.Heartbeat = max(0, m.cfg.SuspicionTimeout-(x.deadAt-m.now)), x.heartbeat
	}
	return u
}

// addGossip adds the updates that have been passed on least often, ourselves among them.
func (m *Machine) addGossip(msg *Message) {
	most := int(math.Ceil(retransmitFactor * math.Log2(float64(len(m.byName)+2))))
	if m.selfTransmissions < most && len(msg.Updates) < m.cfg.MaxUpdates {
		m.selfTransmissions++
		msg.Updates = append(msg.Updates, m.self)
	}
	slices.SortStableFunc(m.gossip, func(a, b *member) int { return cmp.Compare(a.transmissions, b.transmissions) })
	for _, x := range m.gossip {
		if len(msg.Updates) >= m.cfg.MaxUpdates {
			break
		}
		if !slices.ContainsFunc(msg.Updates, func(u Update) bool { return u.ID == x.ID }) {
			x.transmissions++
			msg.Updates = append(msg.Updates, m.currentUpdate(x))
		}
	}
	m.gossip = slices.DeleteFunc(m.gossip, func(x *member) bool {
		x.inGossip = x.transmissions < most
		return !x.inGossip
	})
}

// queueGossip has a member's latest update passed on.
func (m *Machine) queueGossip(x *member) {
	if x.transmissions = 0; !x.inGossip {
		x.inGossip = true
		m.gossip = append(m.gossip, x)
	}
}

// receiveUpdate takes what somebody says of somebody.
func (m *Machine) receiveUpdate(from string, u Update) {
	if u.ID == m.cfg.ID {
		if u.Addr != "" && u.Addr != m.cfg.Addr && u.Status == Alive && m.now >= m.nextNamesakeAt {
			m.nextNamesakeAt = m.now + namesakeInterval
			m.send(u.Addr, Message{Kind: Ping, Seq: m.nextSeq()}) // a namesake, or where we were before
		}
		if u.Status != m.self.Status && u.overrides(m.self) || u.Incarnation > m.self.Incarnation {
			m.stats.Refuted++
			m.localHealth = min(maxLocalHealth, m.localHealth+1) // we may have been slow to answer
			m.self.Incarnation = u.Incarnation + 1
			m.selfTransmissions = 0
			m.updateDigest()
		}
		return
	}
	if x := m.members[u.ID]; x != nil && u.Status == Suspect && x.Status == Suspect && u.Incarnation == x.Incarnation {
		x.accusers[from] = true
		m.adjustSuspicion(x, u.Heartbeat, u.SuspicionAge)
		return
	}
	m.apply(u)
}

// adjustSuspicion takes it that a suspect's beat was heard so long ago, by us or by somebody. Of what is
// said the latest beat holds, or one whose accusation had just been answered when a pause of
// its own began would have the less time for it. Of one beat the oldest age holds: each hop
// makes an age younger by the message's way, and by the younger one nobody would ever die
// where the ways are long. One that tells no beat has the last word only among its like.
func (m *Machine) adjustSuspicion(x *member, beat uint32, ago time.Duration) {
	due := m.now + max(0, m.cfg.SuspicionTimeout-ago)
	switch {
	case beat < x.heartbeat:
	case beat == x.heartbeat && beat > 0:
		x.deadAt = min(x.deadAt, due)
	default:
		if due > x.deadAt+minPause { // worth telling the others anew
			m.queueGossip(x)
		}
		x.heartbeat, x.deadAt = beat, max(x.deadAt, due)
	}
}

// apply enters an update if it overrides what is known.
func (m *Machine) apply(u Update) {
	x := m.members[u.ID]
	if x == nil {
		if u.Status >= Dead || u.Addr == "" {
			return // the dead are not news to one that never knew them
		}
		x = &member{Update: Update{ID: u.ID, Addr: u.Addr, Incarnation: u.Incarnation, Status: Alive}, statusSince: m.now, lastHeard: m.now}
		m.members[u.ID] = x
		at, _ := slices.BinarySearchFunc(m.byName, u.ID, compareID)
		m.byName = slices.Insert(m.byName, at, x)
		m.probeRing = append(m.probeRing, x)
		m.statusCounts[Alive]++
	} else if !u.overrides(x.Update) {
		return
	}
	before := x.Status
	u.Addr = cmp.Or(u.Addr, x.Addr)
	age, beat := u.SuspicionAge, u.Heartbeat
	u.SuspicionAge, u.Heartbeat = 0, 0
	if u.Incarnation > x.Incarnation { // a process may have started anew, and its clock
		x.heartbeat = 0
	}
	x.Update, m.viewChanged = u, true
	m.queueGossip(x)
	if u.Status != before {
		x.statusSince = m.now
		m.statusCounts[before]--
		m.statusCounts[u.Status]++
	}
	if at, in := slices.BinarySearchFunc(m.notAlive, x.ID, compareID); in && u.Status == Alive {
		m.notAlive = slices.Delete(m.notAlive, at, at+1)
	} else if !in && u.Status != Alive {
		m.notAlive = slices.Insert(m.notAlive, at, x)
	}
	m.digest ^= x.digestPart
	x.digestPart = u.digestPart()
	m.digest ^= x.digestPart
	switch {
	case u.Status == Suspect:
		if x.accusers = map[string]bool{}; x.everHeard && beat <= x.heartbeat { // we may have heard it since
			age = min(age, m.now-x.lastHeard)
		}
		x.heartbeat = max(x.heartbeat, beat)
		x.deadAt = m.now + max(0, m.cfg.SuspicionTimeout-age)
	case u.Status == Dead && before != Dead:
		m.stats.Died++
	case u.Status == Alive && before == Dead:
		x.flapScore, x.flapScoreAt = m.decayedFlaps(x)+1, m.now
	}
	m.updateDigest()
}

func compareID(x *member, id string) int { return cmp.Compare(x.ID, id) }

func (m *Machine) decayedFlaps(x *member) float64 {
	return x.flapScore * math.Exp2(-(m.now-x.flapScoreAt).Seconds()/flapHalfLife.Seconds())
}

// reap drops those that have left, and the dead after long, but for a minority: whoever
// forgets the others would take itself for all.
func (m *Machine) reap() {
	for _, x := range slices.Clone(m.notAlive) {
		left := x.Status == Left && m.now-x.statusSince > m.cfg.DeadGrace
		dead := x.Status == Dead && m.now-x.statusSince > m.cfg.ReapAfter && !m.Minority()
		if !left && !dead {
			continue
		}
		delete(m.members, x.ID)
		delete(m.pushCursors, x.ID)
		m.statusCounts[x.Status]--
		m.digest ^= x.digestPart
		is := func(y *member) bool { return y == x }
		m.byName = slices.DeleteFunc(m.byName, is)
		m.notAlive = slices.DeleteFunc(m.notAlive, is)
		m.gossip = slices.DeleteFunc(m.gossip, is)
		m.updateDigest()
	}
}
