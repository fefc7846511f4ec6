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

// releaseCounts returns, by request ID, the number of releases that engines received.
func releaseCounts(engines ...*enginetest.Engine) map[string]int {
	ids := map[string]int{}
	for _, e := range engines {
		for _, call := range e.Calls(http.MethodDelete) {
			ids[path.Base(call.Path)]++
		}
	}
	return ids
}

// released returns the IDs of the requests for which engines received a release.
func released(engines ...*enginetest.Engine) map[string]bool {
	ids := map[string]bool{}
	for id := range releaseCounts(engines...) {
		ids[id] = true
	}
	return ids
}

// heldStateCluster is three gateways with one prefill engine and two decode engines that never answer, so
// that every prefilled state stays held.
type heldStateCluster struct {
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

// ordersPerGateway is the number of orders that the clients of each gateway send.
const ordersPerGateway = 3

// newHeldStateCluster starts the cluster; prefill returns the prefill engine's answers.
func newHeldStateCluster(t *testing.T, prefill func() string) *heldStateCluster {
	t.Helper()
	c := &heldStateCluster{t: t, fabric: faultnet.New(1), prefill: enginetest.NewEngine(t, answerReleasesOr(prefill))}
	t.Cleanup(c.fabric.Close)
	c.fabric.SetListener("r", c.prefill.Addr)
	for i := range c.decodes {
		c.decodes[i] = enginetest.NewEngine(t, answerReleasesOr(func() string { return enginetest.Hang }))
		c.fabric.SetListener(fmt.Sprint("w", i), c.decodes[i].Addr)
	}
	for g := range 3 {
		c.start(fmt.Sprint("g", g))
	}
	return c
}

func (c *heldStateCluster) dial(from, to string) string {
	c.t.Helper()
	addr, err := c.fabric.Dial(from, to)
	if err != nil {
		c.t.Fatal(err)
	}
	return addr
}

func (c *heldStateCluster) start(name string) {
	c.t.Helper()
	settings := strings.NewReplacer(`"balancers":1`, `"balancers":3`, `"pin_limit":500000`, `"pin_limit":100000`).Replace(testSettings)
	config := writeConfig(c.t, fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":%s,
		"known":{"revision":1,"complete":true,"members":[
			{"id":"r","host_port":%q,"locality":"a","flavor":"r","phase":"active"},
			{"id":"w0","host_port":%q,"locality":"a","flavor":"w","phase":"active"},
			{"id":"w1","host_port":%q,"locality":"a","flavor":"w","phase":"active"}]}}`,
		name, settings, c.dial(name, "r"), c.dial(name, "w0"), c.dial(name, "w1")))
	cmd, url := startServing(c.t, []string{"EDGE_CONFIG=" + config}, "serve")
	waitHealthy(c.t, url)
	c.cmds, c.urls, c.configs = append(c.cmds, cmd), append(c.urls, url), append(c.configs, config)
}

// startOrders sends the orders of every gateway's clients; they stay in flight until cancelClients is called.
func (c *heldStateCluster) startOrders() {
	for g, url := range c.urls {
		ctx, cancel := context.WithCancel(c.t.Context())
		c.cancelClients = append(c.cancelClients, cancel)
		for n := range ordersPerGateway {
			req := newRequest(c.t, url).WithContext(ctx)
			req.Header.Set("X-Request-Id", c.orderID(g, n))
			req.Header.Set("X-Deadline-Ms", "50000")
			c.clients.Go(func() {
				if resp, err := http.DefaultClient.Do(req); err == nil {
					resp.Body.Close()
				}
			})
		}
	}
}

func (c *heldStateCluster) orderID(gateway, n int) string { return fmt.Sprintf("g%d-%d", gateway, n) }

// containsAllOrders reports whether ids contains every order of a gateway.
func (c *heldStateCluster) containsAllOrders(gateway int, ids map[string]bool) bool {
	for n := range ordersPerGateway {
		if !ids[c.orderID(gateway, n)] {
			return false
		}
	}
	return true
}

// awaitOrdersSent waits until every order of every gateway has been sent to one of the engines.
func (c *heldStateCluster) awaitOrdersSent(what string, engines ...*enginetest.Engine) {
	c.t.Helper()
	enginetest.Eventually(c.t, what, func() bool {
		sent := map[string]bool{}
		for _, e := range engines {
			for _, call := range e.Calls(http.MethodPost) {
				sent[call.ID] = true
			}
		}
		return c.containsAllOrders(0, sent) && c.containsAllOrders(1, sent) && c.containsAllOrders(2, sent)
	})
}

// setPartition starts or ends a network partition between a gateway and engines.
func (c *heldStateCluster) setPartition(gateway string, partitioned bool, engines ...string) {
	for _, engine := range engines {
		c.fabric.SetRule(gateway, engine, faultnet.Rule{Cut: partitioned})
		c.fabric.SetRule(engine, gateway, faultnet.Rule{Cut: partitioned})
	}
}

func (c *heldStateCluster) signal(gateway int, s os.Signal) {
	c.t.Helper()
	if err := c.cmds[gateway].Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}

// Three gateways hold states at a prefill engine while the decode engines don't answer. Then one gateway is
// partitioned from the prefill engine, one gets SIGTERM, and the clients of the first and the third cancel.
// Every state must be released: by the partitioned gateway through an alternate, and by the stopping one
// before its process exits.
func TestHeldStatesReleasedByThreeGateways(t *testing.T) {
	c := newHeldStateCluster(t, prefillAnswer)
	c.startOrders()
	c.awaitOrdersSent("every order is prefilled and at a decode engine", c.decodes[:]...)
	c.setPartition("g0", true, "r")
	c.signal(1, syscall.SIGTERM)
	c.cancelClients[0]()
	c.cancelClients[2]()
	enginetest.Eventually(t, "the partitioned gateway releases through an alternate", func() bool { return c.containsAllOrders(0, released(c.decodes[:]...)) })
	enginetest.Eventually(t, "the prefill engine receives the releases", func() bool { return c.containsAllOrders(2, released(c.prefill)) })
	if err := c.cmds[1].Wait(); err != nil {
		t.Errorf("exit of the gateway that got SIGTERM: %v", err)
	}
	if !c.containsAllOrders(1, released(c.prefill)) {
		t.Error("a gateway exited without releasing its states")
	}
	if c.containsAllOrders(0, released(c.prefill)) {
		t.Error("the prefill engine received releases despite the partition: the test is ineffective")
	}
	c.setPartition("g0", false, "r")
	enginetest.Eventually(t, "the prefill engine receives the releases after the partition", func() bool { return c.containsAllOrders(0, released(c.prefill)) })
	c.cancelClients[1]()
	c.clients.Wait()
}

// Of three gateways the first is partitioned from every engine, the second reloads its settings, and the
// third's connections to the engine that holds its states are reset. Then all clients cancel. The states of
// the second and third must be released immediately, those of the first after the partition.
func TestHeldStatesReleasedAfterFullPartition(t *testing.T) {
	c := newHeldStateCluster(t, prefillAnswer)
	c.startOrders()
	c.awaitOrdersSent("every order is prefilled and at a decode engine", c.decodes[:]...)
	c.setPartition("g0", true, "r", "w0", "w1")
	text, err := os.ReadFile(c.configs[1])
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(text), `"effect":"single_shot"`, `"effect":"free"`, 1)
	if err := os.WriteFile(c.configs[1], []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	c.signal(1, syscall.SIGHUP)
	c.fabric.Reset("g2", "r")
	for _, cancel := range c.cancelClients {
		cancel()
	}
	c.clients.Wait()
	for _, gateway := range []int{1, 2} {
		enginetest.Eventually(t, "the prefill engine receives the releases", func() bool { return c.containsAllOrders(gateway, released(c.prefill)) })
	}
	for id := range released(c.prefill, c.decodes[0], c.decodes[1]) {
		if strings.HasPrefix(id, "g0") {
			t.Errorf("%s was released despite the partition: the test is ineffective", id)
		}
	}
	c.setPartition("g0", false, "r", "w0", "w1")
	enginetest.Eventually(t, "the prefill engine receives the releases after the partition", func() bool { return c.containsAllOrders(0, released(c.prefill)) })
}

// The clients of three gateways cancel during prefills that the engine continues, and one gateway gets
// SIGTERM. Releases must be repeated until the prefills end, and once after that, also by the stopping
// gateway.
func TestShutdownReleasesCancelledPrefills(t *testing.T) {
	finish := make(chan struct{})
	c := newHeldStateCluster(t, func() string { <-finish; return prefillAnswer() })
	finishPrefills := sync.OnceFunc(func() { close(finish) })
	t.Cleanup(finishPrefills) // closing the engine waits for its scripts
	c.startOrders()
	c.awaitOrdersSent("every order is in prefill", c.prefill)
	for _, cancel := range c.cancelClients {
		cancel()
	}
	c.clients.Wait()
	c.signal(1, syscall.SIGTERM)
	c.awaitReleases(minShutdownReleases)
	finishPrefills()
	c.awaitReleases(1)
	if err := c.cmds[1].Wait(); err != nil {
		t.Errorf("exit of the gateway that got SIGTERM: %v", err)
	}
}

// minShutdownReleases is a number of releases, one for each held-state limit, that a gateway can't send
// between SIGTERM and its exit if it waits only for its clients to notice the shutdown.
const minShutdownReleases = 8

// awaitReleases waits until the prefill engine has received the given number of additional releases for every
// order.
func (c *heldStateCluster) awaitReleases(additional int) {
	c.t.Helper()
	before := releaseCounts(c.prefill)
	enginetest.Eventually(c.t, fmt.Sprint("additional releases of every order: ", additional), func() bool {
		counts := releaseCounts(c.prefill)
		for gateway := range c.urls {
			for n := range ordersPerGateway {
				if id := c.orderID(gateway, n); counts[id] < before[id]+additional {
					return false
				}
			}
		}
		return true
	})
}
