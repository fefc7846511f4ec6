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
	path string
	keys atomic.Pointer[[]key]
	text []byte // as last read
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
	if bytes.Equal(text, k.text) {
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
	k.text = text
	k.keys.Store(&keys)
	return true, nil
}

// InUse names the key that seals now.
func (k *Keyring) InUse() string { return (*k.keys.Load())[0].id.String() }

func (k *Keyring) find(id keyID) *key {
	for i, x := range *k.keys.Load() {
		if x.id == id {
			return &(*k.keys.Load())[i]
		}
	}
	return nil
}

// opened are the processes heard of, each with its sealer and the counters that have come.
// A process whose seal has not held once is not entered, so forgeries fill nothing.
type opened struct {
	tier string
	ring *Keyring
	from map[opener]*window
	last uint64 // use of any, to find the least lately used
}

type opener struct {
	id keyID
	process
}

// window remembers which of the latest counters of a process have come.
type window struct {
	aead cipher.AEAD
	top  uint64
	seen [windowWords]uint64
	used uint64
}

const (
	windowWords = 16 // of 64 counters each: reordering beyond that is a replay
	windowSpan  = 64 * windowWords
	mostHeard   = 1024 // processes remembered
)

// open returns what a datagram holds. It is for one goroutine.
func (o *opened) open(b []byte) ([]byte, process, error) {
	id, p, counter, err := header(b)
	if err != nil {
		return nil, p, err
	}
	who := opener{id, p}
	w := o.from[who]
	k := o.ring.find(id)
	if k == nil {
		delete(o.from, who)
		return nil, p, errKey
	}
	fresh := w == nil
	if fresh {
		w = &window{}
		if w.aead, err = sealer(k.value, o.tier, p); err != nil {
			return nil, p, err
		}
	}
	payload, err := w.aead.Open(nil, nonce(counter), b[headSize:], b[:headSize])
	if err != nil {
		return nil, p, errSeal
	}
	if !w.first(counter) {
		return nil, p, errReplay
	}
	if fresh {
		o.evict()
		o.from[who] = w
	}
	o.last++
	w.used = o.last
	return payload, p, nil
}

// evict makes room for one more.
func (o *opened) evict() {
	if len(o.from) < mostHeard {
		return
	}
	var oldest opener
	low := ^uint64(0)
	for who, w := range o.from {
		if w.used < low {
			oldest, low = who, w.used
		}
	}
	delete(o.from, oldest)
}

// first tells whether a counter comes for the first time, and enters it.
func (w *window) first(counter uint64) bool {
	if counter > w.top {
		for n := w.top + 1; n <= counter && n <= w.top+windowSpan; n++ {
			w.seen[n/64%windowWords] &^= 1 << (n % 64)
		}
		w.top = counter
	} else if w.top-counter >= windowSpan {
		return false
	}
	at, bit := counter/64%windowWords, uint64(1)<<(counter%64)
	if w.seen[at]&bit != 0 {
		return false
	}
	w.seen[at] |= bit
	return true
}
