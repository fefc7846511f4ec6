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

// Of a drain: the first request that may no longer be carried when the drain's time is over is
// one sent so long after the call.
const drainRequestLimit = 2 * time.Second

// drainClients is how many clients a drained gateway serves.
const drainClients = 24

// testGateway is a gateway with one prefill and one decode engine that takes operators' commands.
type testGateway struct {
	t       *testing.T
	cmd     *exec.Cmd
	addr    string
	control string
	lines   *logLines
	sent    atomic.Int64
}

// logLines keeps a program's log.
type logLines struct {
	mu   sync.Mutex
	text []string
}

func (l *logLines) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, line)
}

// with returns the lines, decoded, that have this message.
func (l *logLines) with(message string) (found []map[string]any) {
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

// startTestGateway starts the gateway; writer is the decode engine's script.
func startTestGateway(t *testing.T, writer func() string) *testGateway {
	t.Helper()
	prefill := enginetest.NewEngine(t, releasedOr(prefillAnswer))
	decode := enginetest.NewEngine(t, releasedOr(writer))
	config := platformConfig(t, "n1", "127.0.0.1:1", testSettings, prefill, decode)
	return startGateway(t, []string{"EDGE_CONFIG=" + config, "EDGE_CONTROL=127.0.0.1:0", "TMPDIR=" + t.TempDir()})
}

// startGateway starts a gateway that takes calls, and keeps its log.
func startGateway(t *testing.T, env []string) *testGateway {
	t.Helper()
	cmd := program(t, env, "serve", "--verbose")
	errs, log := startLogged(t, cmd)
	d := &testGateway{t: t, cmd: cmd, lines: &logLines{}}
	for (d.addr == "" || d.control == "") && log.Scan() {
		d.lines.add(log.Text())
		if m := controlLine.FindStringSubmatch(log.Text()); m != nil {
			d.control = m[1]
		}
		if m := servingLine.FindStringSubmatch(log.Text()); m != nil {
			d.addr = m[1]
		}
	}
	if d.addr == "" {
		t.Fatal("the program ended without serving")
	}
	go func() {
		for log.Scan() {
			d.lines.add(log.Text())
		}
		io.Copy(io.Discard, errs)
	}()
	waitHealthy(t, "http://"+d.addr)
	return d
}

// request is the text of a client's request with a new id.
func (d *testGateway) request() (id, text string) {
	id = fmt.Sprintf("d%d", d.sent.Add(1))
	return id, fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: order\r\nX-Key: s\r\nX-Deadline-Ms: 10000\r\nX-Extras: prompt_len=100,max_out=50\r\nContent-Length: 2\r\n\r\n{}", id)
}

// dial opens a client's connection.
func (d *testGateway) dial() net.Conn {
	d.t.Helper()
	c, err := net.Dial("tcp4", d.addr)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(time.Minute)) // a bound for a broken test only
	return c
}

// readAnswer reads one answer: its status and body, 0 where the connection ended without one.
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

// A connection whose stream began before the drain ends with it: the request that its client
// sends next, at once, is not taken. Its stream would be carried past the drain's time.
func TestDrainEndsConnectionsWithTheirAnswer(t *testing.T) {
	d := startTestGateway(t, func() string { return enginetest.SlowStream(2, 0, time.Second) })
	c := d.dial()
	in := bufio.NewReader(c)
	_, text := d.request()
	io.WriteString(c, text)
	if _, err := in.Peek(1); err != nil { // the head of the answer has been written
		t.Fatal(err)
	}
	if a := sendCommand(t, d.control, "standby"); a != "YES" {
		t.Fatalf("standby: %s", a)
	}
	if status, body, err := readAnswer(in); status != http.StatusOK || err != nil || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Fatalf("the stream under way: %d %q %v", status, body, err)
	}
	_, text = d.request()
	io.WriteString(c, text)
	if status, _, _ := readAnswer(in); status == http.StatusOK {
		t.Error("a request sent after the drain's last answer was served on the same connection")
	}
}

// Clients that go on at once on open connections, with streams under way at the call, and
// clients that send slowly: none has a request served that it sent over 2 s after the call, and
// every request that was read has its answer. Afterwards `active` brings the service back.
func TestDrainTakesNoLateRequests(t *testing.T) {
	var number atomic.Int64
	d := startTestGateway(t, func() string {
		events := 27 // 2.6 s
		if n := int(number.Add(1)); n <= drainClients {
			events = 2 + n // so that the long ones don't begin together
		}
		return enginetest.SlowStream(events, 0, 100*time.Millisecond)
	})
	stop := make(chan struct{})
	var called atomic.Pointer[time.Time]
	var served, late atomic.Int64
	var clients sync.WaitGroup
	for n := range drainClients {
		clients.Go(func() { d.client(n, stop, &called, &served, &late) })
	}
	enginetest.Eventually(t, "all clients are served", func() bool { return served.Load() >= drainClients })
	now := time.Now()
	called.Store(&now)
	if a := sendCommand(t, d.control, "standby"); a != "YES" {
		t.Fatalf("standby: %s", a)
	}
	clients.Wait()
	if n := late.Load(); n > 0 {
		t.Errorf("%d requests served that were sent over %v after the call", n, drainRequestLimit)
	}
	if code := healthStatus("http://" + d.addr); code != http.StatusServiceUnavailable {
		t.Errorf("health in the drain: %d", code)
	}
	if a := sendCommand(t, d.control, "active"); a != "YES" {
		t.Fatalf("active: %s", a)
	}
	waitHealthy(t, "http://"+d.addr)
	c := d.dial()
	_, text := d.request()
	io.WriteString(c, text)
	if status, _, err := readAnswer(bufio.NewReader(c)); status != http.StatusOK || err != nil {
		t.Errorf("after the drain: %d %v", status, err)
	}
}

// client sends one request after the other on one connection until the gateway ends it. Every
// third client sends its requests in pieces over 0.9 s.
func (d *testGateway) client(n int, stop <-chan struct{}, called *atomic.Pointer[time.Time], served, late *atomic.Int64) {
	c := d.dial()
	in := bufio.NewReader(c)
	for {
		select {
		case <-stop:
			return
		default:
		}
		id, text := d.request()
		if n%3 == 0 {
			for _, part := range []string{text[:20], text[20:90]} {
				io.WriteString(c, part)
				time.Sleep(450 * time.Millisecond)
			}
			text = text[90:]
		}
		sent := time.Now() // of its last byte
		io.WriteString(c, text)
		status, body, err := readAnswer(in)
		at := called.Load()
		switch {
		case status == http.StatusOK && err == nil && strings.HasSuffix(body, "data: [DONE]\n\n"):
			if served.Add(1); at != nil && sent.Sub(*at) > drainRequestLimit {
				late.Add(1)
			}
			continue
		case at == nil:
			d.t.Errorf("%s: status %d, %v, before the drain", id, status, err)
		case status != 0 && status != http.StatusServiceUnavailable:
			d.t.Errorf("%s: status %d, %q, %v", id, status, body, err)
		case err != nil && !errors.Is(err, io.ErrUnexpectedEOF):
			d.t.Errorf("%s: %v", id, err)
		}
		return
	}
}

// The log tells of each connection why it was closed, how old it was, what it answered and what
// was left unread, and of each request and attempt, by its id, how it ended.
func TestLogTellsOfConnectionsAndRequests(t *testing.T) {
	d := startTestGateway(t, func() string { return enginetest.Stream(2, 0) })
	c := d.dial()
	in := bufio.NewReader(c)
	id, text := d.request()
	io.WriteString(c, text)
	if status, _, err := readAnswer(in); status != http.StatusOK || err != nil {
		t.Fatalf("status %d, %v", status, err)
	}
	if a := sendCommand(t, d.control, "standby"); a != "YES" {
		t.Fatalf("standby: %s", a)
	}
	if status, _, _ := readAnswer(in); status != 0 {
		t.Errorf("an idle connection got %d", status)
	}
	closed := func(reason string, answered float64) func() bool {
		return func() bool {
			for _, line := range d.lines.with("connection closed") {
				if line["reason"] == reason && line["answered"] == answered && line["unread"] == 0.0 && line["age"] != "" {
					return true
				}
			}
			return false
		}
	}
	enginetest.Eventually(t, "the close is in the log", closed("idle", 1))
	found := false
	for _, line := range d.lines.with("request answered") {
		found = found || line["id"] == id && line["verdict"] == "serving"
	}
	if !found {
		t.Errorf("no line on the answer to %s", id)
	}
	attempts := 0
	for _, line := range d.lines.with("attempt ended") {
		if line["id"] == id {
			attempts++
		}
	}
	if attempts != 2 { // the read and the answer
		t.Errorf("%d lines on attempts of %s", attempts, id)
	}
}

// A request that began to come before the drain and is whole only when no request is taken any
// more is refused: it was never forwarded, and its client may try elsewhere.
func TestDrainRefusesRequestCompletedLate(t *testing.T) {
	d := startTestGateway(t, func() string { return enginetest.Stream(2, 0) })
	for _, c := range []struct {
		name string
		cut  func(text string) int // how much comes before the call
	}{
		{"head in part", func(string) int { return 40 }},
		{"body in part", func(text string) int { return len(text) - 1 }},
	} {
		conn := d.dial()
		id, text := d.request()
		at := c.cut(text)
		io.WriteString(conn, text[:at])
		time.Sleep(100 * time.Millisecond) // it is read before the call
		if a := sendCommand(t, d.control, "standby"); a != "YES" {
			t.Fatalf("standby: %s", a)
		}
		time.Sleep(drainRequestLimit) // and goes on no sooner than this
		io.WriteString(conn, text[at:])
		if status, body, err := readAnswer(bufio.NewReader(conn)); status != http.StatusServiceUnavailable || err != nil {
			t.Errorf("%s: %s got %d %q %v", c.name, id, status, body, err)
		}
		if a := sendCommand(t, d.control, "active"); a != "YES" {
			t.Fatalf("active: %s", a)
		}
		waitHealthy(t, "http://"+d.addr)
	}
}

// The chat front ends by the same table: when it is told to end, a connection whose stream is under
// way ends with it, a request that does not come to its end is refused and not waited for, and the
// process ends by itself; nobody says when a kill comes.
func TestChatFrontEndsConnectionsInTime(t *testing.T) {
	engine := enginetest.NewEngine(t, func(enginetest.Call) string { return enginetest.SlowStream(2, 0, 2*time.Second) })
	raw, err := os.ReadFile("../../deploy/operator.json")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("127.0.0.1:8080", "127.0.0.1:0", "127.0.0.1:9001", engine.Addr).Replace(string(raw))
	cmd, url := startServing(t, nil, "serve", "--operator", writeConfig(t, text))
	waitHealthy(t, url)
	d := &testGateway{t: t, cmd: cmd, addr: strings.TrimPrefix(url, "http://")}
	const body = `{"model":"order-assistant","stream":true,"messages":[{"role":"user","content":"two bolts"}]}`
	chat := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer change-me-counter\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	streaming, cut := d.dial(), d.dial()
	in := bufio.NewReader(streaming)
	io.WriteString(streaming, chat)
	if _, err := in.Peek(1); err != nil {
		t.Fatal(err)
	}
	io.WriteString(cut, chat[:len(chat)-1])
	cmd.Process.Signal(syscall.SIGTERM)
	if status, _, err := readAnswer(bufio.NewReader(cut)); status != http.StatusServiceUnavailable || err != nil {
		t.Errorf("half a request got %d, %v", status, err)
	}
	if status, body, err := readAnswer(in); status != http.StatusOK || err != nil || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("the stream under way: %d %q %v", status, body, err)
	}
	io.WriteString(streaming, chat)
	if status, _, _ := readAnswer(in); status != 0 {
		t.Errorf("a request after the last answer got %d", status)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// Of requests that were sent together, and read together, a drain leaves none without its answer,
// whether or not the answer under way at the call had begun.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	for name, begins := range map[string]bool{"before the first answer": false, "during the first answer": true} {
		t.Run(name, func(t *testing.T) {
			begun, end := make(chan bool, 4), make(chan bool)
			d := startTestGateway(t, func() string {
				begun <- true
				if begins {
					return enginetest.SlowStream(2, 0, time.Second)
				}
				<-end
				return enginetest.Stream(2, 0)
			})
			c := d.dial()
			in := bufio.NewReader(c)
			_, first := d.request()
			_, second := d.request()
			io.WriteString(c, first+second)
			<-begun
			if begins {
				in.Peek(1)
			}
			if a := sendCommand(t, d.control, "standby"); a != "YES" {
				t.Fatalf("standby: %s", a)
			}
			close(end)
			for n := range 2 {
				status, body, err := readAnswer(in)
				if served := status == http.StatusOK && strings.HasSuffix(body, "data: [DONE]\n\n"); err != nil || !served && status != http.StatusServiceUnavailable {
					t.Errorf("request %d: %d %q %v", n+1, status, body, err)
				}
			}
			if status, _, _ := readAnswer(in); status != 0 {
				t.Errorf("an answer more than requests: %d", status)
			}
		})
	}
}

// Half a request that was read with the one before it is refused once that one has been answered,
// if no request is taken any more by then.
func TestDrainRefusesHalfOfPipelinedRequest(t *testing.T) {
	d := startTestGateway(t, func() string { return enginetest.SlowStream(2, 0, drainRequestLimit) })
	c := d.dial()
	in := bufio.NewReader(c)
	_, first := d.request()
	_, second := d.request()
	io.WriteString(c, first+second[:40])
	if _, err := in.Peek(1); err != nil {
		t.Fatal(err)
	}
	if a := sendCommand(t, d.control, "standby"); a != "YES" {
		t.Fatalf("standby: %s", a)
	}
	for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable, 0} {
		if status, _, err := readAnswer(in); status != want || err != nil {
			t.Errorf("status %d, %v, want %d", status, err, want)
		}
	}
}
