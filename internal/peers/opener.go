package peers

import (
	"crypto/cipher"
	"math"
)

// datagramOpener authenticates and decrypts datagrams and rejects replays. It stores a replay
// window for each sending process, but only once an authentic datagram has been received from it,
// so that forged datagrams can't evict the windows of real senders. It is not safe for concurrent
// use.
type datagramOpener struct {
	tier     string
	keyring  *Keyring
	senders  map[senderID]*replayWindow
	useCount uint64 // number of datagrams opened; a logical clock for lastUse
}

type senderID struct {
	key keyID
	process
}

// replayWindow records which of the highest counters of a process have been received.
type replayWindow struct {
	aead    cipher.AEAD
	highest uint64
	seen    [replayWindowWords]uint64 // one bit per counter
	lastUse uint64                    // value of useCount; the window with the lowest value is evicted first
}

const (
	replayWindowWords = 16 // of 64 counters each; a counter older than the window is treated as a replay
	replayWindowSize  = 64 * replayWindowWords
	maxSenders        = 1024 // limit on the number of replay windows
)

// open returns the decrypted payload of a datagram and the process that sent it.
func (o *datagramOpener) open(b []byte) ([]byte, process, error) {
	header, err := parseHeader(b)
	p := header.sender
	if err != nil {
		return nil, p, err
	}
	sender := senderID{header.key, p}
	w := o.senders[sender]
	k := o.keyring.find(header.key)
	if k == nil {
		delete(o.senders, sender)
		return nil, p, errUnknownKey
	}
	newSender := w == nil
	if newSender {
		w = &replayWindow{}
		if w.aead, err = newAEAD(k.value, o.tier, p); err != nil {
			return nil, p, err
		}
	}
	payload, err := w.aead.Open(nil, nonce(header.counter), b[headerSize:], b[:headerSize])
	if err != nil {
		return nil, p, errBadSeal
	}
	if !w.accept(header.counter) {
		return nil, p, errReplayed
	}
	if newSender {
		o.evict()
		o.senders[sender] = w
	}
	o.useCount++
	w.lastUse = o.useCount
	return payload, p, nil
}

// evict removes the least recently used window if the limit is reached.
func (o *datagramOpener) evict() {
	if len(o.senders) < maxSenders {
		return
	}
	var oldest senderID
	oldestUse := uint64(math.MaxUint64)
	for sender, w := range o.senders {
		if w.lastUse < oldestUse {
			oldest, oldestUse = sender, w.lastUse
		}
	}
	delete(o.senders, oldest)
}

// accept reports whether a counter is inside the window and received for the first time, and
// marks it as received.
func (w *replayWindow) accept(counter uint64) bool {
	if counter > w.highest {
		for n := w.highest + 1; n <= counter && n <= w.highest+replayWindowSize; n++ {
			w.seen[n/64%replayWindowWords] &^= 1 << (n % 64)
		}
		w.highest = counter
	} else if w.highest-counter >= replayWindowSize {
		return false
	}
	word, bit := counter/64%replayWindowWords, uint64(1)<<(counter%64)
	if w.seen[word]&bit != 0 {
		return false
	}
	w.seen[word] |= bit
	return true
}
