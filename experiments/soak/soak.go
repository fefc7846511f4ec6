// Package soak plays drawn plans with real processes: gateways on the platform's protocol, with
// engines, discovery and clients written here, faults of the system, and signals and calls in series.
// A checker judges by what clients, engines and operators saw. One seed gives one plan.
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

// Sizes of a run.
const (
	usualSeeds    = 50
	usualDrains   = 10
	quickSeeds    = 6
	atOnceSeeds   = 3
	restAfter     = 1500 * time.Millisecond // after the traffic, until all is to be back where it was
	moreAllowed   = 8                       // descriptors beyond those at the start
	clientsFinish = 12 * time.Second
)

// Experiment returns the soak.
func Experiment() experiments.Experiment {
	return experiments.Experiment{
		Name:  "soak",
		About: "Drawn plans of faults, signals and calls, played with real processes and judged from outside.",
		Run: func(ctx context.Context, opt experiments.Options) (*experiments.Report, error) {
			return run(ctx, opt, usualSeeds, atOnceSeeds, draw)
		},
	}
}

// Drains returns an experiment of drains alone, with no fault: one gateway and 60 clients each.
func Drains() experiments.Experiment {
	return experiments.Experiment{
		Name:  "drains",
		About: "Gateways that are told to drain under clients that go on at once, rest or send slowly; no faults.",
		Run: func(ctx context.Context, opt experiments.Options) (*experiments.Report, error) {
			return run(ctx, opt, usualDrains, 1, drainPlan)
		},
	}
}

// result is what came of one seed.
type result struct {
	plan     Plan
	breaches []Breach
	book     *Book
	err      error
}

// run plays seeds, so many at once, by the plans that drawn gives.
func run(ctx context.Context, opt experiments.Options, usual, atOnce int, drawn func(seed uint64) Plan) (*experiments.Report, error) {
	seeds := opt.Seeds
	if seeds == 0 {
		seeds = usual
	}
	if opt.Quick {
		seeds = quickSeeds
	}
	results := make([]result, seeds)
	turns := make(chan struct{}, atOnce)
	var group sync.WaitGroup
	begun := time.Now()
	for n := range results {
		turns <- struct{}{}
		group.Go(func() {
			defer func() { <-turns }()
			results[n] = playSeed(ctx, opt, drawn(opt.Seed+uint64(n)))
			report(opt, begun, results[n])
		})
	}
	group.Wait()
	return summary(results), nil
}

func report(opt experiments.Options, begun time.Time, r result) {
	verdict := "held"
	switch {
	case r.err != nil:
		verdict = "NOT PLAYED: " + r.err.Error()
	case len(r.breaches) > 0:
		verdict = fmt.Sprintf("BROKEN (%d): %v", len(r.breaches), r.breaches[0])
	}
	opt.Progress(begun, "seed %d: %s\n          %v", r.plan.Seed, verdict, r.plan)
}

func summary(results []result) *experiments.Report {
	r := &experiments.Report{}
	t := experiments.Table{Title: "Seeds", Head: []string{"seed", "requests", "served", "attempts", "processes", "drains", "first broken rule"}}
	byRule := map[Rule]int{}
	unplayed := 0
	var ends []time.Duration
	for _, one := range results {
		if one.err != nil {
			unplayed++
			t.Rows = append(t.Rows, []any{one.plan.Seed, "", "", "", "", "", one.err.Error()})
			continue
		}
		first := ""
		if len(one.breaches) > 0 {
			first = one.breaches[0].String()
		}
		seen := map[Rule]bool{}
		for _, b := range one.breaches {
			if !seen[b.Rule] {
				byRule[b.Rule]++
			}
			seen[b.Rule] = true
		}
		served := 0
		for _, q := range one.book.Requests {
			if q.Status == 200 && q.Whole {
				served++
			}
		}
		ends = append(ends, drainEnds(one.book)...)
		t.Rows = append(t.Rows, []any{one.plan.Seed, len(one.book.Requests), served, len(one.book.Attempts), len(one.book.Lives), len(one.book.Drains), first})
	}
	r.Tables = append(r.Tables, t)
	for _, rule := range []Rule{Lost, Duplicate, DrainEng, DrainCli, Held, Deadlines, LeftRule, Events, Ready, Crash, Bad, Descriptors} {
		r.AddBound(byRule[rule] == 0, "no rule broken: "+string(rule), "%d of %d seeds", byRule[rule], len(results))
	}
	r.AddBound(unplayed == 0, "every seed was played", "%d were not", unplayed)
	if slices.Sort(ends); len(ends) > 0 {
		r.Notes = append(r.Notes, fmt.Sprintf("%d drains judged: from the call until the last connection ended, median %v, p99 %v, highest %v",
			len(ends), at(ends, 0.5), at(ends, 0.99), ends[len(ends)-1].Round(time.Millisecond)))
	}
	return r
}

func at(sorted []time.Duration, part float64) time.Duration {
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))].Round(time.Millisecond)
}

// drainEnds returns, for each drain that was judged, how long after the call the last connection
// ended that was open then.
func drainEnds(b *Book) (ends []time.Duration) {
	for _, d := range b.Drains {
		if d.DrainBroken || d.Until < d.At+drainJudged {
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

// world is all that one seed is played with.
type world struct {
	plan      Plan
	book      *Book
	fleet     *fleet
	discovery *discovery
	network   *network // nil without faults of the network
	gateways  []*gateway
	baseline  map[*process]int
}

// playSeed plays one seed and judges it.
func playSeed(ctx context.Context, opt experiments.Options, p Plan) result {
	r := result{plan: p, book: newBook()}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	dir := filepath.Join(opt.WorkDir, fmt.Sprint("seed-", p.Seed))
	w, err := newWorld(ctx, opt.Program, dir, r.plan, r.book)
	if err != nil {
		r.err = err
		return r
	}
	r.err = w.play(ctx)
	r.book.locked(func() { r.breaches = append(r.breaches, Check(r.plan, r.book)...) })
	if len(r.breaches) > 0 {
		_ = os.WriteFile(filepath.Join(dir, "breaches"), []byte(lines(r.breaches)), 0o600)
	}
	return r
}

func lines(breaches []Breach) string {
	var b strings.Builder
	for _, one := range breaches {
		fmt.Fprintln(&b, one)
	}
	return b.String()
}

func newWorld(ctx context.Context, program, dir string, p Plan, b *Book) (*world, error) {
	w := &world{plan: p, book: b, baseline: map[*process]int{}}
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

func (w *world) newGateway(ctx context.Context, program, dir string, n int) (*gateway, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	where, err := w.discovery.listen(ctx, n)
	if err != nil {
		return nil, err
	}
	g := &gateway{number: n, plan: w.plan, program: program, dir: dir, config: filepath.Join(dir, "config.json"), where: where, discovery: w.discovery, book: w.book, deadline: w.plan.Deadline}
	if w.plan.Shared {
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
	return g, g.next(ctx)
}

var errNotServing = errors.New("a gateway did not begin to serve")

// play plays the plan to its end.
func (w *world) play(ctx context.Context) error {
	watching, endFronts := context.WithCancel(ctx)
	defer endFronts()
	for _, g := range w.gateways {
		if g.current.serving == "" {
			return errNotServing
		}
		go g.front(watching)
	}
	for _, g := range w.gateways {
		for until := w.book.now() + readyLimit; !g.admitted.Load() && w.book.now() < until; {
			wait(ctx, nil, noGateway)
		}
		w.baseline[g.current] = g.current.descriptors()
	}
	traffic, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	var clients, steps sync.WaitGroup
	for _, g := range w.gateways {
		for n := range w.plan.Clients {
			clients.Go(func() { newClient(g, n).run(traffic) })
		}
		for range w.plan.Crowd {
			clients.Go(func() { g.crowd(traffic) })
		}
	}
	errs := make(chan error, len(w.gateways)+1)
	begun := w.book.now()
	for n, g := range w.gateways {
		steps.Go(func() {
			errs <- w.steps(ctx, begun, func(s Step) bool { return !s.engine() && s.Gateway == n }, g.step)
		})
	}
	steps.Go(func() { errs <- w.steps(ctx, begun, Step.engine, w.engineStep) })
	if w.network != nil {
		go w.network.run(traffic, w.book, begun, w.fleet)
	}
	wait(ctx, nil, length)
	steps.Wait()
	endTraffic()
	finished := make(chan struct{})
	go func() { clients.Wait(); close(finished) }()
	wait(ctx, finished, clientsFinish)
	wait(ctx, nil, restAfter+w.plan.PinLimit)
	endFronts()
	w.end()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return ctx.Err()
}

// engine tells whether a step is about an engine.
func (s Step) engine() bool { return s.Verb == DrainOne || s.Verb == BackOne }

// steps carries out the plan's steps that are chosen, each at its time or as soon as the one before
// is done.
func (w *world) steps(ctx context.Context, begun time.Duration, chosen func(Step) bool, do func(context.Context, Step) error) error {
	for _, s := range w.plan.Steps {
		if !chosen(s) {
			continue
		}
		wait(ctx, nil, begun+s.At-w.book.now())
		if begun+s.At+3*time.Second < w.book.now() && !s.engine() {
			continue // the one before took too long
		}
		if err := do(ctx, s); err != nil {
			return fmt.Errorf("%v: %w", s, err)
		}
	}
	return nil
}

func (w *world) engineStep(_ context.Context, s Step) error {
	phase := "leaving"
	if s.Verb == BackOne {
		phase = "active"
	}
	w.discovery.set(s.Engine, phase)
	return nil
}

// end looks at what the processes still have open, and ends them.
func (w *world) end() {
	var group sync.WaitGroup
	for _, g := range w.gateways {
		p, _, _ := g.now()
		if open, first := p.descriptors(), w.baseline[p]; first > 0 && open > first+moreAllowed {
			w.book.locked(func() {
				w.book.Open = append(w.book.Open, Open{Gateway: g.number, At: w.book.now(), First: first, Last: open})
			})
		}
		g.endDrain()
		group.Go(func() { g.terminate(p) })
	}
	group.Wait()
	for _, g := range w.gateways {
		g.endUnkept()
	}
}
