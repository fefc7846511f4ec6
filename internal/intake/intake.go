// Package intake reads clients' bodies within bounds: of one body, and of all that
// are in hand at once, so that many large ones cannot use up the memory.
package intake

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
)

// Budget is what the bodies in hand may hold together.
type Budget struct{ left atomic.Int64 }

// NewBudget returns a budget of so many bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.left.Store(bytes)
	return b
}

// Read reads a request's body. On success the caller must call free once it is
// done with the request; ErrBusy proves that nothing was done.
func (b *Budget) Read(w http.ResponseWriter, r *http.Request) (body []byte, free func(), err error) {
	size := int64(MaxBody)
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength)
	}
	free = func() { b.left.Add(size) }
	if b.left.Add(-size) < 0 {
		free()
		return nil, nil, ErrBusy
	}
	body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err == nil {
		return body, free, nil
	}
	free()
	if tooBig := (*http.MaxBytesError)(nil); errors.As(err, &tooBig) {
		return nil, nil, ErrTooBig
	}
	return nil, nil, ErrCut
}
