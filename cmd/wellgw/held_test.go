package main

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"path"
	"strings"
	"sync"
	"syscall"
	"testing"

	"wellgw/internal/playback"
	"wellgw/lab/faultnet"
)

// released returns the requests that engines were told to let go of.
func released(engines ...*playback.Engine) map[string]bool {
	ids := map[string]bool{}
	for _, e := range engines {
		for _, call := range e.Calls(http.MethodDelete) {
			ids[path.Base(call.Path)] = true
		}
	}
	return ids
}

// holders is three gateways before one reader and two writers that never answer, so that
// every state that is read waits.
type holders struct {
	t       *testing.T
	fabric  *faultnet.Net
	reader  *playback.Engine
	writers [2]*playback.Engine
	urls    []string
	cmds    []*exec.Cmd
	leave   []context.CancelFunc
	clients sync.WaitGroup
}

const ordersEach = 3

func newHolders(t *testing.T) *holders {
	h := &holders{t: t, fabric: faultnet.New(1), reader: playback.NewEngine(t, until(read))}
	t.Cleanup(h.fabric.Close)
	h.fabric.Listens("r", h.reader.Addr)
	for i := range h.writers {
		h.writers[i] = playback.NewEngine(t, until(func() string { return playback.Hang }))
		h.fabric.Listens(fmt.Sprint("w", i), h.writers[i].Addr)
	}
	for g := range 3 {
		h.start(fmt.Sprint("g", g))
	}
	return h
}

func (h *holders) way(from, to string) string {
	addr, err := h.fabric.Dial(from, to)
	if err != nil {
		h.t.Fatal(err)
	}
	return addr
}

func (h *holders) start(name string) {
	set := strings.NewReplacer(`"balancers":1`, `"balancers":3`, `"pin_limit":500000`, `"pin_limit":100000`).Replace(settings)
	config := file(h.t, fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":%s,
		"known":{"revision":1,"complete":true,"members":[
			{"id":"r","host_port":%q,"locality":"a","flavor":"r","phase":"active"},
			{"id":"w0","host_port":%q,"locality":"a","flavor":"w","phase":"active"},
			{"id":"w1","host_port":%q,"locality":"a","flavor":"w","phase":"active"}]}}`,
		name, set, h.way(name, "r"), h.way(name, "w0"), h.way(name, "w1")))
	cmd, url := serving(h.t, []string{"EDGE_CONFIG=" + config}, "serve")
	healthy(h.t, url)
	h.cmds, h.urls = append(h.cmds, cmd), append(h.urls, url)
}

// ask has clients of every gateway place orders, which go on until they leave.
func (h *holders) ask() {
	for g, url := range h.urls {
		ctx, leave := context.WithCancel(h.t.Context())
		h.leave = append(h.leave, leave)
		for n := range ordersEach {
			req := post(h.t, url).WithContext(ctx)
			req.Header.Set("X-Request-Id", h.order(g, n))
			req.Header.Set("X-Deadline-Ms", "50000")
			h.clients.Go(func() {
				if resp, err := http.DefaultClient.Do(req); err == nil {
					resp.Body.Close()
				}
			})
		}
	}
}

func (h *holders) order(gateway, n int) string { return fmt.Sprintf("g%d-%d", gateway, n) }

// all tells whether every order of a gateway is among some.
func (h *holders) all(gateway int, some map[string]bool) bool {
	for n := range ordersEach {
		if !some[h.order(gateway, n)] {
			return false
		}
	}
	return true
}

// Three gateways have states waiting at a reader while the writers' machines are silent. One
// is then cut off from the reader, one is told to end, and the clients of two leave. Every
// state is let go: behind the cut by way of another engine, and by the one that leaves before
// its process ends.
func TestHeldStatesAreLetGoAtThreeGateways(t *testing.T) {
	h := newHolders(t)
	h.ask()
	playback.Eventually(t, "every order has been read and is at a writer", func() bool {
		out := map[string]bool{}
		for _, w := range h.writers {
			for _, call := range w.Calls(http.MethodPost) {
				out[call.ID] = true
			}
		}
		return h.all(0, out) && h.all(1, out) && h.all(2, out)
	})
	for _, way := range [][2]string{{"g0", "r"}, {"r", "g0"}} {
		h.fabric.Set(way[0], way[1], faultnet.Rule{Cut: true})
	}
	if err := h.cmds[1].Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	h.leave[0]()
	h.leave[2]()
	playback.Eventually(t, "behind the cut another engine is told", func() bool { return h.all(0, released(h.writers[:]...)) })
	playback.Eventually(t, "the reader is told", func() bool { return h.all(2, released(h.reader)) })
	if err := h.cmds[1].Wait(); err != nil {
		t.Errorf("the gateway that was told to end: %v", err)
	}
	if !h.all(1, released(h.reader)) {
		t.Error("a gateway has ended and left states held")
	}
	if h.all(0, released(h.reader)) {
		t.Error("the reader was told through the cut: the test shows nothing")
	}
	h.fabric.Set("g0", "r", faultnet.Rule{})
	h.fabric.Set("r", "g0", faultnet.Rule{})
	playback.Eventually(t, "the reader is told once the cut has healed", func() bool { return h.all(0, released(h.reader)) })
	h.leave[1]()
	h.clients.Wait()
}
