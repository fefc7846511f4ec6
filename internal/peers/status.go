package peers

import (
	"slices"
	"time"

	"wellgw/decide/membership"
)

// Counts are datagrams since the start; all from NotADatagram to QueueFull were dropped.
type Counts struct {
	Sent           uint64
	SentBytes      uint64
	Received       uint64
	ReceivedBytes  uint64
	NotADatagram   uint64 `json:"Short"`   // too short or too long to be one of a gateway
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
	Clock                   time.Duration // the view's times count from the same origin
	Counts                  Counts
}

// Status returns the present view and counts, for people. Nothing that serves waits for it:
// it asks the goroutine that owns the view and, if that is not to be had at once, takes the
// view of the last change.
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
		NotADatagram: c.short.Load(), UnknownVersion: c.version.Load(), UnknownKey: c.key.Load(), BadSeal: c.seal.Load(), Replayed: c.replay.Load(),
		BadPayload: c.payload.Load(), StaleInstance: c.former.Load(), QueueFull: c.full.Load(), SendFailed: c.unsent.Load(),
	}
}

func (p *Peers) snapshot() Status {
	return Status{Name: p.opt.Name, Tier: p.opt.Tier, Listen: p.Addr(), View: p.machine.View()}
}

// publish shows the view, and tells of it if it is another one.
func (p *Peers) publish() {
	s := p.snapshot()
	v, before := s.View, p.status.Load()
	p.status.Store(&s)
	p.sharing, p.hasDead = v.Sharing, slices.ContainsFunc(v.Others, func(g membership.Gateway) bool { return g.Status == membership.Dead })
	if before == nil {
		return
	}
	p.reportTransitions(before.View, v)
	if was := before.View; was.Epoch == v.Epoch && was.Digest == v.Digest && was.Sharing == v.Sharing && was.Minority == v.Minority && was.Silenced == v.Silenced {
		return
	}
	if v.Self.Incarnation != before.View.Self.Incarnation {
		select {
		case <-p.incarnations: // an older one that has not been written
		default:
		}
		p.incarnations <- v.Self.Incarnation
	}
	p.opt.Log.Info("tier", "epoch", v.Epoch, "others", len(v.Others), "sharing", v.Sharing, "minority", v.Minority, "silenced", v.Silenced)
	if p.opt.OnViewChange != nil {
		p.opt.OnViewChange(v)
	}
}

// Event is a change of how a gateway stands, with what is needed to find out why.
type Event struct {
	Gateway, From, To string        // From is "" for one that was not known
	Incarnation       uint64        // of the gateway
	Since             time.Time     // it stood as From
	SilentFor         time.Duration // since it was last heard
	OneWay            bool          // others reach it, but our own pings are not answered
	Accusers          int           // that held it for suspect
	LocalHealth       int           // steps by which this gateway distrusts itself
	Pauses            uint64        // of this gateway's own since its start
}

// reportTransitions logs and hands on who stands otherwise than before. Suspicions come and go, and are
// told of only to whoever traces.
func (p *Peers) reportTransitions(before, now membership.View) {
	was := make(map[string]membership.Gateway, len(before.Others))
	for _, g := range before.Others {
		was[g.ID] = g
	}
	clock := time.Since(p.startedAt)
	for _, g := range now.Others {
		old, known := was[g.ID]
		if known && old.Status == g.Status {
			continue
		}
		e := Event{
			Gateway: g.ID, To: g.Status.String(), Incarnation: g.Incarnation, Since: p.startedAt.Add(old.Since), SilentFor: clock - g.LastHeard,
			OneWay: old.OneWay, Accusers: old.Accusers, LocalHealth: now.LocalHealth, Pauses: now.Stats.Pauses,
		}
		if known {
			e.From = old.Status.String()
		} else {
			e.Since = time.Now()
		}
		if p.opt.OnEvent != nil {
			p.opt.OnEvent(e)
		}
		if g.Status == membership.Suspect || known && old.Status == membership.Suspect && g.Status == membership.Alive {
			continue
		}
		p.opt.Log.Info("member", "gateway", g.ID, "standing", e.To, "incarnation", g.Incarnation, "accusers", e.Accusers,
			"heard_ms", e.SilentFor.Milliseconds(), "distrust", e.LocalHealth, "pauses", e.Pauses)
	}
}
