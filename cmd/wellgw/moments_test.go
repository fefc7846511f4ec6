package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wellgw/experiments/faultnet"
	"wellgw/internal/enginetest"
)

// platformConfig writes a gateway's configuration with one prefill and one decode engine as last known, and
// returns its path.
func platformConfig(t *testing.T, name, discovery, settings string, prefill, decode *enginetest.Engine) string {
	t.Helper()
	return writeConfig(t, fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","discovery":%q,"settings":%s,
		"known":{"revision":1,"complete":true,"members":[
			{"id":"r1","host_port":%q,"locality":"a","flavor":"r","phase":"active"},
			{"id":"w1","host_port":%q,"locality":"a","flavor":"w","phase":"active"}]}}`,
		name, discovery, settings, prefill.Addr, decode.Addr))
}

// A starting process becomes ready and serves with the last known engine list if discovery fails in any way.
// A gateway that waited for discovery would serve no clients.
func TestReadyWithFailingDiscovery(t *testing.T) {
	prefill := enginetest.NewEngine(t, answerReleasesOr(prefillAnswer))
	decode := enginetest.NewEngine(t, answerReleasesOr(func() string { return enginetest.Stream(2, 0) }))
	release := make(chan struct{})
	server := func(h http.HandlerFunc) string {
		s := httptest.NewServer(h)
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		return s.Listener.Addr().String()
	}
	block := func(r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-release:
		}
	}
	for name, addr := range map[string]string{
		"unreachable":    "127.0.0.1:1",
		"unresponsive":   server(func(_ http.ResponseWriter, r *http.Request) { block(r) }),
		"refusing":       server(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }),
		"malformed list": server(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, `{"revision":"x","members":[}`) }),
		"an old list": server(func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, "{\n \"revision\": 0,\n \"complete\": true,\n \"members\": []\n}\n")
			w.(http.Flusher).Flush()
			block(r)
		}),
	} {
		t.Run(name, func(t *testing.T) {
			cmd, url := startServing(t, []string{"EDGE_CONFIG=" + platformConfig(t, "n1", addr, testSettings, prefill, decode)}, "serve")
			waitHealthy(t, url)
			resp, err := http.DefaultClient.Do(newRequest(t, url))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if b, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK || !strings.HasSuffix(string(b), "data: [DONE]\n\n") {
				t.Errorf("status %d, %q, %v", resp.StatusCode, b, err)
			}
			cmd.Process.Signal(syscall.SIGTERM)
			if err := cmd.Wait(); err != nil {
				t.Errorf("exit: %v", err)
			}
		})
	}
	close(release)
}

// checkNoOrderRanTwice fails the test for every order that an engine received twice.
func checkNoOrderRanTwice(t *testing.T, decode *enginetest.Engine) {
	t.Helper()
	ran := map[string]int{}
	for _, call := range decode.Calls(http.MethodPost) {
		if ran[call.ID]++; ran[call.ID] == 2 {
			t.Errorf("%s ran twice", call.ID)
		}
	}
}

// One of two gateways is partitioned from both engines while orders are in flight. Every order must get one
// final answer, none may run twice, the other gateway must serve all of its orders, and after the partition
// every prefilled state that was not fetched must be released.
func TestPartitionBetweenGatewayAndEngines(t *testing.T) {
	prefill := enginetest.NewEngine(t, answerReleasesOr(prefillAnswer))
	decode := enginetest.NewEngine(t, answerReleasesOr(func() string { return enginetest.Stream(3, 0) }))
	fabric := faultnet.New(1)
	t.Cleanup(fabric.Close)
	fabric.SetListener("r", prefill.Addr)
	fabric.SetListener("w", decode.Addr)
	settings := strings.NewReplacer(`"balancers":1`, `"balancers":2`, `"hard_limit":60000000`, `"hard_limit":4000000`, `"aim":10000000`, `"aim":3000000`).Replace(testSettings)
	relayed := func(from, to string) *enginetest.Engine {
		addr, err := fabric.Dial(from, to)
		if err != nil {
			t.Fatal(err)
		}
		return &enginetest.Engine{Addr: addr}
	}
	clients := [2]*rollingClients{{t: t, firstTokenTimeout: 4 * time.Second, allowErrors: true}, {t: t, firstTokenTimeout: 4 * time.Second}}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for g, c := range clients {
		name := fmt.Sprint("g", g)
		_, url := startServing(t, []string{"EDGE_CONFIG=" + platformConfig(t, name, "127.0.0.1:1", settings, relayed(name, "r"), relayed(name, "w"))}, "serve")
		waitHealthy(t, url)
		c.addrs = []string{strings.TrimPrefix(url, "http://")}
		for n := range 4 {
			group.Go(func() { c.run(4*g+n, stop) })
		}
	}
	awaitServed := func(c *rollingClients, what string) {
		t.Helper()
		seen := c.served.Load()
		enginetest.Eventually(t, what, func() bool { return c.served.Load() > seen+20 })
	}
	setRule := func(r faultnet.Rule) {
		for _, engine := range []string{"r", "w"} {
			fabric.SetRule("g0", engine, r)
			fabric.SetRule(engine, "g0", r)
		}
	}
	awaitServed(clients[0], "requests are in flight")
	setRule(faultnet.Rule{Cut: true})
	notServed := func(c *rollingClients) int64 { return c.failed.Load() + c.refused.Load() }
	before := notServed(clients[0])
	enginetest.Eventually(t, "a request at the partitioned gateway is answered with an error", func() bool { return notServed(clients[0]) > before })
	awaitServed(clients[1], "the other gateway serves requests")
	setRule(faultnet.Rule{})
	awaitServed(clients[0], "the gateway serves requests after the partition")
	close(stop)
	group.Wait()
	checkNoOrderRanTwice(t, decode)
	if n := notServed(clients[1]); n > 0 {
		t.Errorf("%d of the other gateway's requests were not served", n)
	}
	served := func(id string) bool {
		_, byFirst := clients[0].complete.Load(id)
		_, bySecond := clients[1].complete.Load(id)
		return byFirst || bySecond
	}
	enginetest.Eventually(t, "every prefilled state is fetched or released", func() bool {
		released := map[string]bool{}
		for _, call := range prefill.Calls(http.MethodDelete) {
			released[path.Base(call.Path)] = true
		}
		for _, call := range prefill.Calls(http.MethodPost) {
			if !served(call.ID) && !released[call.ID] {
				return false
			}
		}
		return true
	})
	t.Logf("partitioned gateway: %d served, %d refused, %d failed", clients[0].served.Load(), clients[0].refused.Load(), clients[0].failed.Load())
}

// Discovery stops sending on the open watches of three gateways at the same time, and an engine starts to
// drain meanwhile. Each gateway must reopen its watch from the last known revision, receive the drain, and
// stop sending requests to that engine.
func TestDiscoveryUnresponsiveAtThreeGateways(t *testing.T) {
	draining, active := enginetest.NewEngine(t, answerReleasesOr(prefillAnswer)), enginetest.NewEngine(t, answerReleasesOr(prefillAnswer))
	decode := enginetest.NewEngine(t, answerReleasesOr(func() string { return enginetest.Stream(2, 0) }))
	list := func(revision int, phase string) string {
		return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[{"id":"r1","host_port":%q,"locality":"a","flavor":"r","phase":%q},
			{"id":"r2","host_port":%q,"locality":"a","flavor":"r","phase":"active"},{"id":"w1","host_port":%q,"locality":"a","flavor":"w","phase":"active"}]}`+"\n",
			revision, draining.Addr, phase, active.Addr, decode.Addr)
	}
	var first, reopened atomic.Int64
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "0" {
			io.WriteString(w, list(1, "active"))
			first.Add(1)
		} else {
			io.WriteString(w, list(2, "leaving"))
			reopened.Add(1)
		}
		w.(http.Flusher).Flush() // no heartbeat line follows
		<-r.Context().Done()
	}))
	t.Cleanup(func() { discovery.CloseClientConnections(); discovery.Close() })
	var urls []string
	for n := range 3 {
		config := writeConfig(t, fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:0","discovery":%q,"settings":%s}`,
			n, discovery.Listener.Addr(), strings.Replace(testSettings, `"balancers":1`, `"balancers":3`, 1)))
		_, url := startServing(t, []string{"EDGE_CONFIG=" + config}, "serve")
		waitHealthy(t, url)
		urls = append(urls, url)
	}
	ids := 0
	send := func(url string) {
		t.Helper()
		req := newRequest(t, url)
		ids++
		req.Header.Set("X-Request-Id", fmt.Sprint("q", ids))
		req.Header.Set("X-Key", fmt.Sprint("s", ids))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d, %v", resp.StatusCode, err)
		}
	}
	enginetest.Eventually(t, "both prefill engines are used", func() bool {
		for _, url := range urls {
			send(url)
		}
		return len(draining.Calls(http.MethodPost)) > 0 && len(active.Calls(http.MethodPost)) > 0
	})
	enginetest.Eventually(t, "each gateway has reopened its watch", func() bool { return reopened.Load() >= 3 })
	for _, url := range urls {
		enginetest.Eventually(t, "ten consecutive requests avoid the draining engine", func() bool {
			before := len(draining.Calls(http.MethodPost))
			for range 10 {
				send(url)
			}
			return len(draining.Calls(http.MethodPost)) == before
		})
	}
	before := len(draining.Calls(http.MethodPost))
	for range 30 {
		for _, url := range urls {
			send(url)
		}
	}
	if n := len(draining.Calls(http.MethodPost)) - before; n > 0 {
		t.Errorf("%d requests sent to a draining engine", n)
	}
}

// Idle clients use all the descriptors that a gateway has for clients while discovery is unresponsive.
// Descriptors must remain for another client's request, its engine connections, its releases and the
// reopened watch.
func TestIdleClientsLeaveDescriptorsFree(t *testing.T) {
	const descriptors = 96
	prefill := enginetest.NewEngine(t, answerReleasesOr(prefillAnswer))
	decode := enginetest.NewEngine(t, answerReleasesOr(func() string { return enginetest.Status(500, "", "") })) // so that the state must be released
	var discoveryAvailable atomic.Bool
	var watches atomic.Int64
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if discoveryAvailable.Load() {
			watches.Add(1)
			w.(http.Flusher).Flush()
		}
		<-r.Context().Done()
	}))
	t.Cleanup(func() { discovery.CloseClientConnections(); discovery.Close() })
	config := platformConfig(t, "n1", discovery.Listener.Addr().String(), testSettings, prefill, decode)
	text, err := os.ReadFile(config)
	if err != nil {
		t.Fatal(err)
	}
	config = writeConfig(t, strings.Replace(string(text), `"name":"n1"`, fmt.Sprintf(`"name":"n1","limits":{"sockets":%d}`, descriptors), 1))
	_, url := startServing(t, []string{"EDGE_CONFIG=" + config, fmt.Sprint("WELLGW_TEST_NOFILE=", descriptors)}, "serve")
	waitHealthy(t, url)
	stop := make(chan struct{})
	var group sync.WaitGroup
	defer group.Wait()
	defer close(stop)
	var idleAnswers atomic.Int64
	for range 2 * descriptors { // each reconnects when it is closed, and stays idle after an answer
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				nc, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
				if err != nil {
					continue
				}
				finished := make(chan struct{})
				go func() {
					select {
					case <-stop:
					case <-finished:
					}
					nc.Close()
				}()
				io.WriteString(nc, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
				in := bufio.NewReader(nc)
				if resp, err := http.ReadResponse(in, nil); err == nil {
					io.Copy(io.Discard, resp.Body)
					idleAnswers.Add(1)
					in.ReadByte() // until the gateway closes the connection
				}
				close(finished)
			}
		})
	}
	enginetest.Eventually(t, "idle clients have used all descriptors for clients", func() bool { return idleAnswers.Load() > 2*descriptors })
	discoveryAvailable.Store(true)
	enginetest.Eventually(t, "the watch is reopened", func() bool { return watches.Load() > 0 })
	answered := 0
	enginetest.Eventually(t, "ten requests of other clients are answered", func() bool {
		req := newRequest(t, url)
		req.Header.Set("X-Request-Id", fmt.Sprint("q", answered))
		req.Close = true
		if resp, err := http.DefaultClient.Do(req); err == nil { // a new connection may be closed before its request is read
			resp.Body.Close()
			answered++
		}
		return answered >= 10
	})
	enginetest.Eventually(t, "the prefilled states are released", func() bool {
		released := map[string]bool{}
		for _, call := range prefill.Calls(http.MethodDelete) {
			released[path.Base(call.Path)] = true
		}
		return len(released) >= len(prefill.Calls(http.MethodPost)) && len(released) > 0
	})
}
