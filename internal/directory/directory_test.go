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

// publishRecorder records the engines that a directory publishes, and its log.
type publishRecorder struct {
	mu        sync.Mutex
	endpoints map[string]core.Endpoint
	log       bytes.Buffer
}

func (r *publishRecorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Write(p)
}

func (r *publishRecorder) publish(_ routing.EngineListScope, endpoints []core.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range endpoints {
		if r.endpoints[e.Name] = e; e.Phase == routing.PhaseRemoved {
			delete(r.endpoints, e.Name)
		}
	}
}

func (r *publishRecorder) published() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var parts []string
	for id, e := range r.endpoints {
		parts = append(parts, fmt.Sprintf("%s:%d", id, e.Phase))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

func startDirectory(t *testing.T, file string, probe func(context.Context, string) roster.ProbeResult) (*Directory, *publishRecorder, func()) {
	t.Helper()
	recorder := &publishRecorder{endpoints: map[string]core.Endpoint{}}
	d := New(Options{Policy: roster.DefaultPolicy(), Publish: recorder.publish, Probe: probe, StateFile: file, Log: logging.New(recorder, true)})
	ctx, stop := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { d.Run(ctx) })
	end := sync.OnceFunc(func() { stop(); group.Wait() })
	t.Cleanup(end)
	return d, recorder, end
}

var llmSource = roster.Source{Origin: roster.Catalogue, Name: "llm"}

func observe(d *Directory, index uint64, entries ...roster.Entry) {
	d.With(func(r *roster.Registry, now time.Time) {
		r.Observe(now, llmSource, roster.View{Index: index, Entries: entries})
	})
}

func entry(id string, mark roster.Mark) roster.Entry {
	return roster.Entry{ID: id, Addr: "127.0.0.1:1", Kind: id, Mark: mark}
}

func awaitPublished(t *testing.T, recorder *publishRecorder, want string) {
	t.Helper()
	enginetest.Eventually(t, "published "+want, func() bool { return recorder.published() == want })
}

// A gateway that starts while its sources are unreachable uses the view on disk with its marks. A
// damaged file is renamed and logged.
func TestRestoreFromDisk(t *testing.T) {
	alive := func(context.Context, string) roster.ProbeResult { return roster.Answered }
	file := filepath.Join(t.TempDir(), "view")
	d, recorder, end := startDirectory(t, file, alive)
	observe(d, 5, entry("a", roster.Clear), entry("b", roster.Critical), entry("c", roster.Maintenance))
	awaitPublished(t, recorder, "a:0 b:1 c:1")
	end() // waits until the last view has been written
	d, recorder, end = startDirectory(t, file, alive)
	awaitPublished(t, recorder, "a:0 b:1 c:1")
	if v := d.View(); v.Engines[0].Confidence != "restored" || v.Sources[0].DistrustReason != string(roster.FromDisk) || v.Sources[0].Index != 5 {
		t.Errorf("%+v", v)
	}
	end()
	if err := os.WriteFile(file, []byte("wellgw-view 1 0000000000000000\n{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, recorder, end = startDirectory(t, file, alive)
	end()
	renamed, _ := filepath.Glob(file + ".damaged-*")
	if recorder.published() != "" || len(renamed) != 1 || !strings.Contains(recorder.log.String(), "set aside") {
		t.Errorf("published %q, renamed files %v, log %s", recorder.published(), renamed, recorder.log.String())
	}
}

// Engines that are missing from a view are probed, and removed if they refuse the connection.
func TestMissingEnginesAreProbed(t *testing.T) {
	d, recorder, _ := startDirectory(t, "", func(_ context.Context, addr string) roster.ProbeResult {
		if addr == "127.0.0.1:2" {
			return roster.Refused
		}
		return roster.Answered
	})
	b := entry("b", roster.Clear)
	b.Addr = "127.0.0.1:2"
	observe(d, 1, entry("a", roster.Clear), b)
	awaitPublished(t, recorder, "a:0 b:0")
	observe(d, 2)
	awaitPublished(t, recorder, "a:0")
	if s := d.View().Stats; s.Probes < 3 || s.Changes < 3 {
		t.Errorf("%+v", s)
	}
}

// The operator's file is one of the sources; the catalogue's address and mark take precedence.
func TestFileSource(t *testing.T) {
	d, recorder, _ := startDirectory(t, "", func(context.Context, string) roster.ProbeResult { return roster.Answered })
	o := &config.Operator{Zone: "z", Engines: []config.StaticEngine{{ID: "x", Address: "127.0.0.1:9", Role: "read"}, {ID: "y", Address: "127.0.0.1:8", Role: "read"}}}
	ReplaceFileEngines(d, o)
	observe(d, 1, entry("a", roster.Clear), roster.Entry{ID: "y", Addr: "127.0.0.1:7", Kind: "read", Mark: roster.Critical})
	awaitPublished(t, recorder, "a:0 x:0 y:1")
	if e := d.View().Engines[2]; e.Address != "127.0.0.1:7" || len(e.Sources) != 2 {
		t.Errorf("want the address from the catalogue and both sources: %+v", e)
	}
	o.Engines = nil
	ReplaceFileEngines(d, o)
	awaitPublished(t, recorder, "a:0 y:1")
}

// Any response proves that an engine is alive; with a path, a connection alone does not.
func TestProbe(t *testing.T) {
	responsive := enginetest.NewEngine(t, func(enginetest.Call) string { return enginetest.Status(503, "", "") })
	hung := enginetest.NewEngine(t, func(enginetest.Call) string { return enginetest.Hang })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	for _, c := range []struct {
		path, addr string
		want       roster.ProbeResult
	}{
		{"", responsive.Addr, roster.Answered}, {"/healthz", responsive.Addr, roster.Answered}, {"", hung.Addr, roster.Answered},
		{"/healthz", hung.Addr, roster.NoAnswer}, {"", l.Addr().String(), roster.Refused},
	} {
		if got := NewProbe(c.path)(t.Context(), c.addr); got != c.want {
			t.Errorf("%q: %v, want %v", c.path, got, c.want)
		}
	}
}

type fakeTransport struct {
	core.Transport
	result core.Result
}

func (f fakeTransport) Start(_ core.Attempt, _ func(core.Stream), ended func(core.Result)) core.Handle {
	ended(f.result)
	return nil
}

// OnRefused is called for an attempt whose connection was refused, and for no other failure.
func TestRefusedAttemptsAreReported(t *testing.T) {
	for cause, want := range map[error]int{syscall.ECONNREFUSED: 1, errors.New("other"): 0} {
		refused, ended := 0, 0
		transport := ObservedTransport{fakeTransport{result: core.Result{Status: routing.StatusConnectFailed, Cause: fmt.Errorf("connect: %w", cause)}}, func(string, string) { refused++ }}
		transport.Start(core.Attempt{}, nil, func(core.Result) { ended++ })
		if refused != want || ended != 1 {
			t.Errorf("%v: reported %d times, ended %d times", cause, refused, ended)
		}
	}
}
