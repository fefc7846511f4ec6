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

// programCommand returns a command that runs the gateway's program: with WELLGW_TEST_RUN set, TestMain of
// this test binary calls main.
func programCommand(t *testing.T, env []string, args ...string) *exec.Cmd {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), os.Args[0], args...)
	cmd.Env = append(append(os.Environ(), "WELLGW_TEST_RUN=1"), env...)
	return cmd
}

var servingLine = regexp.MustCompile(`"listen":"([^"]+)","message":"serving"`)

var adminLine = regexp.MustCompile(`"listen":"([^"]+)","message":"admin listener open"`)

// startServing starts the program, waits until it logs its address and returns its URL.
func startServing(t *testing.T, env []string, args ...string) (*exec.Cmd, string) {
	t.Helper()
	cmd, url, _ := startServingAdmin(t, env, args...)
	return cmd, url
}

// startLogged starts a program and returns its log as a reader and as a line scanner on that reader.
func startLogged(t *testing.T, cmd *exec.Cmd) (io.Reader, *bufio.Scanner) {
	t.Helper()
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return stderr, bufio.NewScanner(stderr)
}

// startServingAdmin is startServing that also returns the address of the admin listener, "" without one.
func startServingAdmin(t *testing.T, env []string, args ...string) (cmd *exec.Cmd, url, admin string) {
	t.Helper()
	cmd = programCommand(t, env, args...)
	stderr, log := startLogged(t, cmd)
	for log.Scan() {
		if m := adminLine.FindStringSubmatch(log.Text()); m != nil {
			admin = m[1]
		}
		if m := servingLine.FindStringSubmatch(log.Text()); m != nil {
			go io.Copy(io.Discard, stderr)
			return cmd, "http://" + m[1], admin
		}
	}
	t.Fatal("the program exited without serving")
	return nil, "", ""
}

// waitHealthy waits until the health check succeeds.
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

// newRequest creates a platform client's request.
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

// postChat sends a chat request to a gateway that is configured like deploy/operator.json.
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

// answerReleasesOr returns a script that confirms releases immediately and answers other calls by script.
func answerReleasesOr(script func() string) func(enginetest.Call) string {
	return func(c enginetest.Call) string {
		if c.Method == http.MethodDelete {
			return "HTTP/1.1 204 No Content\r\n\r\n"
		}
		return script()
	}
}

// prefillAnswer is a prefill engine's answer to a processed prompt.
func prefillAnswer() string { return enginetest.Status(202, "", `{"cached_tokens":0}`) }

// writeConfig writes a configuration to a new file and returns its path.
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

// sendCommand sends one operator command and returns the reply line.
func sendCommand(t *testing.T, addr, line string) string {
	t.Helper()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, line+"\n")
	conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // only reached by a failing test
	answer, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(answer)
}

// healthStatus returns the status of one health check; 0 without an answer.
func healthStatus(url string) int {
	resp, err := http.Get(url + "/healthz")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

var handoverLine = regexp.MustCompile(`"message":"successor ready, handing over`)

// startOnSocket starts the program with the clients' socket as descriptor 3. It returns the address of the
// control listener and a channel that is closed once the program logs its hand-over.
func startOnSocket(t *testing.T, env []string, socket *os.File) (cmd *exec.Cmd, control string, handedOver <-chan struct{}) {
	t.Helper()
	cmd = programCommand(t, env, "serve")
	cmd.ExtraFiles = []*os.File{socket}
	stderr, log := startLogged(t, cmd)
	for control == "" && log.Scan() {
		if m := controlLine.FindStringSubmatch(log.Text()); m != nil {
			control = m[1]
		}
	}
	if control == "" {
		t.Fatal("no control listener")
	}
	logged := make(chan struct{})
	go func() {
		for log.Scan() {
			if handoverLine.MatchString(log.Text()) {
				close(logged)
				break
			}
		}
		io.Copy(io.Discard, stderr)
	}()
	return cmd, control, logged
}
