package upstream

import "sync"

// tailSize is the least number of bytes that are kept of the end of a stream.
const tailSize = 2 << 10

var tailBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 2*tailSize); return &b }}

// streamTail keeps the last part of the forwarded bytes, which contains the usage figures, in a pooled
// buffer.
type streamTail struct {
	buffer *[]byte // from tailBuffers; nil after release
	bytes  []byte
}

func newStreamTail() streamTail {
	buffer := tailBuffers.Get().(*[]byte)
	return streamTail{buffer: buffer, bytes: (*buffer)[:0]}
}

// record appends forwarded bytes and drops the oldest ones.
func (t *streamTail) record(p []byte) {
	if excess := len(p) - 2*tailSize; excess > 0 {
		t.bytes = append(t.bytes[:0], p[excess:]...)
	} else {
		t.bytes = append(t.bytes, p...)
	}
	if len(t.bytes) > 2*tailSize {
		t.bytes = append(t.bytes[:0], t.bytes[len(t.bytes)-tailSize:]...)
	}
}

// release returns the buffer to the pool, unless it has grown large. The tail must not be used
// afterwards.
func (t *streamTail) release() {
	if cap(t.bytes) <= 4*tailSize {
		*t.buffer = t.bytes[:0]
		tailBuffers.Put(t.buffer)
	}
	*t = streamTail{}
}
