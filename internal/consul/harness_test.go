package consul

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"wellgw/decide/roster"
	"wellgw/fake/consul"
	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/internal/directory"
	"wellgw/internal/enginetest"
	"wellgw/routing"
)

const node = "node-1"

// world is a fake Consul, a directory that follows it, and what the core was told.
type world struct {
	*testing.T
	store  *consul.Store
	agents []*consul.Agent
	keeper *directory.Directory
	dir    *Discovery
	cfg    config.Consul

	mu       sync.Mutex
	phases   map[string]routing.Phase
	gateways int
	alive    map[string]roster.ProbeResult // by address; absent: alive
}

// begin makes a world of so many agents with the services that list names; change
// may alter the configuration.
func begin(t *testing.T, agents int, list func(*world), change func(*world, *config.Consul)) *world {
	t.Helper()
	w := &world{T: t, store: consul.NewStore(), phases: map[string]routing.Phase{}, alive: map[string]roster.ProbeResult{}}
	t.Cleanup(w.store.Close)
	for range agents {
		a, err := consul.NewAgent(w.store, node)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(a.Close)
		w.agents = append(w.agents, a)
		w.cfg.Addresses = append(w.cfg.Addresses, a.Addr)
	}
	list(w)
	w.cfg.Service = "llm"
	if change != nil {
		change(w, &w.cfg)
	}
	log := slog.New(slog.DiscardHandler)
	w.keeper = directory.New(directory.Options{Policy: RosterPolicy(w.cfg), Log: log, Publish: w.tell, Probe: func(_ context.Context, addr string) roster.ProbeResult {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.alive[addr]
	}})
	var err error
	w.dir, err = New(Options{Config: w.cfg, Zone: "here", Directory: w.keeper, Log: log, Ready: func() bool { return true }, SetGateways: func(n int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.gateways = n
	}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { w.keeper.Run(ctx) })
	group.Go(func() { w.dir.Run(ctx) })
	t.Cleanup(func() { stop(); group.Wait() })
	return w
}

func (w *world) tell(_ routing.EngineListScope, members []core.Endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range members {
		if w.phases[m.Name] = m.Phase; m.Phase == routing.PhaseRemoved {
			delete(w.phases, m.Name)
		}
	}
}

// list lists an engine, passing, at 127.0.0.1 and a port.
func (w *world) list(service, id string, port int, tags ...string) {
	w.store.Register(consul.Service{ID: id, Name: service, Node: node, Address: "127.0.0.1", Port: port, Tags: tags}, map[string]string{"alive:" + id: "passing"})
}

func (w *world) three() {
	for i, id := range []string{"a", "b", "c"} {
		w.list("llm", id, 9001+i, "engine")
	}
}

func (w *world) fail(f consul.Faults) {
	w.Helper()
	for _, a := range w.agents {
		if err := a.Fail(f); err != nil {
			w.Fatal(err)
		}
	}
}

// says words what the core has been told: "a b!", "!" for one that gets no new work.
func (w *world) says() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var words []string
	for id, p := range w.phases {
		if p != routing.PhaseActive {
			id += "!"
		}
		words = append(words, id)
	}
	slices.Sort(words)
	return strings.Join(words, " ")
}

func (w *world) await(want string) {
	w.Helper()
	enginetest.Eventually(w.T, "the core is told "+want, func() bool { return w.says() == want })
}

// stays looks for a while whether what was told stays as it is.
func (w *world) stays(want string, span time.Duration) {
	w.Helper()
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got := w.says(); got != want {
			w.Fatalf("told %q, was %q", got, want)
		}
	}
}

func (w *world) doubt() string {
	v := w.keeper.View()
	if len(v.Sources) == 0 {
		return "nothing"
	}
	return v.Sources[0].DistrustReason
}

func (w *world) awaitDoubt(want roster.Reason) {
	w.Helper()
	enginetest.Eventually(w.T, "the source is "+string(want), func() bool { return w.doubt() == string(want) })
}
