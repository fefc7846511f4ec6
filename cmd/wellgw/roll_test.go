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

// rollingClients are the clients of a rolling restart. Each keeps its connection until the gateway closes
// it, and resends a request to another gateway only if the connection ended before the first byte of an
// answer.
type rollingClients struct {
	t                 *testing.T
	mu                sync.Mutex
	addrs             []string
	refused           atomic.Int64
	served            atomic.Int64
	resent            atomic.Int64
	failed            atomic.Int64
	firstTokenTimeout time.Duration // deadline of the first token
	allowErrors       bool          // engines may be unreachable: requests that may have run may fail
	complete          sync.Map
}

func (c *rollingClients) addr(n int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addrs[n%len(c.addrs)]
}

// run sends consecutive requests until stop is closed.
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
		for attempt := range 8 { // addrs may still contain a gateway that has just exited
			if conn == nil {
				nc, err := net.Dial("tcp", c.addr(n+attempt))
				if err != nil {
					time.Sleep(20 * time.Millisecond) // its replacement starts soon
					continue
				}
				conn, in = nc, bufio.NewReader(nc)
			}
			conn.SetDeadline(time.Now().Add(30 * time.Second))
			fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: order\r\nX-Key: s%d\r\nX-Deadline-Ms: %d\r\nX-Extras: prompt_len=100,max_out=50\r\nContent-Length: 2\r\n\r\n{}", id, n, c.firstTokenTimeout.Milliseconds())
			if _, err := in.Peek(1); err != nil {
				conn.Close()
				conn = nil
				c.resent.Add(1)
				continue
			}
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				c.t.Errorf("%s: incomplete head of an answer: %v", id, err)
				return
			}
			b, err := io.ReadAll(resp.Body)
			switch {
			case resp.StatusCode == http.StatusOK && err == nil && strings.HasSuffix(string(b), "data: [DONE]\n\n"):
				c.served.Add(1)
				c.complete.Store(id, true)
			case resp.StatusCode == http.StatusServiceUnavailable && err == nil:
				c.refused.Add(1)
			case c.allowErrors && err == nil && (resp.StatusCode == http.StatusBadGateway || resp.StatusCode == http.StatusGatewayTimeout):
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

// If streams may last until SIGKILL, a request whose engine never answers must still be answered before it,
// and the gateway must exit by itself.
func TestShutdownAnswersBeforeKill(t *testing.T) {
	prefill := enginetest.NewEngine(t, answerReleasesOr(prefillAnswer))
	sent := make(chan bool, 1)
	decode := enginetest.NewEngine(t, answerReleasesOr(func() string {
		sent <- true
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
	<-sent
	cmd.Process.Signal(syscall.SIGTERM)
	if code := <-status; code != http.StatusBadGateway { // its deadline, a minute later, would cause 504
		t.Errorf("status %d", code)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// Three gateways are restarted one after the other while clients send on every open connection, including
// ones that are being closed. Every order must get one final answer, and none may run twice.
func TestRollingRestartLosesNoRequest(t *testing.T) {
	for _, resume := range []string{"false", "true"} {
		t.Run("resume "+resume, func(t *testing.T) {
			prefill := enginetest.NewEngine(t, answerReleasesOr(prefillAnswer))
			decode := enginetest.NewEngine(t, answerReleasesOr(func() string { return enginetest.Stream(3, 0) }))
			settings := strings.NewReplacer(`"balancers":1`, `"balancers":3`, `"hard_limit":60000000`, `"hard_limit":2000000`, `"aim":10000000`, `"aim":1500000`,
				`"pin_limit"`, `"resume":`+resume+`,"pin_limit"`).Replace(testSettings)
			clients := &rollingClients{t: t, firstTokenTimeout: 2 * time.Second}
			start := func(n int) (*exec.Cmd, string) {
				cmd, url := startServing(t, []string{"EDGE_CONFIG=" + platformConfig(t, fmt.Sprint("n", n), "127.0.0.1:1", settings, prefill, decode)}, "serve")
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
				enginetest.Eventually(t, "requests are in flight", func() bool { return clients.served.Load() > seen+20 })
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
			checkNoOrderRanTwice(t, decode)
			t.Logf("%d served, %d refused, %d resent", clients.served.Load(), clients.refused.Load(), clients.resent.Load())
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

// The time of SIGKILL is known only on the platform. The chat front's clients must get the full deadline of
// their contract.
func TestKillTimeKnownOnlyOnPlatform(t *testing.T) {
	o, err := config.ReadOperator("../../deploy/operator.json")
	if err != nil {
		t.Fatal(err)
	}
	if newChatGateway("", o, slog.New(slog.DiscardHandler)).killTimeKnown {
		t.Error("the chat front aborts requests by the platform's kill time")
	}
}
