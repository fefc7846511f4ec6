package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"wellgw/internal/enginetest"
)

// orderConfig returns the file of a gateway that is alone, with one engine under a single_shot contract.
// keyFile is the path of its idempotency keys; "" for none.
func orderConfig(engine, keyFile string) string {
	idempotency := ""
	if keyFile != "" {
		idempotency = fmt.Sprintf(`"idempotency": {"file": %q}, `, keyFile)
	}
	return strings.NewReplacer(
		`"effect": "free"`, `"effect": "single_shot"`, `"127.0.0.1:9"`, fmt.Sprintf("%q", engine), `"engines":`, idempotency+`"gateways": 1, "engines":`,
	).Replace(operatorConfig)
}

// sendOrder sends an order under a key and returns its answer, of which the first event has arrived if its
// status is 200. retries is the client's count of earlier attempts; -1 to leave it out.
func sendOrder(ctx context.Context, t *testing.T, url, key string, retries int) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions",
		strings.NewReader(`{"model":"m","stream":true,"messages":[{"role":"user","content":"`+key+`"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer k")
	request.Header.Set("Idempotency-Key", key)
	if retries >= 0 {
		request.Header.Set("X-Stainless-Retry-Count", fmt.Sprint(retries))
	}
	response, err := http.DefaultClient.Do(request)
	if err == nil && response.StatusCode == http.StatusOK {
		_, _ = bufio.NewReader(response.Body).ReadString('\n')
	}
	return response, err
}

// endProcess ends a gateway by a signal and waits for its exit.
func endProcess(cmd *exec.Cmd, s syscall.Signal) {
	_ = cmd.Process.Signal(s)
	_ = cmd.Wait()
}

// An order that was sent to its engine runs once, whatever happens to the gateway and its file of keys
// before its client retries. It used to run again where the kill came before the key was on disk and a
// clean restart followed, and where the gateway had started with a new file.
func TestOrderRunsOnceOverRestarts(t *testing.T) {
	for name, c := range map[string]struct {
		before  string           // the first process's file of keys; "" for none
		after   string           // the later ones'
		signals []syscall.Signal // that end the processes, one after the other
		retries int              // of the client's second attempt
	}{
		"kill":                                 {"a", "a", []syscall.Signal{syscall.SIGKILL}, 1},
		"kill and planned restart":             {"a", "a", []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}, 1},
		"kill, a retry that is not counted":    {"a", "a", []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}, -1},
		"first start with a file":              {"", "a", []syscall.Signal{syscall.SIGTERM}, 1},
		"first start with a file, and another": {"", "a", []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM, syscall.SIGTERM}, 1},
		"another file":                         {"a", "b", []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engine := enginetest.NewEngine(t, func(enginetest.Call) string { return enginetest.SlowStream(4, 0, 200*time.Millisecond) })
			dir := t.TempDir()
			path := func(file string) string {
				if file == "" {
					return ""
				}
				return filepath.Join(dir, file)
			}
			cmd, url := startServing(t, nil, "serve", "--operator", writeConfig(t, orderConfig(engine.Addr, path(c.before))))
			waitHealthy(t, url)
			ctx, abandon := context.WithCancel(t.Context())
			defer abandon()
			response, err := sendOrder(ctx, t, url, "order-1", 0)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Fatal(response, err)
			}
			if c.signals[0] != syscall.SIGKILL { // the client leaves first, as the gateway would wait for the answer
				abandon()
			}
			for _, s := range c.signals {
				endProcess(cmd, s)
				cmd, url = startServing(t, nil, "serve", "--operator", writeConfig(t, orderConfig(engine.Addr, path(c.after))))
				waitHealthy(t, url)
			}
			response, err = sendOrder(t.Context(), t, url, "order-1", c.retries)
			if err != nil {
				t.Fatal(err)
			}
			answer, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode != http.StatusConflict || !strings.Contains(string(answer), "idempotency_fate_unknown") {
				t.Errorf("the retry got status %d: %s", response.StatusCode, answer)
			}
			if runs := len(engine.Calls(http.MethodPost)); runs != 1 {
				t.Errorf("the order ran %d times", runs)
			}
			endProcess(cmd, syscall.SIGTERM)
		})
	}
}
