package main

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wellgw/internal/config"
	"wellgw/internal/enginetest"
)

// rollingClients are the clients of a roll. Each keeps a connection for as long as its gateway
// does, and sends a request once more, elsewhere, only where the connection ended with no
// byte of an answer.
type rollingClients struct {
	t        *testing.T
	mu       sync.Mutex
	addrs    []string
	refused  atomic.Int64
	served   atomic.Int64
	resent   atomic.Int64
	failed   atomic.Int64
	wait     time.Duration // of a client for its first token
	mayFail  bool          // engines may be out of reach: what may have run may fail
	complete sync.Map
}

func (c *rollingClients) addr(n int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addrs[n%len(c.addrs)]
}

// run asks one request after another until stop is closed.
func (c *rollingClients) run(n int, stop <-chan struct{}) {
	var conn net.Conn
	var in *bufio.Reader
	for k := 0; ; k++ {
		select {
		case <-stop:
			if conn != nil {
				conn.Close()
			}
			return
		default:
		}
		id := fmt.Sprintf("c%d-%d", n, k)
		done := false
		for try := range 8 { // a gateway that has just left may still be named for a moment
			if conn == nil {
				nc, err := net.Dial("tcp", c.addr(n+try))
				if err != nil {
					time.Sleep(20 * time.Millisecond) // its place is taken soon
					continue
				}
				conn, in = nc, bufio.NewReader(nc)
			}
			conn.SetDeadline(time.Now().Add(30 * time.Second))
			fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: order\r\nX-Key: s%d\r\nX-Deadline-Ms: %d\r\nX-Extras: prompt_len=100,max_out=50\r\nContent-Length: 2\r\n\r\n{}", id, n, c.wait.Milliseconds())
			if _, err := in.Peek(1); err != nil {
				conn.Close()
				conn = nil
				c.resent.Add(1)
				continue
			}
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				c.t.Errorf("%s: half an answer's head: %v", id, err)
				return
			}
			b, err := io.ReadAll(resp.Body)
			switch {
			case resp.StatusCode == http.StatusOK && err == nil && strings.HasSuffix(string(b), "data: [DONE]\n\n"):
				c.served.Add(1)
				c.complete.Store(id, true)
			case resp.StatusCode == http.StatusServiceUnavailable && err == nil:
				c.refused.Add(1)
			case c.mayFail && err == nil && (resp.StatusCode == http.StatusBadGateway || resp.StatusCode == http.StatusGatewayTimeout):
				c.failed.Add(1)
			default:
				c.t.Errorf("%s: status %d, %q, %v", id, resp.StatusCode, b, err)
			}
			if done = true; resp.Close {
				conn.Close()
				conn = nil
			}
			break
		}
		if !done {
			c.t.Errorf("%s: no answer from any gateway", id)
		}
	}
}

// Where streams go on to the kill, a request whose engine never answers still has its answer
// before it, and the gateway ends by itself.
func TestShutdownAnswersBeforeKill(t *testing.T) {
	prefill := enginetest.NewEngine(t, releasedOr(prefillAnswer))
	out := make(chan bool, 1)
	decode := enginetest.NewEngine(t, releasedOr(func() string {
		out <- true
		return enginetest.Hang
	}))
	cmd, url := startServing(t, []string{"EDGE_CONFIG=" + platformConfig(t, "n1", "127.0.0.1:1", testSettings, prefill, decode)}, "serve")
	waitHealthy(t, url)
	status := make(chan int, 1)
	go func() {
		resp, err := http.DefaultClient.Do(newRequest(t, url))
		if err != nil {
			status <- 0
			return
		}
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	<-out
	cmd.Process.Signal(syscall.SIGTERM)
	if code := <-status; code != http.StatusBadGateway { // 504 would be its deadline's, a minute later
		t.Errorf("status %d", code)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// Three gateways are told to end and started anew, one after the other, under clients that
// send on every connection that stays open, in the very moment of a close too. Every order
// gets one final answer, and none runs twice.
func TestRollingRestartLosesNoRequest(t *testing.T) {
	for _, resume := range []string{"false", "true"} {
		t.Run("resume "+resume, func(t *testing.T) {
			prefill := enginetest.NewEngine(t, releasedOr(prefillAnswer))
			decode := enginetest.NewEngine(t, releasedOr(func() string { return enginetest.Stream(3, 0) }))
			set := strings.NewReplacer(`"balancers":1`, `"balancers":3`, `"hard_limit":60000000`, `"hard_limit":2000000`, `"aim":10000000`, `"aim":1500000`,
				`"pin_limit"`, `"resume":`+resume+`,"pin_limit"`).Replace(testSettings)
			clients := &rollingClients{t: t, wait: 2 * time.Second}
			start := func(n int) (*exec.Cmd, string) {
				cmd, url := startServing(t, []string{"EDGE_CONFIG=" + platformConfig(t, fmt.Sprint("n", n), "127.0.0.1:1", set, prefill, decode)}, "serve")
				waitHealthy(t, url)
				return cmd, strings.TrimPrefix(url, "http://")
			}
			var programs []*exec.Cmd
			for n := range 3 {
				cmd, addr := start(n)
				programs, clients.addrs = append(programs, cmd), append(clients.addrs, addr)
			}
			stop := make(chan struct{})
			var group sync.WaitGroup
			for n := range 12 {
				group.Go(func() { clients.run(n, stop) })
			}
			for n, cmd := range programs {
				seen := clients.served.Load()
				enginetest.Eventually(t, "requests are under way", func() bool { return clients.served.Load() > seen+20 })
				if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
					t.Fatal(err)
				}
				if err := cmd.Wait(); err != nil {
					t.Errorf("exit: %v", err)
				}
				next, addr := start(n)
				clients.mu.Lock()
				programs[n], clients.addrs[n] = next, addr
				clients.mu.Unlock()
			}
			close(stop)
			group.Wait()
			checkRanOnce(t, decode)
			t.Logf("%d served, %d refused, %d sent once more", clients.served.Load(), clients.refused.Load(), clients.resent.Load())
			for _, cmd := range programs {
				cmd.Process.Signal(syscall.SIGTERM)
			}
			for _, cmd := range programs {
				if err := cmd.Wait(); err != nil {
					t.Errorf("exit: %v", err)
				}
			}
		})
	}
}

// Of the two programs only the platform's is told when a kill comes: the chat front's callers wait
// for their answers as long as their contract says.
func TestKillKnownOnlyOnPlatform(t *testing.T) {
	o, err := config.ReadOperator("../../deploy/operator.json")
	if err != nil {
		t.Fatal(err)
	}
	if newChatGateway("", o, slog.New(slog.DiscardHandler)).killTimeKnown {
		t.Error("the chat front gives requests up by the platform's clock")
	}
}
