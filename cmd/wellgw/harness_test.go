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

func program(t *testing.T, env []string, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(t.Context(), os.Args[0], args...)
	cmd.Env = append(append(os.Environ(), "WELLGW_TEST_RUN=1"), env...)
	return cmd
}

var listening = regexp.MustCompile(`"listen":"([^"]+)","message":"serving"`)

var adminListening = regexp.MustCompile(`"listen":"([^"]+)","message":"admin listener open"`)

// serving starts the program and waits until it says where it listens.
func serving(t *testing.T, env []string, args ...string) (*exec.Cmd, string) {
	t.Helper()
	cmd, url, _ := servingWith(t, env, args...)
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

// servingWith also returns where its operators' listener is, if it has one.
func servingWith(t *testing.T, env []string, args ...string) (cmd *exec.Cmd, url, admin string) {
	t.Helper()
	cmd = program(t, env, args...)
	errs, log := startLogged(t, cmd)
	for log.Scan() {
		if m := adminListening.FindStringSubmatch(log.Text()); m != nil {
			admin = m[1]
		}
		if m := listening.FindStringSubmatch(log.Text()); m != nil {
			go io.Copy(io.Discard, errs)
			return cmd, "http://" + m[1], admin
		}
	}
	t.Fatal("the program ended without serving")
	return nil, "", ""
}

// healthy waits until the program can serve.
func healthy(t *testing.T, url string) {
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

// post makes a platform client's request.
func post(t *testing.T, url string) *http.Request {
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

// askChat asks a gateway that runs by deploy/operator.json for a chat.
func askChat(t *testing.T, url string) *http.Response {
	t.Helper()
	req := post(t, url)
	req.Body = io.NopCloser(strings.NewReader(`{"model":"order-assistant","messages":[{"role":"user","content":"two bolts"}]}`))
	req.ContentLength = -1
	req.Header.Set("Authorization", "Bearer change-me-counter")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// until answers a release at once and anything else by script.
func until(script func() string) func(enginetest.Call) string {
	return func(c enginetest.Call) string {
		if c.Method == http.MethodDelete {
			return "HTTP/1.1 204 No Content\r\n\r\n"
		}
		return script()
	}
}

func read() string { return enginetest.Status(202, "", `{"cached_tokens":0}`) }

func file(t *testing.T, text string) string {
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

var calling = regexp.MustCompile(`"control":"([^"]+)","message":"control listener open"`)

// dial makes one operator's call and returns the answer's line.
func dial(t *testing.T, addr, line string) string {
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

func health(url string) int {
	resp, err := http.Get(url + "/healthz")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

var handing = regexp.MustCompile(`"message":"successor ready, handing over`)

// onSocket starts the program on the clients' socket, as descriptor 3, and
// returns where it takes calls and a channel closed once it has handed over.
func onSocket(t *testing.T, env []string, socket *os.File) (cmd *exec.Cmd, control string, handed <-chan struct{}) {
	t.Helper()
	cmd = program(t, env, "serve")
	cmd.ExtraFiles = []*os.File{socket}
	errs, log := startLogged(t, cmd)
	for control == "" && log.Scan() {
		if m := calling.FindStringSubmatch(log.Text()); m != nil {
			control = m[1]
		}
	}
	if control == "" {
		t.Fatal("no control listener")
	}
	done := make(chan struct{})
	go func() {
		for log.Scan() {
			if handing.MatchString(log.Text()) {
				close(done)
				break
			}
		}
		io.Copy(io.Discard, errs)
	}()
	return cmd, control, done
}
