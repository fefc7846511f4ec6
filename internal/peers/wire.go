// Package peers carries what gateways of a tier tell each other about who is there: small
// sealed datagrams, a keyring that rotates in service, and one goroutine that owns the view.
// Everything that is decided is decided by decide/membership.
//
// No call from the path of a request waits on anything here: a view is read from memory,
// and a peer that is slow or silent costs a datagram that nobody waits for.
package peers

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"wellgw/decide/membership"
)

// A datagram is
//
//	version (1) key id (4) instance (8) random (8) counter (8) sealed (payload + 16)
//
// The part before the seal is authenticated with it, and so is the tier's name. Each
// process seals by a key of its own, derived from the ring's key and its instance and random
// part, so that the counter, which never comes twice in a process, is a nonce fit for GCM.
const (
	latestVersion = 2 // knows beats, and kinds beyond PingFor
	oldestVersion = 1
	headSize      = 1 + 4 + 8 + 8 + 8
	nonceSize     = 12
	tagSize       = 16
	MaxMessage    = 256 // bytes of a datagram, as the platform allows between gateways
	maxPayload    = MaxMessage - headSize - tagSize
	MaxName       = 24 // bytes of a gateway's name
	ageUnit       = 10 * time.Millisecond
)

// What is wrong with a datagram; each kind is counted apart.
var (
	errShort   = errors.New("no datagram of ours")
	errVersion = errors.New("another version")
	errKey     = errors.New("a key that is not in the ring")
	errSeal    = errors.New("a seal that does not hold")
	errReplay  = errors.New("a datagram that has come before")
	errPayload = errors.New("a payload that can't be read")
)

// process is what tells one process of a gateway from the next.
type process struct{ instance, random uint64 }

// newAEAD seals and opens by one key of the ring for one process.
func newAEAD(key []byte, tier string, p process) (cipher.AEAD, error) {
	var salt [16]byte
	binary.BigEndian.PutUint64(salt[:], p.instance)
	binary.BigEndian.PutUint64(salt[8:], p.random)
	derived, err := hkdf.Key(sha256.New, key, salt[:], "wellgw peers "+tier, 32)
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(derived)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(block)
}

func nonce(counter uint64) []byte {
	n := make([]byte, nonceSize)
	binary.BigEndian.PutUint64(n[4:], counter)
	return n
}

// seal makes a datagram.
func seal(aead cipher.AEAD, as byte, id keyID, p process, counter uint64, payload []byte) []byte {
	b := make([]byte, 0, MaxMessage)
	b = append(b, as)
	b = append(b, id[:]...)
	b = binary.BigEndian.AppendUint64(b, p.instance)
	b = binary.BigEndian.AppendUint64(b, p.random)
	b = binary.BigEndian.AppendUint64(b, counter)
	return aead.Seal(b, nonce(counter), payload, b[:headSize])
}

// peerVersions are those that others have been heard to speak, by address. To one not known to
// speak the latest every eighth message goes in both: it answers in what it knows, so after
// a roll forward or back each pair soon speaks the latest that both have.
type peerVersions map[string]*spokenVersion

type spokenVersion struct {
	version byte
	sent    int
}

const dualVersionEvery = 8

// forMessage tells in which versions a message is to be sent.
func (v peerVersions) forMessage(to string, k membership.Kind) []byte {
	x := v[to]
	if x == nil {
		if len(v) >= maxNames {
			clear(v)
		}
		x = &spokenVersion{version: oldestVersion}
		v[to] = x
	}
	x.sent++
	switch {
	case k > membership.PingReq || x.version >= latestVersion:
		return []byte{latestVersion}
	case x.sent%dualVersionEvery == 1:
		return []byte{oldestVersion, latestVersion}
	}
	return []byte{oldestVersion}
}

func (v peerVersions) noteHeard(from string, as byte) {
	if x := v[from]; x != nil {
		x.version = as
	}
}

// parseHeader reads the part before the seal.
func parseHeader(b []byte) (id keyID, p process, counter uint64, err error) {
	if len(b) < 1 || len(b) > MaxMessage {
		return id, p, 0, errShort
	}
	if b[0] < oldestVersion || b[0] > latestVersion {
		return id, p, 0, errVersion
	}
	if len(b) < headSize+tagSize {
		return id, p, 0, errShort
	}
	copy(id[:], b[1:])
	p.instance, p.random = binary.BigEndian.Uint64(b[5:]), binary.BigEndian.Uint64(b[13:])
	return id, p, binary.BigEndian.Uint64(b[21:]), nil
}

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
