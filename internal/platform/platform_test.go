package platform

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wellgw/internal/clientconn"
	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/enginetest"
	"wellgw/internal/invariant"
	"wellgw/internal/upstream"
	"wellgw/routing"
)

func list(revision int64, complete bool, entries ...string) config.List {
	l := config.List{Revision: revision, Complete: complete}
	for _, e := range entries {
		var m config.ListEntry
		fmt.Sscan(e, &m.ID, &m.Phase, &m.UpSince)
		l.Members = append(l.Members, m)
	}
	return l
}

// What discovery has said of a drain holds, whatever older news comes after it.
func TestRosterKeepsDrains(t *testing.T) {
	for _, c := range []struct {
		name  string
		lists []config.List
		want  map[string]routing.Phase
	}{
		{"a first list of revision 0", []config.List{list(0, true, "a active 0")}, map[string]routing.Phase{"a": routing.PhaseActive}},
		{"a change", []config.List{list(1, true, "a active 0", "b active 0"), list(2, false, "a leaving 0")},
			map[string]routing.Phase{"a": routing.PhaseDraining, "b": routing.PhaseActive}},
		{"an older change after it", []config.List{list(1, true, "a active 0"), list(5, false, "a leaving 0"), list(4, false, "a active 0")},
			map[string]routing.Phase{"a": routing.PhaseDraining}},
		{"an older whole list after it", []config.List{list(5, false, "a leaving 0", "b active 0"), list(4, true, "a active 0")},
			map[string]routing.Phase{"a": routing.PhaseDraining, "b": routing.PhaseActive}},
		{"the same revision again", []config.List{list(5, false, "a left 0"), list(5, false, "a active 0")},
			map[string]routing.Phase{"a": routing.PhaseRemoved}},
		{"a late drain", []config.List{list(5, true, "a active 0"), list(4, false, "a leaving 0")},
			map[string]routing.Phase{"a": routing.PhaseDraining}},
		{"a late drain of an earlier start", []config.List{list(5, true, "a active 9"), list(4, false, "a leaving 0")},
			map[string]routing.Phase{"a": routing.PhaseActive}},
		{"a later start", []config.List{list(5, true, "a left 0"), list(6, false, "a active 9")},
			map[string]routing.Phase{"a": routing.PhaseActive}},
		{"absent from changes", []config.List{list(1, true, "a active 0", "b active 0"), list(2, false, "b active 0")},
			map[string]routing.Phase{"a": routing.PhaseActive, "b": routing.PhaseActive}},
		{"absent from a whole list", []config.List{list(1, true, "a active 0", "b active 0"), list(2, true, "b active 0")},
			map[string]routing.Phase{"a": routing.PhaseRemoved, "b": routing.PhaseActive}},
		{"an unknown phase", []config.List{list(1, true, "a odd 0")}, map[string]routing.Phase{"a": routing.PhaseDraining}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, got := NewRoster(), map[string]routing.Phase{}
			for _, l := range c.lists {
				for _, m := range r.Apply(l) {
					got[m.Name] = m.Phase
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// Engines under ever new ids leave no more behind than a bound, and an old list does
// not bring back one that has been forgotten.
func TestRosterForgetsRemoved(t *testing.T) {
	r := NewRoster()
	for n := range int64(5 * maxDeparted) {
		id := fmt.Sprint("e", n)
		r.Apply(list(2*n+1, false, id+" active 0"))
		r.Apply(list(2*n+2, false, id+" left 0"))
	}
	if len(r.entries) > maxDeparted || len(r.departed) > maxDeparted {
		t.Errorf("%d entries, %d left", len(r.entries), len(r.departed))
	}
	if got := r.Apply(list(1, false, "e0 active 0")); len(got) > 0 {
		t.Errorf("back: %+v", got)
	}
	if got := r.Apply(list(1<<40, false, "e0 active 0")); len(got) != 1 {
		t.Errorf("news is not taken: %+v", got)
	}
}

// fakeDiscovery is a discovery whose answers a test gives, with a watch on it.
type fakeDiscovery struct {
	mu    sync.Mutex
	asked []string // the queries of the watches
	told  []string // what the watch told
}

// watchFake starts a watch on a discovery that answers its n-th watch, from 1 on, by serve.
func watchFake(t *testing.T, serve func(n int, w http.ResponseWriter, r *http.Request)) *fakeDiscovery {
	d := &fakeDiscovery{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.asked = append(d.asked, r.URL.RawQuery)
		n := len(d.asked)
		d.mu.Unlock()
		serve(n, w, r)
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	w := NewWatch(server.Listener.Addr().String(), false, 0, told(&d.mu, &d.told), slog.New(slog.DiscardHandler))
	go w.Run(t.Context(), list(41, true, "a active 0"))
	return d
}

// await waits for the n-th watch and returns the queries and what was told by then.
func (d *fakeDiscovery) await(t *testing.T, n int) (asked, told []string) {
	t.Helper()
	enginetest.Eventually(t, fmt.Sprint(n, " watches"), func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.asked) >= n
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.asked), slices.Clone(d.told)
}

// A watch that breaks goes on from the revision it had, and forgets no drain.
func TestWatchResumes(t *testing.T) {
	asked, got := watchFake(t, func(n int, w http.ResponseWriter, r *http.Request) {
		switch n {
		case 1:
			io.WriteString(w, "\n"+`{"revision":43,"complete":false,"members":[{"id":"a","phase":"leaving"}]}`+"\n")
		case 2:
			io.WriteString(w, `{"revision":42,"complete":true,"members":[{"id":"a","phase":"active"}]}`+"\n{")
		default:
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}).await(t, 3)
	if diff := cmp.Diff([]string{"watch=1&after=41", "watch=1&after=43", "watch=1&after=43"}, asked[:3]); diff != "" {
		t.Errorf("asked (-want +got):\n%s", diff)
	}
	want := []string{fmt.Sprint(routing.EngineListStale, "a", routing.PhaseActive), fmt.Sprint(routing.EngineListDelta, "a", routing.PhaseDraining)}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("told (-want +got):\n%s", diff)
	}
}

// Lists may come indented, over several lines and in pieces; a watch reads them all the same,
// and one that is no list ends it.
func TestWatchReadsIndentedLists(t *testing.T) {
	asked, got := watchFake(t, func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 1 {
			for _, piece := range []string{"\n{\n  \"revision\": 43,\n", "\n", "  \"complete\": false,\n  \"members\": [\n    {\n      \"id\": \"a\",\n      \"phase\": \"leaving\"\n    }\n  ]\n}\n",
				`{"revision":44,"complete":false,"members":[{"id":"b","phase":"active"}]}` + "\n", "[]\n"} {
				io.WriteString(w, piece)
				w.(http.Flusher).Flush()
			}
		}
		<-r.Context().Done()
	}).await(t, 2)
	want := []string{
		fmt.Sprint(routing.EngineListStale, "a", routing.PhaseActive), fmt.Sprint(routing.EngineListDelta, "a", routing.PhaseDraining),
		fmt.Sprint(routing.EngineListDelta, "b", routing.PhaseActive),
	}
	if diff := cmp.Diff(want, got); diff != "" || asked[1] != "watch=1&after=44" {
		t.Errorf("asked %v, told (-want +got):\n%s", asked, diff)
	}
}

// told returns a roster's receiver that notes each entry in got, as scope, name and phase.
func told(mu *sync.Mutex, got *[]string) func(routing.EngineListScope, []core.Endpoint) {
	return func(scope routing.EngineListScope, members []core.Endpoint) {
		mu.Lock()
		defer mu.Unlock()
		for _, m := range members {
			*got = append(*got, fmt.Sprint(scope, m.Name, m.Phase))
		}
	}
}

// gateway starts a front on loopback before one reader and one writer.
func gateway(t *testing.T, reader, writer func(enginetest.Call) string) (addr string, r, w *enginetest.Engine, c *core.Core) {
	addr, r, w, c, _ = gatewayFront(t, reader, writer)
	return addr, r, w, c
}

// gatewayFront is gateway, with its front.
func gatewayFront(t *testing.T, reader, writer func(enginetest.Call) string) (addr string, r, w *enginetest.Engine, c *core.Core, f *Front) {
	set := routing.Settings{
		Zones: []string{"a"}, Gateways: 1, MaxAttempts: 4, CanCancel: true, CanRetryAfter: true, MaxRetryAfter: time.Second,
		Classes: []routing.Class{
			{Name: "lookup", FirstTokenObjective: 10 * time.Second, PriorityWeight: 1},
			{Name: "order", FirstTokenObjective: 10 * time.Second, PriorityWeight: 1, Effect: routing.EffectAtMostOnce},
		},
		Kinds:           []routing.EngineKind{{Name: "r", Role: routing.RolePrefill, Memory: 2e5}, {Name: "w", Role: routing.RoleDecode, Memory: 2e5}},
		SlowStartPeriod: time.Second, SlowStartCapacity: 0.3, OverloadWindow: time.Second, OverloadMultiple: 3, HeldStateLimit: 500 * time.Millisecond,
	}
	router, err := routing.New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	release := func(script func(enginetest.Call) string) func(enginetest.Call) string {
		return func(c enginetest.Call) string {
			if c.Method == http.MethodDelete {
				return "HTTP/1.1 204 No Content\r\n\r\n"
			}
			return script(c)
		}
	}
	r, w = enginetest.NewEngine(t, release(reader)), enginetest.NewEngine(t, release(writer))
	log := slog.New(slog.DiscardHandler)
	pool := upstream.NewPool(upstream.Options{ConnectTimeout: time.Second, ServerIdleTimeout: time.Minute})
	engine := upstream.NewClient(pool, func(string) upstream.Dialect { return Dialect{} })
	c = core.New(router, engine, nil, core.Limits{DeadlineSlack: 50 * time.Millisecond, HeldStateLimit: set.HeldStateLimit, MaxAttempts: 4}, log, invariant.New())
	go c.Run(t.Context())
	c.UpdateEndpoints(routing.EngineListSnapshot, []core.Endpoint{
		{EngineInfo: routing.EngineInfo{Name: "r1", Kind: "r", Zone: "a", Weight: 1}, Addr: r.Addr},
		{EngineInfo: routing.EngineInfo{Name: "w1", Kind: "w", Zone: "a", Weight: 1}, Addr: w.Addr},
	})
	f = NewFront(c, set.Classes, clientconn.NewBudget(1<<20))
	server := httptest.NewUnstartedServer(f)
	server.Config.ErrorLog = slog.NewLogLogger(log.Handler(), 0)
	clients := clientconn.NewListener(server.Listener, 64)
	server.Listener, server.Config.ConnState, server.Config.ConnContext = clients, clients.ConnState, clients.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), r, w, c, f
}

func read(enginetest.Call) string { return enginetest.Status(202, "", `{"cached_tokens":0}`) }

// Each recording is played on a connection of its own.
func TestRecordedExchanges(t *testing.T) {
	enginetest.EachRecording(t, func(t *testing.T, file string) {
		addr, r, w, c := gateway(t, read, func(c enginetest.Call) string {
			if strings.Contains(c.Body, "break") {
				whole := enginetest.Stream(2, 0)
				return whole[:strings.Index(whole, "w1")] + enginetest.Cut
			}
			if strings.Contains(c.Body, "fail") {
				return enginetest.Status(500, "", "")
			}
			return enginetest.Stream(2, 0)
		})
		enginetest.Play(t, addr, file, "BIG", strings.Repeat("x", clientconn.MaxBodySize+1))
		if err := c.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		if n := len(w.Calls("POST")); n > 1 || n != len(r.Calls("POST")) {
			t.Errorf("%d reads, %d writes", len(r.Calls("POST")), n)
		}
	})
}

// A client that leaves mid-stream frees what it holds within the pin limit.
// What a client says of its request reaches its engines as it was said, a key for repeats
// above all; what is the connection's own or proves who the client is does not.
func TestClientHeadersAreForwarded(t *testing.T) {
	h := http.Header{
		"Idempotency-Key": {"k-1"}, "X-Class": {"order"}, "X-Many": {"a", "b"}, "Content-Type": {"text/plain"},
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Transfer-Encoding": {"chunked"}, "Content-Length": {"9"},
		"X-Deadline-Ms": {"5000"}, "X-Request-Id": {"other"}, "Authorization": {"Bearer x"}, "Cookie": {"a=b"}, "Accept-Encoding": {"br"}, "Range": {"bytes=1-"},
	}
	call := Dialect{}.Attempt(core.Attempt{ClientRequestID: "id1", Timeout: 2 * time.Second, Payload: core.Payload{Header: forwardedHeaders(h)}})
	got := http.Header{}
	for _, line := range call.Header {
		got.Add(line[0], line[1])
	}
	want := http.Header{
		"Idempotency-Key": {"k-1"}, "X-Class": {"order"}, "X-Many": {"a", "b"}, "Content-Type": {"text/plain"},
		"X-Deadline-Ms": {"2000"}, "X-Request-Id": {"id1"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if one := forwardedHeaders(http.Header{}); cmp.Diff([][2]string{{"Content-Type", "application/json"}}, one) != "" {
		t.Errorf("without any: %v", one)
	}
}

func TestClientDisconnectReleasesState(t *testing.T) {
	whole := enginetest.Stream(2, 0)
	addr, r, w, _ := gateway(t, read, func(enginetest.Call) string { return whole[:len(whole)/2] + enginetest.Hang })
	enginetest.Within(t, 500*time.Millisecond, func() time.Duration {
		dropped, freed := len(w.Dropped()), len(r.Calls("DELETE"))+len(w.Calls("DELETE"))
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		for k, v := range map[string]string{"X-Request-Id": fmt.Sprint("id", dropped), "X-Class": "order", "X-Deadline-Ms": "60000", "X-Extras": "prompt_len=10"} {
			req.Header.Set(k, v)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(resp.Body, make([]byte, 20)); err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		left := time.Now()
		enginetest.Eventually(t, "attempt closed, state freed", func() bool {
			return len(w.Dropped()) > dropped && len(r.Calls("DELETE"))+len(w.Calls("DELETE")) >= freed+2
		})
		return time.Since(left)
	})
}

// An overbooked discovery refuses watches for long: the gateway asks for the whole
// list instead, and so learns of a drain all the same.
func TestRefusedWatchAsksForTheList(t *testing.T) {
	var mu sync.Mutex
	var got []string
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("watch") != "" {
			http.Error(w, "overbooked", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, `{"revision":45,"complete":true,"members":[{"id":"a","phase":"leaving"},{"id":"b","phase":"active"}]}`)
	}))
	defer discovery.Close()
	w := NewWatch(discovery.Listener.Addr().String(), false, 0, told(&mu, &got), slog.New(slog.DiscardHandler))
	go w.Run(t.Context(), list(41, true, "a active 0"))
	drained := fmt.Sprint(routing.EngineListDelta, "a", routing.PhaseDraining)
	enginetest.Eventually(t, "the drain told", func() bool { mu.Lock(); defer mu.Unlock(); return slices.Contains(got, drained) })
	mu.Lock()
	defer mu.Unlock()
	if !slices.Contains(got, fmt.Sprint(routing.EngineListDelta, "b", routing.PhaseActive)) {
		t.Errorf("told %v, want b as new", got)
	}
}

// Calls made while discovery is away stay silent for ever: they are given up soon, or a drain
// that it tells when it is back is learned too late.
func TestSilentDiscoveryIsRetried(t *testing.T) {
	var mu sync.Mutex
	var got []string
	calls := 0
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		calls++
		away := calls <= 12
		mu.Unlock()
		if !away {
			io.WriteString(w, `{"revision":45,"complete":true,"members":[{"id":"a","phase":"leaving"}]}`+"\n")
			w.(http.Flusher).Flush()
		}
		<-r.Context().Done()
	}))
	defer discovery.Close()
	w := NewWatch(discovery.Listener.Addr().String(), false, 400*time.Millisecond, told(&mu, &got), slog.New(slog.DiscardHandler))
	go w.Run(t.Context(), list(41, true, "a active 0"))
	drained := fmt.Sprint(routing.EngineListDelta, "a", routing.PhaseDraining)
	// Twelve calls that each wait as long as a watch's silence would take half a minute.
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		mu.Lock()
		learned := slices.Contains(got, drained)
		mu.Unlock()
		if learned {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the drain was not learned")
		}
	}
}
