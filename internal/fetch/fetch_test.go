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
		valid  bool
		want   error // matched by errors.Is; nil for any error
	}{
		"a document":              {http.StatusOK, `{"a":7}`, true, nil},
		"at the limit":            {http.StatusOK, `{"a":7}` + strings.Repeat(" ", limit-7), true, nil},
		"over the limit":          {http.StatusOK, `{"a":7}` + strings.Repeat(" ", limit-6), false, ErrTooLong},
		"a status other than 200": {http.StatusServiceUnavailable, `{"a":7}`, false, StatusError{http.StatusServiceUnavailable}},
		"a truncated document":    {http.StatusOK, `{"a":7`, false, nil},
		"data after the document": {http.StatusOK, `{"a":7}{}`, false, nil},
		"an empty body":           {http.StatusOK, ``, false, nil},
		"a value of another type": {http.StatusOK, `{"a":"x"}`, false, nil},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			io.WriteString(w, c.body)
		}))
		var v struct{ A int }
		err := JSON(t.Context(), s.Client(), s.URL, limit, &v)
		s.Close()
		if c.valid && (err != nil || v.A != 7) || !c.valid && err == nil || c.want != nil && !errors.Is(err, c.want) {
			t.Errorf("%s: document %+v, error %v", name, v, err)
		}
	}
}

func TestJSONEndsWithContext(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer s.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := JSON(ctx, s.Client(), s.URL, 1, nil); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want context.Canceled", err)
	}
}
