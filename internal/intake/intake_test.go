package intake

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
		left int64
		want error
	}{
		{"fits", strings.NewReader("abc"), 3, nil},
		{"past the budget", strings.NewReader("abc"), 2, ErrBusy},
		{"unknown length", io.MultiReader(strings.NewReader("abc")), MaxBody - 1, ErrBusy},
		{"too big", strings.NewReader(strings.Repeat("x", MaxBody+1)), 2 * MaxBody, ErrTooBig},
		{"cut short", cut{}, 2 * MaxBody, ErrCut},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := NewBudget(c.left)
			body, free, err := b.Read(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", c.body))
			if err != c.want || err == nil && (string(body) != "abc" || b.left.Load() != c.left-3) {
				t.Errorf("%q, %v, %d left", body, err, b.left.Load())
			}
			if err == nil {
				free()
			}
			if b.left.Load() != c.left {
				t.Errorf("%d left of %d", b.left.Load(), c.left)
			}
		})
	}
}
