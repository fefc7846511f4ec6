package fetch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestJSON(t *testing.T) {
	const limit = 32
	for name, c := range map[string]struct {
		status int
		body   string
		good   bool
		want   error // nil for any
	}{
		"a document":      {http.StatusOK, `{"a":7}`, true, nil},
		"at the limit":    {http.StatusOK, `{"a":7}` + strings.Repeat(" ", limit-7), true, nil},
		"over the limit":  {http.StatusOK, `{"a":7}` + strings.Repeat(" ", limit-6), false, ErrTooLong},
		"another status":  {http.StatusServiceUnavailable, `{"a":7}`, false, StatusError{http.StatusServiceUnavailable}},
		"cut off":         {http.StatusOK, `{"a":7`, false, nil},
		"more behind it":  {http.StatusOK, `{"a":7}{}`, false, nil},
		"no document":     {http.StatusOK, ``, false, nil},
		"of another kind": {http.StatusOK, `{"a":"x"}`, false, nil},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			io.WriteString(w, c.body)
		}))
		var v struct{ A int }
		err := JSON(t.Context(), s.Client(), s.URL, limit, &v)
		s.Close()
		if c.good && (err != nil || v.A != 7) || !c.good && err == nil || c.want != nil && !errors.Is(err, c.want) {
			t.Errorf("%s: %+v, %v", name, v, err)
		}
	}
}

func TestJSONEndsWithItsContext(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer s.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := JSON(ctx, s.Client(), s.URL, 1, nil); !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
}
