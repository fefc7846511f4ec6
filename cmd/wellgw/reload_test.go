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

// SIGHUP moves the watch to the address that the file now names and keeps what is
// known; a file that can't be read changes nothing, nor does SIGHUP while leaving.
func TestPlatformReloads(t *testing.T) {
	discovery := func() (addr string, asked chan string) {
		asked = make(chan string, 10)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked <- r.URL.RawQuery
			io.WriteString(w, `{"revision":2,"complete":true,"members":[{"id":"r1","host_port":"127.0.0.1:1","locality":"a","flavor":"r","phase":"active"}]}`+"\n")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			asked <- "ended"
		}))
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		return s.Listener.Addr().String(), asked
	}
	old, oldAsked := discovery()
	next, nextAsked := discovery()
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"settings":%s}`, old, testSettings)
	config := writeConfig(t, text)
	cmd, url := startServing(t, []string{"EDGE_CONFIG=" + config, "EDGE_DISCOVERY=" + old}, "serve")
	waitHealthy(t, url)
	said := func(asked chan string) string {
		select {
		case q := <-asked:
			return q
		case <-time.After(20 * time.Second):
			return "nothing"
		}
	}
	if q := said(oldAsked); q != "watch=1&after=0" {
		t.Errorf("the old address was asked %q", q)
	}
	for _, text := range []string{`{"discovery":`, strings.Replace(text, old, "nowhere", 1), strings.Replace(text, old, next, 1)} {
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	if a, b := said(oldAsked), said(nextAsked); a != "ended" || b != "watch=1&after=2" {
		t.Errorf("old address: %q; new address: %q", a, b)
	}
	waitHealthy(t, url)
	cmd.Process.Signal(syscall.SIGTERM)
	cmd.Process.Signal(syscall.SIGHUP)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// An operator's new keys and models hold after SIGHUP; what needs a restart does not.
func TestChatReloads(t *testing.T) {
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
