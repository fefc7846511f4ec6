// Package peers is the transport of the membership protocol between the gateways of a tier:
// small sealed datagrams, a keyring that rotates in service, and one goroutine that owns the
// protocol's state. What to send, and what to conclude, is decided in decide/membership.
//
// No call on a request's path waits on anything here: a view is read from memory, and a peer
// that is slow or silent costs a datagram whose answer is not waited for.
package peers

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"errors"
)

// A datagram is
//
//	version (1) key id (4) instance (8) random (8) counter (8) sealed (payload + 16)
//
// The header, before the seal, is authenticated with it, and so is the tier's name. Each
// process seals with a key of its own, derived from the ring's key and the process's instance
// and random number, so that the counter, which a process never uses twice, can be GCM's nonce.
const (
	latestVersion   = 2 // has heartbeats, and kinds beyond PingReq
	oldestVersion   = 1
	headSize        = 1 + 4 + 8 + 8 + 8
	nonceSize       = 12  // of GCM, in bytes
	tagSize         = 16  // of GCM, in bytes
	MaxDatagramSize = 256 // bytes of a datagram, as the platform allows between gateways
	maxPayload      = MaxDatagramSize - headSize - tagSize
	MaxNameLen      = 24 // bytes of a gateway's name
)

// Why a datagram is dropped; each reason is counted.
var (
	errNotADatagram   = errors.New("no datagram of ours")
	errUnknownVersion = errors.New("another version")
	errUnknownKey     = errors.New("a key that is not in the ring")
	errBadSeal        = errors.New("a seal that does not hold")
	errReplayed       = errors.New("a datagram that has come before")
	errBadPayload     = errors.New("a payload that can't be read")
)

// process identifies one process of a gateway. Of two processes of one name the later has the
// higher instance.
type process struct{ instance, random uint64 }

// newAEAD returns what seals and opens the datagrams of one process with one key of the ring.
func newAEAD(key []byte, tier string, p process) (cipher.AEAD, error) {
	var salt [16]byte
	binary.BigEndian.PutUint64(salt[:], p.instance)
	binary.BigEndian.PutUint64(salt[8:], p.random)
	derived, err := hkdf.Key(sha256.New, key, salt[:], "wellgw peers "+tier, keySize)
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

// seal returns a datagram.
func seal(aead cipher.AEAD, version byte, id keyID, p process, counter uint64, payload []byte) []byte {
	b := make([]byte, 0, MaxDatagramSize)
	b = append(b, version)
	b = append(b, id[:]...)
	b = binary.BigEndian.AppendUint64(b, p.instance)
	b = binary.BigEndian.AppendUint64(b, p.random)
	b = binary.BigEndian.AppendUint64(b, counter)
	return aead.Seal(b, nonce(counter), payload, b[:headSize])
}

// datagramHeader is what stands before the seal.
type datagramHeader struct {
	key     keyID
	sender  process
	counter uint64
}

// parseHeader reads the part before the seal, which is not yet proven authentic.
func parseHeader(b []byte) (h datagramHeader, err error) {
	if len(b) < 1 || len(b) > MaxDatagramSize {
		return h, errNotADatagram
	}
	if b[0] < oldestVersion || b[0] > latestVersion {
		return h, errUnknownVersion
	}
	if len(b) < headSize+tagSize {
		return h, errNotADatagram
	}
	copy(h.key[:], b[1:])
	h.sender.instance, h.sender.random = binary.BigEndian.Uint64(b[5:]), binary.BigEndian.Uint64(b[13:])
	h.counter = binary.BigEndian.Uint64(b[21:])
	return h, nil
}
