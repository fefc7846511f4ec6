// Package clientconn keeps what clients send within bounds: the connections they hold,
// where their requests begin and end, one body, and all bodies in hand at once.
package clientconn

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// MaxBody is the most that a body may hold.
const MaxBody = 256 << 10

// What a body may be turned away for.
var (
	ErrTooBig = errors.New("the body is over 256 KiB")
	ErrCut    = errors.New("the body was cut short")
	ErrBusy   = errors.New("too many bodies are in hand")
	ErrLate   = errors.New("the request was not whole when none was taken any more")
)

// Budget is what the bodies in hand may hold together.
type Budget struct{ left atomic.Int64 }

// NewBudget returns a budget of so many bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.left.Store(bytes)
	return b
}

// firstRead is what a body is given room for before any of it has come.
const firstRead = 8 << 10

// Read reads a request's body. On success the caller must call free once it is
// done with the request; ErrBusy and ErrLate prove that nothing was done. Only what has come
// counts against the budget, not what a client says will come: one that declares
// much and sends nothing must not keep others out.
func (b *Budget) Read(w http.ResponseWriter, r *http.Request) (body []byte, free func(), err error) {
	if r.ContentLength > MaxBody {
		// To read past a limit has net/http wait a moment before it closes, so that a
		// client which still sends gets to read its error.
		_, _ = http.MaxBytesReader(w, r.Body, 0).Read(make([]byte, 1))
		return nil, nil, ErrTooBig
	}
	taken := int64(0)
	free = func() { b.left.Add(taken) }
	from := http.MaxBytesReader(w, r.Body, MaxBody)
	for err == nil {
		if r.ContentLength >= 0 && int64(len(body)) == r.ContentLength { // only its end is left
			_, err = io.ReadFull(from, make([]byte, 1))
			break
		}
		if len(body) == cap(body) {
			size := max(firstRead, 2*cap(body))
			if r.ContentLength >= 0 {
				size = min(size, int(r.ContentLength))
			}
			more := int64(size - cap(body))
			if taken += more; b.left.Add(-more) < 0 {
				free()
				return nil, nil, ErrBusy
			}
			body = append(make([]byte, 0, size), body...)
		}
		var n int
		n, err = from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
	}
	if errors.Is(err, io.EOF) && !left(r.Context()) {
		return body, free, nil
	}
	free()
	if tooBig := (*http.MaxBytesError)(nil); errors.As(err, &tooBig) {
		return nil, nil, ErrTooBig
	}
	if errors.Is(err, ErrLate) {
		return nil, nil, ErrLate
	}
	return nil, nil, ErrCut
}

// Reject makes ready for an error to a request whose body has not been read: the
// connection ends with it. Else net/http would hold the answer back until it has
// read the rest, which a client need not send.
func Reject(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
}
