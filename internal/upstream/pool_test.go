package upstream

import (
	"testing"
	"time"

	"wellgw/internal/playback"
)

// A connection that its engine has closed, or may close at any moment, would end
// the next request in a reset, and a place-order in a failure.
func TestStaleConnectionsAreNotUsed(t *testing.T) {
	server := playback.NewEngine(t, func(playback.Call) string { return playback.Cut })
	for _, c := range []struct {
		name   string
		spoil  func(*conn)
		reused bool
	}{
		{"fresh", func(*conn) {}, true},
		{"closed by the engine", func(c *conn) {
			c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
			playback.Eventually(t, "the close arrives", func() bool { return !quiet(c.Conn) })
		}, false},
		{"near the idle limit", func(c *conn) { c.idle = time.Now().Add(-31 * time.Second) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := NewPool(Options{ConnectTimeout: time.Second, ConnIdle: time.Minute, MaxConns: 1})
			first, err := p.get(t.Context(), server.Addr)
			if err != nil {
				t.Fatal(err)
			}
			p.put(first)
			c.spoil(first)
			second, err := p.get(t.Context(), server.Addr)
			if err != nil {
				t.Fatal(err)
			}
			if (second == first) != c.reused {
				t.Errorf("reused: %v", second == first)
			}
			if _, err := p.get(t.Context(), server.Addr); err != errTooMany {
				t.Errorf("a connection past the limit: %v", err)
			}
			p.drop(second)
		})
	}
}
