package consul

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"wellgw/decide/roster"
	"wellgw/internal/config"
)

func TestParseHealth(t *testing.T) {
	entry := func(id, addr, meta, checks string) string {
		return fmt.Sprintf(`{"Node":{"Node":"n","Address":"127.0.0.9"},"Service":{"ID":%q,"Address":%q,"Port":80,"Meta":{%s},"CreateIndex":3,"ModifyIndex":5},"Checks":[%s]}`, id, addr, meta, checks)
	}
	v, nodes, err := parseHealth([]byte("["+strings.Join([]string{
		entry("a", "", `"role":"read","zone":"z","cell":"3","started_ms":"1700000000000"`, `{"CheckID":"x","Status":"warning","ModifyIndex":9}`),
		entry("b", "127.0.0.8", `"started":"2026-01-02T03:04:05Z"`, `{"CheckID":"x","Status":"odd"}`),
		entry("a", "127.0.0.7", ``, `{"CheckID":"_node_maintenance","Status":"critical"}`),
		`{"Service":{"ID":"c","Port":70000},"Checks":[{"Status":"critical"}]}`, `7`,
	}, ",")+"]"), "here")
	if err != nil {
		t.Fatal(err)
	}
	want := []roster.Entry{
		{ID: "a", Addr: "127.0.0.9:80", Kind: "read", Zone: "z", Cell: 3, Mark: roster.Maintenance, Started: time.UnixMilli(1700000000000), Registered: 3, Index: 9},
		{ID: "b", Addr: "127.0.0.8:80", Kind: "openai", Zone: "here", Mark: roster.Critical, Started: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), Registered: 3, Index: 5},
	}
	for i := range want {
		if got := v.Entries[i]; !got.Started.Equal(want[i].Started) {
			t.Errorf("started %v", got.Started)
		} else if got.Started = want[i].Started; got != want[i] {
			t.Errorf("%+v, want %+v", got, want[i])
		}
	}
	if len(v.Entries) != 2 || !slices.Equal(v.Malformed, []string{"c", ""}) || v.MalformedMarks["c"] != roster.Critical || len(nodes) != 3 {
		t.Errorf("%+v, nodes %v", v, nodes)
	}
}

// The parsers end without a panic for any body, and accept no entry without a valid address and ID.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		`[]`, `[null]`, `[{"Node":null,"Service":{"ID":"e1","Port":-4}}]`, `{}`, `[{"Service":{"ID":"x","Port":1},"Checks":{}}]`, `[{"Service":[],"Checks":3}]`, `null`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		v, _, err := parseHealth(body, "z")
		if err == nil {
			for _, e := range v.Entries {
				if _, _, err := net.SplitHostPort(e.Addr); err != nil || e.ID == "" {
					t.Errorf("accepted: %+v", e)
				}
			}
		}
		_, _, _ = parseServices(body, "t")
	})
}

// Every query carries the configured tag, filter, datacenter and consistency mode in the documented
// parameters.
func TestQueryParameters(t *testing.T) {
	for name, c := range map[string]struct {
		cfg  config.Consul
		want string
	}{
		"default":    {config.Consul{}, ""},
		"all set":    {config.Consul{Tag: "gpu", Filter: `Service.Meta.zone == "a"`, Datacenter: "dc2"}, "dc=dc2&filter=Service.Meta.zone+%3D%3D+%22a%22&tag=gpu"},
		"stale":      {config.Consul{Consistency: "stale"}, "stale="},
		"consistent": {config.Consul{Consistency: "consistent"}, "consistent="},
	} {
		t.Run(name, func(t *testing.T) {
			queries := make(chan string, 100)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/v1/health/") {
					queries <- r.URL.RawQuery
				}
				w.Header().Set("X-Consul-Index", "5")
				io.WriteString(w, "[]")
			}))
			t.Cleanup(server.Close)
			startEnv(t, 0, func(*testEnv) {}, func(_ *testEnv, cfg *config.Consul) {
				service := cfg.Service
				*cfg = c.cfg
				cfg.Service, cfg.Address = service, server.Listener.Addr().String()
			})
			if got := <-queries; got != c.want {
				t.Errorf("first query %q, want %q", got, c.want)
			}
			if got := <-queries; !strings.Contains(got, "index=5") || !strings.Contains(got, "wait=1000ms") {
				t.Errorf("second query %q", got)
			}
		})
	}
}
