package peers

import "crypto/cipher"

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
