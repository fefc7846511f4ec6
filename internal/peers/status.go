package peers

import (
	"slices"
	"time"

	"wellgw/decide/membership"
)

// Counts are datagrams since the start; all from InvalidSize to QueueFull were dropped.
type Counts struct {
	Sent           uint64
	SentBytes      uint64
	Received       uint64
	ReceivedBytes  uint64
	InvalidSize    uint64 `json:"Short"`   // too short or too long to be one of a gateway
	UnknownVersion uint64 `json:"Version"` // of the protocol
	UnknownKey     uint64 `json:"Key"`     // not in the keyring
	BadSeal        uint64 `json:"Seal"`    // not authentic
	Replayed       uint64 `json:"Replay"`
	BadPayload     uint64 `json:"Payload"`
	StaleInstance  uint64 `json:"Former"` // of an earlier process of its sender's name
	QueueFull      uint64 `json:"Full"`
	SendFailed     uint64 `json:"Unsent"` // not encoded, or refused by the system
}

// Status is what operators are shown.
type Status struct {
	Name, Tier, Listen, Key string
	View                    membership.View
	Clock                   time.Duration // now, as the view's times count
	Counts                  Counts
}

// Status returns the present view and counts, for operators; no request waits for it. It asks
// the goroutine that owns the protocol's state and, if that does not answer within
// statusTimeout, returns the view of the last change.
func (p *Peers) Status() Status {
	s := *p.status.Load()
	answer := make(chan Status, 1)
	late := time.NewTimer(statusTimeout)
	defer late.Stop()
	select {
	case p.statusRequests <- answer:
		s = <-answer
	case <-late.C:
	}
	s.Clock, s.Key, s.Counts = time.Since(p.startedAt), p.opt.Keys.SealingKeyID(), p.Counts()
	return s
}

// Counts returns what has been sent, received and dropped.
func (p *Peers) Counts() Counts {
	c := &p.counts
	return Counts{
		Sent: c.sent.Load(), SentBytes: c.sentBytes.Load(), Received: c.received.Load(), ReceivedBytes: c.receivedBytes.Load(),
		InvalidSize: c.notADatagram.Load(), UnknownVersion: c.unknownVersion.Load(), UnknownKey: c.unknownKey.Load(), BadSeal: c.badSeal.Load(), Replayed: c.replayed.Load(),
		BadPayload: c.badPayload.Load(), StaleInstance: c.staleInstance.Load(), QueueFull: c.queueFull.Load(), SendFailed: c.sendFailed.Load(),
	}
}

func (p *Peers) snapshot() Status {
	return Status{Name: p.opt.Name, Tier: p.opt.Tier, Listen: p.Addr(), View: p.machine.View()}
}

// publish stores the view for Status and reports what differs from the one before.
func (p *Peers) publish() {
	s := p.snapshot()
	v, before := s.View, p.status.Load()
	p.status.Store(&s)
	p.sharing = v.ActiveGateways
	p.hasDead = slices.ContainsFunc(v.Peers, func(g membership.Gateway) bool { return g.Status == membership.Dead })
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

// sameView tells whether views differ in times and statistics alone.
func sameView(a, b membership.View) bool {
	return a.Epoch == b.Epoch && a.Digest == b.Digest && a.ActiveGateways == b.ActiveGateways && a.Minority == b.Minority && a.Superseded == b.Superseded
}

// queueIncarnation has an incarnation written in place of an older one that still waits. It
// never blocks: this goroutine alone sends, and the channel holds one.
func (p *Peers) queueIncarnation(n uint64) {
	select {
	case <-p.incarnations:
	default:
	}
	p.incarnations <- n
}

// Event is a change of a gateway's status, with what is needed to find out why.
type Event struct {
	Gateway, From, To string        // From is "" for one that was not known
	Incarnation       uint64        // of the gateway
	Since             time.Time     // when it got the status From
	UnresponsiveFor   time.Duration // since it was last heard
	OneWay            bool          // others reach it, but this gateway's pings are not answered
	SuspectedBy       int           // gateways that suspected it
	LocalHealth       int           // of this gateway: Lifeguard's multiplier less one
	Pauses            uint64        // of this process since its start
}

// reportTransitions passes every change of status to OnEvent, and logs those that are more than
// a suspicion or its refutation.
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
