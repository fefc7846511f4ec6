package consulrun

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"wellgw/experiments"
	"wellgw/experiments/gateway"
	"wellgw/experiments/load"
	"wellgw/fake/consul"
	"wellgw/internal/admin"
	"wellgw/internal/pause"
)

// Experiment returns the experiment.
func Experiment() experiments.Experiment {
	return experiments.Experiment{
		Name:  "consul",
		About: "Gateways under load find their engines in a Consul that hangs, refuses, lags, is restored and answers nonsense.",
		Run:   run,
	}
}

func run(ctx context.Context, opt experiments.Options) (*experiments.Report, error) {
	r := &experiments.Report{}
	agents, err := newStage("agents", opt, 2, r)
	if err != nil {
		return nil, err
	}
	defer agents.close()
	catalogue, err := newStage("catalogue", opt, 1, r)
	if err != nil {
		return nil, err
	}
	defer catalogue.close()
	var group sync.WaitGroup
	errs := make([]error, 3)
	var costs [][]any
	var mu sync.Mutex
	group.Go(func() { errs[0] = playAgents(ctx, agents) })
	group.Go(func() { errs[1] = playCatalogue(ctx, catalogue) })
	group.Go(func() { costs, errs[2] = playCost(ctx, opt, r, &mu) })
	group.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	phases := experiments.Table{Title: "Phases", Head: []string{"stage", "phase", "took", "limit", "asked", "served", "first p50", "first p99", "longest gap"}}
	for _, s := range []*stage{agents, catalogue} {
		s.judge()
		phases.Rows = append(phases.Rows, s.rows...)
		served, not := load.Buckets(s.rec.All(), s.begun)
		r.Charts = append(r.Charts, experiments.Chart{
			Name: s.name, Title: "Stage " + s.name + ": requests by the second in which they were asked", X: "seconds", Y: "requests",
			Lines: []experiments.Line{{Name: "served", At: served}, {Name: "not served", At: not}},
		})
	}
	r.Tables = append(r.Tables, phases, experiments.Table{
		Title: "Cost of following",
		Head:  []string{"engines", "services", "way", "resident MB", "CPU idle", "queries/s idle", "KB/s idle", "mark seen", "flaps/s", "CPU flapping", "KB/s flapping", "told/s"},
		Rows:  costs,
	})
	r.Notes = append(r.Notes, "CPU is in per cent of one core. In 'rounds' services are asked in turn, for there are more than watches allowed.")
	return r, nil
}

func (s *stage) span(long, quick time.Duration) time.Duration {
	if s.opt.Quick {
		return quick
	}
	return long
}

func (s *stage) fail(which []*consul.Agent, f consul.Faults) {
	for _, a := range which {
		if err := a.SetFaults(f); err != nil {
			s.say("the stand-in cannot do that: %v", err)
		}
	}
}

// playAgents has the agents fail in every way, the catalogue being well.
func playAgents(ctx context.Context, s *stage) error {
	if err := s.engines("llm", nil, "e1", "e2", "e3", "e4", "e5", "e6"); err != nil {
		return err
	}
	section := map[string]any{"addresses": s.addresses(), "service": "llm"}
	if err := s.start(ctx, 2, 6, section); err != nil {
		return err
	}
	stop := s.load(ctx, 8)
	defer stop()
	s.phase(ctx, "all well", func() { pause.Sleep(ctx, time.Second) })
	s.silentAgents(ctx, "both agents hang", "e1", consul.Faults{Hang: true})
	s.silentAgents(ctx, "both agents refuse", "e2", consul.Faults{Refuse: true})
	s.phase(ctx, "bodies that are no list", func() { s.invalidBodies(ctx) })
	s.phase(ctx, "null nodes and a port of -4 beside a mark", func() { s.markBesideNonsense(ctx) })
	s.phase(ctx, "429, 403, 500, no leader, resets, a trickle", func() { s.badAnswers(ctx) })
	s.phase(ctx, "two agents disagree", func() { s.disagree(ctx) })
	s.phase(ctx, "an engine restarts while another's check flaps", func() { s.restartBesideFlap(ctx) })
	s.phase(ctx, "SIGHUP moves Consul while it hangs", func() { s.moveByReload(ctx) })
	return nil
}

// silentAgents marks an engine while no agent can be asked.
func (s *stage) silentAgents(ctx context.Context, name, id string, f consul.Faults) {
	s.phase(ctx, name, func() {
		s.fail(s.agents, f)
		pause.Sleep(ctx, s.span(5*time.Second, 1500*time.Millisecond))
		s.mark("critical", id) // while nobody can be asked
		pause.Sleep(ctx, s.span(3*time.Second, 1500*time.Millisecond))
		s.fail(s.agents, consul.Faults{})
		back := time.Now()
		end := s.forbid(id, name, back.Add(followLimit))
		s.followed(ctx, name+": mark followed after the agents' return", id, "critical", back, followLimit)
		pause.Sleep(ctx, time.Until(back.Add(followLimit+500*time.Millisecond)))
		end()
		s.mark("passing", id)
	})
}

// invalidBodies answers with bodies that are no list.
func (s *stage) invalidBodies(ctx context.Context) {
	for _, body := range []string{`{}`, `null`, `"x"`, `[`, `[{"Node":null,"Service":{"ID":"e1","Port":-4}}]`} {
		s.fail(s.agents, consul.Faults{Body: body})
		s.store.SetCheck(node, "e6", "other", "passing") // so that the query ends and brings it
		pause.Sleep(ctx, s.span(2*time.Second, 500*time.Millisecond))
	}
	s.fail(s.agents, consul.Faults{})
}

// markBesideNonsense follows a mark that stands beside entries without meaning.
func (s *stage) markBesideNonsense(ctx context.Context) {
	s.fail(s.agents, consul.Faults{Rewrite: func(_ string, body []byte) []byte {
		body = bytes.Replace(body, []byte(`"ID":"e4"`), []byte(`"ID":""`), 1)
		return bytes.Replace(body, []byte(`"Node":{`), []byte(`"Node":null,"Was":{`), 2)
	}})
	at := time.Now()
	s.mark("critical", "e3")
	end := s.forbid("e3", "beside nonsense", at.Add(markLimit))
	s.followed(ctx, "mark beside nonsense followed", "e3", "critical", at, markLimit)
	pause.Sleep(ctx, time.Until(at.Add(markLimit+500*time.Millisecond)))
	end()
	s.fail(s.agents, consul.Faults{})
	s.mark("passing", "e3")
}

// badAnswers has the agents answer in all ways but the right one.
func (s *stage) badAnswers(ctx context.Context) {
	for _, f := range []consul.Faults{
		{Status: 429, RetryAfter: "1"}, {Status: 403}, {Status: 500}, {Leaderless: true}, {ResetFraction: 1}, {Trickle: 2 * time.Millisecond},
		{LastContact: time.Hour}, {NonBlocking: true},
	} {
		if ctx.Err() != nil {
			break
		}
		s.fail(s.agents, f)
		s.store.SetCheck(node, "e6", "other", "passing")
		pause.Sleep(ctx, s.span(2*time.Second, 400*time.Millisecond))
	}
	s.fail(s.agents, consul.Faults{})
}

// disagree has one agent lag behind what the other has told.
func (s *stage) disagree(ctx context.Context) {
	old := s.store.Snapshot()
	at := time.Now()
	s.mark("critical", "e5")
	end := s.forbid("e5", "a lagging agent", at.Add(markLimit))
	s.followed(ctx, "mark followed before the agents disagree", "e5", "critical", at, markLimit)
	for _, a := range s.agents[1:] {
		s.fail([]*consul.Agent{a}, consul.Faults{Lag: old, LastContact: time.Second})
	}
	s.fail(s.agents[:1], consul.Faults{Refuse: true}) // the other one, which lags, is asked now
	pause.Sleep(ctx, s.span(6*time.Second, 2500*time.Millisecond))
	s.fail(s.agents, consul.Faults{})
	pause.Sleep(ctx, 500*time.Millisecond)
	end()
	s.mark("passing", "e5")
}

// restartBesideFlap tells an engine that restarted from one whose check flaps.
func (s *stage) restartBesideFlap(ctx context.Context) {
	at := time.Now()
	s.byID["e1"].Crash()
	s.mark("critical", "e1", "e2")
	// Requests that ran there have failed with the engine.
	s.excuseFrom(at.Add(-500*time.Millisecond), at.Add(markLimit))
	end := s.forbid("e1", "restarting", at.Add(markLimit))
	pause.Sleep(ctx, 1500*time.Millisecond)
	if err := s.byID["e1"].Restart(false); err != nil {
		s.say("%v", err)
	}
	pause.Sleep(ctx, 500*time.Millisecond)
	end()
	back := time.Now()
	s.mark("passing", "e1", "e2")
	s.followed(ctx, "a restarted engine is in again", "e1", "in", back, recoveryLimit)
	for _, g := range s.gates {
		v, err := g.View(ctx)
		cold, warm := since(v, "e1"), since(v, "e2")
		s.report.AddBound(err == nil && cold > 0 && cold < coldFor && warm == 0, g.Name+": a restart is told from a flap",
			"up for: restarted %v, flapped %v (0 = long)", cold.Round(time.Millisecond), warm)
	}
	pause.Sleep(ctx, s.span(6*time.Second, 1500*time.Millisecond))
}

// moveByReload moves the gateways to another agent while theirs hang.
func (s *stage) moveByReload(ctx context.Context) {
	third, err := consul.NewAgent(s.store, node)
	if err != nil {
		s.say("%v", err)
		return
	}
	s.fail(s.agents, consul.Faults{Hang: true})
	pause.Sleep(ctx, 1500*time.Millisecond)
	s.agents = append(s.agents, third)
	at := time.Now()
	for _, g := range s.gates {
		file := s.settings(map[string]any{"address": third.Addr, "service": "llm"})
		file["state_file"] = s.opt.WorkDir + "/" + g.Name + ".view"
		if err := g.WriteSettings(file); err != nil {
			s.say("%v", err)
		}
		g.Reload()
	}
	s.store.SetMaintenance(node, "e6", true, "moved")
	end := s.forbid("e6", "after SIGHUP", at.Add(followLimit))
	s.followed(ctx, "mark followed after SIGHUP", "e6", "draining", at, followLimit)
	pause.Sleep(ctx, time.Until(at.Add(followLimit+500*time.Millisecond)))
	end()
	s.store.SetMaintenance(node, "e6", false, "")
	pause.Sleep(ctx, 300*time.Millisecond)
}

// playCatalogue has the catalogue itself go wrong or change.
func playCatalogue(ctx context.Context, s *stage) error {
	tags := []string{"engine"}
	if err := errors.Join(s.engines("llm-a", tags, "a1", "a2", "a3"), s.engines("llm-b", tags, "b1", "b2", "b3")); err != nil {
		return err
	}
	section := map[string]any{
		"addresses": s.addresses(), "tag": "engine", "hold_ms": 4000, "register": map[string]any{"name": "wellgw", "ttl_ms": 2000},
	}
	if err := s.start(ctx, 2, 6, section); err != nil {
		return err
	}
	stop := s.load(ctx, 8)
	defer stop()
	s.phase(ctx, "all well", func() { pause.Sleep(ctx, time.Second) })
	for _, g := range s.gates {
		_, ok := g.Await(ctx, 5*time.Second, func(v admin.View) bool { return v.Gateways == len(s.gates) })
		s.report.AddBound(ok, g.Name+": the gateways count each other", "%d expected", len(s.gates))
	}
	s.phase(ctx, "restored empty, past the hold, and back", func() {
		good := s.store.Snapshot()
		s.store.Restore(consul.EmptySnapshot())
		pause.Sleep(ctx, s.span(12*time.Second, 6*time.Second))
		s.store.Restore(good)
		pause.Sleep(ctx, time.Second)
	})
	s.phase(ctx, "all critical, then passing", func() { s.allCritical(ctx) })
	s.phase(ctx, "an engine moves; another id takes an address", func() { s.moveAndRename(ctx, tags) })
	s.phase(ctx, "a tag is taken away during a drain, and comes back", func() { s.tagDuringDrain(ctx, tags) })
	return errors.Join(restartWithoutConsul(ctx, s, section), nil)
}

// allCritical marks every engine critical, and takes that back.
func (s *stage) allCritical(ctx context.Context) {
	all := []string{"a1", "a2", "a3", "b1", "b2", "b3"}
	at := time.Now()
	s.mark("critical", all...)
	var ends []func()
	for _, id := range all {
		ends = append(ends, s.forbid(id, "all critical", at.Add(markLimit)))
	}
	pause.Sleep(ctx, 5*time.Second)
	for _, end := range ends {
		end()
	}
	back := time.Now()
	s.mark("passing", all...)
	s.excuseFrom(at, back.Add(recoveryLimit))
	pause.Sleep(ctx, recoveryLimit+s.span(3*time.Second, 1500*time.Millisecond))
	// Recovery is over with the last request that was asked before all were served.
	last, first := back, time.Duration(0)
	for _, o := range s.rec.All() {
		switch {
		case o.SentAt.Before(back):
		case !o.Served && o.SentAt.After(last):
			last = o.SentAt
		case o.Served && (first == 0 || o.SentAt.Add(o.Total).Sub(back) < first):
			first = o.SentAt.Add(o.Total).Sub(back)
		}
	}
	took := last.Sub(back)
	s.rows = append(s.rows, []any{s.name, "recovery from all critical", took.Round(10 * time.Millisecond), recoveryLimit})
	s.report.AddBound(took <= recoveryLimit && first > 0, "recovery from all critical, no engine restarted", "all served after %v, the first after %v", took.Round(time.Millisecond), first.Round(time.Millisecond))
}

// moveAndRename moves one engine, and lists another under a second id.
func (s *stage) moveAndRename(ctx context.Context, tags []string) {
	at := time.Now()
	if err := s.engine("llm-a", tags, "a1-moved", "a1", false); err != nil {
		s.say("%v", err)
	}
	end := s.forbid("a1", "moved away", at.Add(markLimit))
	s.list("llm-a", tags, "a9", s.byID["a2"]) // the same process, under another id
	pause.Sleep(ctx, markLimit+s.span(4*time.Second, 700*time.Millisecond))
	end()
	for _, g := range s.gates {
		v, err := g.View(ctx)
		ok := err == nil && state(v, "a2") == "gone" && state(v, "a9") == "in"
		s.report.AddBound(ok, g.Name+": an address has one engine", "a2 %s, a9 %s", state(v, "a2"), state(v, "a9"))
	}
	s.store.Deregister(node, "a2")
}

// tagDuringDrain takes the tag of a service away while one of its engines drains.
func (s *stage) tagDuringDrain(ctx context.Context, tags []string) {
	at := time.Now()
	s.store.SetMaintenance(node, "b1", true, "drain")
	end := s.forbid("b1", "drained without its tag", at.Add(markLimit))
	s.followed(ctx, "drain followed", "b1", "draining", at, markLimit)
	for _, id := range []string{"b1", "b2", "b3"} {
		s.list("llm-b", []string{"other"}, id, s.byID[id])
	}
	gone := time.Now()
	var ends []func()
	for _, id := range []string{"b2", "b3"} {
		ends = append(ends, s.forbid(id, "its service lost the tag", gone.Add(markLimit)))
	}
	pause.Sleep(ctx, markLimit+s.span(3*time.Second, 500*time.Millisecond))
	for _, e := range ends {
		e()
	}
	for _, id := range []string{"b1", "b2", "b3"} {
		s.list("llm-b", tags, id, s.byID[id])
	}
	pause.Sleep(ctx, 1500*time.Millisecond)
	end()
	s.store.SetMaintenance(node, "b1", false, "")
}

// restartWithoutConsul starts a gateway from its last good view alone.
func restartWithoutConsul(ctx context.Context, s *stage, section map[string]any) error {
	const name = "catalogue-late"
	file := s.settings(section)
	file["state_file"] = s.opt.WorkDir + "/" + name + ".view"
	g, err := gateway.Start(ctx, s.opt.Program, s.opt.WorkDir, name, file)
	if err != nil {
		return err
	}
	s.mark("critical", "b2")
	_, seen := g.Await(ctx, 5*time.Second, func(v admin.View) bool { return state(v, "b2") == "critical" && in(v) >= 4 })
	pause.Sleep(ctx, 1500*time.Millisecond) // it writes its view once a second
	g.Kill()
	s.phase(ctx, "a gateway starts while Consul is away", func() {
		s.fail(s.agents, consul.Faults{Refuse: true})
		if g, err = gateway.Start(ctx, s.opt.Program, s.opt.WorkDir, name, file); err != nil {
			return
		}
		end := s.forbid("b2", "critical by the view on disk", time.Now())
		from := time.Now()
		sub, cancel := context.WithTimeout(ctx, s.span(4*time.Second, 1500*time.Millisecond))
		var rec load.Recorder
		load.Run(sub, load.Plan{
			Name: "late-", Targets: []string{g.Addr}, Key: gateway.Key, Clients: 4, Turns: 3, MaxTokens: 8, Seed: s.opt.Seed + 1,
			Models: []load.Model{{Name: "parts", Weight: 1, Words: 40}},
		}, &rec)
		cancel()
		end()
		sum := load.Summarize(rec.All(), from, time.Time{})
		s.report.AddBound(seen && sum.Requests > 0 && sum.Served == sum.Requests, "served at once from the last good view", "%d of %d, first token %v", sum.Served, sum.Requests, sum.FirstP50.Round(time.Millisecond))
		s.fail(s.agents, consul.Faults{})
		g.Kill()
		s.mark("passing", "b2")
	})
	if err != nil {
		return fmt.Errorf("restart: %w", err)
	}
	return nil
}
