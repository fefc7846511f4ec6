package peers

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"wellgw/decide/membership"
)

// ageUnit is the unit of a suspicion's age in a payload, and maxAge bounds what is read.
const (
	ageUnit = 10 * time.Millisecond
	maxAge  = uint64(time.Hour / ageUnit)
)

var errNameTooLong = fmt.Errorf("a name over %d bytes", MaxNameLen)

// encode encodes a message in a version, in at most maxPayload bytes. Updates that do not fit
// are left out, the last ones first: the protocol sends each more than once.
func encode(version byte, m membership.Message) ([]byte, error) {
	b, _, err := encodeFitting(version, m)
	return b, err
}

// encodeFitting also returns how many of the updates fitted.
func encodeFitting(version byte, m membership.Message) (b []byte, fitting int, err error) {
	if len(m.From) > MaxNameLen || len(m.Subject) > MaxNameLen {
		return nil, 0, errNameTooLong
	}
	b = []byte{byte(m.Kind)}
	b = binary.AppendUvarint(b, uint64(m.Seq))
	b = binary.AppendUvarint(b, m.Epoch)
	b = binary.BigEndian.AppendUint64(b, m.Digest)
	if version > oldestVersion {
		b = binary.AppendUvarint(b, uint64(m.Heartbeat))
	}
	b = appendString(b, m.From)
	b = appendString(b, m.Subject)
	b = appendAddr(b, m.Addr)
	for _, u := range m.Updates {
		update := encodeUpdate(version, u)
		if len(b)+len(update) > maxPayload {
			break
		}
		b = append(b, update...)
		fitting++
	}
	return b, fitting, nil
}

// encodeUpdate encodes one update; its age is rounded up to ageUnit.
func encodeUpdate(version byte, u membership.Update) []byte {
	b := appendString(nil, u.ID)
	b = appendAddr(b, u.Addr)
	b = binary.AppendUvarint(b, u.Incarnation)
	b = append(b, byte(u.Status))
	b = binary.AppendUvarint(b, uint64((max(0, u.SuspicionAge)+ageUnit-1)/ageUnit))
	if version > oldestVersion {
		b = binary.AppendUvarint(b, uint64(u.Heartbeat))
	}
	return b
}

// CountFittingUpdates returns how many of a message's updates fit into a datagram.
func CountFittingUpdates(m membership.Message) int {
	_, fitting, _ := encodeFitting(latestVersion, m)
	return fitting
}

// decode reads a payload. One that is cut short, or has a value out of range, is an error.
func decode(version byte, b []byte) (m membership.Message, err error) {
	r := payloadReader{rest: b}
	m.Kind = membership.Kind(r.byte())
	m.Seq = uint32(r.uvarint())
	m.Epoch = r.uvarint()
	m.Digest = r.uint64()
	if version > oldestVersion {
		m.Heartbeat = uint32(r.uvarint())
	}
	m.From, m.Subject, m.Addr = r.name(), r.name(), r.addr()
	for r.err == nil && len(r.rest) > 0 {
		m.Updates = append(m.Updates, r.update(version))
	}
	unknownKind := m.Kind > membership.SyncReply || version == oldestVersion && m.Kind > membership.PingReq
	if unknownKind || m.From == "" || m.Addr == "" {
		r.err = errBadPayload
	}
	return m, r.err
}

// The kinds of address in a payload.
const (
	noAddr = 0
	ipv4   = 4
)

func appendString(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

// appendAddr appends an IPv4 address and port after the byte ipv4; anything else is the byte noAddr.
func appendAddr(b []byte, addr string) []byte {
	at, err := netip.ParseAddrPort(addr)
	if err != nil || !at.Addr().Unmap().Is4() {
		return append(b, noAddr)
	}
	ip := at.Addr().Unmap().As4()
	return binary.BigEndian.AppendUint16(append(append(b, ipv4), ip[:]...), at.Port())
}

// payloadReader reads values off a payload. After the first error it returns zeros.
type payloadReader struct {
	rest []byte
	err  error
}

func (r *payloadReader) next(n int) []byte {
	if r.err != nil || len(r.rest) < n {
		r.err = errBadPayload
		return make([]byte, n)
	}
	p := r.rest[:n]
	r.rest = r.rest[n:]
	return p
}

func (r *payloadReader) byte() byte     { return r.next(1)[0] }
func (r *payloadReader) uint64() uint64 { return binary.BigEndian.Uint64(r.next(8)) }

func (r *payloadReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.err = errBadPayload
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *payloadReader) name() string {
	n := int(r.byte())
	if n > MaxNameLen {
		r.err = errBadPayload
		return ""
	}
	return string(r.next(n))
}

func (r *payloadReader) update(version byte) membership.Update {
	u := membership.Update{ID: r.name(), Addr: r.addr(), Incarnation: r.uvarint(), Status: membership.Status(r.byte())}
	u.SuspicionAge = time.Duration(min(r.uvarint(), maxAge)) * ageUnit
	if version > oldestVersion {
		u.Heartbeat = uint32(r.uvarint())
	}
	if u.ID == "" || u.Status > membership.Left {
		r.err = errBadPayload
	}
	return u
}

func (r *payloadReader) addr() string {
	switch r.byte() {
	case noAddr:
		return ""
	case ipv4:
		p := r.next(6)
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(p)), binary.BigEndian.Uint16(p[4:])).String()
	}
	r.err = errBadPayload
	return ""
}

// DatagramSize returns the bytes that a message takes as a datagram; 0 for one that can't be encoded.
func DatagramSize(m membership.Message) int {
	b, err := encode(latestVersion, m)
	if err != nil {
		return 0
	}
	return headSize + len(b) + tagSize
}
