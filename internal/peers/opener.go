package peers

import (
	"crypto/cipher"
	"math"
)

// datagramOpener authenticates datagrams and drops replays. It keeps state for each process
// heard; one from which no authentic datagram has come is not entered, so that forgeries can't
// displace others. It is for one goroutine.
type datagramOpener struct {
	tier    string
	keyring *Keyring
	senders map[senderID]*replayWindow
	uses    uint64 // a clock for lastUse
}

type senderID struct {
	key keyID
	process
}

// replayWindow is which of the latest counters of a process have been received.
type replayWindow struct {
	aead    cipher.AEAD
	highest uint64
	seen    [replayWindowWords]uint64 // a bit a counter
	lastUse uint64                    // the least of all is evicted first
}

const (
	replayWindowWords = 16 // of 64 counters each; a datagram that is older counts as a replay
	replayWindowSize  = 64 * replayWindowWords
	maxSenders        = 1024 // processes kept
)

// open returns the payload of a datagram and the process that sealed it.
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
	payload, err := w.aead.Open(nil, nonce(header.counter), b[headSize:], b[:headSize])
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
	o.uses++
	w.lastUse = o.uses
	return payload, p, nil
}

// evict makes room for one more sender.
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

// accept tells whether a counter is received for the first time, and enters it.
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
