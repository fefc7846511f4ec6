package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wellgw/internal/core"
	"wellgw/internal/enginetest"
	"wellgw/internal/invariant"
	"wellgw/internal/platform"
	"wellgw/internal/upstream"
	"wellgw/routing"
)

// memorySlack is how much more may be live after many requests than after some: what maps
// and pools keep of their size.
const memorySlack = 256 << 10

// crowd is a gateway's core and pool before engines that keep no account.
type crowd struct {
	core  *core.Core
	links map[string]*simLink
	next  int
}

// careless answers every request of a connection in one of many ways.
func careless(random func(int) int, reads bool) func(net.Conn) {
	return func(nc net.Conn) {
		defer nc.Close()
		r := bufio.NewReader(nc)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			text := "HTTP/1.1 204 No Content\r\n\r\n"
			if req.Method == http.MethodPost {
				text = carelessAnswer(random(10), reads)
			}
			if text == enginetest.Hang {
				_, _ = io.Copy(io.Discard, r)
				return
			}
			if _, err := io.WriteString(nc, text); err != nil || text == "" {
				return
			}
		}
	}
}

func carelessAnswer(kind int, reads bool) string {
	switch {
	case kind == 0:
		return enginetest.Hang
	case kind == 1:
		return ""
	case kind == 2:
		return enginetest.Status(503, "X-Not-Run: 1\r\n", "")
	case reads:
		return enginetest.Status(202, "", `{"cached_tokens":0}`)
	case kind == 3:
		return enginetest.StreamHead + enginetest.Chunk("data: x\n\n")
	}
	return enginetest.Stream(2, 0)
}

func newCrowd(t *testing.T) *crowd {
	c := &crowd{links: map[string]*simLink{}}
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(4, 2))
	random := func(n int) int { mu.Lock(); defer mu.Unlock(); return rng.IntN(n) }
	set := drawSettings(rand.New(rand.NewPCG(1, 0)))
	set.MaxAttempts = 4
	var members []core.Endpoint
	for _, name := range []string{"r0", "r1", "w0", "w1"} {
		c.links[name] = newSimLink(time.Millisecond, careless(random, name[0] == 'r'), func() {})
		members = append(members, core.Endpoint{Addr: name, EngineInfo: routing.EngineInfo{Name: name, Kind: name[:1], Zone: set.Zone, Weight: 1}})
	}
	pool := upstream.NewPool(upstream.Options{
		ConnectTimeout: 250 * time.Millisecond, ServerIdleTimeout: 15 * time.Second, MaxConns: 200, StreamSilenceTimeout: time.Second,
		Dial: func(ctx context.Context, _, addr string) (net.Conn, error) { return c.links[addr].dial(ctx) },
	})
	go pool.Sweep(t.Context())
	router, err := routing.New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	engine := upstream.NewClient(pool, func(string) upstream.Dialect { return platform.Dialect{} })
	c.core = core.New(router, engine, still{}, core.Limits{HeldStateLimit: set.HeldStateLimit, MaxAttempts: 4}, slog.New(slog.DiscardHandler), invariant.New())
	go c.core.Run(t.Context())
	c.core.UpdateEndpoints(routing.EngineListSnapshot, members)
	return c
}

// ask makes requests, a fifth of whose clients leave early, and waits for long after the last.
func (c *crowd) ask(t *testing.T, n int) {
	var clients sync.WaitGroup
	for range n {
		c.next++
		q := core.Request{ClientRequestID: fmt.Sprint("q", c.next), Arrived: time.Now(), Payload: core.Payload{Method: "POST", Target: "/v1/chat/completions", Body: make([]byte, 1<<10)}}
		q.Request = routing.Request{Class: fmt.Sprint("c", c.next%3), Session: fmt.Sprint(c.next % 50), PromptTokens: 100, MaxTokens: 10, TTL: 2 * time.Second}
		stay := q.TTL
		if c.next%5 == 0 {
			stay = time.Duration(c.next%40) * time.Millisecond
		}
		clients.Go(func() {
			ctx, leave := context.WithTimeout(t.Context(), stay)
			defer leave()
			if a, ticket, here := core.SubmitAndWait(ctx, c.core, q); here && a.Verdict == core.Streaming {
				_ = ticket.Relay(ctx, a.Stream, func([]byte) error { return nil })
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(time.Minute)
}

// live returns the bytes of the heap in use, and how many goroutines there are.
func live() (heap uint64, goroutines int) {
	runtime.GC()
	runtime.GC() // what pools keep takes two
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc, runtime.NumGoroutine()
}

// Requests that are over leave nothing behind: not those that were served, turned away,
// broken off or left, nor their connections, timers and releases.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(t)
		c.ask(t, 500)
		heap, goroutines := live()
		c.ask(t, 5000)
		after, left := live()
		if after > heap+memorySlack {
			t.Errorf("%d KiB are live after ten times as many requests, %d before", after>>10, heap>>10)
		}
		if left > goroutines {
			t.Errorf("%d goroutines after ten times as many requests, %d before", left, goroutines)
		}
		t.Logf("%d and %d KiB, %d and %d goroutines", heap>>10, after>>10, goroutines, left)
		for _, l := range c.links {
			l.reset()
		}
	})
}
