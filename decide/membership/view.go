package membership

import "time"

// Gateway is a member as a view shows it.
type Gateway struct {
	ID, Addr           string
	Incarnation        uint64
	Status             Status
	StatusSince        Time          `json:"Since"` // of its status
	LastHeard          Time          `json:"Heard"` // the last message from itself
	RTT                time.Duration // of the latest ping that it answered directly
	OneWay             bool          // it is heard and others reach it, but this gateway's pings are not answered
	Stable             bool          `json:"Steady"`   // it has not died and come back again and again of late
	SuspectedBy        int           `json:"Accusers"` // of a suspect: gateways that suspect it
	SuspicionExpiresIn time.Duration `json:"Due"`      // of a suspect: until its suspicion times out
}

// View is the tier as one gateway sees it.
type View struct {
	Epoch          uint64 // grows with every change; with Digest it tells views apart
	Digest         uint64 // equal for the same gateways with the same statuses
	Self           Update
	Peers          []Gateway `json:"Others"`  // by name
	ActiveGateways int       `json:"Sharing"` // gateways that may use the engines now, this one among them
	Minority       bool      // the gateways in reach are no quorum: not more than half of all that may run
	Superseded     bool      `json:"Silenced"` // another process has this gateway's name, and stays
	LocalHealth    int       `json:"Health"`   // Lifeguard's local health multiplier less one; 0 is healthy
	Stats          Stats
}

// View returns the present view.
func (m *Machine) View() View {
	v := View{
		Epoch: m.epoch, Digest: m.digest, Self: m.self, ActiveGateways: m.ActiveGateways(), Minority: m.Minority(),
		Superseded: m.silenced, LocalHealth: m.localHealth, Stats: m.stats,
	}
	for _, peer := range m.byName {
		g := Gateway{
			ID: peer.ID, Addr: peer.Addr, Incarnation: peer.Incarnation, Status: peer.Status, StatusSince: peer.statusSince, LastHeard: peer.lastHeard,
			RTT: peer.rtt, Stable: m.decayedFlaps(peer) < maxSteadyFlaps, SuspectedBy: len(peer.accusers),
			OneWay: peer.Status < Dead && peer.everHeard && !peer.ackedDirectly && m.now-peer.lastDirectAck > m.cfg.SuspicionTimeout,
		}
		if peer.Status == Suspect {
			g.SuspicionExpiresIn = max(0, peer.deadAt-m.now)
		}
		v.Peers = append(v.Peers, g)
	}
	return v
}

// Changed tells whether anything but times has changed since the last call.
func (m *Machine) Changed() bool {
	changed := m.viewChanged
	m.viewChanged = false
	return changed
}

// ActiveGateways returns how many gateways may use the engines now. It errs to more: a suspect counts;
// a dead one counts for a while, since it may run on and its requests may still be at the
// engines; and in a minority all count that have not left, as the others may well be a majority.
func (m *Machine) ActiveGateways() int {
	n, minority := 1+m.statusCounts[Alive]+m.statusCounts[Suspect]+m.statusCounts[Leaving], m.Minority()
	for _, peer := range m.notAlive {
		if peer.Status == Dead && (minority || m.now-peer.statusSince < m.cfg.DeadGrace) {
			n++
		}
	}
	if minority {
		n = max(n, m.cfg.ExpectedSize)
	}
	return n
}

// Minority tells whether the gateways alive are no quorum, that is not more than half of all
// that may run: each half of a tier is a minority. Until a gateway has found as many as the
// operator expects it takes itself for one of a minority, too.
func (m *Machine) Minority() bool {
	alive := 1 + m.statusCounts[Alive] + m.statusCounts[Leaving]
	return 2*alive <= max(alive+m.statusCounts[Suspect]+m.statusCounts[Dead], m.cfg.ExpectedSize)
}

// The constants of FNV-1a, and two odd factors that spread an incarnation and a status over all
// bits. Digests are compared between gateways of all versions: none of these may change.
const (
	fnvOffset         = 14695981039346656037
	fnvPrime          = 0x100000001b3
	incarnationFactor = 0x9e3779b97f4a7c15
	statusFactor      = 0xbf58476d1ce4e5b9
)

// digestPart returns a gateway's part of the digest. It leaves out suspicions, which come and
// go, and gateways that have left, which some remove before others.
func (u Update) digestPart() uint64 {
	status := u.Status
	switch status {
	case Left:
		return 0
	case Suspect:
		status = Alive
	}
	h := uint64(fnvOffset)
	for i := range len(u.ID) {
		h = (h ^ uint64(u.ID[i])) * fnvPrime
	}
	h = (h ^ u.Incarnation) * incarnationFactor
	h = (h ^ uint64(status) ^ h>>31) * statusFactor
	return h ^ h>>29
}

// updateDigest takes this gateway's own part anew and raises the epoch if the digest has changed.
func (m *Machine) updateDigest() {
	m.digest ^= m.selfDigestPart
	m.selfDigestPart = m.self.digestPart()
	m.digest ^= m.selfDigestPart
	if m.digest != m.epochDigest {
		m.epochDigest, m.viewChanged = m.digest, true
		m.epoch++
	}
}

// adoptEpoch takes over a higher epoch. Equal views end with equal epochs; views that the sides
// of a partition have formed may have one epoch but differ in their digests, and once merged
// have an epoch above both.
func (m *Machine) adoptEpoch(msg Message) {
	if msg.Epoch > m.epoch {
		m.epoch, m.viewChanged = msg.Epoch, true
	}
}
