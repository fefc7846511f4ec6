package clientconn

import (
	"container/list"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"sync"
	"time"
)

// Budget limits the number of requests in flight and the total memory of their bodies. When a limit is
// reached, the body that has been arriving for the longest time gives way to a new one, so that clients that
// send slowly, or stop, do not keep the others out.
type Budget struct {
	mu        sync.Mutex
	available int64     // bytes
	requests  int       // that may still begin
	arriving  list.List // of *bodyReader, by the time when they began
}

// minEvictAge is how long a body must have been arriving before it gives way.
const minEvictAge = 250 * time.Millisecond

// NewBudget returns a budget of the given number of bytes, for any number of requests.
func NewBudget(bytes int64) *Budget { return &Budget{available: bytes, requests: math.MaxInt} }

// LimitRequests limits the number of requests in flight. It must be called before Read.
func (b *Budget) LimitRequests(n int) { b.requests = n }

// Available returns the number of bytes that are not in use.
func (b *Budget) Available() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.available
}

// bodyReader is a body that is being read, or that has been read and is in use.
type bodyReader struct {
	budget *Budget
	ctx    context.Context // of the request

	// Guarded by the budget's mutex.
	began    time.Time
	reserved int64         // bytes
	place    *list.Element // in the budget's list; nil once the body is complete or evicted
	evicted  bool
}

// begin enters a request into the budget. It returns false if there is no room.
func (b *Budget) begin(ctx context.Context) (*bodyReader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for b.requests <= 0 {
		if !b.evictOldest(now, nil) {
			return nil, false
		}
	}
	b.requests--
	reader := &bodyReader{budget: b, ctx: ctx, began: now}
	reader.place = b.arriving.PushBack(reader)
	return reader, true
}

// reserve takes n more bytes for a body. It returns false if there is no room for them.
func (r *bodyReader) reserve(n int64) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.available < n {
		if r.evicted || !b.evictOldest(time.Now(), r) {
			return false
		}
	}
	b.available -= n
	r.reserved += n
	return true
}

// evictOldest takes the room of the body that has been arriving for the longest time, other than that of
// reader, and reports whether there was one. The caller holds b.mu.
func (b *Budget) evictOldest(now time.Time, reader *bodyReader) bool {
	for place := b.arriving.Front(); place != nil; place = place.Next() {
		victim := place.Value.(*bodyReader)
		if now.Sub(victim.began) < minEvictAge {
			return false
		}
		if victim != reader {
			victim.evicted = true
			victim.leave()
			interruptRead(victim.ctx)
			return true
		}
	}
	return false
}

// interruptRead makes the read of a request's body return.
func interruptRead(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		_ = c.SetReadDeadline(time.Now())
	}
}

// completed records that the body has arrived, after which it does not give way. It returns false if it has
// given way already.
func (r *bodyReader) completed() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.place != nil {
		r.budget.arriving.Remove(r.place)
		r.place = nil
	}
	return !r.evicted
}

// free gives the room of the request back. Further calls do nothing.
func (r *bodyReader) free() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if !r.evicted {
		r.evicted = true
		r.leave()
	}
}

// leave gives back what the request has taken. The caller holds the budget's mutex.
func (r *bodyReader) leave() {
	if r.place != nil {
		r.budget.arriving.Remove(r.place)
		r.place = nil
	}
	r.budget.available += r.reserved
	r.budget.requests++
	r.reserved = 0
}

// initialBufferSize is the size, in bytes, of the buffer that is allocated before a body's first byte
// has arrived.
const initialBufferSize = 8 << 10

// Read reads a request's body. On success the caller must call free when it has finished the request.
// ErrBodyBudgetExceeded and ErrRequestExpired guarantee that the request had no effect. The buffer
// grows with the bytes that have arrived, and only the buffer counts against the budget, not the
// declared length: a client that declares a large body and sends nothing must not block others.
func (b *Budget) Read(w http.ResponseWriter, r *http.Request) (body []byte, free func(), err error) {
	if r.ContentLength > MaxBodySize {
		// Reading past a limit makes net/http delay the close, so that a client which is still
		// sending can read its error.
		_, _ = http.MaxBytesReader(w, r.Body, 0).Read(make([]byte, 1))
		return nil, nil, ErrBodyTooLarge
	}
	reader, ok := b.begin(r.Context())
	if !ok {
		return nil, nil, ErrBodyBudgetExceeded
	}
	body, err = reader.readAll(http.MaxBytesReader(w, r.Body, MaxBodySize), r.ContentLength)
	if arrived := reader.completed(); !arrived {
		return nil, nil, ErrBodyBudgetExceeded
	}
	if errors.Is(err, io.EOF) && !Disconnected(r.Context()) {
		return body, reader.free, nil
	}
	reader.free()
	return nil, nil, bodyError(err)
}

// readAll reads a body of the given length, negative for an unknown one. The error is io.EOF at its end.
func (r *bodyReader) readAll(source io.Reader, length int64) (body []byte, err error) {
	for err == nil {
		if length >= 0 && int64(len(body)) == length { // only io.EOF is still to come
			_, err = io.ReadFull(source, make([]byte, 1))
			break
		}
		if len(body) == cap(body) {
			size := max(initialBufferSize, 2*cap(body))
			if length >= 0 {
				size = min(size, int(length))
			}
			if !r.reserve(int64(size - cap(body))) {
				return nil, ErrBodyBudgetExceeded
			}
			body = append(make([]byte, 0, size), body...)
		}
		var n int
		n, err = source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
	}
	return body, err
}

// bodyError returns the error of Read for that of reading a body.
func bodyError(err error) error {
	tooLarge := (*http.MaxBytesError)(nil)
	switch {
	case errors.As(err, &tooLarge):
		return ErrBodyTooLarge
	case errors.Is(err, ErrRequestExpired):
		return ErrRequestExpired
	case errors.Is(err, ErrBodyBudgetExceeded):
		return ErrBodyBudgetExceeded
	}
	return ErrBodyTruncated
}
