// Package consulrun is the experiment "consul": gateways under load that take their
// engines from a Consul that misbehaves.
package consulrun

import (
	"context"
	"fmt"
	"maps"
	"net"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"wellgw/experiments"
	"wellgw/experiments/gateway"
	"wellgw/experiments/load"
	"wellgw/fake/consul"
	"wellgw/fake/engine"
	"wellgw/internal/admin"
)

// The bounds.
const (
	markLimit     = 2 * time.Second // no new work so long after a mark was seen
	followLimit   = 3 * time.Second // a mark is followed so long after the agent's return
	recoveryLimit = 2 * time.Second // after all engines were critical and none restarted
	node          = "node-1"
	coldFor       = 14 * time.Second
	checkName     = "alive"
)

// stage is one set of stand-ins, gateways and load.
type stage struct {
	name   string
	opt    experiments.Options
	begun  time.Time
	store  *consul.Store
	agents []*consul.Agent
	fleet  *engine.Fleet
	byID   map[string]*engine.Engine
	gates  []*gateway.Gateway
	rec    load.Recorder
	report *experiments.Report

	mu     sync.Mutex
	spans  []engine.Span
	excuse []window // requests asked in these may fail, for no fault of Consul's alone
	rows   [][]any
}

type window struct{ from, to time.Time }

func newStage(name string, opt experiments.Options, agents int, r *experiments.Report) (*stage, error) {
	s := &stage{name: name, opt: opt, begun: time.Now(), store: consul.NewStore(), fleet: engine.NewFleet(), byID: map[string]*engine.Engine{}, report: r}
	for range agents {
		a, err := consul.NewAgent(s.store, node)
		if err != nil {
			return nil, err
		}
		s.agents = append(s.agents, a)
	}
	return s, nil
}

func (s *stage) close() {
	for _, g := range s.gates {
		g.Kill()
	}
	for _, a := range s.agents {
		a.Close()
	}
	s.fleet.Close()
	s.store.Close()
}

// engines starts some and lists them under a service.
func (s *stage) engines(service string, tags []string, ids ...string) error {
	for _, id := range ids {
		if err := s.engine(service, tags, id, id, true); err != nil {
			return err
		}
	}
	return nil
}

// engine starts a process and lists it under an id.
func (s *stage) engine(service string, tags []string, process, id string, warm bool) error {
	e, err := s.fleet.Start(engine.Options{ID: process, Role: engine.OpenAI, Slots: 16, Queue: 64, TokenInterval: 4 * time.Millisecond, WarmUp: coldFor, OverloadFactor: 4}, warm)
	if err != nil {
		return err
	}
	s.byID[process] = e
	s.list(service, tags, id, e)
	return nil
}

func (s *stage) list(service string, tags []string, id string, e *engine.Engine) {
	host, port, _ := net.SplitHostPort(e.Addr())
	n, _ := strconv.Atoi(port)
	s.store.Register(consul.Service{ID: id, Name: service, Node: node, Address: host, Port: n, Tags: tags, Meta: map[string]string{"role": engine.OpenAI}},
		map[string]string{checkName + ":" + id: "passing"})
}

func (s *stage) mark(status string, ids ...string) {
	by := map[string]string{}
	for _, id := range ids {
		by[id] = status
	}
	s.store.SetChecks(node, by, checkName)
}

// settings are an operator's file.
func (s *stage) settings(section map[string]any) map[string]any {
	cfg := map[string]any{"check_path": "/healthz"}
	maps.Copy(cfg, section)
	return gateway.Settings(cfg)
}

func (s *stage) addresses() []string {
	var list []string
	for _, a := range s.agents {
		list = append(list, a.Addr)
	}
	return list
}

// start starts some gateways and waits until each has so many engines in.
func (s *stage) start(ctx context.Context, n, engines int, section map[string]any) error {
	for range n {
		name := fmt.Sprintf("%s-%d", s.name, len(s.gates)+1)
		file := s.settings(section)
		file["state_file"] = filepath.Join(s.opt.WorkDir, name+".view")
		g, err := gateway.Start(ctx, s.opt.Program, s.opt.WorkDir, name, file)
		if err != nil {
			return err
		}
		s.gates = append(s.gates, g)
		if _, ok := g.Await(ctx, 10*time.Second, func(v admin.View) bool { return in(v) >= engines }); !ok {
			return fmt.Errorf("%s: not %d engines in time", name, engines)
		}
	}
	return nil
}

func in(v admin.View) int {
	n := 0
	for _, e := range v.Engines {
		if e.State == "in" {
			n++
		}
	}
	return n
}

func state(v admin.View, id string) string {
	for _, e := range v.Engines {
		if e.ID == id {
			return e.State
		}
	}
	return "gone"
}

// load asks the stage's gateways until the function returned is called.
func (s *stage) load(ctx context.Context, clients int) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	p := load.Plan{
		Key: gateway.Key, Clients: clients, Turns: 3, MaxTokens: 8, Seed: s.opt.Seed,
		Models: []load.Model{{Name: "parts", Weight: 0.53, Words: 60}, {Name: "orders", Weight: 0.47, Words: 80}},
	}
	for _, g := range s.gates {
		p.Targets = append(p.Targets, g.Addr)
	}
	done := make(chan struct{})
	go func() { defer close(done); load.Run(ctx, p, &s.rec) }()
	return func() { cancel(); <-done }
}

// since is how long an engine has been up in a gateway's view; 0 if it is not known.
func since(v admin.View, id string) time.Duration {
	for _, e := range v.Engines {
		if e.ID == id {
			return time.Duration(e.UpMS) * time.Millisecond
		}
	}
	return 0
}

func (s *stage) say(format string, args ...any) {
	s.opt.Progress(s.begun, s.name+": "+format, args...)
}

// forbid states that an engine is to get no new work from a time on, and returns
// how to end that.
func (s *stage) forbid(process, why string, from time.Time) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spans = append(s.spans, engine.Span{Engine: process, From: from, Reason: why})
	i := len(s.spans) - 1
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.spans[i].To = time.Now()
	}
}

// followed waits until every gateway sees an engine in a state, and states the bound.
func (s *stage) followed(ctx context.Context, what, id, want string, since time.Time, limit time.Duration) {
	worst, all := time.Duration(0), true
	for _, g := range s.gates {
		_, ok := g.Await(ctx, limit+3*time.Second, func(v admin.View) bool { return state(v, id) == want })
		all = all && ok
		worst = max(worst, time.Since(since))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = append(s.rows, []any{s.name, what, worst.Round(10 * time.Millisecond), limit})
	s.report.AddBound(all && worst <= limit, what, "%v, limit %v", worst.Round(10*time.Millisecond), limit)
}

// phase runs a part of the course and notes what was asked and served in it.
func (s *stage) phase(ctx context.Context, name string, do func()) {
	if ctx.Err() != nil {
		return
	}
	s.say("%s", name)
	from := time.Now()
	do()
	to := time.Now()
	time.Sleep(50 * time.Millisecond)
	sum := load.Summarize(s.rec.All(), from, to)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = append(s.rows, []any{s.name, name, "", "", sum.Requests, sum.Served, sum.FirstP50.Round(100 * time.Microsecond), sum.FirstP99.Round(100 * time.Microsecond), sum.MaxGap.Round(time.Millisecond)})
}

func (s *stage) excuseFrom(from, to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.excuse = append(s.excuse, window{from, to})
}

// judge states the bounds that hold for the whole course.
func (s *stage) judge() {
	attempts, outcomes := s.fleet.Attempts(), s.rec.All()
	late := engine.AttemptsInSpans(attempts, s.spans)
	s.report.AddBound(len(late) == 0, s.name+": no new work after a mark", "%d engines got some %v", len(late), late)
	missed, first := 0, ""
	for _, o := range outcomes {
		excused := false
		for _, w := range s.excuse {
			excused = excused || o.SentAt.Add(o.Total).After(w.from) && o.SentAt.Before(w.to)
		}
		if !o.Served && !excused {
			if missed++; first == "" {
				first = fmt.Sprintf("; the first at %.2f s: %s", o.SentAt.Sub(s.begun).Seconds(), o.Failure)
			}
		}
	}
	s.report.AddBound(missed == 0 && len(outcomes) > 0, s.name+": no request unserved for a fault of Consul's alone", "%d of %d%s", missed, len(outcomes), first)
	orders := map[string]bool{}
	for _, o := range outcomes {
		if o.Model == "orders" {
			orders[o.RequestID] = true
		}
	}
	twice := engine.DuplicateExecutions(attempts, func(order string) bool { return orders[order] })
	s.report.AddBound(len(twice) == 0, s.name+": no order ran twice", "%d of %d", len(twice), len(orders))
	s.report.AddBound(s.fleet.OverloadCrashes() == 0, s.name+": no cold engine pushed over", "%d", s.fleet.OverloadCrashes())
	for _, g := range s.gates {
		if n := g.Count("invariants broken"); n > 0 {
			s.report.AddBound(false, s.name+": no invariant broken", "%s: %d lines", g.Name, n)
		}
	}
}
