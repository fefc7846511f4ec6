package consul

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/playback"
	"wellgw/ringdale"
)

// answer is what the stand-in for Consul says to one query.
type answer struct {
	status int
	index  string
	body   string
}

func entry(id, meta, checks string) string {
	return fmt.Sprintf(`{"Node":{"Address":"127.0.0.9"},"Service":{"ID":%q,"Address":"","Port":80,"Meta":{%s}},"Checks":[%s]}`, id, meta, checks)
}

func list(entries ...string) string { return "[" + strings.Join(entries, ",") + "]" }

// standIn answers the queries for each path in turn; past the last it blocks, as
// Consul does while nothing changes.
func standIn(t *testing.T, paths map[string][]answer, cfg config.Consul) (asked, told func() []string) {
	asked, told, _ = standInThatMoves(t, paths, cfg)
	return asked, told
}

// standInThatMoves also returns how to move the directory.
func standInThatMoves(t *testing.T, paths map[string][]answer, cfg config.Consul) (asked, told func() []string, move func(func(*config.Consul))) {
	var mu sync.Mutex
	var queries, rosters []string
	count := map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		queries = append(queries, r.URL.Path+"?"+r.URL.Query().Get("index"))
		n := count[r.URL.Path]
		count[r.URL.Path]++
		mu.Unlock()
		if n >= len(paths[r.URL.Path]) {
			<-r.Context().Done()
			return
		}
		a := paths[r.URL.Path][n]
		w.Header().Set("X-Consul-Index", a.index)
		w.WriteHeader(a.status)
		io.WriteString(w, a.body)
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	cfg.Address = server.Listener.Addr().String()
	d := New(cfg, "here", func(scope ringdale.RosterScope, members []core.Member) {
		line := fmt.Sprint(scope)
		for _, m := range members {
			line += fmt.Sprintf(" %s/%s/%s/%d/%d/%s", m.Name, m.Kind, m.Zone, m.Cell, m.Phase, m.Addr)
			if !m.StartedAt.IsZero() {
				line += "/new"
			}
		}
		mu.Lock()
		defer mu.Unlock()
		rosters = append(rosters, line)
	}, slog.New(slog.DiscardHandler))
	go d.Run(t.Context())
	copied := func(s *[]string) func() []string {
		return func() []string { mu.Lock(); defer mu.Unlock(); return append([]string(nil), *s...) }
	}
	return copied(&queries), copied(&rosters), func(change func(*config.Consul)) {
		change(&cfg)
		d.Move(cfg)
	}
}

func wait(t *testing.T, what string, n int, list func() []string) []string {
	t.Helper()
	playback.Eventually(t, what, func() bool { return len(list()) >= n })
	return list()[:n]
}

func TestHealthIsFollowed(t *testing.T) {
	passing, critical := `{"Status":"passing"}`, `{"Status":"critical"}`
	asked, told := standIn(t, map[string][]answer{"/v1/health/service/engine": {
		{200, "7", list(entry("a", `"role":"read","zone":"z","cell":"3"`, passing), entry("b", ``, passing))},
		{200, "8", list(entry("b", ``, critical))},
		{500, "9", ""},
		{200, "9", list(entry("b", ``, passing))},
		{200, "2", list(entry("b", ``, passing))}, // restored from a snapshot: the index goes back
		{200, "3", "[]"},
	}}, config.Consul{Service: "engine"})
	h := "/v1/health/service/engine?"
	if diff := cmp.Diff([]string{h, h + "7", h + "8", h, h + "9", h, h + "3"}, wait(t, "seven queries", 7, asked)); diff != "" {
		t.Errorf("asked (-want +got):\n%s", diff)
	}
	b := " b/openai/here/0/%d/127.0.0.9:80"
	want := []string{
		"1 a/read/z/3/0/127.0.0.9:80" + fmt.Sprintf(b, 0), "1" + fmt.Sprintf(b, 2), "1" + fmt.Sprintf(b, 0) + "/new",
		"1" + fmt.Sprintf(b, 0) + "/new", "1",
	}
	if diff := cmp.Diff(want, wait(t, "five rosters", 5, told)); diff != "" {
		t.Errorf("told (-want +got):\n%s", diff)
	}
}

func TestCatalogueNamesTheServices(t *testing.T) {
	one := func(id string) []answer { return []answer{{200, "4", list(entry(id, ``, `{"Status":"warning"}`))}} }
	asked, told := standIn(t, map[string][]answer{
		"/v1/catalog/services":     {{200, "1", `{"x":["llm"],"y":["other"]}`}},
		"/v1/health/service/x":     one("x1"),
		"/v1/health/service/y":     one("y1"),
		"/v1/health/service/never": nil,
	}, config.Consul{Tag: "llm"})
	if diff := cmp.Diff([]string{"1 x1/openai/here/0/0/127.0.0.9:80"}, wait(t, "a roster", 1, told)); diff != "" {
		t.Errorf("told (-want +got):\n%s", diff)
	}
	for _, q := range wait(t, "four queries", 4, asked) {
		if strings.Contains(q, "/y") {
			t.Errorf("asked %s, which lacks the tag", q)
		}
	}
}

// A directory that moves asks the new place, and drops what only the old one knew
// once the new one has spoken.
func TestMoveToAnotherService(t *testing.T) {
	one := func(id string) []answer { return []answer{{200, "4", list(entry(id, ``, `{"Status":"passing"}`))}} }
	asked, told, move := standInThatMoves(t, map[string][]answer{
		"/v1/health/service/x": one("x1"), "/v1/health/service/y": one("y1"),
	}, config.Consul{Service: "x"})
	wait(t, "a roster", 1, told)
	move(func(cfg *config.Consul) { cfg.Service = "y" })
	at := "/openai/here/0/0/127.0.0.9:80"
	if diff := cmp.Diff([]string{"1 x1" + at, "1 x1" + at + " y1" + at, "1 y1" + at}, wait(t, "three rosters", 3, told)); diff != "" {
		t.Errorf("told (-want +got):\n%s\nasked %v", diff, asked())
	}
}

func TestPhase(t *testing.T) {
	for _, c := range []struct {
		checks []check
		want   ringdale.Phase
	}{
		{nil, ringdale.PhaseOn},
		{[]check{{"a", "passing"}, {"b", "warning"}}, ringdale.PhaseOn},
		{[]check{{"a", "passing"}, {"b", "critical"}}, ringdale.PhaseOff},
		{[]check{{"_node_maintenance", "critical"}}, ringdale.PhaseDraining},
		{[]check{{"_service_maintenance:x", "critical"}, {"a", "passing"}}, ringdale.PhaseDraining},
		{[]check{{"_service_maintenance:x", "critical"}, {"a", "critical"}}, ringdale.PhaseOff},
		{[]check{{"a", "odd"}}, ringdale.PhaseOff},
	} {
		if got := phase(c.checks); got != c.want {
			t.Errorf("%v: %v, want %v", c.checks, got, c.want)
		}
	}
}
