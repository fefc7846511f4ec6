package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path"
	"strings"
	"sync"
	"syscall"
	"testing"

	"wellgw/experiments/faultnet"
	"wellgw/internal/enginetest"
)

// releases counts, by request, how often engines were told to release what they hold for it.
func releases(engines ...*enginetest.Engine) map[string]int {
	ids := map[string]int{}
	for _, e := range engines {
		for _, call := range e.Calls(http.MethodDelete) {
			ids[path.Base(call.Path)]++
		}
	}
	return ids
}

// released returns the requests that engines were told to release.
func released(engines ...*enginetest.Engine) map[string]bool {
	ids := map[string]bool{}
	for id := range releases(engines...) {
		ids[id] = true
	}
	return ids
}

// heldStates is three gateways before one prefill engine and two decode engines that never answer, so that
// every state that is read waits.
type heldStates struct {
	t             *testing.T
	fabric        *faultnet.Net
	prefill       *enginetest.Engine
	decodes       [2]*enginetest.Engine
	urls          []string
	configs       []string
	cmds          []*exec.Cmd
	cancelClients []context.CancelFunc
	clients       sync.WaitGroup
}

const ordersEach = 3

// newHeldStates starts them before a prefill engine that answers by a script.
func newHeldStates(t *testing.T, prefill func() string) *heldStates {
	t.Helper()
	h := &heldStates{t: t, fabric: faultnet.New(1), prefill: enginetest.NewEngine(t, releasedOr(prefill))}
	t.Cleanup(h.fabric.Close)
	h.fabric.SetListener("r", h.prefill.Addr)
	for i := range h.decodes {
		h.decodes[i] = enginetest.NewEngine(t, releasedOr(func() string { return enginetest.Hang }))
		h.fabric.SetListener(fmt.Sprint("w", i), h.decodes[i].Addr)
	}
	for g := range 3 {
		h.start(fmt.Sprint("g", g))
	}
	return h
}

func (h *heldStates) dial(from, to string) string {
	h.t.Helper()
	addr, err := h.fabric.Dial(from, to)
	if err != nil {
		h.t.Fatal(err)
	}
	return addr
}

func (h *heldStates) start(name string) {
	h.t.Helper()
	set := strings.NewReplacer(`"balancers":1`, `"balancers":3`, `"pin_limit":500000`, `"pin_limit":100000`).Replace(testSettings)
	config := writeConfig(h.t, fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":%s,
		"known":{"revision":1,"complete":true,"members":[
			{"id":"r","host_port":%q,"locality":"a","flavor":"r","phase":"active"},
			{"id":"w0","host_port":%q,"locality":"a","flavor":"w","phase":"active"},
			{"id":"w1","host_port":%q,"locality":"a","flavor":"w","phase":"active"}]}}`,
		name, set, h.dial(name, "r"), h.dial(name, "w0"), h.dial(name, "w1")))
	cmd, url := startServing(h.t, []string{"EDGE_CONFIG=" + config}, "serve")
	waitHealthy(h.t, url)
	h.cmds, h.urls, h.configs = append(h.cmds, cmd), append(h.urls, url), append(h.configs, config)
}

// placeOrders has clients of every gateway place orders, which go on until they leave.
func (h *heldStates) placeOrders() {
	for g, url := range h.urls {
		ctx, leave := context.WithCancel(h.t.Context())
		h.cancelClients = append(h.cancelClients, leave)
		for n := range ordersEach {
			req := newRequest(h.t, url).WithContext(ctx)
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

func (h *heldStates) order(gateway, n int) string { return fmt.Sprintf("g%d-%d", gateway, n) }

// allOf tells whether every order of a gateway is among some.
func (h *heldStates) allOf(gateway int, some map[string]bool) bool {
	for n := range ordersEach {
		if !some[h.order(gateway, n)] {
			return false
		}
	}
	return true
}

// awaitSent waits until every order of every gateway has been sent to one of some engines.
func (h *heldStates) awaitSent(what string, engines ...*enginetest.Engine) {
	h.t.Helper()
	enginetest.Eventually(h.t, what, func() bool {
		out := map[string]bool{}
		for _, e := range engines {
			for _, call := range e.Calls(http.MethodPost) {
				out[call.ID] = true
			}
		}
		return h.allOf(0, out) && h.allOf(1, out) && h.allOf(2, out)
	})
}

// cut cuts a gateway off from engines, or ends that.
func (h *heldStates) cut(gateway string, cut bool, engines ...string) {
	for _, engine := range engines {
		h.fabric.SetRule(gateway, engine, faultnet.Rule{Cut: cut})
		h.fabric.SetRule(engine, gateway, faultnet.Rule{Cut: cut})
	}
}

func (h *heldStates) signal(gateway int, s os.Signal) {
	h.t.Helper()
	if err := h.cmds[gateway].Process.Signal(s); err != nil {
		h.t.Fatal(err)
	}
}

// Three gateways have states waiting at a prefill engine while the decode engines' machines are silent. One
// is then cut off from the prefill engine, one is told to end, and the clients of two leave. Every
// state is let go: behind the cut by way of another engine, and by the one that leaves before
// its process ends.
func TestHeldStatesReleasedByThreeGateways(t *testing.T) {
	h := newHeldStates(t, prefillAnswer)
	h.placeOrders()
	h.awaitSent("every order has been read and is at a decode engine", h.decodes[:]...)
	h.cut("g0", true, "r")
	h.signal(1, syscall.SIGTERM)
	h.cancelClients[0]()
	h.cancelClients[2]()
	enginetest.Eventually(t, "behind the cut another engine is told", func() bool { return h.allOf(0, released(h.decodes[:]...)) })
	enginetest.Eventually(t, "the prefill engine is told", func() bool { return h.allOf(2, released(h.prefill)) })
	if err := h.cmds[1].Wait(); err != nil {
		t.Errorf("the gateway that was told to end: %v", err)
	}
	if !h.allOf(1, released(h.prefill)) {
		t.Error("a gateway has ended and left states held")
	}
	if h.allOf(0, released(h.prefill)) {
		t.Error("the prefill engine was told through the cut: the test shows nothing")
	}
	h.cut("g0", false, "r")
	enginetest.Eventually(t, "the prefill engine is told once the cut has healed", func() bool { return h.allOf(0, released(h.prefill)) })
	h.cancelClients[1]()
	h.clients.Wait()
}

// One of three gateways is cut off from every engine, one reads its settings anew, and one's
// connections to the engine that holds its states are reset. The clients leave. The states of
// the latter two are released at once, those of the first when the cut has healed.
func TestHeldStatesReleasedAfterFullPartition(t *testing.T) {
	h := newHeldStates(t, prefillAnswer)
	h.placeOrders()
	h.awaitSent("every order has been read and is at a decode engine", h.decodes[:]...)
	h.cut("g0", true, "r", "w0", "w1")
	text, err := os.ReadFile(h.configs[1])
	if err != nil {
		t.Fatal(err)
	}
	next := strings.Replace(string(text), `"effect":"single_shot"`, `"effect":"free"`, 1)
	if err := os.WriteFile(h.configs[1], []byte(next), 0o600); err != nil {
		t.Fatal(err)
	}
	h.signal(1, syscall.SIGHUP)
	h.fabric.Reset("g2", "r")
	for _, leave := range h.cancelClients {
		leave()
	}
	h.clients.Wait()
	for _, gateway := range []int{1, 2} {
		enginetest.Eventually(t, "the holder is told", func() bool { return h.allOf(gateway, released(h.prefill)) })
	}
	for id := range released(h.prefill, h.decodes[0], h.decodes[1]) {
		if strings.HasPrefix(id, "g0") {
			t.Errorf("%s was released through the cut: the test shows nothing", id)
		}
	}
	h.cut("g0", false, "r", "w0", "w1")
	enginetest.Eventually(t, "the holder is told once the cut has healed", func() bool { return h.allOf(0, released(h.prefill)) })
}

// The clients of three gateways leave while their prompts are read at an engine that goes on
// reading, and one gateway is told to end. Releases arrive until the reads end, and once more
// after that: also from the gateway that is about to end.
func TestShutdownReleasesCancelledReads(t *testing.T) {
	finish := make(chan struct{})
	h := newHeldStates(t, func() string { <-finish; return prefillAnswer() })
	endReads := sync.OnceFunc(func() { close(finish) })
	t.Cleanup(endReads) // the engine's end waits for them
	h.placeOrders()
	h.awaitSent("every order is being read", h.prefill)
	for _, leave := range h.cancelClients {
		leave()
	}
	h.clients.Wait()
	h.signal(1, syscall.SIGTERM)
	h.awaitReleases(releasesPastExit)
	endReads()
	h.awaitReleases(1)
	if err := h.cmds[1].Wait(); err != nil {
		t.Errorf("the gateway that was told to end: %v", err)
	}
}

// releasesPastExit is more releases, one a pin limit, than a gateway can send from SIGTERM to
// its exit if it waits for nothing but the clients that have yet to notice.
const releasesPastExit = 8

// awaitReleases waits until the holder has been told so many times more of every order.
func (h *heldStates) awaitReleases(more int) {
	h.t.Helper()
	before := releases(h.prefill)
	enginetest.Eventually(h.t, fmt.Sprint("releases of every order: ", more), func() bool {
		now := releases(h.prefill)
		for gateway := range h.urls {
			for n := range ordersEach {
				if id := h.order(gateway, n); now[id] < before[id]+more {
					return false
				}
			}
		}
		return true
	})
}
