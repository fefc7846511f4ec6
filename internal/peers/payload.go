package peers

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"wellgw/decide/membership"
)

// encode words a message in a version, in at most maxPayload bytes. Updates that do not fit are left out,
// the last ones first: the machine tells of everything more than once.
func encode(as byte, m membership.Message) ([]byte, error) {
	b, _, err := encodeFitting(as, m)
	return b, err
}

// encodeFitting also tells how many of the updates there was room for.
func encodeFitting(as byte, m membership.Message) (b []byte, room int, err error) {
	if len(m.From) > MaxName || len(m.Subject) > MaxName {
		return nil, 0, fmt.Errorf("a name over %d bytes", MaxName)
	}
	b = []byte{byte(m.Kind)}
	b = binary.AppendUvarint(b, uint64(m.Seq))
	b = binary.AppendUvarint(b, m.Epoch)
	b = binary.BigEndian.AppendUint64(b, m.Digest)
	if as > oldestVersion {
		b = binary.AppendUvarint(b, uint64(m.Heartbeat))
	}
	b = appendString(b, m.From)
	b = appendString(b, m.Subject)
	b = appendAddr(b, m.Addr)
	for _, u := range m.Updates {
		one := appendString(nil, u.ID)
		one = appendAddr(one, u.Addr)
		one = binary.AppendUvarint(one, u.Incarnation)
		one = append(one, byte(u.Status))
		one = binary.AppendUvarint(one, uint64((max(0, u.SuspicionAge)+ageUnit-1)/ageUnit))
		if as > oldestVersion {
			one = binary.AppendUvarint(one, uint64(u.Heartbeat))
		}
		if len(b)+len(one) > maxPayload {
			break
		}
		b = append(b, one...)
		room++
	}
	return b, room, nil
}

// FittingUpdates tells how many of a message's updates a datagram has room for.
func FittingUpdates(m membership.Message) int {
	_, room, _ := encodeFitting(latestVersion, m)
	return room
}

// decode reads a payload. All of it must make sense: half a message is none.
func decode(as byte, b []byte) (m membership.Message, err error) {
	r := payloadReader{rest: b}
	m.Kind = membership.Kind(r.byte())
	m.Seq = uint32(r.uvarint())
	m.Epoch = r.uvarint()
	m.Digest = r.uint64()
	if as > oldestVersion {
		m.Heartbeat = uint32(r.uvarint())
	}
	m.From, m.Subject, m.Addr = r.name(), r.name(), r.addr()
	for r.err == nil && len(r.rest) > 0 {
		u := membership.Update{ID: r.name(), Addr: r.addr(), Incarnation: r.uvarint(), Status: membership.Status(r.byte())}
		u.SuspicionAge = time.Duration(min(r.uvarint(), maxAge)) * ageUnit
		if as > oldestVersion {
			u.Heartbeat = uint32(r.uvarint())
		}
		if u.ID == "" || u.Status > membership.Left {
			r.err = errPayload
		}
		m.Updates = append(m.Updates, u)
	}
	if m.Kind > membership.SyncReply || as == oldestVersion && m.Kind > membership.PingReq || m.From == "" || m.Addr == "" {
		r.err = errPayload
	}
	return m, r.err
}

const maxAge = uint64(time.Hour / ageUnit)

func appendString(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

// appendAddr words an address of IPv4 in seven bytes; none is a zero.
func appendAddr(b []byte, addr string) []byte {
	at, err := netip.ParseAddrPort(addr)
	if err != nil || !at.Addr().Unmap().Is4() {
		return append(b, 0)
	}
	ip := at.Addr().Unmap().As4()
	return binary.BigEndian.AppendUint16(append(append(b, 4), ip[:]...), at.Port())
}

type payloadReader struct {
	rest []byte
	err  error
}

func (r *payloadReader) next(n int) []byte {
	if r.err != nil || len(r.rest) < n {
		r.err = errPayload
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
		r.err = errPayload
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *payloadReader) name() string {
	n := int(r.byte())
	if n > MaxName {
		r.err = errPayload
		return ""
	}
	return string(r.next(n))
}

func (r *payloadReader) addr() string {
	switch r.byte() {
	case 0:
		return ""
	case 4:
		p := r.next(6)
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(p)), binary.BigEndian.Uint16(p[4:])).String()
	}
	r.err = errPayload
	return ""
}

// DatagramSize is how many bytes a message takes as a datagram; 0 for one that can't be worded.
func DatagramSize(m membership.Message) int {
	b, err := encode(latestVersion, m)
	if err != nil {
		return 0
	}
	return headSize + len(b) + tagSize
}
