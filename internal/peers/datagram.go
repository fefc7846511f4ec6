// Package peers is the transport of the membership protocol between the gateways of a tier:
// small encrypted datagrams, a keyring whose keys can be rotated without a restart, and one
// goroutine that owns the protocol's state. The protocol itself is implemented in
// decide/membership, which decides which messages to send and which status each gateway has.
//
// Handling a client's request never blocks on this package: the view of the tier is read from
// memory, and a slow or unresponsive peer costs only the datagrams sent to it, because no
// goroutine blocks until they are acknowledged.
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
//	version (1) key id (4) instance (8) random (8) counter (8) ciphertext and tag (payload + 16)
//
// Sizes are in bytes. The header is the additional data of the AEAD, so it is authenticated with
// the payload. The tier's name is authenticated too, because the key depends on it: each process
// encrypts with a key derived from a key of the keyring, the tier's name and the process's
// instance and random number. The counter can therefore be GCM's nonce: a process never uses a
// value twice.
const (
	latestVersion   = 2 // adds heartbeats and the message kinds after PingReq
	oldestVersion   = 1
	headerSize      = 1 + 4 + 8 + 8 + 8
	nonceSize       = 12  // bytes of a GCM nonce
	tagSize         = 16  // bytes of a GCM tag
	MaxDatagramSize = 256 // max bytes of a datagram; a limit of the platform between gateways
	maxPayload      = MaxDatagramSize - headerSize - tagSize
	MaxNameLen      = 24 // max bytes of a gateway's name
)

// Reasons for which a datagram is dropped. Each has its own counter.
var (
	errInvalidSize    = errors.New("datagram has an invalid size")
	errUnknownVersion = errors.New("unknown protocol version")
	errUnknownKey     = errors.New("key is not in the keyring")
	errBadSeal        = errors.New("authentication failed")
	errReplayed       = errors.New("replayed datagram")
	errBadPayload     = errors.New("malformed payload")
)

// process identifies one process of a gateway. Of two processes with the same gateway name, the
// one that started later has the higher instance.
type process struct{ instance, random uint64 }

// newAEAD returns the AEAD for the datagrams of one process under one key of the keyring.
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

// seal returns a datagram: the header followed by the encrypted payload.
func seal(aead cipher.AEAD, version byte, id keyID, p process, counter uint64, payload []byte) []byte {
	b := make([]byte, 0, MaxDatagramSize)
	b = append(b, version)
	b = append(b, id[:]...)
	b = binary.BigEndian.AppendUint64(b, p.instance)
	b = binary.BigEndian.AppendUint64(b, p.random)
	b = binary.BigEndian.AppendUint64(b, counter)
	return aead.Seal(b, nonce(counter), payload, b[:headerSize])
}

// datagramHeader is the unencrypted part of a datagram, without its version.
type datagramHeader struct {
	key     keyID
	sender  process
	counter uint64
}

// parseHeader parses the unencrypted header. Its fields are not authenticated at this point.
func parseHeader(b []byte) (h datagramHeader, err error) {
	if len(b) < 1 || len(b) > MaxDatagramSize {
		return h, errInvalidSize
	}
	if b[0] < oldestVersion || b[0] > latestVersion {
		return h, errUnknownVersion
	}
	if len(b) < headerSize+tagSize {
		return h, errInvalidSize
	}
	copy(h.key[:], b[1:])
	h.sender.instance, h.sender.random = binary.BigEndian.Uint64(b[5:]), binary.BigEndian.Uint64(b[13:])
	h.counter = binary.BigEndian.Uint64(b[21:])
	return h, nil
}
