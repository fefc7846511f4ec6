// Package soak runs random plans against real gateway processes on the platform's protocol. It provides the
// engines, discovery and clients, injects system faults and sends signals and operators' commands. A checker
// evaluates only what clients, engines and operators observed. Each seed gives one plan.
package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"wellgw/experiments"
)

// Sizes and limits of a run.
const (
	defaultSeeds        = 50
	defaultDrains       = 10
	quickSeeds          = 6
	parallelSeeds       = 3
	settleTime          = 1500 * time.Millisecond // from the end of the traffic to the final checks
	maxExtraDescriptors = 8                       // allowed beyond the number at the start
	clientsTimeout      = 12 * time.Second
)

// Experiment returns the soak experiment.
func Experiment() experiments.Experiment {
	return experiments.Experiment{
		Name:  "soak",
		About: "Random plans of faults, signals and commands, run with real processes and checked from outside.",
		Run: func(ctx context.Context, opt experiments.Options) (*experiments.Report, error) {
			if opt.Quick { // in CI, beside whatever else the machine does
				return run(ctx, opt, defaultSeeds, parallelSeeds, draw)
			}
			return run(ctx, opt, defaultSeeds, parallelSeeds, drawWithHostile)
		},
	}
}

// Drains returns an experiment of drains without faults: one gateway and 60 clients for each seed.
func Drains() experiments.Experiment {
	return experiments.Experiment{
		Name:  "drains",
		About: "Drains of gateways whose clients send continuously, pause or send slowly; no faults.",
		Run: func(ctx context.Context, opt experiments.Options) (*experiments.Report, error) {
			return run(ctx, opt, defaultDrains, 1, drainPlan)
		},
	}
}

// result is the outcome of one seed.
type result struct {
	plan       Plan
	violations []Violation
	observed   *Observations
	err        error
}

// run runs the seeds with the given parallelism; planFor gives the plan of a seed.
func run(ctx context.Context, opt experiments.Options, defaultCount, parallel int, planFor func(seed uint64) Plan) (*experiments.Report, error) {
	seeds := opt.Seeds
	if seeds == 0 {
		seeds = defaultCount
	}
	if opt.Quick {
		seeds = quickSeeds
	}
	results := make([]result, seeds)
	slots := make(chan struct{}, parallel)
	var group sync.WaitGroup
	start := time.Now()
	for n := range results {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			results[n] = runSeed(ctx, opt, planFor(opt.Seed+uint64(n)))
			report(opt, start, results[n])
		})
	}
	group.Wait()
	return summary(results), nil
}

func report(opt experiments.Options, start time.Time, r result) {
	verdict := "held"
	switch {
	case r.err != nil:
		verdict = "NOT PLAYED: " + r.err.Error()
	case len(r.violations) > 0:
		verdict = fmt.Sprintf("BROKEN (%d): %v", len(r.violations), r.violations[0])
	}
	opt.Progress(start, "seed %d: %s\n          %v", r.plan.Seed, verdict, r.plan)
}

func summary(results []result) *experiments.Report {
	r := &experiments.Report{}
	t := experiments.Table{Title: "Seeds", Head: []string{"seed", "requests", "served", "attempts", "processes", "drains", "first broken rule"}}
	byRule := map[Rule]int{}
	failed := 0
	var ends []time.Duration
	for _, res := range results {
		if res.err != nil {
			failed++
			t.Rows = append(t.Rows, []any{res.plan.Seed, "", "", "", "", "", res.err.Error()})
			continue
		}
		first := ""
		if len(res.violations) > 0 {
			first = res.violations[0].String()
		}
		seen := map[Rule]bool{}
		for _, b := range res.violations {
			if !seen[b.Rule] {
				byRule[b.Rule]++
			}
			seen[b.Rule] = true
		}
		served := 0
		for _, q := range res.observed.Requests {
			if q.Status == 200 && q.Complete {
				served++
			}
		}
		ends = append(ends, drainEnds(res.observed)...)
		t.Rows = append(t.Rows, []any{res.plan.Seed, len(res.observed.Requests), served, len(res.observed.Attempts), len(res.observed.Processes), len(res.observed.Drains), first})
	}
	r.Tables = append(r.Tables, t)
	for _, rule := range []Rule{Lost, Duplicate, EngineDrain, ClientDrain, HeldTooLong, Deadlines, SentAfterClose, EventsInTime, Ready, Crash, IncompleteKept, Descriptors} {
		r.AddBound(byRule[rule] == 0, "no rule broken: "+string(rule), "%d of %d seeds", byRule[rule], len(results))
	}
	r.AddBound(failed == 0, "every seed was played", "%d were not", failed)
	if slices.Sort(ends); len(ends) > 0 {
		r.Notes = append(r.Notes, fmt.Sprintf("%d drains checked: time from the command until the last connection closed, median %v, p99 %v, maximum %v",
			len(ends), at(ends, 0.5), at(ends, 0.99), ends[len(ends)-1].Round(time.Millisecond)))
	}
	return r
}

func at(sorted []time.Duration, quantile float64) time.Duration {
	return sorted[min(len(sorted)-1, int(quantile*float64(len(sorted))))].Round(time.Millisecond)
}

// drainEnds returns, for each checked drain, the time from the command until the last connection closed that
// was open at the command.
func drainEnds(b *Observations) (ends []time.Duration) {
	for _, d := range b.Drains {
		if d.DrainInterrupted || d.Until < d.At+drainCheckDelay {
			continue
		}
		last := time.Duration(0)
		for _, c := range b.Conns {
			if c.Gateway == d.Gateway && c.Opened < d.At+frontLag && c.Closed > d.At {
				last = max(last, min(c.Closed, d.Until)-d.At)
			}
		}
		ends = append(ends, last)
	}
	return ends
}

// testbed holds everything that one seed runs with.
type testbed struct {
	plan      Plan
	observed  *Observations
	fleet     *fleet
	discovery *discovery
	network   *network // nil without network faults
	gateways  []*gateway
	baseline  map[*process]int
}

// runSeed runs the plan of one seed and checks the observations.
func runSeed(ctx context.Context, opt experiments.Options, p Plan) result {
	r := result{plan: p, observed: newObservations()}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	dir := filepath.Join(opt.WorkDir, fmt.Sprint("seed-", p.Seed))
	w, err := newTestbed(ctx, opt.Program, dir, r.plan, r.observed)
	if err != nil {
		r.err = err
		return r
	}
	r.err = w.runPlan(ctx)
	r.observed.locked(func() { r.violations = append(r.violations, Check(r.plan, r.observed)...) })
	if len(r.violations) > 0 {
		_ = os.WriteFile(filepath.Join(dir, "breaches"), []byte(lines(r.violations)), 0o600)
	}
	return r
}

func lines(violations []Violation) string {
	var b strings.Builder
	for _, res := range violations {
		fmt.Fprintln(&b, res)
	}
	return b.String()
}

func newTestbed(ctx context.Context, program, dir string, p Plan, b *Observations) (*testbed, error) {
	w := &testbed{plan: p, observed: b, baseline: map[*process]int{}}
	var err error
	if w.fleet, err = startFleet(ctx, p, b); err != nil {
		return nil, err
	}
	w.discovery = newDiscovery(p, b, w.fleet)
	if len(p.Network) > 0 {
		if w.network, err = newNetwork(ctx, p, w.fleet, w.discovery); err != nil {
			return nil, err
		}
	}
	for n := range p.Gateways {
		g, err := w.newGateway(ctx, program, filepath.Join(dir, fmt.Sprint("g", n)), n)
		if err != nil {
			return nil, err
		}
		w.gateways = append(w.gateways, g)
	}
	return w, nil
}

func (w *testbed) newGateway(ctx context.Context, program, dir string, n int) (*gateway, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	discoveryAddr, err := w.discovery.listen(ctx, n)
	if err != nil {
		return nil, err
	}
	g := &gateway{number: n, plan: w.plan, program: program, dir: dir, config: filepath.Join(dir, "config.json"), discoveryAddr: discoveryAddr, discovery: w.discovery, observed: w.observed, deadline: w.plan.Deadline}
	if w.plan.SharedSocket {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		if g.socket, err = l.(*net.TCPListener).File(); err != nil {
			return nil, err
		}
		g.addr = l.Addr().String()
		l.Close()
	}
	return g, g.startNext(ctx)
}

var errNotServing = errors.New("gateway process did not start to serve")

// runPlan runs the plan to its end.
func (w *testbed) runPlan(ctx context.Context) error {
	frontCtx, endFronts := context.WithCancel(ctx)
	defer endFronts()
	for _, g := range w.gateways {
		if g.running.serving == "" {
			return errNotServing
		}
		go g.front(frontCtx)
	}
	for _, g := range w.gateways {
		for until := w.observed.now() + readyLimit; !g.admitted.Load() && w.observed.now() < until; {
			wait(ctx, nil, gatewayPoll)
		}
		w.baseline[g.running] = g.running.descriptors()
	}
	traffic, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	var clients, steps sync.WaitGroup
	for _, g := range w.gateways {
		for n := range w.plan.Clients {
			clients.Go(func() { newClient(g, n).run(traffic) })
		}
		if len(w.plan.Hostile) > 0 {
			clients.Go(func() { g.playHostile(traffic) })
		}
		for range w.plan.IdleConns {
			clients.Go(func() { g.holdIdleConn(traffic) })
		}
	}
	errs := make(chan error, len(w.gateways)+1)
	start := w.observed.now()
	for n, g := range w.gateways {
		steps.Go(func() {
			errs <- w.steps(ctx, start, func(s Step) bool { return !s.engine() && s.Gateway == n }, g.step)
		})
	}
	steps.Go(func() { errs <- w.steps(ctx, start, Step.engine, w.engineStep) })
	if w.network != nil {
		go w.network.run(traffic, w.observed, start, w.fleet)
	}
	wait(ctx, nil, trafficLength)
	steps.Wait()
	endTraffic()
	finished := make(chan struct{})
	go func() { clients.Wait(); close(finished) }()
	wait(ctx, finished, clientsTimeout)
	wait(ctx, nil, settleTime+w.plan.PinLimit)
	endFronts()
	w.shutDown()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return ctx.Err()
}

// engine reports whether a step acts on an engine.
func (s Step) engine() bool { return s.Verb == DrainEngine || s.Verb == RestartEngine }

// steps carries out the selected steps of the plan, each at its time or when the previous one has finished,
// whichever is later.
func (w *testbed) steps(ctx context.Context, start time.Duration, selected func(Step) bool, do func(context.Context, Step) error) error {
	for _, s := range w.plan.Steps {
		if !selected(s) {
			continue
		}
		wait(ctx, nil, start+s.At-w.observed.now())
		if start+s.At+3*time.Second < w.observed.now() && !s.engine() {
			continue // the previous step took too long
		}
		if err := do(ctx, s); err != nil {
			return fmt.Errorf("%v: %w", s, err)
		}
	}
	return nil
}

func (w *testbed) engineStep(_ context.Context, s Step) error {
	phase := "leaving"
	if s.Verb == RestartEngine {
		phase = "active"
	}
	w.discovery.set(s.Engine, phase)
	return nil
}

// shutDown records leaked descriptors and then stops the processes.
func (w *testbed) shutDown() {
	var group sync.WaitGroup
	for _, g := range w.gateways {
		p, _, _ := g.snapshot()
		if open, first := p.descriptors(), w.baseline[p]; first > 0 && open > first+maxExtraDescriptors {
			w.observed.locked(func() {
				w.observed.DescriptorLeaks = append(w.observed.DescriptorLeaks, DescriptorLeak{Gateway: g.number, At: w.observed.now(), Before: first, After: open})
			})
		}
		g.endDrain()
		group.Go(func() { g.terminate(p) })
	}
	group.Wait()
	for _, g := range w.gateways {
		g.endFailedEjections()
	}
}
