package peers

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"wellgw/decide/membership"
)

// readErrorPause keeps an error that stays from taking the processor.
const readErrorPause = time.Millisecond

// readSocket takes datagrams off the socket, as fast as they come: what nobody has time for is
// dropped here and not in the system's buffer, where it would crowd out what is good.
func (p *Peers) readSocket(packets chan<- []byte) {
	buf := make([]byte, 2*MaxMessage)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // mostly an answer to what was sent to nobody
			time.Sleep(readErrorPause)
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

// receive opens and reads a datagram, and counts why one is not taken.
func (p *Peers) receive(b []byte) (membership.Message, int) {
	var m membership.Message
	payload, from, err := p.opened.open(b)
	if err == nil && p.opt.FirstVersion && b[0] > oldestVersion {
		err = errVersion
	}
	if err == nil {
		m, err = decode(b[0], payload)
	}
	if was := p.lastProcesses[m.From]; err == nil && from.instance < was.instance && time.Since(was.lastHeard) < staleInstanceWindow {
		p.counts.former.Add(1) // of an earlier life: late, or sent again by somebody
		return m, staleMessage
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
		if len(p.lastProcesses) >= maxNames {
			clear(p.lastProcesses)
		}
		p.lastProcesses[m.From] = lastProcess{from.instance, time.Now()}
		p.versions.noteHeard(m.Addr, b[0])
		m.Instance = from.instance
		return m, currentMessage
	}
	return m, droppedDatagram
}

func (p *Peers) sendAll(out []membership.Outgoing) {
	if len(out) == 0 {
		return
	}
	first := (*p.opt.Keys.keys.Load())[0]
	aead := p.aeads[first.id]
	if aead == nil {
		var err error
		if aead, err = newAEAD(first.value, p.opt.Tier, p.self); err != nil {
			p.opt.Log.Error("peers", "cause", err)
			return
		}
		clear(p.aeads)
		p.aeads[first.id] = aead
	}
	for _, s := range out {
		say := p.versions.forMessage(s.To, s.Kind)
		if p.opt.FirstVersion {
			say = say[:1]
		}
		to := s.To
		if p.opt.TranslateAddr != nil {
			to = p.opt.TranslateAddr(to)
		}
		at, bad := netip.ParseAddrPort(to)
		for _, as := range say {
			payload, err := encode(as, s.Message)
			if err != nil || bad != nil {
				p.counts.unsent.Add(1)
				continue
			}
			p.nonceCounter++
			b := seal(aead, as, first.id, p.self, p.nonceCounter, payload)
			if _, err := p.conn.WriteToUDPAddrPort(b, at); err != nil {
				p.counts.unsent.Add(1)
				continue
			}
			p.counts.sent.Add(1)
			p.counts.sentBytes.Add(uint64(len(b)))
		}
	}
}
