package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wellgw/internal/enginetest"
)

// drainRequestLimit is the maximum time between the drain command and a request that may still be served.
// Requests sent later could outlast the drain's time limit.
const drainRequestLimit = 2 * time.Second

// drainClients is the number of clients of a gateway under drain.
const drainClients = 24

// testGateway is a running gateway that accepts operators' commands; most tests give it one prefill and one
// decode engine.
type testGateway struct {
	t       *testing.T
	cmd     *exec.Cmd
	addr    string
	control string
	lines   *logLines
	sent    atomic.Int64
}

// logLines collects the log of a program.
type logLines struct {
	mu   sync.Mutex
	text []string
}

func (l *logLines) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, line)
}

// withMessage returns the decoded lines with the given message.
func (l *logLines) withMessage(message string) (found []map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, text := range l.text {
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) == nil && line["message"] == message {
			found = append(found, line)
		}
	}
	return found
}

// startTestGateway starts a gateway with one prefill and one decode engine; decodeScript returns the decode
// engine's answers.
func startTestGateway(t *testing.T, decodeScript func() string) *testGateway {
	t.Helper()
	prefill := enginetest.NewEngine(t, answerReleasesOr(prefillAnswer))
	decode := enginetest.NewEngine(t, answerReleasesOr(decodeScript))
	config := platformConfig(t, "n1", "127.0.0.1:1", testSettings, prefill, decode)
	return startGateway(t, []string{"EDGE_CONFIG=" + config, "EDGE_CONTROL=127.0.0.1:0", "TMPDIR=" + t.TempDir()})
}

// startGateway starts a gateway with a control listener, waits until it is healthy and collects its log.
func startGateway(t *testing.T, env []string) *testGateway {
	t.Helper()
	cmd := programCommand(t, env, "serve", "--verbose")
	stderr, log := startLogged(t, cmd)
	g := &testGateway{t: t, cmd: cmd, lines: &logLines{}}
	for (g.addr == "" || g.control == "") && log.Scan() {
		g.lines.add(log.Text())
		if m := controlLine.FindStringSubmatch(log.Text()); m != nil {
			g.control = m[1]
		}
		if m := servingLine.FindStringSubmatch(log.Text()); m != nil {
			g.addr = m[1]
		}
	}
	if g.addr == "" {
		t.Fatal("the program exited without serving")
	}
	go func() {
		for log.Scan() {
			g.lines.add(log.Text())
		}
		io.Copy(io.Discard, stderr)
	}()
	waitHealthy(t, "http://"+g.addr)
	return g
}

// nextRequest returns the text of a client's request with a new ID.
func (g *testGateway) nextRequest() (id, text string) {
	id = fmt.Sprintf("d%d", g.sent.Add(1))
	return id, fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: order\r\nX-Key: s\r\nX-Deadline-Ms: 10000\r\nX-Extras: prompt_len=100,max_out=50\r\nContent-Length: 2\r\n\r\n{}", id)
}

// dial opens a client connection.
func (g *testGateway) dial() net.Conn {
	g.t.Helper()
	c, err := net.Dial("tcp4", g.addr)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(time.Minute)) // only reached by a failing test
	return c
}

// readAnswer reads one answer and returns its status and body; status 0 if the connection ended without one.
func readAnswer(in *bufio.Reader) (status int, body string, err error) {
	if _, err := in.Peek(1); err != nil {
		return 0, "", nil
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, "", err
	}
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// A connection whose stream began before the drain is closed after that stream. A request that the client
// sends immediately afterwards must not be served: its stream could outlast the drain's time limit.
func TestDrainClosesConnectionsAfterAnswerInFlight(t *testing.T) {
	g := startTestGateway(t, func() string { return enginetest.SlowStream(2, 0, time.Second) })
	c := g.dial()
	in := bufio.NewReader(c)
	_, text := g.nextRequest()
	io.WriteString(c, text)
	if _, err := in.Peek(1); err != nil { // the gateway has written the head of the answer
		t.Fatal(err)
	}
	if reply := sendCommand(t, g.control, "standby"); reply != "YES" {
		t.Fatalf("standby: %s", reply)
	}
	if status, body, err := readAnswer(in); status != http.StatusOK || err != nil || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Fatalf("stream in flight: %d %q %v", status, body, err)
	}
	_, text = g.nextRequest()
	io.WriteString(c, text)
	if status, _, _ := readAnswer(in); status == http.StatusOK {
		t.Error("a request sent after the last answer was served on the draining connection")
	}
}

// Clients send requests without pause on open connections, some of them slowly, with streams in flight at the
// drain command. No request sent more than 2 s after the command may be served, and every request that was
// read must be answered. Afterwards the command active restores the service.
func TestDrainServesNoLateRequests(t *testing.T) {
	var streams atomic.Int64
	g := startTestGateway(t, func() string {
		events := 27 // 2.6 s
		if n := int(streams.Add(1)); n <= drainClients {
			events = 2 + n // staggers the starts of the long streams
		}
		return enginetest.SlowStream(events, 0, 100*time.Millisecond)
	})
	stop := make(chan struct{})
	var drainStarted atomic.Pointer[time.Time]
	var served, late atomic.Int64
	var clients sync.WaitGroup
	for n := range drainClients {
		clients.Go(func() { g.runClient(n, stop, &drainStarted, &served, &late) })
	}
	enginetest.Eventually(t, "all clients are served", func() bool { return served.Load() >= drainClients })
	now := time.Now()
	drainStarted.Store(&now)
	if reply := sendCommand(t, g.control, "standby"); reply != "YES" {
		t.Fatalf("standby: %s", reply)
	}
	clients.Wait()
	if n := late.Load(); n > 0 {
		t.Errorf("%d requests served that were sent more than %v after the drain command", n, drainRequestLimit)
	}
	if code := healthStatus("http://" + g.addr); code != http.StatusServiceUnavailable {
		t.Errorf("health status during the drain: %d", code)
	}
	if reply := sendCommand(t, g.control, "active"); reply != "YES" {
		t.Fatalf("active: %s", reply)
	}
	waitHealthy(t, "http://"+g.addr)
	c := g.dial()
	_, text := g.nextRequest()
	io.WriteString(c, text)
	if status, _, err := readAnswer(bufio.NewReader(c)); status != http.StatusOK || err != nil {
		t.Errorf("request after the drain: %d %v", status, err)
	}
}

// runClient sends consecutive requests on one connection until the gateway closes it. Every third client
// sends each request in pieces over 0.9 s. served counts the requests served, late those of them that were
// sent more than drainRequestLimit after the drain command.
func (g *testGateway) runClient(n int, stop <-chan struct{}, drainStarted *atomic.Pointer[time.Time], served, late *atomic.Int64) {
	c := g.dial()
	in := bufio.NewReader(c)
	for {
		select {
		case <-stop:
			return
		default:
		}
		id, text := g.nextRequest()
		if n%3 == 0 {
			for _, part := range []string{text[:20], text[20:90]} {
				io.WriteString(c, part)
				time.Sleep(450 * time.Millisecond)
			}
			text = text[90:]
		}
		sent := time.Now() // the last byte follows
		io.WriteString(c, text)
		status, body, err := readAnswer(in)
		drainedAt := drainStarted.Load()
		switch {
		case status == http.StatusOK && err == nil && strings.HasSuffix(body, "data: [DONE]\n\n"):
			if served.Add(1); drainedAt != nil && sent.Sub(*drainedAt) > drainRequestLimit {
				late.Add(1)
			}
			continue
		case drainedAt == nil:
			g.t.Errorf("%s: status %d, %v, before the drain", id, status, err)
		case status != 0 && status != http.StatusServiceUnavailable:
			g.t.Errorf("%s: status %d, %q, %v", id, status, body, err)
		case err != nil && !errors.Is(err, io.ErrUnexpectedEOF):
			g.t.Errorf("%s: %v", id, err)
		}
		return
	}
}

// The log has a line for each closed connection with reason, age, number of answers and unread bytes, and for
// each request and attempt with its ID and outcome.
func TestLogCoversConnectionsRequestsAndAttempts(t *testing.T) {
	g := startTestGateway(t, func() string { return enginetest.Stream(2, 0) })
	c := g.dial()
	in := bufio.NewReader(c)
	id, text := g.nextRequest()
	io.WriteString(c, text)
	if status, _, err := readAnswer(in); status != http.StatusOK || err != nil {
		t.Fatalf("status %d, %v", status, err)
	}
	if reply := sendCommand(t, g.control, "standby"); reply != "YES" {
		t.Fatalf("standby: %s", reply)
	}
	if status, _, _ := readAnswer(in); status != 0 {
		t.Errorf("idle connection received status %d", status)
	}
	closeLogged := func(reason string, answered float64) func() bool {
		return func() bool {
			for _, line := range g.lines.withMessage("connection closed") {
				if line["reason"] == reason && line["answered"] == answered && line["unread"] == 0.0 && line["age"] != "" {
					return true
				}
			}
			return false
		}
	}
	enginetest.Eventually(t, "the closed connection is logged", closeLogged("idle", 1))
	found := false
	for _, line := range g.lines.withMessage("request answered") {
		found = found || line["id"] == id && line["verdict"] == "serving"
	}
	if !found {
		t.Errorf("no log line for the answer to %s", id)
	}
	attempts := 0
	for _, line := range g.lines.withMessage("attempt ended") {
		if line["id"] == id {
			attempts++
		}
	}
	if attempts != 2 { // prefill and decode
		t.Errorf("%d log lines for attempts of %s, want 2", attempts, id)
	}
}

// A request that began to arrive before the drain and is complete only after drainRequestLimit is refused:
// it was never forwarded, so the client may retry at another gateway.
func TestDrainRefusesRequestCompletedLate(t *testing.T) {
	g := startTestGateway(t, func() string { return enginetest.Stream(2, 0) })
	for _, c := range []struct {
		name         string
		prefixLength func(text string) int // number of bytes sent before the drain command
	}{
		{"partial head", func(string) int { return 40 }},
		{"partial body", func(text string) int { return len(text) - 1 }},
	} {
		conn := g.dial()
		id, text := g.nextRequest()
		prefix := c.prefixLength(text)
		io.WriteString(conn, text[:prefix])
		time.Sleep(100 * time.Millisecond) // so that the gateway reads it before the command
		if reply := sendCommand(t, g.control, "standby"); reply != "YES" {
			t.Fatalf("standby: %s", reply)
		}
		time.Sleep(drainRequestLimit) // the remainder arrives too late
		io.WriteString(conn, text[prefix:])
		if status, body, err := readAnswer(bufio.NewReader(conn)); status != http.StatusServiceUnavailable || err != nil {
			t.Errorf("%s: %s got %d %q %v", c.name, id, status, body, err)
		}
		if reply := sendCommand(t, g.control, "active"); reply != "YES" {
			t.Fatalf("active: %s", reply)
		}
		waitHealthy(t, "http://"+g.addr)
	}
}

// The chat front follows the same state machine, although the time of a kill is unknown there. After SIGTERM
// a connection with a stream in flight is closed after the stream, an incomplete request is refused rather
// than awaited, and the process exits by itself.
func TestChatFrontClosesConnectionsAtShutdown(t *testing.T) {
	engine := enginetest.NewEngine(t, func(enginetest.Call) string { return enginetest.SlowStream(2, 0, 2*time.Second) })
	raw, err := os.ReadFile("../../deploy/operator.json")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("127.0.0.1:8080", "127.0.0.1:0", "127.0.0.1:9001", engine.Addr).Replace(string(raw))
	cmd, url := startServing(t, nil, "serve", "--operator", writeConfig(t, text))
	waitHealthy(t, url)
	g := &testGateway{t: t, cmd: cmd, addr: strings.TrimPrefix(url, "http://")}
	const body = `{"model":"order-assistant","stream":true,"messages":[{"role":"user","content":"two bolts"}]}`
	chat := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer change-me-counter\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	streaming, partial := g.dial(), g.dial()
	in := bufio.NewReader(streaming)
	io.WriteString(streaming, chat)
	if _, err := in.Peek(1); err != nil {
		t.Fatal(err)
	}
	io.WriteString(partial, chat[:len(chat)-1])
	cmd.Process.Signal(syscall.SIGTERM)
	if status, _, err := readAnswer(bufio.NewReader(partial)); status != http.StatusServiceUnavailable || err != nil {
		t.Errorf("incomplete request: status %d, %v", status, err)
	}
	if status, body, err := readAnswer(in); status != http.StatusOK || err != nil || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("stream in flight: %d %q %v", status, body, err)
	}
	io.WriteString(streaming, chat)
	if status, _, _ := readAnswer(in); status != 0 {
		t.Errorf("request after the last answer: status %d", status)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// Every pipelined request that the gateway has read is answered during a drain, whether or not the answer in
// flight at the command had begun.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	for name, answerStarted := range map[string]bool{"before the first answer": false, "during the first answer": true} {
		t.Run(name, func(t *testing.T) {
			started, finish := make(chan bool, 4), make(chan bool)
			g := startTestGateway(t, func() string {
				started <- true
				if answerStarted {
					return enginetest.SlowStream(2, 0, time.Second)
				}
				<-finish
				return enginetest.Stream(2, 0)
			})
			c := g.dial()
			in := bufio.NewReader(c)
			_, first := g.nextRequest()
			_, second := g.nextRequest()
			io.WriteString(c, first+second)
			<-started
			if answerStarted {
				in.Peek(1)
			}
			if reply := sendCommand(t, g.control, "standby"); reply != "YES" {
				t.Fatalf("standby: %s", reply)
			}
			close(finish)
			for n := range 2 {
				status, body, err := readAnswer(in)
				if served := status == http.StatusOK && strings.HasSuffix(body, "data: [DONE]\n\n"); err != nil || !served && status != http.StatusServiceUnavailable {
					t.Errorf("request %d: %d %q %v", n+1, status, body, err)
				}
			}
			if status, _, _ := readAnswer(in); status != 0 {
				t.Errorf("more answers than requests: status %d", status)
			}
		})
	}
}

// An incomplete request that was read together with the preceding one is refused after that one's answer if
// the drain no longer accepts requests at that time.
func TestDrainRefusesIncompletePipelinedRequest(t *testing.T) {
	g := startTestGateway(t, func() string { return enginetest.SlowStream(2, 0, drainRequestLimit) })
	c := g.dial()
	in := bufio.NewReader(c)
	_, first := g.nextRequest()
	_, second := g.nextRequest()
	io.WriteString(c, first+second[:40])
	if _, err := in.Peek(1); err != nil {
		t.Fatal(err)
	}
	if reply := sendCommand(t, g.control, "standby"); reply != "YES" {
		t.Fatalf("standby: %s", reply)
	}
	for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable, 0} {
		if status, _, err := readAnswer(in); status != want || err != nil {
			t.Errorf("status %d, %v, want %d", status, err, want)
		}
	}
}
