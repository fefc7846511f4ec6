package peers

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"wellgw/decide/membership"
)

// Encoding of a suspicion's age.
const (
	ageUnit = 10 * time.Millisecond       // resolution in a payload
	maxAge  = uint64(time.Hour / ageUnit) // larger received values are reduced to this one
)

var errNameTooLong = fmt.Errorf("gateway name is longer than %d bytes", MaxNameLen)

// encode encodes a message in a protocol version, in at most maxPayload bytes. The last updates
// are omitted if they do not fit; they are not lost, because the protocol sends each update more
// than once.
func encode(version byte, m membership.Message) ([]byte, error) {
	b, _, err := encodeCountFitting(version, m)
	return b, err
}

// encodeCountFitting is encode, and also returns the number of updates that fitted.
func encodeCountFitting(version byte, m membership.Message) (b []byte, fitting int, err error) {
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

// encodeUpdate encodes one update. Its suspicion age is rounded up to a multiple of ageUnit.
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

// CountFittingUpdates returns the number of a message's updates that fit into one datagram.
func CountFittingUpdates(m membership.Message) int {
	_, fitting, _ := encodeCountFitting(latestVersion, m)
	return fitting
}

// decode decodes a payload. A truncated payload or a value out of range is an error.
func decode(version byte, b []byte) (m membership.Message, err error) {
	r := payloadReader{buf: b}
	m.Kind = membership.Kind(r.byte())
	m.Seq = uint32(r.uvarint())
	m.Epoch = r.uvarint()
	m.Digest = r.uint64()
	if version > oldestVersion {
		m.Heartbeat = uint32(r.uvarint())
	}
	m.From, m.Subject, m.Addr = r.name(), r.name(), r.addr()
	for r.err == nil && len(r.buf) > 0 {
		m.Updates = append(m.Updates, r.update(version))
	}
	unknownKind := m.Kind > membership.SyncReply || version == oldestVersion && m.Kind > membership.PingReq
	if unknownKind || m.From == "" || m.Addr == "" {
		r.err = errBadPayload
	}
	return m, r.err
}

// Address types in a payload.
const (
	noAddr = 0
	ipv4   = 4
)

func appendString(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

// appendAddr appends the byte ipv4, the address and the port. For anything but an IPv4 address and
// port it appends the byte noAddr alone.
func appendAddr(b []byte, addr string) []byte {
	at, err := netip.ParseAddrPort(addr)
	if err != nil || !at.Addr().Unmap().Is4() {
		return append(b, noAddr)
	}
	ip := at.Addr().Unmap().As4()
	return binary.BigEndian.AppendUint16(append(append(b, ipv4), ip[:]...), at.Port())
}

// payloadReader decodes values from a payload. After the first error it returns zero values.
type payloadReader struct {
	buf []byte
	err error
}

func (r *payloadReader) next(n int) []byte {
	if r.err != nil || len(r.buf) < n {
		r.err = errBadPayload
		return make([]byte, n)
	}
	p := r.buf[:n]
	r.buf = r.buf[n:]
	return p
}

func (r *payloadReader) byte() byte     { return r.next(1)[0] }
func (r *payloadReader) uint64() uint64 { return binary.BigEndian.Uint64(r.next(8)) }

func (r *payloadReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.buf)
	if n <= 0 {
		r.err = errBadPayload
		return 0
	}
	r.buf = r.buf[n:]
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

// DatagramSize returns the size in bytes of a message's datagram, 0 if it can't be encoded.
func DatagramSize(m membership.Message) int {
	b, err := encode(latestVersion, m)
	if err != nil {
		return 0
	}
	return headerSize + len(b) + tagSize
}
