package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"wellgw/internal/enginetest"
)

// program is a run of the program itself: TestMain starts it where WELLGW_TEST_RUN is set.
func program(t *testing.T, env []string, args ...string) *exec.Cmd {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), os.Args[0], args...)
	cmd.Env = append(append(os.Environ(), "WELLGW_TEST_RUN=1"), env...)
	return cmd
}

var servingLine = regexp.MustCompile(`"listen":"([^"]+)","message":"serving"`)

var adminLine = regexp.MustCompile(`"listen":"([^"]+)","message":"admin listener open"`)

// startServing starts the program and waits until it says where it listens.
func startServing(t *testing.T, env []string, args ...string) (*exec.Cmd, string) {
	t.Helper()
	cmd, url, _ := startServingAdmin(t, env, args...)
	return cmd, url
}

// startLogged starts a program and returns its log, as such and by lines.
func startLogged(t *testing.T, cmd *exec.Cmd) (io.Reader, *bufio.Scanner) {
	t.Helper()
	errs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return errs, bufio.NewScanner(errs)
}

// startServingAdmin also returns the address of its admin listener, if it has one.
func startServingAdmin(t *testing.T, env []string, args ...string) (cmd *exec.Cmd, url, admin string) {
	t.Helper()
	cmd = program(t, env, args...)
	errs, log := startLogged(t, cmd)
	for log.Scan() {
		if m := adminLine.FindStringSubmatch(log.Text()); m != nil {
			admin = m[1]
		}
		if m := servingLine.FindStringSubmatch(log.Text()); m != nil {
			go io.Copy(io.Discard, errs)
			return cmd, "http://" + m[1], admin
		}
	}
	t.Fatal("the program ended without serving")
	return nil, "", ""
}

// waitHealthy waits until the program can serve.
func waitHealthy(t *testing.T, url string) {
	t.Helper()
	enginetest.Eventually(t, "healthy", func() bool {
		resp, err := http.Get(url + "/healthz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// newRequest makes a platform client's request.
func newRequest(t *testing.T, url string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(`{}`))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range map[string]string{"X-Request-Id": "9b1f", "X-Class": "order", "X-Key": "s", "X-Deadline-Ms": "60000", "X-Extras": "prompt_len=100,max_out=50"} {
		req.Header.Set(k, v)
	}
	return req
}

// postChat asks a gateway that runs by deploy/operator.json for a chat.
func postChat(t *testing.T, url string) *http.Response {
	t.Helper()
	req := newRequest(t, url)
	req.Body = io.NopCloser(strings.NewReader(`{"model":"order-assistant","messages":[{"role":"user","content":"two bolts"}]}`))
	req.ContentLength = -1
	req.Header.Set("Authorization", "Bearer change-me-counter")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// releasedOr answers a release at once and anything else by script.
func releasedOr(script func() string) func(enginetest.Call) string {
	return func(c enginetest.Call) string {
		if c.Method == http.MethodDelete {
			return "HTTP/1.1 204 No Content\r\n\r\n"
		}
		return script()
	}
}

// prefillAnswer is what a prefill engine answers once it has read a prompt.
func prefillAnswer() string { return enginetest.Status(202, "", `{"cached_tokens":0}`) }

// writeConfig writes a configuration to a file of its own and returns its path.
func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const testSettings = `{"az":"a","zones":["a"],"balancers":1,"kinds":["r","w"],"tick":4000,
	"classes":[{"name":"order","aim":10000000,"hard_limit":60000000,"effect":"single_shot","gain":1}],
	"family_info":{"duty_by_kind":["read","write"],"pin_limit":500000,"tokens_by_kind":[200000,200000]},
	"limits":{"send_cap":4,"cancelling":true,"conn_idle":15000000,"connect_timeout":1000000},
	"rules":{"answer_slack":16000,"fall":3000000,"fall_multiple":4,"cold_share":0.3,"cold":1000000}}`

var controlLine = regexp.MustCompile(`"control":"([^"]+)","message":"control listener open"`)

// sendCommand sends one operator's command and returns the line that answers it.
func sendCommand(t *testing.T, addr, line string) string {
	t.Helper()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, line+"\n")
	conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // a bound for a broken test only
	answer, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(answer)
}

// healthStatus is the status of one health check; 0 where there is no answer.
func healthStatus(url string) int {
	resp, err := http.Get(url + "/healthz")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

var handoverLine = regexp.MustCompile(`"message":"successor ready, handing over`)

// startOnSocket starts the program on the clients' socket, as descriptor 3, and
// returns where it takes calls and a channel closed once it has handed over.
func startOnSocket(t *testing.T, env []string, socket *os.File) (cmd *exec.Cmd, control string, handed <-chan struct{}) {
	t.Helper()
	cmd = program(t, env, "serve")
	cmd.ExtraFiles = []*os.File{socket}
	errs, log := startLogged(t, cmd)
	for control == "" && log.Scan() {
		if m := controlLine.FindStringSubmatch(log.Text()); m != nil {
			control = m[1]
		}
	}
	if control == "" {
		t.Fatal("no control listener")
	}
	done := make(chan struct{})
	go func() {
		for log.Scan() {
			if handoverLine.MatchString(log.Text()) {
				close(done)
				break
			}
		}
		io.Copy(io.Discard, errs)
	}()
	return cmd, control, done
}
