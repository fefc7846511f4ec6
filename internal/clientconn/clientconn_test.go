package clientconn

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

type cut struct{}

func (cut) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func TestRead(t *testing.T) {
	for _, c := range []struct {
		name string
		body io.Reader
		size int64
		left int64
		want error
	}{
		{"fits", strings.NewReader("abc"), 3, 3, nil},
		{"past the budget", strings.NewReader("abc"), 3, 2, ErrBodyBudgetExceeded},
		{"unknown length", io.MultiReader(strings.NewReader("abc")), -1, initialBufferSize, nil},
		{"past the budget as it comes", strings.NewReader(strings.Repeat("x", MaxBodySize)), -1, MaxBodySize - 1, ErrBodyBudgetExceeded},
		{"too big", strings.NewReader(strings.Repeat("x", MaxBodySize+1)), -1, 2 * MaxBodySize, ErrBodyTooLarge},
		{"says that it is too big", cut{}, MaxBodySize + 1, 2 * MaxBodySize, ErrBodyTooLarge},
		{"cut short", cut{}, MaxBodySize, 2 * MaxBodySize, ErrBodyTruncated},
		{"says much and sends nothing", cut{}, MaxBodySize, initialBufferSize, ErrBodyTruncated},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := NewBudget(c.left)
			r := httptest.NewRequest(http.MethodPost, "/", c.body)
			r.ContentLength = c.size
			body, free, err := b.Read(httptest.NewRecorder(), r)
			if err != c.want || err == nil && (string(body) != "abc" || b.available.Load() > c.left-3) {
				t.Errorf("%q, %v, %d left", body, err, b.available.Load())
			}
			if err == nil {
				free()
			}
			if b.available.Load() != c.left {
				t.Errorf("%d left of %d", b.available.Load(), c.left)
			}
		})
	}
}
