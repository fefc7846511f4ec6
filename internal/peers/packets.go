package peers

import (
	"crypto/cipher"
	"errors"
	"net"
	"net/netip"
	"time"

	"wellgw/decide/membership"
)

// readErrorPause keeps an error that persists from taking all of a processor.
const readErrorPause = time.Millisecond

// readSocket reads datagrams off the socket until it is closed. Those that the receive queue has
// no room for are dropped and counted here, not in the system's buffer.
func (p *Peers) readSocket(packets chan<- []byte) {
	buf := make([]byte, 2*MaxDatagramSize)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // mostly an ICMP answer to a datagram that no process received
			time.Sleep(readErrorPause)
			continue
		}
		p.counts.received.Add(1)
		p.counts.receivedBytes.Add(uint64(n))
		if n == 0 || n > MaxDatagramSize {
			p.counts.notADatagram.Add(1)
			continue
		}
		select {
		case packets <- append([]byte(nil), buf[:n]...):
		default:
			p.counts.queueFull.Add(1)
		}
	}
}

// verdict is what becomes of a datagram.
type verdict uint8

const (
	droppedDatagram verdict = iota
	staleMessage            // authentic, but of an earlier process of its name
	currentMessage
)

// receive opens and decodes a datagram, and counts why one is dropped.
func (p *Peers) receive(b []byte) (membership.Message, verdict) {
	var m membership.Message
	payload, from, err := p.opened.open(b)
	if err == nil && p.opt.ProtocolV1Only && b[0] > oldestVersion {
		err = errUnknownVersion
	}
	if err == nil {
		m, err = decode(b[0], payload)
	}
	if err != nil {
		p.countDropped(err)
		return m, droppedDatagram
	}
	last := p.lastProcesses[m.From]
	if from.instance < last.instance && time.Since(last.lastHeard) < staleInstanceWindow {
		p.counts.staleInstance.Add(1) // delayed, or recorded and sent again
		return m, staleMessage
	}
	if len(p.lastProcesses) >= maxNames {
		clear(p.lastProcesses)
	}
	p.lastProcesses[m.From] = lastProcess{from.instance, time.Now()}
	p.versions.noteHeard(m.Addr, b[0])
	m.Instance = from.instance
	return m, currentMessage
}

func (p *Peers) countDropped(err error) {
	switch {
	case errors.Is(err, errNotADatagram):
		p.counts.notADatagram.Add(1)
	case errors.Is(err, errUnknownVersion):
		p.counts.unknownVersion.Add(1)
	case errors.Is(err, errUnknownKey):
		p.counts.unknownKey.Add(1)
	case errors.Is(err, errBadSeal):
		p.counts.badSeal.Add(1)
	case errors.Is(err, errReplayed):
		p.counts.replayed.Add(1)
	default:
		p.counts.badPayload.Add(1)
	}
}

// sendAll sends messages, each in the versions that its receiver may know.
func (p *Peers) sendAll(out []membership.Outgoing) {
	if len(out) == 0 {
		return
	}
	sealing := p.opt.Keys.sealing()
	aead, err := p.aeadFor(sealing)
	if err != nil {
		p.opt.Log.Error("sealing key derivation failed", "cause", err)
		return
	}
	for _, message := range out {
		versions := p.versions.forMessage(message.To, message.Kind)
		if p.opt.ProtocolV1Only {
			versions = versions[:1]
		}
		to := message.To
		if p.opt.TranslateAddr != nil {
			to = p.opt.TranslateAddr(to)
		}
		addr, addrErr := netip.ParseAddrPort(to)
		for _, version := range versions {
			payload, err := encode(version, message.Message)
			if err != nil || addrErr != nil {
				p.counts.sendFailed.Add(1)
				continue
			}
			p.nonceCounter++
			p.write(seal(aead, version, sealing.id, p.self, p.nonceCounter, payload), addr)
		}
	}
}

// aeadFor returns this process's AEAD of a key, derived once as long as the key seals.
func (p *Peers) aeadFor(sealing key) (cipher.AEAD, error) {
	if aead := p.aeads[sealing.id]; aead != nil {
		return aead, nil
	}
	aead, err := newAEAD(sealing.value, p.opt.Tier, p.self)
	if err != nil {
		return nil, err
	}
	clear(p.aeads)
	p.aeads[sealing.id] = aead
	return aead, nil
}

func (p *Peers) write(datagram []byte, to netip.AddrPort) {
	if _, err := p.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		p.counts.sendFailed.Add(1)
		return
	}
	p.counts.sent.Add(1)
	p.counts.sentBytes.Add(uint64(len(datagram)))
}
