package rolectl

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	jsoniter "github.com/json-iterator/go"

	"wellgw/decide/rolechange"
	"wellgw/decide/roles"
	"wellgw/decide/roster"
	fakeconsul "wellgw/fake/consul"
	"wellgw/fake/engine"
	"wellgw/internal/config"
	"wellgw/internal/consul"
	"wellgw/internal/core"
	"wellgw/internal/directory"
	"wellgw/internal/enginetest"
	"wellgw/routing"
)

// gate is one gateway, as far as changes of role need it.
type gate struct {
	*Controller
	keeper *directory.Directory
	client *consul.Client
	agent  *fakeconsul.Agent
	stop   func()

	mu    sync.Mutex
	phase map[string]routing.Phase
}

// world is a catalogue, engines and gateways.
type world struct {
	*testing.T
	store *fakeconsul.Store
	fleet *engine.Fleet
	eng   map[string]*engine.Engine
	roles map[string]string // as their own files have them
	gates []*gate
	index uint64
}

const node = "node-1"

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{T: t, store: fakeconsul.NewStore(), fleet: engine.NewFleet(), eng: map[string]*engine.Engine{}}
	w.roles = map[string]string{"r1": engine.Read, "r2": engine.Read, "w1": engine.Write, "w2": engine.Write}
	t.Cleanup(w.store.Close)
	t.Cleanup(w.fleet.Close)
	for id, role := range w.roles {
		e, err := w.fleet.Start(engine.Options{ID: id, Role: role, Cold: 50 * time.Millisecond}, true)
		if err != nil {
			t.Fatal(err)
		}
		w.eng[id] = e
	}
	return w
}

// observe has a keeper see the engines as the catalogue lists them: roles by id, or
// their own.
func (w *world) observe(g *gate, listed map[string]string) {
	w.index++
	v := roster.View{Index: w.index}
	for id, e := range w.eng {
		role := w.roles[id]
		if r := listed[id]; r != "" {
			role = r
		}
		v.Entries = append(v.Entries, roster.Entry{ID: id, Addr: e.Addr(), Kind: role})
	}
	g.keeper.With(func(b *roster.Registry, now time.Time) {
		b.Observe(now, roster.Source{Origin: roster.Catalogue, Name: "llm"}, v)
	})
}

// gate starts a gateway; change may alter its options.
func (w *world) gate(name string, change func(*Options)) *gate {
	w.Helper()
	agent, err := fakeconsul.NewAgent(w.store, node)
	if err != nil {
		w.Fatal(err)
	}
	w.Cleanup(agent.Close)
	log := slog.New(slog.DiscardHandler)
	client, err := consul.NewClient(config.Consul{Address: agent.Addr}, log)
	if err != nil {
		w.Fatal(err)
	}
	g := &gate{client: client, agent: agent, phase: map[string]routing.Phase{}}
	g.keeper = directory.New(directory.Options{Policy: roster.DefaultPolicy(), Log: log, Probe: directory.NewProbe(""), Publish: func(_ routing.EngineListScope, list []core.Endpoint) {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, m := range list {
			g.phase[m.Name+" "+m.Kind] = m.Phase
		}
	}})
	opt := Options{
		Directory: g.keeper, Settings: roles.DefaultSettings(), Limits: rolechange.DefaultTimeouts(), LeaseTTL: 10 * time.Second, KeyPrefix: "p",
		GatewayName: func() string { return name }, GatewayCount: func() int { return len(w.gates) }, Traffic: func() map[string]core.Traffic { return nil }, Log: log,
	}
	opt.Limits.WarmUp = 50 * time.Millisecond
	if change != nil {
		change(&opt)
	}
	if g.Controller, err = New(opt); err != nil {
		w.Fatal(err)
	}
	w.observe(g, nil)
	ctx, stop := context.WithCancel(w.Context())
	var group sync.WaitGroup
	group.Go(func() { client.Run(ctx) })
	group.Go(func() { g.keeper.Run(ctx) })
	w.gates = append(w.gates, g)
	group.Go(func() { g.Run(ctx, client) })
	g.stop = sync.OnceFunc(func() { stop(); group.Wait() })
	w.Cleanup(g.stop)
	return g
}

// leave puts a change into the catalogue as a leader that was killed has left it.
func (w *world) leave(g *gate, engineID, to string, step rolechange.Step) {
	w.Helper()
	e := w.eng[engineID]
	r := rolechange.Record{
		Engine: engineID, Addr: e.Addr(), From: w.roles[engineID], To: to, Step: step, Leader: "killed",
		StartedAt: time.Now().UTC(), StepStartedAt: time.Now().UTC(), FlippedAt: time.Now().UTC(),
	}
	raw, err := jsoniter.Marshal(r)
	if err == nil {
		err = g.client.Write(w.Context(), g.changeKey(engineID), raw)
	}
	if err != nil {
		w.Fatal(err)
	}
}

func (w *world) ended(g *gate, id string) rolechange.Outcome {
	w.Helper()
	outcome := rolechange.InProgress
	enginetest.Eventually(w.T, "the change of "+id+" ends", func() bool {
		s := g.Status()
		for _, e := range s.History {
			if e.Engine == id && e.Outcome != rolechange.InProgress {
				outcome = e.Outcome
			}
		}
		return outcome != rolechange.InProgress && len(s.Changes) == 0
	})
	return outcome
}

// holds tells whether a gateway gives an engine no new work in a role.
func (g *gate) holds(id, role string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, known := g.phase[id+" "+role]
	return known && p != routing.PhaseActive
}

// Hard case: the leader is killed at every step. The next one finishes what it finds, or
// takes it back, and every gateway holds meanwhile.
func TestNewLeaderCompletesChange(t *testing.T) {
	for _, step := range []rolechange.Step{rolechange.Announced, rolechange.Draining, rolechange.Flipping, rolechange.Warming, rolechange.Settled, rolechange.RollingBack} {
		t.Run(string(step), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t)
			own := w.gate("g1", nil)
			second := w.gate("g2", nil)
			flipped := step == rolechange.Warming || step == rolechange.Settled
			if flipped {
				w.eng["w1"].Turn(engine.Read)
			}
			w.leave(own, "w1", "read", step)
			want := rolechange.Done
			if step == rolechange.RollingBack {
				want = rolechange.RolledBack
			} else {
				enginetest.Eventually(t, "it has its new role at both gateways", func() bool {
					return w.eng["w1"].RoleNow() == engine.Read && own.takes("w1", "read") && second.takes("w1", "read")
				})
				for _, g := range w.gates {
					w.observe(g, map[string]string{"w1": "read"})
				}
			}
			if got := w.ended(own, "w1"); got != want {
				t.Errorf("%s", got)
			}
		})
	}
}

// takes tells whether a gateway takes an engine for one of a role that may have work.
func (g *gate) takes(id, role string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, known := g.phase[id+" "+role]
	return known && p == routing.PhaseActive
}

// Hard case: a lease ends in the middle. The leader stops; the other goes on with a
// higher fence, and what the first still believes to be its own is refused everywhere.
func TestLeaseExpiresMidChange(t *testing.T) {
	w := newWorld(t)
	one := w.gate("g1", nil)
	enginetest.Eventually(t, "g1 leads", func() bool { return one.Status().IsLeader })
	two := w.gate("g2", nil)
	lock, _, err := two.client.Read(t.Context(), one.lockKey())
	if err != nil {
		t.Fatal(err)
	}
	// The leader is cut off, and its session ends.
	if err := one.agent.Fail(fakeconsul.Faults{Hang: true}); err != nil {
		t.Fatal(err)
	}
	if err := two.client.DestroySession(t.Context(), lock.Session); err != nil {
		t.Fatal(err)
	}
	enginetest.Eventually(t, "g2 leads", func() bool { s := two.Status(); return s.IsLeader && s.FencingToken > lock.LockIndex })
	w.leave(two, "w1", "read", rolechange.Announced)
	enginetest.Eventually(t, "the engine has been told by g2", func() bool { return w.eng["w1"].RoleNow() == engine.Read })
	enginetest.Eventually(t, "g1 has stopped", func() bool { return !one.Status().IsLeader })

	// A leader that was paused for longer than its lease and wakes up does nothing.
	stale := &leader{Controller: two.Controller, client: two.client, lease: &lease{session: lock.Session, Lease: rolechange.NewLease(lock.LockIndex, time.Second, time.Now().Add(-time.Hour))}}
	if err := stale.tick(t.Context()); !errors.Is(err, errLeaseLost) {
		t.Errorf("woken up: %v", err)
	}
	// Even one that is sure of itself is refused by the engine and by the record.
	planner, _ := roles.NewPlanner(roles.DefaultSettings())
	stale = &leader{
		Controller: two.Controller, client: two.client, planner: planner, http: &http.Client{Timeout: time.Second},
		lease:       &lease{session: lock.Session, Lease: rolechange.NewLease(lock.LockIndex, time.Hour, time.Now())},
		silentSince: map[string]time.Time{}, replies: map[string]rolechange.Reply{}, reports: map[string]*engineReport{},
	}
	view := two.keeper.View().Engines
	stale.poll(t.Context(), view)
	before, _, _ := two.client.Read(t.Context(), two.changeKey("w1"))
	var r rolechange.Record
	if err := jsoniter.Unmarshal(before.Value, &r); err != nil {
		t.Fatal(err)
	}
	if err := stale.advance(t.Context(), storedRecord{r, before.ModifyIndex}, view); !errors.Is(err, errLeaseLost) {
		t.Errorf("by the record: %v", err)
	}
	r.FencingToken = lock.LockIndex // as it last read it
	if err := stale.advance(t.Context(), storedRecord{r, before.ModifyIndex}, view); !errors.Is(err, errLeaseLost) {
		t.Errorf("by the engine: %v", err)
	}
	stale.sendCommand(t.Context(), rolechange.Action{Record: rolechange.Record{Engine: "w1", Addr: w.eng["w1"].Addr(), To: "write"}, Command: rolechange.Drain})
	if got := stale.replies["w1"]; got != rolechange.Fenced {
		t.Errorf("the engine took a command of an outdated leader: %v", got)
	}
}

// Hard case: Consul is away in the middle. Gateways hold on, nobody leads, and the
// change ends once it is back.
func TestConsulUnavailableMidChange(t *testing.T) {
	w := newWorld(t)
	g := w.gate("g1", func(o *Options) {
		o.Limits.Confirmation = time.Hour
		o.GatewayCount = func() int { return 2 }
	})
	w.leave(g, "w1", "read", rolechange.Announced)
	enginetest.Eventually(t, "it is held", func() bool { return g.holds("w1", "write") })
	if err := g.agent.Fail(fakeconsul.Faults{Refuse: true}); err != nil {
		t.Fatal(err)
	}
	enginetest.Eventually(t, "nobody leads", func() bool { return !g.Status().IsLeader })
	if !g.holds("w1", "write") {
		t.Error("the engine has new work while the change can't be read")
	}
	if err := g.agent.Fail(fakeconsul.Faults{}); err != nil {
		t.Fatal(err)
	}
	second := w.gate("g2", nil) // whose word was missing
	enginetest.Eventually(t, "it has its new role at both", func() bool { return g.takes("w1", "read") && second.takes("w1", "read") })
}

// Hard case: gateways see a mark at different times. The engine is told to drain only
// once all hold to it, or the time for that is over.
func TestLateDrainMark(t *testing.T) {
	w := newWorld(t)
	g := w.gate("g1", func(o *Options) {
		o.Limits.Confirmation = 1500 * time.Millisecond
		o.GatewayCount = func() int { return 2 }
	})
	enginetest.Eventually(t, "g1 leads", func() bool { return g.Status().IsLeader })
	begun := time.Now()
	w.leave(g, "w1", "read", rolechange.Announced)
	enginetest.Eventually(t, "it has its new role", func() bool { return g.takes("w1", "read") })
	if took := time.Since(begun); took < 1500*time.Millisecond {
		t.Errorf("after %v, though a gateway had not seen it", took)
	}
}

// Engines that refuse, die, hang in their drain or say that they are something else are
// dealt with, not waited for.
func TestDifficultEngines(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(*engine.Engine)
		want  rolechange.Outcome
	}{
		"it refuses":                   {func(e *engine.Engine) { e.Refuse(true) }, rolechange.RolledBack},
		"it dies":                      {func(e *engine.Engine) { e.Crash() }, rolechange.Failed},
		"it says it is something else": {func(e *engine.Engine) { e.Lie("both") }, rolechange.Failed},
		"it hangs in its drain":        {func(e *engine.Engine) { e.Hold(1) }, rolechange.RolledBack},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t)
			g := w.gate("g1", func(o *Options) {
				o.Limits.Draining, o.Limits.EngineUnresponsive, o.Limits.WarmUp = 1500*time.Millisecond, 1500*time.Millisecond, time.Minute
			})
			c.spoil(w.eng["w1"])
			w.leave(g, "w1", "read", rolechange.Announced)
			if got := w.ended(g, "w1"); got != c.want {
				t.Errorf("%s", got)
			}
			if w.eng["w1"].RoleNow() != engine.Write {
				t.Errorf("it is %s", w.eng["w1"].RoleNow())
			}
		})
	}
}

// An engine that comes back in its old role is what it says, at once.
func TestEngineRestartsInOldRole(t *testing.T) {
	w := newWorld(t)
	g := w.gate("g1", func(o *Options) { o.Limits.WarmUp = time.Minute })
	w.leave(g, "w1", "read", rolechange.Announced)
	enginetest.Eventually(t, "it has its new role", func() bool { return g.takes("w1", "read") })
	if err := w.eng["w1"].Restart(false); err != nil {
		t.Fatal(err)
	}
	if got := w.ended(g, "w1"); got != rolechange.Failed {
		t.Errorf("%s", got)
	}
	enginetest.Eventually(t, "it is taken for what it is", func() bool { return g.takes("w1", "write") })
}

// A dry run decides and changes nothing.
func TestDryRun(t *testing.T) {
	w := newWorld(t)
	var mu sync.Mutex
	var all core.Traffic
	g := w.gate("g1", func(o *Options) {
		o.DryRun = true
		o.Settings.MaxFleetFraction, o.Settings.DemandTimeConstant = 1, time.Second
		o.Traffic = func() map[string]core.Traffic { // half of all requests are refused
			mu.Lock()
			defer mu.Unlock()
			all.Requests, all.PromptTokens = all.Requests+100, all.PromptTokens+100_000
			all.Served, all.ServedPromptTokens, all.OutputTokens = all.Served+50, all.ServedPromptTokens+50_000, all.OutputTokens+500
			return map[string]core.Traffic{"c": all}
		}
	})
	w.eng["r1"].Hold(8)
	w.eng["r2"].Hold(8)
	w.eng["w1"].Hold(1)
	enginetest.Eventually(t, "a change is wanted", func() bool { return g.Status().Plan.Change != nil })
	s := g.Status()
	if len(s.Changes) > 0 || len(s.History) > 0 || s.Plan.Change.To != roles.Prefill {
		t.Errorf("%+v", s)
	}
	pairs, _, err := g.client.List(t.Context(), "p/change/", 0, 0)
	if err != nil || len(pairs) > 0 {
		t.Errorf("%v, %v", pairs, err)
	}
}
