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

// A request on a connection that its engine has closed, or may close at any moment, would end in a
// reset, and a request that must not run twice would fail.
func TestStaleConnectionsAreNotUsed(t *testing.T) {
	server := enginetest.NewEngine(t, func(enginetest.Call) string { return enginetest.Cut })
	for _, c := range []struct {
		name    string
		prepare func(*conn)
		reused  bool
	}{
		{"fresh", func(*conn) {}, false}, // its engine may repeat the last response
		{"idle for a moment", func(c *conn) { c.idleSince = time.Now().Add(-time.Second) }, true},
		{"closed by the engine", func(c *conn) {
			c.idleSince = time.Now().Add(-time.Second)
			c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
			enginetest.Eventually(t, "the close arrives", func() bool { return !openAndEmpty(c.Conn) })
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
			c.prepare(first)
			second, err := p.get(t.Context(), server.Addr)
			if err != nil {
				t.Fatal(err)
			}
			if (second == first) != c.reused {
				t.Errorf("reused: %v", second == first)
			}
			if _, err := p.get(t.Context(), server.Addr); err != errPoolExhausted {
				t.Errorf("a connection beyond the limit: %v", err)
			}
			p.discard(second, closedAbandoned)
		})
	}
}

// A connection that was opened for a probe stays idle only briefly for the request that the probe
// preceded, then is closed, so that the probes of many gateways do not exhaust the connections of
// an engine. A connection that has served a request has the normal idle timeout.
func TestProbeConnectionsAreRetired(t *testing.T) {
	server := enginetest.NewEngine(t, func(enginetest.Call) string { return enginetest.Cut })
	p := NewPool(Options{ConnectTimeout: time.Second, ServerIdleTimeout: time.Minute})
	get := func() *conn { c, _ := p.get(t.Context(), server.Addr); return c }
	probed := get()
	if p.putAfterProbe(probed); probed.retireAt.IsZero() || probed.retireAt.Sub(probed.idleSince) > probeIdleTimeout {
		t.Fatalf("the new connection of a probe retires at %v, idle since %v", probed.retireAt, probed.idleSince)
	}
	probed.retireAt = time.Now().Add(-time.Millisecond) // its idle timeout has expired
	p.retire(func(c *conn) closeReason { return p.unusable(c, time.Now()) })
	next := get()
	if p.putAfterProbe(next); next == probed || get() != next || !next.retireAt.IsZero() {
		t.Errorf("pooled after its idle timeout: %v, or retired at %v although a request used it", next == probed, next.retireAt)
	}
	p.put(next)
	if p.putAfterProbe(get()); !next.retireAt.IsZero() {
		t.Errorf("a connection that had served a request is retired at %v", next.retireAt)
	}
}

// An engine may send a response twice. If the second copy arrives while its connection carries the
// next request, it cannot be distinguished from the response to that request. So a connection is
// not reused within reuseDelay, and never after unexpected bytes have arrived on it.
func TestReuseDelay(t *testing.T) {
	duplicateMaySend := make(chan struct{})
	server := enginetest.NewEngine(t, func(c enginetest.Call) string {
		if c.Number == 2 { // the response to a second call stands for the duplicate
			<-duplicateMaySend
		}
		return enginetest.Status(202, "", "{}")
	})
	sendDuplicate := sync.OnceFunc(func() { close(duplicateMaySend) })
	t.Cleanup(sendDuplicate) // before the engine is closed, which waits for its script
	p := NewPool(Options{ConnectTimeout: time.Second, ServerIdleTimeout: 4 * time.Minute})
	p.reuseDelay = time.Minute // longer than the test takes
	get := func() *conn {
		t.Helper()
		c, err := p.get(t.Context(), server.Addr)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	call := Call{Method: "POST", Target: "/"}
	first := get()
	if err := writeCall(first, call); err != nil {
		t.Fatal(err)
	}
	if resp, err := readResponseHead(first, time.Now().Add(time.Minute), nil); err != nil || resp.StatusCode != 202 {
		t.Fatal(resp, err)
	} else if _, err := io.ReadAll(resp.Body); err != nil {
		t.Fatal(err)
	}
	// The second request stands for a duplicate of the first response, sent once duplicateMaySend is closed.
	if err := writeCall(first, call); err != nil {
		t.Fatal(err)
	}
	p.put(first)
	second := get()
	if second == first {
		t.Fatal("the next request would be written before the duplicate response has arrived")
	}
	p.put(second)
	sendDuplicate()
	enginetest.Eventually(t, "the duplicate response arrives", func() bool { return !openAndEmpty(first.Conn) })
	first.idleSince = first.idleSince.Add(-time.Minute) // its reuse delay has passed
	second.idleSince = first.idleSince.Add(-time.Millisecond)
	if c := get(); c == first {
		t.Error("the next request would be written after the duplicate response")
	}
	if p.open > 2 {
		t.Errorf("%d connections open: the one with unexpected bytes was not closed", p.open)
	}
}

// An attempt that is cancelled while its connection is being established decrements the count of
// open connections once, not twice: otherwise each such attempt would raise the limit on
// connections.
func TestCancelledAttemptCountsConnectionOnce(t *testing.T) {
	server := enginetest.NewEngine(t, func(enginetest.Call) string { return enginetest.Hang })
	dialled, finishDial := make(chan struct{}), make(chan struct{})
	p := NewPool(Options{Dial: func(_ context.Context, network, addr string) (net.Conn, error) {
		close(dialled)
		<-finishDial // the dial succeeds just after the attempt is cancelled
		return net.Dial(network, addr)
	}})
	ended := make(chan core.Result, 1)
	attempt := NewClient(p, func(string) Dialect { return nil }).Start(
		core.Attempt{Endpoint: core.Endpoint{Addr: server.Addr}, Timeout: time.Minute}, nil, func(r core.Result) { ended <- r })
	<-dialled
	attempt.Cancel()
	close(finishDial)
	<-ended
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open != 0 {
		t.Errorf("%d connections count as open, want 0", p.open)
	}
}

// The kernel counts the bytes of a call that the engine's machine has not acknowledged.
func TestUnacknowledgedBytesOfSocket(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	if n := unacknowledged(client); n != 0 {
		t.Errorf("%d bytes before the first write", n)
	}
	const more = 64 << 20 // than the buffers of both ends hold
	go func() { _, _ = client.Write(make([]byte, more)) }()
	enginetest.Eventually(t, "bytes wait for the receiver", func() bool { return unacknowledged(client) > 0 })
	received, err := io.CopyN(io.Discard, server, more)
	if err != nil || received != more {
		t.Fatal(received, err)
	}
	enginetest.Eventually(t, "all bytes are acknowledged", func() bool { return unacknowledged(client) == 0 })
}
