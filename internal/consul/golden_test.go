package consul

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wellgw/internal/config"
)

// canonicalJSON returns a JSON body with sorted keys, and any other body unchanged.
func canonicalJSON(t *testing.T, raw []byte) string {
	t.Helper()
	var v any
	if len(raw) == 0 || json.Unmarshal(raw, &v) != nil {
		return string(raw)
	}
	out, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(out)
}

// The requests of the client as an agent receives them: method, target, token and body.
func TestClientRequests(t *testing.T) {
	calls := make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/status/leader" {
			return
		}
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		calls <- strings.TrimSpace(fmt.Sprintf("%s %s %s %s", r.Method, r.URL.RequestURI(), r.Header.Get("X-Consul-Token"), canonicalJSON(t, raw)))
		w.Header().Set("X-Consul-Index", "5")
		switch {
		case r.URL.Path == "/v1/session/create":
			io.WriteString(w, `{"ID":"s1"}`)
		case r.Method == http.MethodGet:
			io.WriteString(w, `[{"Key":"k/a","Value":"aGk=","Session":"s1","LockIndex":2,"ModifyIndex":3}]`)
		default:
			io.WriteString(w, "true\n")
		}
	}))
	t.Cleanup(server.Close)
	c, err := NewClient(config.Consul{Address: server.Listener.Addr().String(), Token: "tok", Datacenter: "dc1"}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx := t.Context()
	requireTrue := func(ok bool, err error) error {
		if err == nil && !ok {
			t.Error("result false, want true")
		}
		return err
	}
	for _, step := range []struct {
		call func() error
		want string
	}{
		{func() error {
			pairs, index, err := c.List(ctx, "k/", 4, 2*time.Second)
			want := []Pair{{Key: "k/a", Value: []byte("hi"), Session: "s1", LockIndex: 2, ModifyIndex: 3}}
			if diff := cmp.Diff(want, pairs); diff != "" || index != 5 {
				t.Errorf("index %d (-want +got):\n%s", index, diff)
			}
			return err
		}, "GET /v1/kv/k/?dc=dc1&index=4&recurse=&wait=2000ms tok"},
		{func() error {
			_, ok, err := c.Read(ctx, "k/a")
			return requireTrue(ok, err)
		}, "GET /v1/kv/k/a?dc=dc1&recurse= tok"},
		{func() error { return requireTrue(c.CompareAndSwap(ctx, "k/a", []byte("v"), 3)) }, "PUT /v1/kv/k/a?cas=3 tok v"},
		{func() error { return requireTrue(c.CompareAndDelete(ctx, "k/a", 3)) }, "DELETE /v1/kv/k/a?cas=3 tok"},
		{func() error { return c.DeletePrefix(ctx, "k/") }, "DELETE /v1/kv/k/?recurse= tok"},
		{func() error { return c.Write(ctx, "k/a", []byte("v")) }, "PUT /v1/kv/k/a tok v"},
		{func() error { return requireTrue(c.AcquireLock(ctx, "k/a", "s1", []byte("v"))) }, "PUT /v1/kv/k/a?acquire=s1 tok v"},
		{func() error {
			id, err := c.NewSession(ctx, "me", 10*time.Second, time.Second)
			if id != "s1" {
				t.Errorf("session %q", id)
			}
			return err
		}, `PUT /v1/session/create tok {"Behavior":"release","Checks":[],"LockDelay":"1s","Name":"me","TTL":"10s"}`},
		{func() error { return requireTrue(c.RenewSession(ctx, "s1")) }, "PUT /v1/session/renew/s1 tok"},
		{func() error { return c.DestroySession(ctx, "s1") }, "PUT /v1/session/destroy/s1 tok"},
		{func() error { return c.Put(ctx, "/v1/agent/x", []byte("y")) }, "PUT /v1/agent/x tok y"},
	} {
		if err := step.call(); err != nil {
			t.Errorf("%s: %v", step.want, err)
			continue
		}
		if got := <-calls; got != step.want {
			t.Errorf("got %s, want %s", got, step.want)
		}
	}
}

// The requests for the gateway's own registration as an agent receives them.
func TestRegistrationRequests(t *testing.T) {
	calls := make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Consul-Index", "5")
		if !strings.HasPrefix(r.URL.Path, "/v1/agent/") {
			io.WriteString(w, "[]")
			return
		}
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		var body map[string]any
		if json.Unmarshal(raw, &body) == nil && body["Meta"] != nil {
			meta := body["Meta"].(map[string]any)
			if ms, ok := meta["started_ms"].(string); ok && len(ms) == 13 {
				meta["started_ms"] = "now"
			}
			if raw, err = json.Marshal(body); err != nil {
				t.Error(err)
			}
		}
		calls <- strings.TrimSpace(r.Method + " " + r.URL.RequestURI() + " " + canonicalJSON(t, raw))
	}))
	t.Cleanup(server.Close)
	env := startEnv(t, 0, func(*testEnv) {}, func(_ *testEnv, cfg *config.Consul) {
		cfg.Address = server.Listener.Addr().String()
		cfg.Register = &config.Register{Name: "gw", ID: "g 1", Address: "127.0.0.1:8080", TTLMS: 1000}
	})
	for _, want := range []string{
		`PUT /v1/agent/service/register {"Address":"127.0.0.1","Check":{"CheckID":"service:g 1","DeregisterCriticalServiceAfter":"1m0s","Status":"passing","TTL":"1s"},` +
			`"ID":"g 1","Meta":{"started_ms":"now"},"Name":"gw","Port":8080}`,
		`PUT /v1/agent/check/update/service:g%201 {"Status":"passing"}`,
	} {
		if got := <-calls; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
	env.discovery.mu.Lock()
	env.discovery.cancelWatcher()
	env.discovery.mu.Unlock()
	for got := range calls {
		if strings.Contains(got, "deregister") {
			if want := "PUT /v1/agent/service/deregister/g%201"; got != want {
				t.Errorf("got %s, want %s", got, want)
			}
			break
		}
	}
}

// The statistics of a watcher, as operators read them.
func TestStatsJSON(t *testing.T) {
	got, err := json.Marshal(Stats{Agent: "a", Queries: 1, Failed: 2, Bytes: 3, Unchanged: 4, Services: 5, Polling: true})
	if err != nil {
		t.Fatal(err)
	}
	want := `{"agent":"a","queries":1,"failed":2,"bytes":3,"unchanged":4,"services":5,"rounds":true}`
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
