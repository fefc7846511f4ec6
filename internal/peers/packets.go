package peers

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"wellgw/decide/membership"
)

// readPause keeps an error that stays from taking the processor.
const readPause = time.Millisecond

// read takes datagrams off the socket, as fast as they come: what nobody has time for is
// dropped here and not in the system's buffer, where it would crowd out what is good.
func (p *Peers) read(packets chan<- []byte) {
	buf := make([]byte, 2*MaxMessage)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // mostly an answer to what was sent to nobody
			time.Sleep(readPause)
			continue
		}
		p.counts.received.Add(1)
		p.counts.receivedBytes.Add(uint64(n))
		if n == 0 || n > MaxMessage {
			p.counts.short.Add(1)
			continue
		}
		select {
		case packets <- append([]byte(nil), buf[:n]...):
		default:
			p.counts.full.Add(1)
		}
	}
}

// decode opens and reads a datagram, and counts why one is not taken.
func (p *Peers) decode(b []byte) (membership.Message, int) {
	var m membership.Message
	payload, from, err := p.opened.open(b)
	if err == nil && p.opt.Plain && b[0] > oldest {
		err = errVersion
	}
	if err == nil {
		m, err = decode(b[0], payload)
	}
	if was := p.latest[m.From]; err == nil && from.instance < was.instance && time.Since(was.heard) < formerFor {
		p.counts.former.Add(1) // of an earlier life: late, or sent again by somebody
		return m, former
	}
	switch {
	case errors.Is(err, errShort):
		p.counts.short.Add(1)
	case errors.Is(err, errVersion):
		p.counts.version.Add(1)
	case errors.Is(err, errKey):
		p.counts.key.Add(1)
	case errors.Is(err, errSeal):
		p.counts.seal.Add(1)
	case errors.Is(err, errReplay):
		p.counts.replay.Add(1)
	case err != nil:
		p.counts.payload.Add(1)
	default:
		if len(p.latest) >= mostNames {
			clear(p.latest)
		}
		p.latest[m.From] = life{from.instance, time.Now()}
		p.speaks.heard(m.Addr, b[0])
		m.Instance = from.instance
		return m, taken
	}
	return m, dropped
}

func (p *Peers) send(out []membership.Outgoing) {
	if len(out) == 0 {
		return
	}
	first := (*p.opt.Keys.keys.Load())[0]
	aead := p.sealers[first.id]
	if aead == nil {
		var err error
		if aead, err = sealer(first.value, p.opt.Tier, p.me); err != nil {
			p.opt.Log.Error("peers", "cause", err)
			return
		}
		clear(p.sealers)
		p.sealers[first.id] = aead
	}
	for _, s := range out {
		say := p.speaks.of(s.To, s.Kind)
		if p.opt.Plain {
			say = say[:1]
		}
		to := s.To
		if p.opt.Route != nil {
			to = p.opt.Route(to)
		}
		at, bad := netip.ParseAddrPort(to)
		for _, as := range say {
			payload, err := encode(as, s.Message)
			if err != nil || bad != nil {
				p.counts.unsent.Add(1)
				continue
			}
			p.counter++
			b := seal(aead, as, first.id, p.me, p.counter, payload)
			if _, err := p.conn.WriteToUDPAddrPort(b, at); err != nil {
				p.counts.unsent.Add(1)
				continue
			}
			p.counts.sent.Add(1)
			p.counts.sentBytes.Add(uint64(len(b)))
		}
	}
}
