package directory

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wellgw/decide/roster"
	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/enginetest"
	"wellgw/internal/logging"
	"wellgw/routing"
)

// told collects what a directory publishes.
type told struct {
	mu   sync.Mutex
	list map[string]core.Endpoint
	log  bytes.Buffer
}

func (c *told) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.Write(p)
}

func (c *told) tell(_ routing.EngineListScope, members []core.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range members {
		if c.list[m.Name] = m; m.Phase == routing.PhaseRemoved {
			delete(c.list, m.Name)
		}
	}
}

func (c *told) says() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var words []string
	for id, m := range c.list {
		words = append(words, fmt.Sprintf("%s:%d", id, m.Phase))
	}
	slices.Sort(words)
	return strings.Join(words, " ")
}

func start(t *testing.T, file string, check func(context.Context, string) roster.ProbeResult) (*Directory, *told, func()) {
	t.Helper()
	c := &told{list: map[string]core.Endpoint{}}
	d := New(Options{Policy: roster.DefaultPolicy(), Publish: c.tell, Probe: check, StateFile: file, Log: logging.New(c, true)})
	ctx, stop := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { d.Run(ctx) })
	end := sync.OnceFunc(func() { stop(); group.Wait() })
	t.Cleanup(end)
	return d, c, end
}

var llm = roster.Source{Origin: roster.Catalogue, Name: "llm"}

func observe(d *Directory, index uint64, entries ...roster.Entry) {
	d.With(func(r *roster.Registry, now time.Time) {
		r.Observe(now, llm, roster.View{Index: index, Entries: entries})
	})
}

func entry(id string, mark roster.Mark) roster.Entry {
	return roster.Entry{ID: id, Addr: "127.0.0.1:1", Kind: id, Mark: mark}
}

func awaits(t *testing.T, c *told, want string) {
	t.Helper()
	enginetest.Eventually(t, "told "+want, func() bool { return c.says() == want })
}

// A gateway that starts while its sources are away serves from the view on disk, with
// its marks; a damaged file is set aside, and said so.
func TestStartFromDisk(t *testing.T) {
	alive := func(context.Context, string) roster.ProbeResult { return roster.Answered }
	file := filepath.Join(t.TempDir(), "view")
	d, c, end := start(t, file, alive)
	observe(d, 5, entry("a", roster.Clear), entry("b", roster.Critical), entry("c", roster.Maintenance))
	awaits(t, c, "a:0 b:1 c:1")
	end() // the last view is written
	d, c, end = start(t, file, alive)
	awaits(t, c, "a:0 b:1 c:1")
	if v := d.View(); v.Engines[0].Confidence != "restored" || v.Sources[0].DistrustReason != string(roster.FromDisk) || v.Sources[0].Index != 5 {
		t.Errorf("%+v", v)
	}
	end()
	if err := os.WriteFile(file, []byte("wellgw-view 1 0000000000000000\n{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, c, end = start(t, file, alive)
	end()
	aside, _ := filepath.Glob(file + ".damaged-*")
	if c.says() != "" || len(aside) != 1 || !strings.Contains(c.log.String(), "set aside") {
		t.Errorf("told %q, set aside %v, log %s", c.says(), aside, c.log.String())
	}
}

// Engines in question are checked, and those that refuse are gone.
func TestEnginesInQuestionAreChecked(t *testing.T) {
	d, c, _ := start(t, "", func(_ context.Context, addr string) roster.ProbeResult {
		if addr == "127.0.0.1:2" {
			return roster.Refused
		}
		return roster.Answered
	})
	b := entry("b", roster.Clear)
	b.Addr = "127.0.0.1:2"
	observe(d, 1, entry("a", roster.Clear), b)
	awaits(t, c, "a:0 b:0")
	observe(d, 2)
	awaits(t, c, "a:0")
	if s := d.View().Stats; s.Probes < 3 || s.Changes < 3 {
		t.Errorf("%+v", s)
	}
}

func TestFileIsASource(t *testing.T) {
	d, c, _ := start(t, "", func(context.Context, string) roster.ProbeResult { return roster.Answered })
	o := &config.Operator{Zone: "z", Engines: []config.StaticEngine{{ID: "x", Address: "127.0.0.1:9", Role: "read"}, {ID: "y", Address: "127.0.0.1:8", Role: "read"}}}
	ReplaceFileEngines(d, o)
	observe(d, 1, entry("a", roster.Clear), roster.Entry{ID: "y", Addr: "127.0.0.1:7", Kind: "read", Mark: roster.Critical})
	awaits(t, c, "a:0 x:0 y:1")
	if e := d.View().Engines[2]; e.Address != "127.0.0.1:7" || len(e.Sources) != 2 {
		t.Errorf("the catalogue's address does not count: %+v", e)
	}
	o.Engines = nil
	ReplaceFileEngines(d, o)
	awaits(t, c, "a:0 y:1")
}

func TestChecker(t *testing.T) {
	answers := enginetest.NewEngine(t, func(enginetest.Call) string { return enginetest.Status(503, "", "") })
	hangs := enginetest.NewEngine(t, func(enginetest.Call) string { return enginetest.Hang })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	for _, c := range []struct {
		path, addr string
		want       roster.ProbeResult
	}{
		{"", answers.Addr, roster.Answered}, {"/healthz", answers.Addr, roster.Answered}, {"", hangs.Addr, roster.Answered},
		{"/healthz", hangs.Addr, roster.NoAnswer}, {"", l.Addr().String(), roster.Refused},
	} {
		if got := NewProbe(c.path)(t.Context(), c.addr); got != c.want {
			t.Errorf("%q: %v, want %v", c.path, got, c.want)
		}
	}
}

type fake struct {
	core.Transport
	result core.Result
}

func (f fake) Start(_ core.Attempt, _ func(core.Stream), ended func(core.Result)) core.Handle {
	ended(f.result)
	return nil
}

// An attempt that finds nobody listening tells the directory so; any other does not.
func TestRefusedAttemptsAreNoted(t *testing.T) {
	for cause, want := range map[error]int{syscall.ECONNREFUSED: 1, errors.New("other"): 0} {
		broke, ended := 0, 0
		w := ObservedTransport{fake{result: core.Result{Status: routing.StatusConnectFailed, Cause: fmt.Errorf("connect: %w", cause)}}, func(string, string) { broke++ }}
		w.Start(core.Attempt{}, nil, func(core.Result) { ended++ })
		if broke != want || ended != 1 {
			t.Errorf("%v: noted %d times, ended %d times", cause, broke, ended)
		}
	}
}
