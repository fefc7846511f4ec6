package upstream

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"wellgw/internal/core"
	"wellgw/internal/enginetest"
)

// A connection that its engine has closed, or may close at any moment, would end
// the next request in a reset, and a place-order in a failure.
func TestStaleConnectionsAreNotUsed(t *testing.T) {
	server := enginetest.NewEngine(t, func(enginetest.Call) string { return enginetest.Cut })
	for _, c := range []struct {
		name   string
		spoil  func(*conn)
		reused bool
	}{
		{"fresh", func(*conn) {}, true},
		{"idle for a moment", func(c *conn) { c.idleSince = time.Now().Add(-time.Second) }, true},
		{"closed by the engine", func(c *conn) {
			c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
			enginetest.Eventually(t, "the close arrives", func() bool { return !openAndQuiet(c.Conn) })
		}, false},
		{"near the idle limit", func(c *conn) { c.idleSince = time.Now().Add(-31 * time.Second) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := NewPool(Options{ConnectTimeout: time.Second, ServerIdleTimeout: time.Minute, MaxConns: 1})
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
			if _, err := p.get(t.Context(), server.Addr); err != errPoolExhausted {
				t.Errorf("a connection past the limit: %v", err)
			}
			p.discard(second, closedAbandoned)
		})
	}
}

// A connection opened for a probe waits briefly for the request that the probe came
// before, then is retired, so that many gateways' probes do not fill the few that an
// engine holds. One taken by a request, or that had carried work, lives as any other.
func TestProbesKeepTheirConnectionsBriefly(t *testing.T) {
	server := enginetest.NewEngine(t, func(enginetest.Call) string { return enginetest.Cut })
	p := NewPool(Options{ConnectTimeout: time.Second, ServerIdleTimeout: time.Minute})
	get := func() *conn { c, _ := p.get(t.Context(), server.Addr); return c }
	probed := get()
	if p.putAfterProbe(probed); probed.retireAt.IsZero() || probed.retireAt.Sub(probed.idleSince) > probeIdleTimeout {
		t.Fatalf("a probe's new connection is kept until %v, idle since %v", probed.retireAt, probed.idleSince)
	}
	probed.retireAt = time.Now().Add(-time.Millisecond) // its moment has passed
	p.retire(func(c *conn) closeReason { return p.unusable(c, time.Now()) })
	taken := get()
	if p.putAfterProbe(taken); taken == probed || get() != taken || !taken.retireAt.IsZero() {
		t.Errorf("kept past its moment %v, or retired though a request took it (%v)", taken == probed, taken.retireAt)
	}
	p.put(taken)
	if p.putAfterProbe(get()); !taken.retireAt.IsZero() {
		t.Errorf("a connection that had carried work is retired at %v", taken.retireAt)
	}
}

// A second answer may come when its connection is idle again, or carries the next request
// already: then nothing tells it from that one's. So the next request goes another way while
// one may still come, and never on a connection on which one has.
func TestNoReuseBeforeSettle(t *testing.T) {
	second := make(chan struct{})
	server := enginetest.NewEngine(t, func(c enginetest.Call) string {
		if c.Number == 2 { // a call of the same connection, that stands for what its engine does later
			<-second
		}
		return enginetest.Status(202, "", "{}")
	})
	let := sync.OnceFunc(func() { close(second) })
	t.Cleanup(let) // before the engine's end, which waits for its script
	p := NewPool(Options{ConnectTimeout: time.Second, ServerIdleTimeout: time.Minute, ReuseDelay: time.Minute})
	get := func() *conn {
		t.Helper()
		c, err := p.get(t.Context(), server.Addr)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	ask := Call{Method: "POST", Target: "/"}
	first := get()
	if err := writeCall(first, ask); err != nil {
		t.Fatal(err)
	}
	if resp, err := readResponseHead(first, time.Now().Add(time.Minute), nil); err != nil || resp.StatusCode != 202 {
		t.Fatal(resp, err)
	} else if _, err := io.ReadAll(resp.Body); err != nil {
		t.Fatal(err)
	}
	if err := writeCall(first, ask); err != nil { // brings the answer that nobody asked for, once it is let go
		t.Fatal(err)
	}
	p.put(first)
	other := get()
	if other == first {
		t.Fatal("the next request would be written before the second answer has come")
	}
	p.put(other)
	let()
	enginetest.Eventually(t, "the second answer comes", func() bool { return !openAndQuiet(first.Conn) })
	first.idleSince = first.idleSince.Add(-time.Minute) // it has settled
	other.idleSince = first.idleSince.Add(-time.Millisecond)
	if c := get(); c == first {
		t.Error("the next request would be written after the second answer")
	}
	if p.open > 2 {
		t.Errorf("%d connections open: the spoilt one is kept", p.open)
	}
}

// An attempt that is cancelled while its connection comes up gives that connection back to
// the count of open ones once, not twice: the bound on connections would grow with each.
func TestCancelledAttemptCountsConnectionOnce(t *testing.T) {
	server := enginetest.NewEngine(t, func(enginetest.Call) string { return enginetest.Hang })
	dialled, goOn := make(chan struct{}), make(chan struct{})
	p := NewPool(Options{Dial: func(_ context.Context, network, addr string) (net.Conn, error) {
		close(dialled)
		<-goOn // a connection that comes up just as it is given up
		return net.Dial(network, addr)
	}})
	ended := make(chan core.Result, 1)
	attempt := NewClient(p, func(string) Dialect { return nil }).Start(
		core.Attempt{Endpoint: core.Endpoint{Addr: server.Addr}, Timeout: time.Minute}, nil, func(r core.Result) { ended <- r })
	<-dialled
	attempt.Cancel()
	close(goOn)
	<-ended
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open != 0 {
		t.Errorf("%d connections count as open, want 0", p.open)
	}
}
