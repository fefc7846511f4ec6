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
	"time"
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
