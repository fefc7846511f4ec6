package membership

import "time"

// Gateway is a member in a View.
type Gateway struct {
	ID, Addr           string
	Incarnation        uint64
	Status             Status
	StatusSince        Time          `json:"Since"`
	LastHeard          Time          `json:"Heard"` // time of the latest message from the gateway itself
	RTT                time.Duration // of the latest ping with a direct answer
	OneWay             bool          // its messages arrive, but only other gateways get answers to pings
	Stable             bool          `json:"Steady"`   // has not repeatedly returned from death recently
	SuspectedBy        int           `json:"Accusers"` // of a suspect: number of gateways that suspect it
	SuspicionExpiresIn time.Duration `json:"Due"`      // of a suspect: until its suspicion times out
}

// View is one gateway's view of the tier.
type View struct {
	Epoch          uint64 // increases with every change; identifies a view together with Digest
	Digest         uint64 // equal for the same gateways with the same statuses
	Self           Update
	Peers          []Gateway `json:"Others"`  // sorted by name
	ActiveGateways int       `json:"Sharing"` // gateways that may be using the engines, including this one
	Minority       bool      // no quorum: the alive gateways are not more than half of all that may be running
	Superseded     bool      `json:"Silenced"` // a process with a higher instance uses this gateway's name
	LocalHealth    int       `json:"Health"`   // Lifeguard's local health multiplier minus one; 0 is healthy
	Stats          Stats
}

// View returns the current view.
func (m *Machine) View() View {
	v := View{
		Epoch: m.epoch, Digest: m.digest, Self: m.self, ActiveGateways: m.ActiveGateways(), Minority: m.Minority(),
		Superseded: m.superseded, LocalHealth: m.localHealth, Stats: m.stats,
	}
	for _, peer := range m.byName {
		g := Gateway{
			ID: peer.ID, Addr: peer.Addr, Incarnation: peer.Incarnation, Status: peer.Status,
			StatusSince: peer.statusSince, LastHeard: peer.lastMessageAt,
			RTT: peer.rtt, Stable: m.decayedFlapScore(peer) < maxStableFlapScore, SuspectedBy: len(peer.suspectedBy),
			OneWay: peer.Status < Dead && peer.messageReceived && !peer.ackedDirectly &&
				m.now-peer.lastDirectAck > m.cfg.SuspicionTimeout,
		}
		if peer.Status == Suspect {
			g.SuspicionExpiresIn = max(0, peer.deadAt-m.now)
		}
		v.Peers = append(v.Peers, g)
	}
	return v
}

// Changed reports whether the view has changed, other than in times, since the previous call.
func (m *Machine) Changed() bool {
	changed := m.viewChanged
	m.viewChanged = false
	return changed
}

// ActiveGateways returns how many gateways may be using the engines. It rather overestimates: a
// suspect counts; a dead one counts for DeadGrace, since it may still be running and its requests may
// still be at the engines; and in a minority all gateways count that have not left, as the
// unreachable ones may be a majority.
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

// Minority reports whether the alive gateways are no quorum, that is, not more than half of all that
// may be running: each half of a tier is a minority. A gateway is also in a minority until it has
// found more than half of ExpectedSize.
func (m *Machine) Minority() bool {
	alive := 1 + m.statusCounts[Alive] + m.statusCounts[Leaving]
	return 2*alive <= max(alive+m.statusCounts[Suspect]+m.statusCounts[Dead], m.cfg.ExpectedSize)
}

// The constants of FNV-1a, and two odd factors that distribute an incarnation and a status over all
// bits. Digests are compared between gateways of all versions: these constants must not change.
const (
	fnvOffset         = 14695981039346656037
	fnvPrime          = 0x100000001b3
	incarnationFactor = 0x9e3779b97f4a7c15
	statusFactor      = 0xbf58476d1ce4e5b9
)

// digestPart returns a gateway's part of the digest. It ignores suspicions, which are transient, and
// gateways that have left, which members remove at different times.
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

// updateDigest recomputes this gateway's own part and increases the epoch if the digest has changed.
func (m *Machine) updateDigest() {
	m.digest ^= m.selfDigestPart
	m.selfDigestPart = m.self.digestPart()
	m.digest ^= m.selfDigestPart
	if m.digest != m.epochDigest {
		m.epochDigest, m.viewChanged = m.digest, true
		m.epoch++
	}
}

// adoptEpoch adopts a higher epoch, so that gateways with equal views converge to equal epochs. The
// views of two sides of a partition may have the same epoch with different digests; the merged view
// has a higher epoch than both.
func (m *Machine) adoptEpoch(msg Message) {
	if msg.Epoch > m.epoch {
		m.epoch, m.viewChanged = msg.Epoch, true
	}
}
