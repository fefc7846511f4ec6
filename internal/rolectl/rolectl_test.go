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

// testGateway is one gateway, with the parts that role changes need.
type testGateway struct {
	*Controller
	directory *directory.Directory
	client    *consul.Client
	agent     *fakeconsul.Agent
	stop      func()

	mu    sync.Mutex
	phase map[string]routing.Phase // by engine id, a space and the engine's kind, as last published
}

// cluster is a fake Consul, fake engines and gateways.
type cluster struct {
	*testing.T
	store    *fakeconsul.Store
	fleet    *engine.Fleet
	engines  map[string]*engine.Engine
	roles    map[string]string // by engine id: the role in the engine's own configuration
	gateways []*testGateway
	index    uint64
}

const node = "node-1"

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{T: t, store: fakeconsul.NewStore(), fleet: engine.NewFleet(), engines: map[string]*engine.Engine{}}
	c.roles = map[string]string{"r1": engine.Read, "r2": engine.Read, "w1": engine.Write, "w2": engine.Write}
	t.Cleanup(c.store.Close)
	t.Cleanup(c.fleet.Close)
	for id, role := range c.roles {
		e, err := c.fleet.Start(engine.Options{ID: id, Role: role, Cold: 50 * time.Millisecond}, true)
		if err != nil {
			t.Fatal(err)
		}
		c.engines[id] = e
	}
	return c
}

// observe passes a view of the catalogue to a gateway's directory. Each engine has its role in listed,
// or else the role of its own configuration.
func (c *cluster) observe(g *testGateway, listed map[string]string) {
	c.index++
	v := roster.View{Index: c.index}
	for id, e := range c.engines {
		role := c.roles[id]
		if r := listed[id]; r != "" {
			role = r
		}
		v.Entries = append(v.Entries, roster.Entry{ID: id, Addr: e.Addr(), Kind: role})
	}
	g.directory.With(func(b *roster.Registry, now time.Time) {
		b.Observe(now, roster.Source{Origin: roster.Catalogue, Name: "llm"}, v)
	})
}

// startGateway starts a gateway. alterOptions may be nil.
func (c *cluster) startGateway(name string, alterOptions func(*Options)) *testGateway {
	c.Helper()
	agent, err := fakeconsul.NewAgent(c.store, node)
	if err != nil {
		c.Fatal(err)
	}
	c.Cleanup(agent.Close)
	log := slog.New(slog.DiscardHandler)
	client, err := consul.NewClient(config.Consul{Address: agent.Addr}, log)
	if err != nil {
		c.Fatal(err)
	}
	g := &testGateway{client: client, agent: agent, phase: map[string]routing.Phase{}}
	g.directory = directory.New(directory.Options{Policy: roster.DefaultPolicy(), Log: log, Probe: directory.NewProbe(""), Publish: func(_ routing.EngineListScope, list []core.Endpoint) {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, m := range list {
			g.phase[m.Name+" "+m.Kind] = m.Phase
		}
	}})
	opt := Options{
		Directory: g.directory, Settings: roles.DefaultSettings(), Limits: rolechange.DefaultTimeouts(), LeaseTTL: 10 * time.Second, KeyPrefix: "p",
		GatewayName: func() string { return name }, GatewayCount: func() int { return len(c.gateways) }, Traffic: func() map[string]core.Traffic { return nil }, Log: log,
	}
	opt.Limits.WarmUp = 50 * time.Millisecond
	if alterOptions != nil {
		alterOptions(&opt)
	}
	if g.Controller, err = New(opt); err != nil {
		c.Fatal(err)
	}
	c.observe(g, nil)
	ctx, stop := context.WithCancel(c.Context())
	var group sync.WaitGroup
	group.Go(func() { client.Run(ctx) })
	group.Go(func() { g.directory.Run(ctx) })
	c.gateways = append(c.gateways, g)
	group.Go(func() { g.Run(ctx, client) })
	g.stop = sync.OnceFunc(func() { stop(); group.Wait() })
	c.Cleanup(g.stop)
	return g
}

// writeRecord writes the record of a change to Consul, as a leader would have that was killed in a step.
func (c *cluster) writeRecord(g *testGateway, engineID, to string, step rolechange.Step) {
	c.Helper()
	e := c.engines[engineID]
	r := rolechange.Record{
		Engine: engineID, Addr: e.Addr(), From: c.roles[engineID], To: to, Step: step, Leader: "killed",
		StartedAt: time.Now().UTC(), StepStartedAt: time.Now().UTC(), FlippedAt: time.Now().UTC(),
	}
	raw, err := jsoniter.Marshal(r)
	if err == nil {
		err = g.client.Write(c.Context(), g.changeKey(engineID), raw)
	}
	if err != nil {
		c.Fatal(err)
	}
}

// waitForOutcome returns the outcome of the change of an engine once the change has ended.
func (c *cluster) waitForOutcome(g *testGateway, id string) rolechange.Outcome {
	c.Helper()
	outcome := rolechange.InProgress
	enginetest.Eventually(c.T, "the role change of "+id+" ends", func() bool {
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

// routingPaused reports whether a gateway lists an engine with a role and routes no new requests to it.
func (g *testGateway) routingPaused(id, role string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, known := g.phase[id+" "+role]
	return known && p != routing.PhaseActive
}

// The leader is killed in each of the steps. The next leader completes the change, or rolls it back
// where the rollback had begun, and the gateways route to the engine in its new role.
func TestNewLeaderCompletesChange(t *testing.T) {
	for _, step := range []rolechange.Step{rolechange.Announced, rolechange.Draining, rolechange.Flipping, rolechange.Warming, rolechange.Settled, rolechange.RollingBack} {
		t.Run(string(step), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			first := c.startGateway("g1", nil)
			second := c.startGateway("g2", nil)
			flipped := step == rolechange.Warming || step == rolechange.Settled
			if flipped {
				c.engines["w1"].Turn(engine.Read)
			}
			c.writeRecord(first, "w1", "read", step)
			want := rolechange.Done
			if step == rolechange.RollingBack {
				want = rolechange.RolledBack
			} else {
				enginetest.Eventually(t, "both gateways route to the engine in its new role", func() bool {
					return c.engines["w1"].RoleNow() == engine.Read && first.routesTo("w1", "read") && second.routesTo("w1", "read")
				})
				for _, g := range c.gateways {
					c.observe(g, map[string]string{"w1": "read"})
				}
			}
			if got := c.waitForOutcome(first, "w1"); got != want {
				t.Errorf("outcome %s, want %s", got, want)
			}
		})
	}
}

// routesTo reports whether a gateway routes new requests to an engine in a role.
func (g *testGateway) routesTo(id, role string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, known := g.phase[id+" "+role]
	return known && p == routing.PhaseActive
}

// The lease expires during a change. The leader stops, and another gateway continues with a higher
// fencing token. Writes and commands of the former leader are rejected by the lease, by the record and
// by the engine.
func TestLeaseExpiresMidChange(t *testing.T) {
	c := newCluster(t)
	first := c.startGateway("g1", nil)
	enginetest.Eventually(t, "g1 is the leader", func() bool { return first.Status().IsLeader })
	second := c.startGateway("g2", nil)
	lock, _, err := second.client.Read(t.Context(), first.lockKey())
	if err != nil {
		t.Fatal(err)
	}
	// The leader is disconnected from Consul, and its session ends.
	if err := first.agent.Fail(fakeconsul.Faults{Hang: true}); err != nil {
		t.Fatal(err)
	}
	if err := second.client.DestroySession(t.Context(), lock.Session); err != nil {
		t.Fatal(err)
	}
	enginetest.Eventually(t, "g2 is the leader", func() bool { s := second.Status(); return s.IsLeader && s.FencingToken > lock.LockIndex })
	c.writeRecord(second, "w1", "read", rolechange.Announced)
	enginetest.Eventually(t, "the engine has changed its role on g2's command", func() bool { return c.engines["w1"].RoleNow() == engine.Read })
	enginetest.Eventually(t, "g1 is no longer the leader", func() bool { return !first.Status().IsLeader })

	// A leader that resumes after a stall longer than its lease does nothing.
	stale := &leader{Controller: second.Controller, client: second.client, lease: &lease{session: lock.Session, Lease: rolechange.NewLease(lock.LockIndex, time.Second, time.Now().Add(-time.Hour))}}
	if err := stale.tick(t.Context()); !errors.Is(err, errLeaseLost) {
		t.Errorf("tick after the lease expired: %v", err)
	}
	// A former leader whose lease has not expired by its own clock is rejected by the record and the engine.
	planner, _ := roles.NewPlanner(roles.DefaultSettings())
	stale = &leader{
		Controller: second.Controller, client: second.client, planner: planner, http: &http.Client{Timeout: time.Second},
		lease:             &lease{session: lock.Session, Lease: rolechange.NewLease(lock.LockIndex, time.Hour, time.Now())},
		unresponsiveSince: map[string]time.Time{}, replies: map[string]rolechange.Reply{}, reports: map[string]*engineReport{},
	}
	view := second.directory.View().Engines
	stale.poll(t.Context(), view)
	before, _, _ := second.client.Read(t.Context(), second.changeKey("w1"))
	var r rolechange.Record
	if err := jsoniter.Unmarshal(before.Value, &r); err != nil {
		t.Fatal(err)
	}
	if err := stale.advance(t.Context(), storedRecord{r, before.ModifyIndex}, view); !errors.Is(err, errLeaseLost) {
		t.Errorf("advance with the new leader's record: %v", err)
	}
	r.FencingToken = lock.LockIndex // as in the record that the former leader read last
	if err := stale.advance(t.Context(), storedRecord{r, before.ModifyIndex}, view); !errors.Is(err, errLeaseLost) {
		t.Errorf("advance with a record that has the former leader's fencing token: %v", err)
	}
	stale.sendCommand(t.Context(), rolechange.Action{Record: rolechange.Record{Engine: "w1", Addr: c.engines["w1"].Addr(), To: "write"}, Command: rolechange.Drain})
	if got := stale.replies["w1"]; got != rolechange.Fenced {
		t.Errorf("command of a former leader: reply %v, want Fenced", got)
	}
}

// Consul is unavailable during a change. The gateways keep routing to the engine paused, no gateway is
// the leader, and the change ends once Consul is available again.
func TestConsulUnavailableMidChange(t *testing.T) {
	c := newCluster(t)
	g := c.startGateway("g1", func(o *Options) {
		o.Limits.Confirmation = time.Hour
		o.GatewayCount = func() int { return 2 }
	})
	c.writeRecord(g, "w1", "read", rolechange.Announced)
	enginetest.Eventually(t, "routing to the engine is paused", func() bool { return g.routingPaused("w1", "write") })
	if err := g.agent.Fail(fakeconsul.Faults{Refuse: true}); err != nil {
		t.Fatal(err)
	}
	enginetest.Eventually(t, "no gateway is the leader", func() bool { return !g.Status().IsLeader })
	if !g.routingPaused("w1", "write") {
		t.Error("routing to the engine resumed while the records could not be read")
	}
	if err := g.agent.Fail(fakeconsul.Faults{}); err != nil {
		t.Fatal(err)
	}
	second := c.startGateway("g2", nil) // its confirmation was missing
	enginetest.Eventually(t, "both gateways route to the engine in its new role", func() bool { return g.routesTo("w1", "read") && second.routesTo("w1", "read") })
}

// Gateways observe a change at different times. The engine is commanded to drain only once all gateways
// have confirmed the change, or the confirmation timeout has passed.
func TestMissingConfirmation(t *testing.T) {
	c := newCluster(t)
	g := c.startGateway("g1", func(o *Options) {
		o.Limits.Confirmation = 1500 * time.Millisecond
		o.GatewayCount = func() int { return 2 }
	})
	enginetest.Eventually(t, "g1 is the leader", func() bool { return g.Status().IsLeader })
	startedAt := time.Now()
	c.writeRecord(g, "w1", "read", rolechange.Announced)
	enginetest.Eventually(t, "the gateway routes to the engine in its new role", func() bool { return g.routesTo("w1", "read") })
	if elapsed := time.Since(startedAt); elapsed < 1500*time.Millisecond {
		t.Errorf("role changed after %v, although one gateway had not confirmed the change", elapsed)
	}
}

// A change ends with a rollback or a failure, instead of waiting without limit, if the engine refuses, crashes,
// does not finish draining or reports a role that it was not given.
func TestFaultyEngines(t *testing.T) {
	for name, tc := range map[string]struct {
		makeFaulty func(*engine.Engine)
		want       rolechange.Outcome
	}{
		"refuses commands":         {func(e *engine.Engine) { e.Refuse(true) }, rolechange.RolledBack},
		"crashes":                  {func(e *engine.Engine) { e.Crash() }, rolechange.Failed},
		"reports another role":     {func(e *engine.Engine) { e.Lie("both") }, rolechange.Failed},
		"does not finish draining": {func(e *engine.Engine) { e.Hold(1) }, rolechange.RolledBack},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			g := c.startGateway("g1", func(o *Options) {
				o.Limits.Draining, o.Limits.EngineUnresponsive, o.Limits.WarmUp = 1500*time.Millisecond, 1500*time.Millisecond, time.Minute
			})
			tc.makeFaulty(c.engines["w1"])
			c.writeRecord(g, "w1", "read", rolechange.Announced)
			if got := c.waitForOutcome(g, "w1"); got != tc.want {
				t.Errorf("outcome %s, want %s", got, tc.want)
			}
			if c.engines["w1"].RoleNow() != engine.Write {
				t.Errorf("the engine's role is %s, want write", c.engines["w1"].RoleNow())
			}
		})
	}
}

// If an engine restarts in its old role during a change, the change fails and the gateways route to
// the engine in its old role.
func TestEngineRestartsInOldRole(t *testing.T) {
	c := newCluster(t)
	g := c.startGateway("g1", func(o *Options) { o.Limits.WarmUp = time.Minute })
	c.writeRecord(g, "w1", "read", rolechange.Announced)
	enginetest.Eventually(t, "the gateway routes to the engine in its new role", func() bool { return g.routesTo("w1", "read") })
	if err := c.engines["w1"].Restart(false); err != nil {
		t.Fatal(err)
	}
	if got := c.waitForOutcome(g, "w1"); got != rolechange.Failed {
		t.Errorf("outcome %s, want %s", got, rolechange.Failed)
	}
	enginetest.Eventually(t, "the gateway routes to the engine in its old role", func() bool { return g.routesTo("w1", "write") })
}

// A dry run makes plans and changes nothing.
func TestDryRun(t *testing.T) {
	c := newCluster(t)
	var mu sync.Mutex
	var all core.Traffic
	g := c.startGateway("g1", func(o *Options) {
		o.DryRun = true
		o.Settings.MaxFleetFraction, o.Settings.DemandTimeConstant = 1, time.Second
		o.Traffic = func() map[string]core.Traffic { // half of all requests are not served
			mu.Lock()
			defer mu.Unlock()
			all.Requests, all.PromptTokens = all.Requests+100, all.PromptTokens+100_000
			all.Served, all.ServedPromptTokens, all.OutputTokens = all.Served+50, all.ServedPromptTokens+50_000, all.OutputTokens+500
			return map[string]core.Traffic{"c": all}
		}
	})
	c.engines["r1"].Hold(8)
	c.engines["r2"].Hold(8)
	c.engines["w1"].Hold(1)
	enginetest.Eventually(t, "a change is planned", func() bool { return g.Status().Plan.Change != nil })
	s := g.Status()
	if len(s.Changes) > 0 || len(s.History) > 0 || s.Plan.Change.To != roles.Prefill {
		t.Errorf("status of a dry run: %+v", s)
	}
	pairs, _, err := g.client.List(t.Context(), "p/change/", 0, 0)
	if err != nil || len(pairs) > 0 {
		t.Errorf("records written by a dry run: %v, error %v", pairs, err)
	}
}
