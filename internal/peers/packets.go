package peers

import (
	"crypto/cipher"
	"errors"
	"net"
	"net/netip"
	"time"

	"wellgw/decide/membership"
)

// readErrorPause prevents a persistent read error from causing a busy loop.
const readErrorPause = time.Millisecond

// readSocket reads datagrams from the socket until it is closed. It drops and counts those that
// arrive while the receive queue is full, so that the loss shows in this process's counters
// instead of happening in the kernel's buffer.
func (p *Peers) readSocket(packets chan<- []byte) {
	buf := make([]byte, 2*MaxDatagramSize)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // usually an ICMP error for a datagram sent to a port without a listener
			time.Sleep(readErrorPause)
			continue
		}
		p.counts.received.Add(1)
		p.counts.receivedBytes.Add(uint64(n))
		if n == 0 || n > MaxDatagramSize {
			p.counts.invalidSize.Add(1)
			continue
		}
		select {
		case packets <- append([]byte(nil), buf[:n]...):
		default:
			p.counts.queueFull.Add(1)
		}
	}
}

// verdict is the result of receiving a datagram.
type verdict uint8

const (
	dropped      verdict = iota
	staleMessage         // authentic, but sent by an earlier process of the same gateway name
	currentMessage
)

// receive decrypts and decodes a datagram. For a dropped one it counts the reason.
func (p *Peers) receive(b []byte) (membership.Message, verdict) {
	var m membership.Message
	payload, from, err := p.opener.open(b)
	if err == nil && p.opt.ProtocolV1Only && b[0] > oldestVersion {
		err = errUnknownVersion
	}
	if err == nil {
		m, err = decode(b[0], payload)
	}
	if err != nil {
		p.countDropped(err)
		return m, dropped
	}
	last := p.lastProcesses[m.From]
	if from.instance < last.instance && time.Since(last.lastReceived) < staleInstanceWindow {
		p.counts.staleInstance.Add(1) // delayed by the network, or recorded and replayed by an attacker
		return m, staleMessage
	}
	if len(p.lastProcesses) >= maxPeerEntries {
		clear(p.lastProcesses)
	}
	p.lastProcesses[m.From] = lastProcess{from.instance, time.Now()}
	p.versions.recordReceived(m.Addr, b[0])
	m.Instance = from.instance
	return m, currentMessage
}

func (p *Peers) countDropped(err error) {
	switch {
	case errors.Is(err, errInvalidSize):
		p.counts.invalidSize.Add(1)
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

// sendAll sends each message in the protocol versions that its receiver may support.
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

// aeadFor returns this process's AEAD for a key. It caches the AEAD until another key encrypts.
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
