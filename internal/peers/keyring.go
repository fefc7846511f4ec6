package peers

import (
	"bufio"
	"bytes"
	"crypto/cipher"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
)

// keySize is what a key must hold, in bytes.
const keySize = 32

// keyID names a key to those who have it, and tells nothing of it.
type keyID [4]byte

func (id keyID) String() string { return hex.EncodeToString(id[:]) }

type key struct {
	id    keyID
	value []byte
}

// Keyring holds the keys of a tier. The first seals; each opens. To rotate without a gap, a
// new key is put second at every gateway, then first, and the old one is taken out last.
type Keyring struct {
	path     string
	keys     atomic.Pointer[[]key]
	lastText []byte // as last read
}

// ReadKeyring reads a file with one key in base64 to a line; lines that begin with # and
// empty ones are passed over. An error names the line.
func ReadKeyring(path string) (*Keyring, error) {
	k := &Keyring{path: path}
	if _, err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Reload reads the file again and tells whether its keys have changed. One that can't be
// used changes nothing. It is not to be called from two goroutines at once.
func (k *Keyring) Reload() (bool, error) {
	text, err := os.ReadFile(k.path)
	if err != nil {
		return false, fmt.Errorf("key file: %w", err)
	}
	if bytes.Equal(text, k.lastText) {
		return false, nil
	}
	var keys []key
	scan := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; scan.Scan(); n++ {
		line := strings.TrimSpace(scan.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		value, err := base64.StdEncoding.DecodeString(line)
		if err != nil || len(value) != keySize {
			return false, fmt.Errorf("key file: line %d: not %d bytes in base64", n, keySize)
		}
		sum := sha256.Sum256(append([]byte("wellgw key id "), value...))
		keys = append(keys, key{id: keyID(sum[:4]), value: value})
	}
	if err := scan.Err(); err != nil {
		return false, fmt.Errorf("key file: %w", err)
	}
	if len(keys) == 0 {
		return false, errors.New("key file: holds no key")
	}
	k.lastText = text
	k.keys.Store(&keys)
	return true, nil
}

// SealingKeyID names the key that seals now.
func (k *Keyring) SealingKeyID() string { return (*k.keys.Load())[0].id.String() }

func (k *Keyring) find(id keyID) *key {
	for i, x := range *k.keys.Load() {
		if x.id == id {
			return &(*k.keys.Load())[i]
		}
	}
	return nil
}

// datagramOpener are the processes heard of, each with its sealer and the counters that have come.
// A process whose seal has not held once is not entered, so forgeries fill nothing.
type datagramOpener struct {
	tier    string
	keyring *Keyring
	senders map[senderID]*replayWindow
	uses    uint64 // use of any, to find the least lately used
}

type senderID struct {
	key keyID
	process
}

// replayWindow remembers which of the latest counters of a process have come.
type replayWindow struct {
	aead    cipher.AEAD
	highest uint64
	seen    [replayWindowWords]uint64
	lastUse uint64
}

const (
	replayWindowWords = 16 // of 64 counters each: reordering beyond that is a replay
	replayWindowSize  = 64 * replayWindowWords
	maxSenders        = 1024 // processes remembered
)

// open returns what a datagram holds. It is for one goroutine.
func (o *datagramOpener) open(b []byte) ([]byte, process, error) {
	id, p, counter, err := parseHeader(b)
	if err != nil {
		return nil, p, err
	}
	who := senderID{id, p}
	w := o.senders[who]
	k := o.keyring.find(id)
	if k == nil {
		delete(o.senders, who)
		return nil, p, errKey
	}
	fresh := w == nil
	if fresh {
		w = &replayWindow{}
		if w.aead, err = newAEAD(k.value, o.tier, p); err != nil {
			return nil, p, err
		}
	}
	payload, err := w.aead.Open(nil, nonce(counter), b[headSize:], b[:headSize])
	if err != nil {
		return nil, p, errSeal
	}
	if !w.accept(counter) {
		return nil, p, errReplay
	}
	if fresh {
		o.evict()
		o.senders[who] = w
	}
	o.uses++
	w.lastUse = o.uses
	return payload, p, nil
}

// evict makes room for one more.
func (o *datagramOpener) evict() {
	if len(o.senders) < maxSenders {
		return
	}
	var oldest senderID
	low := ^uint64(0)
	for who, w := range o.senders {
		if w.lastUse < low {
			oldest, low = who, w.lastUse
		}
	}
	delete(o.senders, oldest)
}

// accept tells whether a counter comes for the first time, and enters it.
func (w *replayWindow) accept(counter uint64) bool {
	if counter > w.highest {
		for n := w.highest + 1; n <= counter && n <= w.highest+replayWindowSize; n++ {
			w.seen[n/64%replayWindowWords] &^= 1 << (n % 64)
		}
		w.highest = counter
	} else if w.highest-counter >= replayWindowSize {
		return false
	}
	at, bit := counter/64%replayWindowWords, uint64(1)<<(counter%64)
	if w.seen[at]&bit != 0 {
		return false
	}
	w.seen[at] |= bit
	return true
}
