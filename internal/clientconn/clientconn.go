// Package clientconn limits what clients may use: connections, the time and framing of requests,
// the size of one body, and the memory of all bodies in flight.
package clientconn

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// MaxBodySize is the largest body, in bytes.
const MaxBodySize = 256 << 10

// Reasons for which a body is rejected.
var (
	ErrBodyTooLarge       = errors.New("the body is over 256 KiB")
	ErrBodyTruncated      = errors.New("the body was cut short")
	ErrBodyBudgetExceeded = errors.New("too many bodies are in hand")
	ErrRequestExpired     = errors.New("the request was not whole when none was taken any more")
)

// Budget limits the memory of all bodies in flight together.
type Budget struct{ available atomic.Int64 }

// NewBudget returns a budget in bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.available.Store(bytes)
	return b
}

// initialBufferSize is allocated for a body before any of it has arrived, in bytes.
const initialBufferSize = 8 << 10

// Read reads a request's body. On success the caller must call free once it is done with the
// request; ErrBodyBudgetExceeded and ErrRequestExpired prove that the request had no effect. Only bytes that have arrived
// count against the budget, not the declared length: a client that declares much and sends nothing
// must not keep others out.
func (b *Budget) Read(w http.ResponseWriter, r *http.Request) (body []byte, free func(), err error) {
	if r.ContentLength > MaxBodySize {
		// Reading past a limit makes net/http delay the close, so that a client which is still
		// sending can read its error.
		_, _ = http.MaxBytesReader(w, r.Body, 0).Read(make([]byte, 1))
		return nil, nil, ErrBodyTooLarge
	}
	taken := int64(0)
	free = func() { b.available.Add(taken) }
	from := http.MaxBytesReader(w, r.Body, MaxBodySize)
	for err == nil {
		if r.ContentLength >= 0 && int64(len(body)) == r.ContentLength { // only its end is missing
			_, err = io.ReadFull(from, make([]byte, 1))
			break
		}
		if len(body) == cap(body) {
			size := max(initialBufferSize, 2*cap(body))
			if r.ContentLength >= 0 {
				size = min(size, int(r.ContentLength))
			}
			more := int64(size - cap(body))
			if taken += more; b.available.Add(-more) < 0 {
				free()
				return nil, nil, ErrBodyBudgetExceeded
			}
			body = append(make([]byte, 0, size), body...)
		}
		var n int
		n, err = from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
	}
	if errors.Is(err, io.EOF) && !clientGone(r.Context()) {
		return body, free, nil
	}
	free()
	if tooBig := (*http.MaxBytesError)(nil); errors.As(err, &tooBig) {
		return nil, nil, ErrBodyTooLarge
	}
	if errors.Is(err, ErrRequestExpired) {
		return nil, nil, ErrRequestExpired
	}
	return nil, nil, ErrBodyTruncated
}

// CloseIfBodyUnread prepares an error response to a request whose body has not been read: the connection ends
// with it. Otherwise net/http would hold the response back until it has read the rest, which the
// client may never send.
func CloseIfBodyUnread(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
}
