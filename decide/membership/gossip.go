package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// aged is a member's update with the age that a suspicion has by now.
func (m *Machine) aged(x *member) Update {
	u := x.Update
	if u.Status == Suspect {
		u.Age, u.Beat = max(0, m.cfg.DeadAfter-(x.dueAt-m.now)), x.beat
	}
	return u
}

// fresh adds the updates that have been passed on least often, ourselves among them.
func (m *Machine) fresh(msg *Message) {
	most := int(math.Ceil(spreadTimes * math.Log2(float64(len(m.order)+2))))
	if m.selfSent < most && len(msg.Updates) < m.cfg.Updates {
		m.selfSent++
		msg.Updates = append(msg.Updates, m.self)
	}
	slices.SortStableFunc(m.untold, func(a, b *member) int { return cmp.Compare(a.sent, b.sent) })
	for _, x := range m.untold {
		if len(msg.Updates) >= m.cfg.Updates {
			break
		}
		if !slices.ContainsFunc(msg.Updates, func(u Update) bool { return u.ID == x.ID }) {
			x.sent++
			msg.Updates = append(msg.Updates, m.aged(x))
		}
	}
	m.untold = slices.DeleteFunc(m.untold, func(x *member) bool {
		x.untold = x.sent < most
		return !x.untold
	})
}

// tell has a member's latest update passed on.
func (m *Machine) tell(x *member) {
	if x.sent = 0; !x.untold {
		x.untold = true
		m.untold = append(m.untold, x)
	}
}

// learn takes what somebody says of somebody.
func (m *Machine) learn(from string, u Update) {
	if u.ID == m.cfg.ID {
		if u.Addr != "" && u.Addr != m.cfg.Addr && u.Status == Alive && m.now >= m.formerAt {
			m.formerAt = m.now + formerPause
			m.send(u.Addr, Message{Kind: Ping, Seq: m.number()}) // a namesake, or where we were before
		}
		if u.Status != m.self.Status && u.over(m.self) || u.Incarnation > m.self.Incarnation {
			m.stats.Refuted++
			m.health = min(healthMost, m.health+1) // we may have been slow to answer
			m.self.Incarnation = u.Incarnation + 1
			m.selfSent = 0
			m.changed()
		}
		return
	}
	if x := m.members[u.ID]; x != nil && u.Status == Suspect && x.Status == Suspect && u.Incarnation == x.Incarnation {
		x.accusers[from] = true
		m.lived(x, u.Beat, u.Age)
		return
	}
	m.take(u)
}

// lived takes it that a suspect's beat was heard so long ago, by us or by somebody. Of what is
// said the latest beat holds, or one whose accusation had just been answered when a pause of
// its own began would have the less time for it. Of one beat the oldest age holds: each hop
// makes an age younger by the message's way, and by the younger one nobody would ever die
// where the ways are long. One that tells no beat has the last word only among its like.
func (m *Machine) lived(x *member, beat uint32, ago time.Duration) {
	due := m.now + max(0, m.cfg.DeadAfter-ago)
	switch {
	case beat < x.beat:
	case beat == x.beat && beat > 0:
		x.dueAt = min(x.dueAt, due)
	default:
		if due > x.dueAt+pauseLeast { // worth telling the others anew
			m.tell(x)
		}
		x.beat, x.dueAt = beat, max(x.dueAt, due)
	}
}

// take enters an update if it overrides what is known.
func (m *Machine) take(u Update) {
	x := m.members[u.ID]
	if x == nil {
		if u.Status >= Dead || u.Addr == "" {
			return // the dead are not news to one that never knew them
		}
		x = &member{Update: Update{ID: u.ID, Addr: u.Addr, Incarnation: u.Incarnation, Status: Alive}, since: m.now, heard: m.now}
		m.members[u.ID] = x
		at, _ := slices.BinarySearchFunc(m.order, u.ID, byID)
		m.order = slices.Insert(m.order, at, x)
		m.ring = append(m.ring, x)
		m.counts[Alive]++
	} else if !u.over(x.Update) {
		return
	}
	before := x.Status
	u.Addr = cmp.Or(u.Addr, x.Addr)
	age, beat := u.Age, u.Beat
	u.Age, u.Beat = 0, 0
	if u.Incarnation > x.Incarnation { // a process may have started anew, and its clock
		x.beat = 0
	}
	x.Update, m.news = u, true
	m.tell(x)
	if u.Status != before {
		x.since = m.now
		m.counts[before]--
		m.counts[u.Status]++
	}
	if at, in := slices.BinarySearchFunc(m.restless, x.ID, byID); in && u.Status == Alive {
		m.restless = slices.Delete(m.restless, at, at+1)
	} else if !in && u.Status != Alive {
		m.restless = slices.Insert(m.restless, at, x)
	}
	m.digest ^= x.mark
	x.mark = u.mark()
	m.digest ^= x.mark
	switch {
	case u.Status == Suspect:
		if x.accusers = map[string]bool{}; x.seen && beat <= x.beat { // we may have heard it since
			age = min(age, m.now-x.heard)
		}
		x.beat = max(x.beat, beat)
		x.dueAt = m.now + max(0, m.cfg.DeadAfter-age)
	case u.Status == Dead && before != Dead:
		m.stats.Died++
	case u.Status == Alive && before == Dead:
		x.flaps, x.flapsAt = m.flaps(x)+1, m.now
	}
	m.changed()
}

func byID(x *member, id string) int { return cmp.Compare(x.ID, id) }

func (m *Machine) flaps(x *member) float64 {
	return x.flaps * math.Exp2(-(m.now-x.flapsAt).Seconds()/flapFade.Seconds())
}

// forget drops those that have left, and the dead after long, but for a minority: whoever
// forgets the others would take itself for all.
func (m *Machine) forget() {
	for _, x := range slices.Clone(m.restless) {
		left := x.Status == Left && m.now-x.since > m.cfg.Hold
		dead := x.Status == Dead && m.now-x.since > m.cfg.Forget && !m.Minority()
		if !left && !dead {
			continue
		}
		delete(m.members, x.ID)
		delete(m.share, x.ID)
		m.counts[x.Status]--
		m.digest ^= x.mark
		is := func(y *member) bool { return y == x }
		m.order = slices.DeleteFunc(m.order, is)
		m.restless = slices.DeleteFunc(m.restless, is)
		m.untold = slices.DeleteFunc(m.untold, is)
		m.changed()
	}
}
