package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"wellgw/fake/consul"
	"wellgw/internal/enginetest"
)

// TestMain runs the program itself when a test starts this binary as such.
func TestMain(m *testing.M) {
	if os.Getenv("WELLGW_TEST_RUN") == "1" {
		if n, err := strconv.ParseUint(os.Getenv("WELLGW_TEST_NOFILE"), 10, 64); err == nil {
			if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
				panic(err)
			}
		}
		main()
		return
	}
	os.Exit(m.Run())
}

// The program takes its engines from discovery, serves, and on SIGTERM still
// finishes what it has taken, on a connection that it ends, then exits with 0.
func TestPlatformFromStartToLeave(t *testing.T) {
	asked, answer := make(chan bool, 1), make(chan bool)
	prefill := enginetest.NewEngine(t, releasedOr(prefillAnswer))
	decode := enginetest.NewEngine(t, releasedOr(func() string {
		asked <- true
		<-answer
		return enginetest.Stream(3, 0)
	}))
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"revision":2,"complete":true,"members":[{"id":"r1","host_port":%q,"locality":"a","flavor":"r","phase":"active","size":1},{"id":"w1","host_port":%q,"locality":"a","flavor":"w","phase":"active","size":1}]}`+"\n", prefill.Addr, decode.Addr)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer discovery.Close()
	defer discovery.CloseClientConnections()
	config := writeConfig(t, fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"1f","settings":%s}`, discovery.Listener.Addr(), testSettings))
	cmd, url := startServing(t, []string{"EDGE_CONFIG=" + config}, "serve")
	waitHealthy(t, url)
	req := newRequest(t, url)
	type result struct {
		status int
		close  bool
		text   string
		err    error
	}
	got := make(chan result, 1)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			got <- result{err: err}
			return
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		got <- result{resp.StatusCode, resp.Close, string(b), err}
	}()
	<-asked
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	enginetest.Eventually(t, "unhealthy, or no longer listening", func() bool {
		resp, err := http.Get(url + "/healthz")
		if err != nil {
			return true
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	close(answer)
	if r := <-got; r.err != nil || r.status != 200 || !r.close || !strings.HasSuffix(r.text, "data: [DONE]\n\n") {
		t.Errorf("answer %+v", r)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// Streams that outlast the time before SIGKILL are cut off in good order where
// clients ask for the rest, so that their states are let go.
func TestShutdownCutsOffLongStreams(t *testing.T) {
	prefill := enginetest.NewEngine(t, releasedOr(prefillAnswer))
	decode := enginetest.NewEngine(t, releasedOr(func() string {
		return enginetest.StreamHead + enginetest.Chunk("data: x\n\n") + enginetest.Hang
	}))
	config := writeConfig(t, fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":%s,
		"known":{"revision":1,"complete":true,"members":[
			{"id":"r1","host_port":%q,"locality":"a","flavor":"r","phase":"active"},
			{"id":"w1","host_port":%q,"locality":"a","flavor":"w","phase":"active"}]}}`,
		strings.Replace(testSettings, `"pin_limit"`, `"resume":true,"pin_limit"`, 1), prefill.Addr, decode.Addr))
	cmd, url := startServing(t, []string{"EDGE_CONFIG=" + config}, "serve")
	req := newRequest(t, url)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	term := time.Now()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	// The others may be away too: it still takes what comes.
	time.Sleep(time.Second)
	late, err := http.Get(url + "/healthz")
	if err == nil {
		late.Body.Close()
	} else if time.Since(term) < 2500*time.Millisecond {
		t.Errorf("a second after SIGTERM: %v", err)
	}
	if b, err := io.ReadAll(resp.Body); err == nil || string(b) != "data: x\n\n" {
		t.Errorf("%q, %v", b, err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	// The second call is for an engine that sees the end of the connection late.
	if n := len(decode.Calls("DELETE")); n < 2 {
		t.Errorf("%d releases at the decode engine, want 2", n)
	}
}

// The chat API that an operator's file sets up answers over sockets.
func TestOperatorsChatAPI(t *testing.T) {
	engine := enginetest.NewEngine(t, func(enginetest.Call) string { return enginetest.Stream(3, 0) })
	host, port, err := net.SplitHostPort(engine.Addr)
	if err != nil {
		t.Fatal(err)
	}
	consul := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/health/service/llm" || r.URL.Query().Get("index") != "" {
			<-r.Context().Done()
			return
		}
		w.Header().Set("X-Consul-Index", "12")
		fmt.Fprintf(w, `[{"Service":{"ID":"e1","Address":%q,"Port":%s,"Meta":{"role":"openai"}},"Checks":[{"Status":"passing"}]}]`, host, port)
	}))
	defer consul.Close()
	defer consul.CloseClientConnections()
	raw, err := os.ReadFile("../../deploy/operator.json")
	if err != nil {
		t.Fatal(err)
	}
	static := strings.NewReplacer("127.0.0.1:8080", "127.0.0.1:0", "127.0.0.1:9001", engine.Addr).Replace(string(raw))
	list := regexp.MustCompile(`(?s)"engines": \[.*?\]`)
	for _, text := range []string{
		static, list.ReplaceAllString(static, fmt.Sprintf(`"consul": {"address": %q, "service": "llm"}`, consul.Listener.Addr())),
	} {
		cmd, url := startServing(t, nil, "serve", "--operator", writeConfig(t, text))
		waitHealthy(t, url)
		resp := postChat(t, url)
		b, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != 200 || !strings.Contains(string(b), `"content":"w0 w1 w2 "`) {
			t.Errorf("%d %s %v", resp.StatusCode, b, err)
		}
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Wait(); err != nil {
			t.Errorf("exit: %v", err)
		}
	}
}

// The engines command shows what a running gateway makes of its engines, and why.
func TestEnginesCommand(t *testing.T) {
	store := consul.NewStore()
	defer store.Close()
	agent, err := consul.NewAgent(store, "node-1")
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	for id, status := range map[string]string{"e1": "passing", "e2": "critical"} {
		store.Register(consul.Service{ID: id, Name: "llm", Node: "node-1", Address: "127.0.0.1", Port: 1 + len(status)}, map[string]string{"alive:" + id: status})
	}
	raw, err := os.ReadFile("../../deploy/operator.json")
	if err != nil {
		t.Fatal(err)
	}
	text := regexp.MustCompile(`(?s)"engines": \[.*?\]`).ReplaceAllString(string(raw), fmt.Sprintf(
		`"consul": {"address": %q, "service": "llm", "register": {"name": "wellgw"}}, "state_file": %q, "admin": {"listen": %q}`,
		agent.Addr, filepath.Join(t.TempDir(), "view"), "127.0.0.1:0"))
	path := writeConfig(t, strings.Replace(text, "127.0.0.1:8080", "127.0.0.1:0", 1))
	cmd, _, at := startServingAdmin(t, nil, "serve", "--operator", path)
	var out string
	enginetest.Eventually(t, "both engines are shown", func() bool {
		b, _ := program(t, nil, "engines", "--admin", at).CombinedOutput()
		out = string(b)
		return strings.Contains(out, "critical by service llm") && strings.Contains(out, "1 of 2 engines take new work; 1 gateways share them")
	})
	if b, err := program(t, nil, "engines", "--json", "--admin", at).Output(); err != nil || !strings.Contains(string(b), `"why": "critical by service llm"`) {
		t.Errorf("%s, %v", b, err)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	for _, m := range store.StatusChanges() {
		if strings.HasPrefix(m.Service, "wellgw-") && m.Status == "gone" {
			return
		}
	}
	t.Error("the gateway is still listed")
}

// Without Consul the engines of the file are shown the same way, metrics told, and a
// request and its attempts written as one trace.
func TestOperatorsListenerWithoutConsul(t *testing.T) {
	engine := enginetest.NewEngine(t, func(enginetest.Call) string { return enginetest.Stream(3, 0) })
	raw, err := os.ReadFile("../../deploy/operator.json")
	if err != nil {
		t.Fatal(err)
	}
	spans := filepath.Join(t.TempDir(), "spans")
	text := strings.NewReplacer("127.0.0.1:8080", "127.0.0.1:0", "127.0.0.1:9001", engine.Addr,
		`"engines":`, fmt.Sprintf(`"admin": {"listen": "127.0.0.1:0", "trace_file": %q}, "engines":`, spans)).Replace(string(raw))
	cmd, url, at := startServingAdmin(t, nil, "serve", "--operator", writeConfig(t, text))
	waitHealthy(t, url)
	resp := postChat(t, url)
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if b, err := program(t, nil, "engines", "--admin", at).Output(); err != nil || !strings.Contains(string(b), "1 of 1 engines take new work") {
		t.Errorf("%s, %v", b, err)
	}
	metrics, err := http.Get("http://" + at + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	b, _ := io.ReadAll(metrics.Body)
	metrics.Body.Close()
	if !strings.Contains(string(b), `wellgw_events_total{event="serving"} 1`) {
		t.Errorf("metrics: %s", b)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	written, err := os.ReadFile(spans)
	ids := regexp.MustCompile(`"TraceID":"([0-9a-f]+)"`).FindAllStringSubmatch(string(written), -1)
	if err != nil || len(ids) < 2 || ids[0][1] != ids[len(ids)-1][1] {
		t.Errorf("spans: %s, %v", written, err)
	}
}

func TestCommandLine(t *testing.T) {
	bad := writeConfig(t, `{"listen":"nowhere","contracts":[{"name":"c","effect":"free","aim_ms":1,"deadline_ms":1}]}`)
	for _, c := range []struct {
		args []string
		exit int
		out  string
	}{
		{[]string{"version"}, 0, "wellgw "},
		{[]string{"check", "../../deploy/operator.json"}, 0, "ok\n"},
		{[]string{"check", bad}, 1, "wellgw: check: " + bad + ": operator's file: listen: "},
		{[]string{"check"}, 1, "wellgw: check: name a file"},
		{[]string{"serve"}, 1, "wellgw: EDGE_CONFIG: not set"},
		{[]string{"serve", "--operator", bad}, 1, "wellgw: operator's file: listen: "},
	} {
		cmd := program(t, []string{"EDGE_CONFIG="}, c.args...)
		out, _ := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != c.exit || !strings.HasPrefix(string(out), c.out) || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%v: exit %d, %q", c.args, cmd.ProcessState.ExitCode(), out)
		}
	}
}

// The program serves on the socket it inherits, answers calls at the address
// EDGE_CONTROL names, drains and comes back by call, and keeps ejections in TMPDIR.
func TestCallsOnAnInheritedSocket(t *testing.T) {
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, `{"revision":2,"complete":true,"members":[{"id":"r1","host_port":"127.0.0.1:1","locality":"a","flavor":"r","phase":"active"},{"id":"w1","host_port":"127.0.0.1:1","locality":"a","flavor":"w","phase":"active"}]}`+"\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer discovery.Close()
	defer discovery.CloseClientConnections()
	clients, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	socket, err := clients.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	clients.Close() // the program holds the socket now, as on the platform
	tmp := t.TempDir()
	config := writeConfig(t, fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:1","discovery":%q,"seed":"1f","settings":%s}`, discovery.Listener.Addr(), testSettings))
	env := []string{"EDGE_CONFIG=" + config, "EDGE_CONTROL=127.0.0.1:0", "EDGE_SOCKET_FD=3", "TMPDIR=" + tmp}
	cmd, control, handed := startOnSocket(t, env, socket)
	url := "http://" + clients.Addr().String()
	waitHealthy(t, url)
	enginetest.Eventually(t, "status is yes", func() bool { return sendCommand(t, control, "status") == "YES" })
	idle, err := net.Dial("tcp4", clients.Addr().String()) // kept idle from before the drain
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	io.WriteString(idle, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	if resp, err := http.ReadResponse(bufio.NewReader(idle), nil); err != nil || resp.Close {
		t.Fatalf("before the drain: %v", err)
	}
	for _, c := range []struct{ line, want string }{
		{"maint-on nobody", "NO"},
		{"maint-on w1", "YES"},
		{"maint-on w1", "YES"},
		{"bogus", "NO"},
		{"standby", "YES"},
	} {
		if got := sendCommand(t, control, c.line); got != c.want {
			t.Errorf("%s: %s, want %s", c.line, got, c.want)
		}
	}
	idle.SetReadDeadline(time.Now().Add(10 * time.Second)) // a bound for a broken test only
	if n, err := idle.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("an idle connection outlived the drain: %d %v", n, err)
	}
	if text, err := os.ReadFile(tmp + "/wellgw-bans-n1"); err != nil || string(text) != "w1\n" {
		t.Errorf("file of ejections: %q %v", text, err)
	}
	if code := healthStatus(url); code != http.StatusServiceUnavailable {
		t.Errorf("health in standby: %d", code)
	}
	if got := sendCommand(t, control, "active"); got != "YES" {
		t.Errorf("active: %s", got)
	}
	if code := healthStatus(url); code != http.StatusOK {
		t.Errorf("health after the drain: %d", code)
	}
	if got := sendCommand(t, control, "maint-off w1"); got != "YES" {
		t.Errorf("maint-off: %s", got)
	}
	// A new version on the same socket: once it is ready the old one hands over,
	// and leaves in good order; the new one serves on.
	next, nextControl, _ := startOnSocket(t, env, socket)
	socket.Close()
	enginetest.Eventually(t, "the new version is ready", func() bool { return sendCommand(t, nextControl, "status") == "YES" })
	select {
	case <-handed:
	case <-time.After(20 * time.Second): // a bound for a broken test only
		t.Fatal("the old version did not hand over")
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit of the old version: %v", err)
	}
	if code := healthStatus(url); code != http.StatusOK {
		t.Errorf("health after the hand-over: %d", code)
	}
	next.Process.Signal(syscall.SIGTERM)
	if err := next.Wait(); err != nil {
		t.Errorf("exit of the new version: %v", err)
	}
}
