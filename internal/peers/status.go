package peers

import (
	"slices"
	"time"

	"wellgw/decide/membership"
)

// Counts are numbers of datagrams (SentBytes and ReceivedBytes: of bytes) since the process
// started. Those from InvalidSize to QueueFull count received datagrams that were dropped.
type Counts struct {
	Sent           uint64
	SentBytes      uint64
	Received       uint64
	ReceivedBytes  uint64
	InvalidSize    uint64 `json:"Short"`   // too short or too long
	UnknownVersion uint64 `json:"Version"` // of the protocol
	UnknownKey     uint64 `json:"Key"`     // encrypted with a key that is not in the keyring
	BadSeal        uint64 `json:"Seal"`    // authentication failed
	Replayed       uint64 `json:"Replay"`
	BadPayload     uint64 `json:"Payload"`
	StaleInstance  uint64 `json:"Former"` // sent by an earlier process of the same gateway name
	QueueFull      uint64 `json:"Full"`
	SendFailed     uint64 `json:"Unsent"` // could not be encoded, or the system call failed
}

// Status is the state that operators see, on the admin page and in `wellgw peers`.
type Status struct {
	Name, Tier, Listen, Key string
	View                    membership.View
	Clock                   time.Duration // time since this process started, the clock of the view's times
	Counts                  Counts
}

// Status returns the present view and counts, for operators; no client request depends on it. It
// requests the view from the goroutine that owns the protocol's state. If there is no reply within
// statusTimeout, it returns the view that was published at the last change.
func (p *Peers) Status() Status {
	s := *p.status.Load()
	answer := make(chan Status, 1)
	timer := time.NewTimer(statusTimeout)
	defer timer.Stop()
	select {
	case p.statusRequests <- answer:
		s = <-answer
	case <-timer.C:
	}
	s.Clock, s.Key, s.Counts = time.Since(p.startedAt), p.opt.Keys.SealingKeyID(), p.Counts()
	return s
}

// Counts returns the numbers of datagrams sent, received and dropped.
func (p *Peers) Counts() Counts {
	c := &p.counts
	return Counts{
		Sent: c.sent.Load(), SentBytes: c.sentBytes.Load(), Received: c.received.Load(), ReceivedBytes: c.receivedBytes.Load(),
		InvalidSize: c.invalidSize.Load(), UnknownVersion: c.unknownVersion.Load(), UnknownKey: c.unknownKey.Load(), BadSeal: c.badSeal.Load(), Replayed: c.replayed.Load(),
		BadPayload: c.badPayload.Load(), StaleInstance: c.staleInstance.Load(), QueueFull: c.queueFull.Load(), SendFailed: c.sendFailed.Load(),
	}
}

func (p *Peers) snapshot() Status {
	return Status{Name: p.opt.Name, Tier: p.opt.Tier, Listen: p.Addr(), View: p.machine.View()}
}

// publish stores the view for Status and reports its differences from the previous view.
func (p *Peers) publish() {
	s := p.snapshot()
	v, before := s.View, p.status.Load()
	p.status.Store(&s)
	p.activeGateways = v.ActiveGateways
	p.hasDeadPeer = slices.ContainsFunc(v.Peers, func(g membership.Gateway) bool { return g.Status == membership.Dead })
	if before == nil {
		return
	}
	p.reportTransitions(before.View, v)
	if sameView(before.View, v) {
		return
	}
	if v.Self.Incarnation != before.View.Self.Incarnation {
		p.queueIncarnation(v.Self.Incarnation)
	}
	p.opt.Log.Info("tier view changed", "epoch", v.Epoch, "others", len(v.Peers), "sharing", v.ActiveGateways, "minority", v.Minority, "silenced", v.Superseded)
	if p.opt.OnViewChange != nil {
		p.opt.OnViewChange(v)
	}
}

// sameView reports whether two views differ at most in times and statistics.
func sameView(a, b membership.View) bool {
	return a.Epoch == b.Epoch && a.Digest == b.Digest && a.ActiveGateways == b.ActiveGateways && a.Minority == b.Minority && a.Superseded == b.Superseded
}

// queueIncarnation queues an incarnation to be written to the file. It replaces a queued older
// one. It never blocks: only the calling goroutine sends on the channel, whose capacity is one.
func (p *Peers) queueIncarnation(n uint64) {
	select {
	case <-p.incarnations:
	default:
	}
	p.incarnations <- n
}

// Event is a change of another gateway's status, with the data needed to diagnose its cause.
type Event struct {
	Gateway         string        // name
	From, To        string        // old and new status; From is "" for a gateway seen for the first time
	Incarnation     uint64        // of the gateway
	Since           time.Time     // when it entered the status From; for a new gateway, when it was first seen
	UnresponsiveFor time.Duration // time since its last message
	OneWay          bool          // other gateways reach it, but it does not answer this gateway's pings
	SuspectedBy     int           // number of gateways that suspected it
	LocalHealth     int           // of this gateway: the multiplier of Lifeguard's local health, minus one
	Pauses          uint64        // number of stalls of this process since it started
}

// reportTransitions passes every change of a gateway's status to OnEvent. It logs each one except
// a suspicion and its refutation.
func (p *Peers) reportTransitions(before, now membership.View) {
	previous := make(map[string]membership.Gateway, len(before.Peers))
	for _, g := range before.Peers {
		previous[g.ID] = g
	}
	clock := time.Since(p.startedAt)
	for _, g := range now.Peers {
		old, known := previous[g.ID]
		if known && old.Status == g.Status {
			continue
		}
		e := Event{
			Gateway: g.ID, To: g.Status.String(), Incarnation: g.Incarnation, Since: p.startedAt.Add(old.StatusSince), UnresponsiveFor: clock - g.LastHeard,
			OneWay: old.OneWay, SuspectedBy: old.SuspectedBy, LocalHealth: now.LocalHealth, Pauses: now.Stats.Pauses,
		}
		if known {
			e.From = old.Status.String()
		} else {
			e.Since = time.Now()
		}
		if p.opt.OnEvent != nil {
			p.opt.OnEvent(e)
		}
		refuted := known && old.Status == membership.Suspect && g.Status == membership.Alive
		if g.Status == membership.Suspect || refuted {
			continue
		}
		p.opt.Log.Info("tier member changed", "gateway", g.ID, "member_status", e.To, "incarnation", g.Incarnation, "accusers", e.SuspectedBy,
			"silent_ms", e.UnresponsiveFor.Milliseconds(), "local_health", e.LocalHealth, "pauses", e.Pauses)
	}
}
