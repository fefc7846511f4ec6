package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"wellgw/internal/enginetest"
)

// SIGHUP moves the watch to the new address in the file and keeps the known revision. An invalid file changes
// nothing, and neither does SIGHUP during the shutdown.
func TestPlatformReload(t *testing.T) {
	discovery := func() (addr string, events chan string) {
		events = make(chan string, 10)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			events <- r.URL.RawQuery
			io.WriteString(w, `{"revision":2,"complete":true,"members":[{"id":"r1","host_port":"127.0.0.1:1","locality":"a","flavor":"r","phase":"active"}]}`+"\n")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			events <- "ended"
		}))
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		return s.Listener.Addr().String(), events
	}
	old, oldEvents := discovery()
	next, nextEvents := discovery()
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"settings":%s}`, old, testSettings)
	config := writeConfig(t, text)
	cmd, url := startServing(t, []string{"EDGE_CONFIG=" + config, "EDGE_DISCOVERY=" + old}, "serve")
	waitHealthy(t, url)
	nextEvent := func(events chan string) string {
		select {
		case q := <-events:
			return q
		case <-time.After(20 * time.Second):
			return "no event"
		}
	}
	if q := nextEvent(oldEvents); q != "watch=1&after=0" {
		t.Errorf("query at the old address: %q", q)
	}
	for _, text := range []string{`{"discovery":`, strings.Replace(text, old, "nowhere", 1), strings.Replace(text, old, next, 1)} {
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	if a, b := nextEvent(oldEvents), nextEvent(nextEvents); a != "ended" || b != "watch=1&after=2" {
		t.Errorf("old address: %q; new address: %q", a, b)
	}
	waitHealthy(t, url)
	cmd.Process.Signal(syscall.SIGTERM)
	cmd.Process.Signal(syscall.SIGHUP)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// New keys and models in the operator's file apply after SIGHUP; a file that changes a field that needs a
// restart is rejected.
func TestChatReload(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/operator.json")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(raw), "127.0.0.1:8080", "127.0.0.1:0", 1)
	path := writeConfig(t, text)
	cmd, url := startServing(t, nil, "serve", "--operator", path)
	models := func(key string) string {
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, url+"/v1/models", nil)
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return string(b)
	}
	for _, c := range []struct{ old, new, key, want string }{
		{"change-me-counter", "fresh-key", "fresh-key", "order-assistant"},
		{`"deadline_ms": 4000`, `"deadline_ms": 4001`, "fresh-key", "order-assistant"},
		{"order-assistant", "orders", "change-me-counter", `"orders"`},
	} {
		if err := os.WriteFile(path, []byte(strings.ReplaceAll(text, c.old, c.new)), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd.Process.Signal(syscall.SIGHUP)
		enginetest.Eventually(t, "models for "+c.key, func() bool { return strings.Contains(models(c.key), c.want) })
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}
