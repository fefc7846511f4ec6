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

// testEnv contains a fake Consul, a Discovery and a directory that watch it, and the state that the
// directory published to the core.
type testEnv struct {
	*testing.T
	store     *consul.Store
	agents    []*consul.Agent
	directory *directory.Directory
	discovery *Discovery
	cfg       config.Consul

	mu           sync.Mutex
	phases       map[string]routing.Phase
	gateways     int
	probeResults map[string]roster.ProbeResult // key: address; the zero value applies to others
}

// startEnv starts a testEnv with a number of agents. registerServices fills the catalog first, and
// configure, if not nil, changes the configuration of the Discovery.
func startEnv(t *testing.T, agents int, registerServices func(*testEnv), configure func(*testEnv, *config.Consul)) *testEnv {
	t.Helper()
	env := &testEnv{T: t, store: consul.NewStore(), phases: map[string]routing.Phase{}, probeResults: map[string]roster.ProbeResult{}}
	t.Cleanup(env.store.Close)
	for range agents {
		a, err := consul.NewAgent(env.store, node)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(a.Close)
		env.agents = append(env.agents, a)
		env.cfg.Addresses = append(env.cfg.Addresses, a.Addr)
	}
	registerServices(env)
	env.cfg.Service = "llm"
	if configure != nil {
		configure(env, &env.cfg)
	}
	log := slog.New(slog.DiscardHandler)
	env.directory = directory.New(directory.Options{Policy: RosterPolicy(env.cfg), Log: log, Publish: env.publish, Probe: func(_ context.Context, addr string) roster.ProbeResult {
		env.mu.Lock()
		defer env.mu.Unlock()
		return env.probeResults[addr]
	}})
	var err error
	env.discovery, err = New(Options{Config: env.cfg, Zone: "here", Directory: env.directory, Log: log, Ready: func() bool { return true }, SetGateways: func(n int) {
		env.mu.Lock()
		defer env.mu.Unlock()
		env.gateways = n
	}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { env.directory.Run(ctx) })
	group.Go(func() { env.discovery.Run(ctx) })
	t.Cleanup(func() { stop(); group.Wait() })
	return env
}

func (env *testEnv) publish(_ routing.EngineListScope, endpoints []core.Endpoint) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, e := range endpoints {
		if env.phases[e.Name] = e.Phase; e.Phase == routing.PhaseRemoved {
			delete(env.phases, e.Name)
		}
	}
}

// registerEngine registers an engine at 127.0.0.1 and a port, with a passing check.
func (env *testEnv) registerEngine(service, id string, port int, tags ...string) {
	env.store.Register(consul.Service{ID: id, Name: service, Node: node, Address: "127.0.0.1", Port: port, Tags: tags}, map[string]string{"alive:" + id: "passing"})
}

// registerThree registers the engines a, b and c of the service llm.
func (env *testEnv) registerThree() {
	for i, id := range []string{"a", "b", "c"} {
		env.registerEngine("llm", id, 9001+i, "engine")
	}
}

// injectFaults replaces the injected faults of all agents.
func (env *testEnv) injectFaults(f consul.Faults) {
	env.Helper()
	for _, a := range env.agents {
		if err := a.Fail(f); err != nil {
			env.Fatal(err)
		}
	}
}

// published returns the engines published to the core, such as "a b!". A "!" marks an engine that
// gets no new requests.
func (env *testEnv) published() string {
	env.mu.Lock()
	defer env.mu.Unlock()
	var parts []string
	for id, p := range env.phases {
		if p != routing.PhaseActive {
			id += "!"
		}
		parts = append(parts, id)
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

func (env *testEnv) awaitPublished(want string) {
	env.Helper()
	enginetest.Eventually(env.T, "the published engines are "+want, func() bool { return env.published() == want })
}

// assertUnchanged checks that the published engines remain the same during a time span.
func (env *testEnv) assertUnchanged(want string, span time.Duration) {
	env.Helper()
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got := env.published(); got != want {
			env.Fatalf("published %q, want %q", got, want)
		}
	}
}

// distrustReason returns why the first source is not trusted, "" if it is.
func (env *testEnv) distrustReason() string {
	v := env.directory.View()
	if len(v.Sources) == 0 {
		return "no source"
	}
	return v.Sources[0].DistrustReason
}

func (env *testEnv) awaitDistrustReason(want roster.Reason) {
	env.Helper()
	enginetest.Eventually(env.T, "the distrust reason is "+string(want), func() bool { return env.distrustReason() == string(want) })
}
