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

// platformConfig is a gateway's object with one prefill and one decode engine as last known.
func platformConfig(t *testing.T, name, discovery, settings string, prefill, decode *enginetest.Engine) string {
	t.Helper()
	return writeConfig(t, fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","discovery":%q,"settings":%s,
		"known":{"revision":1,"complete":true,"members":[
			{"id":"r1","host_port":%q,"locality":"a","flavor":"r","phase":"active"},
			{"id":"w1","host_port":%q,"locality":"a","flavor":"w","phase":"active"}]}}`,
		name, discovery, settings, prefill.Addr, decode.Addr))
}

// A process that starts is ready by the list as last held, whatever discovery does, and
// serves: none that is up serves nobody.
func TestReadyWithFailingDiscovery(t *testing.T) {
	prefill := enginetest.NewEngine(t, releasedOr(prefillAnswer))
	decode := enginetest.NewEngine(t, releasedOr(func() string { return enginetest.Stream(2, 0) }))
	held := make(chan struct{})
	server := func(h http.HandlerFunc) string {
		s := httptest.NewServer(h)
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		return s.Listener.Addr().String()
	}
	hold := func(r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-held:
		}
	}
	for name, addr := range map[string]string{
		"away":     "127.0.0.1:1",
		"silent":   server(func(_ http.ResponseWriter, r *http.Request) { hold(r) }),
		"refusing": server(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }),
		"nonsense": server(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, `{"revision":"x","members":[}`) }),
		"an old list": server(func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, "{\n \"revision\": 0,\n \"complete\": true,\n \"members\": []\n}\n")
			w.(http.Flusher).Flush()
			hold(r)
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
	close(held)
}

// checkRanOnce tells which orders an engine got twice.
func checkRanOnce(t *testing.T, decode *enginetest.Engine) {
	t.Helper()
	ran := map[string]int{}
	for _, call := range decode.Calls(http.MethodPost) {
		if ran[call.ID]++; ran[call.ID] == 2 {
			t.Errorf("%s ran twice", call.ID)
		}
	}
}

// One of two gateways loses both engines behind a cut while orders are in flight: every
// order gets one final answer, none runs twice, the other gateway's are all served, and
// once the cut has healed every state that was read and not fetched is let go.
func TestPartitionBetweenGatewayAndEngines(t *testing.T) {
	prefill := enginetest.NewEngine(t, releasedOr(prefillAnswer))
	decode := enginetest.NewEngine(t, releasedOr(func() string { return enginetest.Stream(3, 0) }))
	fabric := faultnet.New(1)
	t.Cleanup(fabric.Close)
	fabric.SetListener("r", prefill.Addr)
	fabric.SetListener("w", decode.Addr)
	set := strings.NewReplacer(`"balancers":1`, `"balancers":2`, `"hard_limit":60000000`, `"hard_limit":4000000`, `"aim":10000000`, `"aim":3000000`).Replace(testSettings)
	way := func(from, to string) *enginetest.Engine {
		addr, err := fabric.Dial(from, to)
		if err != nil {
			t.Fatal(err)
		}
		return &enginetest.Engine{Addr: addr}
	}
	clients := [2]*rollingClients{{t: t, wait: 4 * time.Second, mayFail: true}, {t: t, wait: 4 * time.Second}}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for g, c := range clients {
		name := fmt.Sprint("g", g)
		_, url := startServing(t, []string{"EDGE_CONFIG=" + platformConfig(t, name, "127.0.0.1:1", set, way(name, "r"), way(name, "w"))}, "serve")
		waitHealthy(t, url)
		c.addrs = []string{strings.TrimPrefix(url, "http://")}
		for n := range 4 {
			group.Go(func() { c.run(4*g+n, stop) })
		}
	}
	more := func(c *rollingClients, what string) {
		t.Helper()
		seen := c.served.Load()
		enginetest.Eventually(t, what, func() bool { return c.served.Load() > seen+20 })
	}
	rule := func(r faultnet.Rule) {
		for _, engine := range []string{"r", "w"} {
			fabric.SetRule("g0", engine, r)
			fabric.SetRule(engine, "g0", r)
		}
	}
	more(clients[0], "requests are under way")
	rule(faultnet.Rule{Cut: true})
	ended := func(c *rollingClients) int64 { return c.failed.Load() + c.refused.Load() }
	before := ended(clients[0])
	enginetest.Eventually(t, "one behind the cut has its answer", func() bool { return ended(clients[0]) > before })
	more(clients[1], "the other gateway serves")
	rule(faultnet.Rule{})
	more(clients[0], "served again")
	close(stop)
	group.Wait()
	checkRanOnce(t, decode)
	if n := ended(clients[1]); n > 0 {
		t.Errorf("%d of the other gateway's requests were not served", n)
	}
	served := func(id string) bool {
		_, one := clients[0].complete.Load(id)
		_, two := clients[1].complete.Load(id)
		return one || two
	}
	enginetest.Eventually(t, "all that was read is fetched or let go", func() bool {
		gone := map[string]bool{}
		for _, call := range prefill.Calls(http.MethodDelete) {
			gone[path.Base(call.Path)] = true
		}
		for _, call := range prefill.Calls(http.MethodPost) {
			if !served(call.ID) && !gone[call.ID] {
				return false
			}
		}
		return true
	})
	t.Logf("behind the cut %d served, %d refused, %d failed", clients[0].served.Load(), clients[0].refused.Load(), clients[0].failed.Load())
}

// Discovery's watches fall silent at three gateways at once, on open connections, and an
// engine begins to drain meanwhile: each opens a new watch from what it knows, learns of the
// drain, and sends nothing there any more.
func TestDiscoverySilentAtThreeGateways(t *testing.T) {
	gone, stays := enginetest.NewEngine(t, releasedOr(prefillAnswer)), enginetest.NewEngine(t, releasedOr(prefillAnswer))
	decode := enginetest.NewEngine(t, releasedOr(func() string { return enginetest.Stream(2, 0) }))
	list := func(revision int, phase string) string {
		return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[{"id":"r1","host_port":%q,"locality":"a","flavor":"r","phase":%q},
			{"id":"r2","host_port":%q,"locality":"a","flavor":"r","phase":"active"},{"id":"w1","host_port":%q,"locality":"a","flavor":"w","phase":"active"}]}`+"\n",
			revision, gone.Addr, phase, stays.Addr, decode.Addr)
	}
	var first, anew atomic.Int64
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "0" {
			io.WriteString(w, list(1, "active"))
			first.Add(1)
		} else {
			io.WriteString(w, list(2, "leaving"))
			anew.Add(1)
		}
		w.(http.Flusher).Flush() // and then no empty line ever comes
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
	ask := func(url string) {
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
			ask(url)
		}
		return len(gone.Calls(http.MethodPost)) > 0 && len(stays.Calls(http.MethodPost)) > 0
	})
	enginetest.Eventually(t, "each gateway has opened a watch anew", func() bool { return anew.Load() >= 3 })
	for _, url := range urls {
		enginetest.Eventually(t, "one goes elsewhere ten times on end", func() bool {
			before := len(gone.Calls(http.MethodPost))
			for range 10 {
				ask(url)
			}
			return len(gone.Calls(http.MethodPost)) == before
		})
	}
	before := len(gone.Calls(http.MethodPost))
	for range 30 {
		for _, url := range urls {
			ask(url)
		}
	}
	if n := len(gone.Calls(http.MethodPost)) - before; n > 0 {
		t.Errorf("%d sends to an engine that drains", n)
	}
}

// Idle clients take all the descriptors that a gateway has for clients while discovery is
// silent. There is room left: for a request of another client, for its engines, for what has
// to be let go, and for the watch that is opened anew.
func TestIdleClientsLeaveDescriptorsFree(t *testing.T) {
	const files = 96
	prefill := enginetest.NewEngine(t, releasedOr(prefillAnswer))
	decode := enginetest.NewEngine(t, releasedOr(func() string { return enginetest.Status(500, "", "") })) // so that the state has to be let go
	var back atomic.Bool
	var watches atomic.Int64
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if back.Load() {
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
	config = writeConfig(t, strings.Replace(string(text), `"name":"n1"`, fmt.Sprintf(`"name":"n1","limits":{"sockets":%d}`, files), 1))
	_, url := startServing(t, []string{"EDGE_CONFIG=" + config, fmt.Sprint("WELLGW_TEST_NOFILE=", files)}, "serve")
	waitHealthy(t, url)
	stop := make(chan struct{})
	var group sync.WaitGroup
	defer group.Wait()
	defer close(stop)
	var rested atomic.Int64
	for range 2 * files { // each comes anew when it is sent away, and rests after an answer
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
				ended := make(chan struct{})
				go func() {
					select {
					case <-stop:
					case <-ended:
					}
					nc.Close()
				}()
				io.WriteString(nc, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
				in := bufio.NewReader(nc)
				if resp, err := http.ReadResponse(in, nil); err == nil {
					io.Copy(io.Discard, resp.Body)
					rested.Add(1)
					in.ReadByte() // to the gateway's end
				}
				close(ended)
			}
		})
	}
	enginetest.Eventually(t, "they have taken all", func() bool { return rested.Load() > 2*files })
	back.Store(true)
	enginetest.Eventually(t, "a watch is opened anew", func() bool { return watches.Load() > 0 })
	answered := 0
	enginetest.Eventually(t, "ten requests are answered beside them", func() bool {
		req := newRequest(t, url)
		req.Header.Set("X-Request-Id", fmt.Sprint("q", answered))
		req.Close = true
		if resp, err := http.DefaultClient.Do(req); err == nil { // a newcomer may be shut unread
			resp.Body.Close()
			answered++
		}
		return answered >= 10
	})
	enginetest.Eventually(t, "what was read for them is let go", func() bool {
		gone := map[string]bool{}
		for _, call := range prefill.Calls(http.MethodDelete) {
			gone[path.Base(call.Path)] = true
		}
		return len(gone) >= len(prefill.Calls(http.MethodPost)) && len(gone) > 0
	})
}
