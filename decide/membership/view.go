package membership

import "time"

// Gateway is a member as a view shows it.
type Gateway struct {
	ID, Addr    string
	Incarnation uint64
	Status      Status
	Since       Time          // of its status
	LastHeard   Time          `json:"Heard"` // the last message from itself
	RTT         time.Duration // of the latest ping that it answered directly
	OneWay      bool          // it is heard, and others reach it, but our own pings are not answered
	Steady      bool          // it has not died and come back again and again of late
	Accusers    int           // of a suspect: how many say so
	DeadIn      time.Duration `json:"Due"` // of a suspect: until it counts as dead
}

// View is who is there, by one gateway's lights.
type View struct {
	Epoch       uint64 // grows with every change; with Digest it tells views apart
	Digest      uint64 // the same for the same gateways with the same standing
	Self        Update
	Others      []Gateway // by name
	Sharing     int       // gateways that may use the engines now, this one among them
	Minority    bool      // those in reach are not more than half of all that may be there
	Silenced    bool      // another process goes by this name and stays
	LocalHealth int       `json:"Health"` // how far this gateway distrusts itself, 0 for not at all
	Stats       Stats
}

// View returns the present view.
func (m *Machine) View() View {
	v := View{
		Epoch: m.epoch, Digest: m.digest, Self: m.self, Sharing: m.Sharing(), Minority: m.Minority(),
		Silenced: m.silenced, LocalHealth: m.localHealth, Stats: m.stats,
	}
	for _, x := range m.byName {
		g := Gateway{
			ID: x.ID, Addr: x.Addr, Incarnation: x.Incarnation, Status: x.Status, Since: x.statusSince, LastHeard: x.lastHeard,
			RTT: x.rtt, Steady: m.decayedFlaps(x) < maxSteadyFlaps, Accusers: len(x.accusers),
			OneWay: x.Status < Dead && x.everHeard && !x.ackedDirectly && m.now-x.lastDirectAck > m.cfg.SuspicionTimeout,
		}
		if x.Status == Suspect {
			g.DeadIn = max(0, x.deadAt-m.now)
		}
		v.Others = append(v.Others, g)
	}
	return v
}

// Changed tells whether anything but times has changed since the last call.
func (m *Machine) Changed() bool {
	was := m.viewChanged
	m.viewChanged = false
	return was
}

// Sharing is how many gateways may use the engines now. It errs to more: a suspect counts,
// one that died counts for a while, since its engines' work may go on and so may it, and to
// a minority every one that did not say it left counts, as the rest may be well together.
func (m *Machine) Sharing() int {
	n, minority := 1+m.statusCounts[Alive]+m.statusCounts[Suspect]+m.statusCounts[Leaving], m.Minority()
	for _, x := range m.notAlive {
		if x.Status == Dead && (minority || m.now-x.statusSince < m.cfg.DeadGrace) {
			n++
		}
	}
	if minority {
		n = max(n, m.cfg.ExpectedSize)
	}
	return n
}

// Minority tells whether those alive are not more than half of all that may be there: two
// halves are a minority each. Before a gateway has found as many as the operator expects
// it does not know better.
func (m *Machine) Minority() bool {
	alive := 1 + m.statusCounts[Alive] + m.statusCounts[Leaving]
	return 2*alive <= max(alive+m.statusCounts[Suspect]+m.statusCounts[Dead], m.cfg.ExpectedSize)
}

// digestPart is a gateway's part of the digest of who stands how. It leaves out suspicions, which
// come and go, and those who have left, whom some forget before others.
func (u Update) digestPart() uint64 {
	s := u.Status
	switch s {
	case Left:
		return 0
	case Suspect:
		s = Alive
	}
	x := uint64(14695981039346656037)
	for i := 0; i < len(u.ID); i++ {
		x = (x ^ uint64(u.ID[i])) * 0x100000001b3
	}
	x = (x ^ u.Incarnation) * 0x9e3779b97f4a7c15
	x = (x ^ uint64(s) ^ x>>31) * 0xbf58476d1ce4e5b9
	return x ^ x>>29
}

// updateDigest gives the view a new number if it is another one.
func (m *Machine) updateDigest() {
	m.digest ^= m.selfDigestPart
	m.selfDigestPart = m.self.digestPart()
	m.digest ^= m.selfDigestPart
	if m.digest != m.epochDigest {
		m.epochDigest, m.viewChanged = m.digest, true
		m.epoch++
	}
}

// adoptEpoch takes over a higher number. Equal views end with equal numbers; views that two
// halves formed apart may bear one number but have other digests, and once merged bear a
// number above both.
func (m *Machine) adoptEpoch(msg Message) {
	if msg.Epoch > m.epoch {
		m.epoch, m.viewChanged = msg.Epoch, true
	}
}
