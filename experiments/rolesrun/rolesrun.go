// Package rolesrun is the experiment "roles": gateways before two-stage engines that
// change between prompt and answer work as the mix of lookups and orders swings.
package rolesrun

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"wellgw/decide/roles"
	"wellgw/experiments"
	"wellgw/experiments/gateway"
	"wellgw/experiments/load"
	"wellgw/experiments/rolesim"
	"wellgw/fake/consul"
	"wellgw/fake/engine"
	"wellgw/internal/admin"
	"wellgw/internal/rolectl"
)

// Experiment returns the experiment.
func Experiment() experiments.Experiment {
	return experiments.Experiment{
		Name:  "roles",
		About: "Ten engines under a mix that swings between 80 per cent lookups and 80 per cent orders: fixed roles, roles that move, and an oracle that knows the mix.",
		Run:   run,
	}
}

// The figures of a stage. Times are short, so that phases can be.
const (
	engines   = 10
	gateways  = 3
	node      = "node-1"
	cold      = 3 * time.Second
	coldShare = 0.32
	worthOf   = "orders"
	heldFor   = time.Second // with no request under way any more
)

// worth is what a served answer is worth, by model, and how late it may be for that.
var (
	worths = map[string]float64{"parts": 2, "orders": 3}
	aims   = map[string]time.Duration{"parts": time.Second, "orders": 2500 * time.Millisecond}
)

// variant is one way to keep roles.
type variant struct {
	name   string
	prompt int // engines of the prompt stage at the start
	moving bool
	oracle bool
	still  bool // the mix stands at half
}

func run(ctx context.Context, opt experiments.Options) (*experiments.Report, error) {
	r := &experiments.Report{}
	emulate(r, opt)
	phase, phases := 120*time.Second, 3
	if opt.Quick {
		phase, phases = 20*time.Second, 2
	}
	variants := []variant{
		{name: "fixed 4:6", prompt: 4}, {name: "fixed 5:5", prompt: 5}, {name: "fixed 6:4", prompt: 6},
		{name: "moving", prompt: 4, moving: true}, {name: "oracle", prompt: 4, oracle: true},
		{name: "still, fixed 5:5", prompt: 5, still: true}, {name: "still, moving", prompt: 5, moving: true, still: true},
	}
	results := make([]*result, len(variants))
	errs := make([]error, len(variants))
	var group sync.WaitGroup
	for i, v := range variants {
		group.Go(func() { results[i], errs[i] = play(ctx, opt, v, phase, phases) })
	}
	group.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	t := experiments.Table{Title: "Gateways and stand-in engines", Head: []string{"roles", "service", "worst phase", "worst 10 s", "lookups", "orders", "changes", "pushed over", "orders run twice", "work after a mark"}}
	chart := experiments.Chart{Name: "service", Title: "Service by second", X: "seconds", Y: "worth in time over worth asked"}
	for _, x := range results {
		t.Rows = append(t.Rows, []any{x.name, f3(x.service), f3(x.worst), f3(x.worst10), f3(x.byModel["parts"]), f3(x.byModel["orders"]), x.changes, x.fallen, len(x.twice), len(x.after)})
		r.AddBound(x.fallen == 0, x.name+": no cold engine pushed over", "%d", x.fallen)
		r.AddBound(len(x.twice) == 0, x.name+": no order ran twice", "%d %s", len(x.twice), strings.Join(x.twice[:min(2, len(x.twice))], " "))
		r.AddBound(x.held == 0, x.name+": no read state is held by nobody", "%d", x.held)
		r.AddBound(len(x.after) == 0, x.name+": no work of the old kind after a mark", "%v", x.after)
		chart.Lines = append(chart.Lines, experiments.Line{Name: x.name, At: x.over})
	}
	best := max(results[0].worst, results[1].worst, results[2].worst)
	moving, fixedStill, movingStill := results[3], results[5], results[6]
	r.AddBound(moving.changes > 0, "moving: engines have changed their roles", "%d changes", moving.changes)
	if opt.Quick { // a phase is little longer than the changes that it asks for
		r.AddBound(moving.service >= max(results[0].service, results[1].service, results[2].service), "moving beats the best fixed split over all", "%.3f; worst phase %.3f against %.3f", moving.service, moving.worst, best)
	} else {
		r.AddBound(moving.worst >= best+0.1, "moving beats the best fixed split by 10 points in the worst phase", "%.3f against %.3f", moving.worst, best)
	}
	r.AddBound(movingStill.service >= fixedStill.service-0.02, "moving loses at most 2 points when the mix stands still", "%.3f against %.3f", movingStill.service, fixedStill.service)
	r.Tables = append(r.Tables, t)
	r.Charts = append(r.Charts, chart)
	return r, nil
}

func f3(x float64) string { return fmt.Sprintf("%.3f", x) }

// result is what came of a variant.
type result struct {
	name                    string
	service, worst, worst10 float64
	byModel                 map[string]float64
	changes, fallen         int
	twice, after            []string
	held                    int // read states that were held too long, at most
	over                    [][2]float64
}

// stage is one variant as it is staged.
type stage struct {
	variant
	store *consul.Store
	agent *consul.Agent
	fleet *engine.Fleet
	all   []*engine.Engine
	gates []*gateway.Gateway
}

func (s *stage) list(e *engine.Engine, rack int, role string) {
	host, port, _ := net.SplitHostPort(e.Addr())
	n, _ := strconv.Atoi(port)
	s.store.Register(consul.Service{
		ID: e.ID, Name: "llm", Node: node, Address: host, Port: n,
		Meta: map[string]string{"role": role, "cell": strconv.Itoa(rack)},
	}, map[string]string{"alive:" + e.ID: "passing"})
}

func (s *stage) close() {
	for _, g := range s.gates {
		g.Kill()
	}
	s.agent.Close()
	s.fleet.Close()
	s.store.Close()
}

func play(ctx context.Context, opt experiments.Options, v variant, phase time.Duration, phases int) (*result, error) {
	s := &stage{variant: v, store: consul.NewStore(), fleet: engine.NewFleet()}
	var err error
	if s.agent, err = consul.NewAgent(s.store, node); err != nil {
		return nil, err
	}
	defer s.close()
	if err := s.startEngines(); err != nil {
		return nil, err
	}
	if err := s.startGateways(ctx, opt); err != nil {
		return nil, err
	}
	begun := time.Now()
	watch, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	spans := &spanLog{}
	group.Go(func() { spans.watch(watch, s) })
	if v.oracle {
		group.Go(func() { s.oracle(watch, phase, phases) })
	}
	var rec load.Recorder
	for p := range phases {
		part, done := context.WithDeadline(ctx, begun.Add(time.Duration(p+1)*phase))
		load.Run(part, s.plan(opt.Seed, p, v.lookups(p)), &rec)
		done()
	}
	stop()
	group.Wait()
	x := judge(v.name, rec.All(), begun, phase, phases)
	s.account(x, spans, rec.All())
	return x, nil
}

// lookups is the part of the requests of a phase that are lookups.
func (v variant) lookups(phase int) float64 {
	switch {
	case v.still:
		return 0.5
	case phase%2 == 1:
		return 0.2
	}
	return 0.8
}

// startEngines starts the engines in the roles that the variant begins with, and lists them.
func (s *stage) startEngines() error {
	for i := range engines {
		role := engine.Write
		if i*s.variant.prompt/engines != (i+1)*s.variant.prompt/engines {
			role = engine.Read
		}
		e, err := s.fleet.Start(engine.Options{
			ID: fmt.Sprintf("e%d", i), Role: role, Slots: 4, Queue: 12, PrefillTokensPerSecond: 2500, TokenInterval: 12 * time.Millisecond, Tokens: 64,
			WarmUp: cold, ColdSpeedFraction: coldShare, OverloadFactor: 4,
		}, true)
		if err != nil {
			return err
		}
		s.all = append(s.all, e)
		s.list(e, i%2, role)
	}
	return nil
}

// startGateways starts the gateways and waits until each knows all engines.
func (s *stage) startGateways(ctx context.Context, opt experiments.Options) error {
	prefix := strings.NewReplacer(" ", "", ",", "-", ":", "to").Replace(s.variant.name)
	for n := range gateways {
		name := fmt.Sprintf("%s-%d", prefix, n)
		g, err := gateway.Start(ctx, opt.Program, opt.WorkDir, name, s.settings())
		if err != nil {
			return err
		}
		s.gates = append(s.gates, g)
		if _, ok := g.Await(ctx, 10*time.Second, func(a admin.View) bool { return len(a.Engines) == engines }); !ok {
			return fmt.Errorf("%s: not all engines in time", name)
		}
	}
	return nil
}

// account adds to a result what the engines and the watch on the gateways saw.
func (s *stage) account(x *result, spans *spanLog, outcomes []load.Outcome) {
	x.fallen = s.fleet.OverloadCrashes()
	orders := map[string]bool{}
	for _, o := range outcomes {
		if o.Model == worthOf {
			orders[o.RequestID] = true
		}
	}
	attempts := s.fleet.Attempts()
	x.twice = engine.DuplicateExecutions(attempts, func(o string) bool { return orders[o] })
	x.changes, x.after = spans.judge(attempts)
	time.Sleep(heldFor)
	x.held = s.fleet.CountHeldStates(heldFor)
}

func (s *stage) settings() map[string]any {
	file := gateway.Settings(map[string]any{"address": s.agent.Addr, "service": "llm", "check_path": "/load", "register": map[string]any{"name": "wellgw"}})
	if s.moving {
		file["roles"] = map[string]any{
			"dwell_ms": 10000, "settle_ms": 6000, "drain_ms": 2000, "cold_ms": cold.Milliseconds(), "horizon_ms": 25000, "smooth_ms": 3000, "changes_an_hour": 600,
		}
	}
	return file
}

// plan is the load of one phase: lookups are short to read and long to write, orders
// the reverse.
func (s *stage) plan(seed uint64, phase int, lookups float64) load.Plan {
	p := load.Plan{
		Name: fmt.Sprintf("p%d-", phase), Key: gateway.Key, Rate: 56, Turns: 1, Seed: seed + uint64(phase),
		Models: []load.Model{
			{Name: "parts", Weight: lookups, Words: 220, Tokens: 36},
			{Name: "orders", Weight: 1 - lookups, Words: 1150, Tokens: 14},
		},
	}
	for _, g := range s.gates {
		p.Targets = append(p.Targets, g.Addr)
	}
	return p
}

// oracle moves engines at once as the mix swings, by way of the catalogue alone: it
// knows the mix and pays for no drain.
func (s *stage) oracle(ctx context.Context, phase time.Duration, phases int) {
	for p := range phases {
		want := 4
		if p%2 == 1 {
			want = 6
		}
		have := 0
		for _, e := range s.all {
			if e.CurrentRole() == engine.Read {
				have++
			}
		}
		for i, e := range s.all {
			switch role := e.CurrentRole(); {
			case role == engine.Write && have < want:
				e.SetRole(engine.Read)
				s.list(e, i%2, engine.Read)
				have++
			case role == engine.Read && have > want:
				e.SetRole(engine.Write)
				s.list(e, i%2, engine.Write)
				have--
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(phase):
		}
	}
}

// judge works out the service of the outcomes.
func judge(name string, list []load.Outcome, begun time.Time, phase time.Duration, phases int) *result {
	x := &result{name: name, byModel: map[string]float64{}, worst: 1, worst10: 1}
	asked, earned := make([]float64, int(phase.Seconds())*phases+1), make([]float64, int(phase.Seconds())*phases+1)
	byAsked := map[string]float64{}
	for _, o := range list {
		i := int(o.SentAt.Sub(begun).Seconds())
		if i < 0 || i >= len(asked) {
			continue
		}
		asked[i] += worths[o.Model]
		byAsked[o.Model] += worths[o.Model]
		got := 0.0
		switch {
		case o.Served && o.FirstEvent <= aims[o.Model]:
			got = worths[o.Model]
		case o.Served:
			got = 0.2 * worths[o.Model]
		}
		earned[i] += got
		x.byModel[o.Model] += got
	}
	for m := range x.byModel {
		x.byModel[m] /= byAsked[m]
	}
	sum := func(from, to int) float64 {
		a, e := 0.0, 0.0
		for i := from; i < min(to, len(asked)); i++ {
			a, e = a+asked[i], e+earned[i]
		}
		return e / max(a, 1e-9)
	}
	x.service = sum(0, len(asked))
	for p := range phases {
		x.worst = min(x.worst, sum(p*int(phase.Seconds()), (p+1)*int(phase.Seconds())))
	}
	for i := 0; i+10 < len(asked); i++ {
		x.worst10 = min(x.worst10, sum(i, i+10))
	}
	for i := range asked {
		if asked[i] > 0 {
			x.over = append(x.over, [2]float64{float64(i), earned[i] / asked[i]})
		}
	}
	return x
}

// spanLog notes from the outside when each gateway was seen to hold an engine.
type spanLog struct {
	spans   []engine.Span
	changes map[string]bool
}

// watch asks the gateways for the changes that they hold to: two seconds after all of
// them do, until the engine has its new role, it is to get no new work.
func (l *spanLog) watch(ctx context.Context, s *stage) {
	l.changes = map[string]bool{}
	open := map[string]int{}
	for s.moving && ctx.Err() == nil {
		holds := map[string]int{}
		for _, g := range s.gates {
			var st rolectl.Status
			if admin.FetchPage(ctx, g.Admin, admin.RolesPath, &st) != nil {
				continue
			}
			for _, r := range st.Changes {
				l.changes[r.Engine+r.StartedAt.String()] = true
				if hold, _, _ := r.Routing(); hold {
					holds[r.Engine]++
				}
			}
		}
		for id, n := range holds {
			if _, on := open[id]; !on && n == len(s.gates) {
				l.spans = append(l.spans, engine.Span{Engine: id, From: time.Now().Add(2 * time.Second), Reason: "in change"})
				open[id] = len(l.spans) - 1
			}
		}
		for id, i := range open {
			if holds[id] == 0 {
				l.spans[i].To = time.Now().Add(-time.Second) // it may have flipped since the last look
				delete(open, id)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (l *spanLog) judge(attempts []engine.Attempt) (changes int, after []string) {
	var spans []engine.Span
	for _, s := range l.spans {
		if s.To.IsZero() || s.To.After(s.From) {
			spans = append(spans, s)
		}
	}
	return len(l.changes), engine.AttemptsInSpans(attempts, spans)
}

// emulate weighs the strategies on the emulator.
func emulate(r *experiments.Report, opt experiments.Options) {
	t := experiments.Table{Title: "Emulator, 40 min, 10 engines", Head: []string{"mix", "roles", "service", "worst phase", "worst 10 s", "changes"}}
	for _, mix := range []struct {
		name string
		at   func(time.Duration) float64
	}{
		{"swings every 5 min", rolesim.Swing(5 * time.Minute)}, {"a wave of 10 min", rolesim.Wave(10 * time.Minute)},
		{"swings every 2 min", rolesim.Swing(2 * time.Minute)}, {"swings every 12 s", rolesim.Swing(12 * time.Second)}, {"stands at half", rolesim.Still(0.5)},
	} {
		d := rolesim.Day{
			Engines: 10, Racks: 2, Rate: 95, Lookups: mix.at, For: 40 * time.Minute, Phase: 5 * time.Minute, Noise: 0.1,
			Drain: 8 * time.Second, Cold: 14 * time.Second, ColdShare: coldShare, Seed: opt.Seed + 2,
		}
		classes := rolesim.Classes()
		start, _ := roles.OptimalSplit(d.Engines, rolesim.Demand(d, classes, 0))
		add := func(name string, x rolesim.Result) float64 {
			worst := 1.0
			for _, p := range x.Phases {
				worst = min(worst, p)
			}
			t.Rows = append(t.Rows, []any{mix.name, name, f3(x.Service), f3(worst), f3(x.Worst10), x.Changes})
			return worst
		}
		var fixed rolesim.Result
		best := -1.0
		for n := 1; n < d.Engines; n++ {
			x := rolesim.Play(d, classes, n, nil)
			low := 1.0
			for _, p := range x.Phases {
				low = min(low, p)
			}
			if low > best {
				best, fixed = low, x
			}
		}
		add("best fixed", fixed)
		var moved float64
		var moving rolesim.Result
		for _, st := range []roles.Strategy{roles.Threshold, roles.QueueBalance, roles.Predictive} {
			set := roles.DefaultSettings()
			set.Strategy = st
			decide, err := rolesim.Planned(set)
			if err != nil {
				continue
			}
			moving = rolesim.Play(d, classes, start, decide)
			moved = add(string(st), moving)
		}
		add("oracle", rolesim.Play(d, classes, start, rolesim.Oracle(d, classes)))
		switch mix.name {
		case "swings every 5 min":
			r.AddBound(moved >= best+0.1, "emulator: predictive beats the best fixed split by 10 points in the worst phase", "%.3f against %.3f", moved, best)
		case "stands at half":
			r.AddBound(moving.Service >= fixed.Service-0.02, "emulator: it loses at most 2 points when the mix stands still", "%.3f against %.3f", moving.Service, fixed.Service)
		}
	}
	r.Tables = append(r.Tables, t)
}
