// Package chatrun is the experiment "chat": the chat API before engines of odd ways whose
// streams break anywhere, clients that ask again whatever they are told, and what a stream
// costs, the former version beside this one.
package chatrun

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"wellgw/experiments"
	"wellgw/experiments/gateway"
	"wellgw/experiments/load"
	"wellgw/fake/engine"
	"wellgw/internal/admin"
	"wellgw/internal/openai/conformance"
	"wellgw/internal/pause"
)

// Experiment returns the experiment.
func Experiment() experiments.Experiment {
	return experiments.Experiment{
		Name:  "chat",
		About: "Streams that break at random bytes under retrying clients: orders run twice, final answers, states held; a planned restart; slow clients; conformance; and the cost of a stream, old against new.",
		Run:   run,
	}
}

// The bounds.
const (
	heldFor  = 500 * time.Millisecond
	looked   = 50 * time.Millisecond // how often held states are looked for
	costLess = 3.0                   // times less than before the fast path
	costGoal = 130.0                 // µs of CPU a request of costEvents events
	freedIn  = 2 * time.Second       // an engine whose client does not read
)

func run(ctx context.Context, opt experiments.Options) (*experiments.Report, error) {
	r := &experiments.Report{}
	begun := time.Now()
	for _, part := range []struct {
		name string
		run  func(context.Context, experiments.Options, *experiments.Report) error
	}{{"breaks", breaks}, {"slow clients", slow}, {"conformance", conform}, {"cost", cost}} {
		opt.Progress(begun, "%s", part.name)
		if err := part.run(ctx, opt, r); err != nil {
			return nil, fmt.Errorf("%s: %w", part.name, err)
		}
	}
	return r, nil
}

// settings are an operator's file whose engines it names itself.
func settings(engines []*engine.Engine, change func(map[string]any)) map[string]any {
	file := gateway.Settings(nil)
	delete(file, "consul")
	var list []any
	for i, e := range engines {
		list = append(list, map[string]any{"id": e.ID, "address": e.Addr(), "role": e.Role, "zone": "a", "cell": i % 2})
	}
	file["engines"] = list
	if change != nil {
		change(file)
	}
	return file
}

func start(ctx context.Context, opt experiments.Options, program, name string, file map[string]any, engines int) (*gateway.Gateway, error) {
	g, err := gateway.Start(ctx, program, opt.WorkDir, name, file)
	if err != nil {
		return nil, err
	}
	if _, ok := g.Await(ctx, 10*time.Second, func(a admin.View) bool { return len(a.Engines) == engines }); !ok {
		g.Kill()
		return nil, fmt.Errorf("%s: not all engines in time", name)
	}
	return g, nil
}

// breaks has engines break their streams anywhere, and clients drop and retry.
func breaks(ctx context.Context, opt experiments.Options, r *experiments.Report) error {
	fleet := engine.NewFleet()
	defer fleet.Close()
	all, err := breakingEngines(fleet, opt.Seed)
	if err != nil {
		return err
	}
	gates, files, err := pair(ctx, opt, all)
	defer func() {
		for _, g := range gates {
			g.Kill()
		}
	}()
	if err != nil {
		return err
	}
	span := 30 * time.Second
	if opt.Quick {
		span = 9 * time.Second
	}
	plan := load.Plan{
		Name: "x", Key: gateway.Key, Models: []load.Model{{Name: "orders", Weight: 1, Words: 20, Tokens: 12}},
		Clients: 96, Turns: 1, Retries: 5, Idempotent: true, DropFraction: 0.1, Seed: opt.Seed, MaxRetryAfter: 300 * time.Millisecond,
	}
	for _, g := range gates {
		plan.Targets = append(plan.Targets, g.Addr)
	}
	var rec load.Recorder
	loading, done := context.WithTimeout(ctx, span)
	defer done()
	watching, stop := context.WithCancel(ctx)
	held := &heldLog{seen: map[string]time.Time{}}
	var group sync.WaitGroup
	group.Go(func() { held.watch(watching, fleet) })
	load.Run(loading, plan, &rec)
	pause.Sleep(ctx, 2*heldFor)
	stop()
	group.Wait()
	outcomes := rec.All()
	reportBreaks(r, fleet, held, outcomes)
	return restart(ctx, opt, r, fleet, gates, files, plan, outcomes)
}

// breakingEngines starts engines of all roles, those of the chat API odd in every way.
func breakingEngines(fleet *engine.Fleet, seed uint64) ([]*engine.Engine, error) {
	var all []*engine.Engine
	odds := engine.Odds()
	for i, role := range []string{
		engine.Read, engine.Read, engine.Write, engine.Write, engine.Write, engine.Both,
		engine.OpenAI, engine.OpenAI, engine.OpenAI, engine.OpenAI, engine.OpenAI, engine.OpenAI, engine.OpenAI, engine.OpenAI, engine.OpenAI,
	} {
		o := engine.Options{ID: fmt.Sprintf("e%d", i), Role: role, Slots: 16, Tokens: 12, TokenEvery: time.Millisecond, CutShare: 0.35, Seed: seed + uint64(i)}
		if role == engine.OpenAI {
			o.Odd = odds[i%len(odds)]
		}
		e, err := fleet.Start(o, true)
		if err != nil {
			return nil, err
		}
		all = append(all, e)
	}
	return all, nil
}

// pair starts two gateways that keep their keys over a restart, and returns their files too.
func pair(ctx context.Context, opt experiments.Options, all []*engine.Engine) ([]*gateway.Gateway, []map[string]any, error) {
	var gates []*gateway.Gateway
	var files []map[string]any
	for n := range 2 {
		name := fmt.Sprintf("chat-%d", n)
		file := settings(all, func(f map[string]any) {
			f["gateways"] = 2
			f["idempotency"] = map[string]any{"sticky": true, "keys": 200_000, "file": filepath.Join(opt.WorkDir, name+".keys")}
		})
		g, err := start(ctx, opt, opt.Program, name, file, len(all))
		if err != nil {
			return gates, files, err
		}
		gates, files = append(gates, g), append(files, file)
	}
	return gates, files, nil
}

// reportBreaks states what came of the orders, and its bounds.
func reportBreaks(r *experiments.Report, fleet *engine.Fleet, held *heldLog, outcomes []load.Outcome) {
	sum := tally(outcomes)
	twice := engine.RunTwice(fleet.Attempts(), func(string) bool { return true })
	long, which := held.longest(outcomes)
	r.Tables = append(r.Tables, experiments.Table{
		Title: "Orders whose streams break anywhere, under keys and retrying clients",
		Head:  []string{"orders", "tries", "served", "of these replayed", "fate unknown", "turned away to the end", "other", "run twice", "tries without one final answer", "longest state after its end"},
		Rows:  [][]any{{sum.orders, sum.tries, sum.served, sum.replayed, sum.unknown, sum.refused, sum.other, len(twice), len(sum.faults), long.Round(time.Millisecond)}},
	})
	r.AddBound(sum.orders >= 1000, "thousands of orders", "%d orders in %d tries", sum.orders, sum.tries)
	r.AddBound(len(twice) == 0, "orders run twice", "%d %s", len(twice), strings.Join(twice[:min(3, len(twice))], " "))
	r.AddBound(len(sum.faults) == 0, "tries with none or two final answers", "%d %s", len(sum.faults), strings.Join(sum.faults[:min(3, len(sum.faults))], "; "))
	r.AddBound(long <= heldFor, "no state is held past 500 ms after its request's end", "%v %s", long.Round(time.Millisecond), story(fleet, which))
	r.AddBound(sum.served > sum.orders/3 && sum.unknown > 0, "some are served, and some have an unknown fate", "%d and %d of %d", sum.served, sum.unknown, sum.orders)
}

// restart ends a gateway as planned, starts it again, and asks for all its orders anew:
// what was served is replayed, what may have run is not run.
func restart(ctx context.Context, opt experiments.Options, r *experiments.Report, fleet *engine.Fleet, gates []*gateway.Gateway, files []map[string]any, plan load.Plan, outcomes []load.Outcome) error {
	g := gates[0]
	before := len(fleet.Attempts())
	if !g.Stop(10 * time.Second) {
		return fmt.Errorf("%s did not leave in time", g.Name)
	}
	files[0]["listen"] = g.Addr
	next, err := start(ctx, opt, opt.Program, g.Name, files[0], 15)
	if err != nil {
		return err
	}
	gates[0] = next
	replayed, wrong, asked := 0, []string{}, 0
	for _, o := range slices.Backward(outcomes) { // of the oldest, answers may have had to go
		if o.Target != g.Addr || asked == 300 || !o.Served && o.Code != "idempotency_fate_unknown" {
			continue
		}
		asked++
		again := load.Repeat(ctx, plan, g.Addr, o)
		switch {
		case o.Served && again.Served && again.Replayed:
			replayed++
		case !o.Served && again.Code == "idempotency_fate_unknown":
		default:
			wrong = append(wrong, fmt.Sprintf("%s: %s", o.RequestID, again.Failure))
		}
	}
	ran := len(fleet.Attempts()) - before
	r.AddBound(asked > 50 && len(wrong) == 0, "after a planned restart, keys of before are replayed or stay unknown", "%d asked, %d replayed, %d otherwise %s", asked, replayed, len(wrong), strings.Join(wrong[:min(2, len(wrong))], "; "))
	r.AddBound(ran == 0, "and none goes to an engine", "%d", ran)
	return nil
}

type totals struct {
	orders, tries, served, replayed, unknown, refused, other int
	faults                                                   []string
}

func tally(list []load.Outcome) totals {
	var t totals
	for _, o := range list {
		t.orders++
		t.tries += o.Tries
		t.faults = append(t.faults, o.Violations...)
		switch {
		case o.Served:
			t.served++
			if o.Replayed {
				t.replayed++
			}
		case o.Code == "idempotency_fate_unknown":
			t.unknown++
		case o.Status == 503 || o.Status == 429:
			t.refused++
		default:
			t.other++
		}
	}
	return t
}

// heldLog notes which read states are held when.
type heldLog struct {
	seen map[string]time.Time // last, by the request's name at engines
}

func (l *heldLog) watch(ctx context.Context, f *engine.Fleet) {
	t := time.NewTicker(looked)
	defer t.Stop()
	for {
		now := time.Now()
		for _, id := range f.HeldNow() {
			l.seen[id] = now
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// longest is how long after its request's end a state was still seen to be held.
func (l *heldLog) longest(list []load.Outcome) (longest time.Duration, which string) {
	for _, o := range list {
		for _, e := range o.Ends {
			if seen, was := l.seen["chatcmpl-"+e.ID]; was && seen.Sub(e.At) > longest {
				longest, which = seen.Sub(e.At), "chatcmpl-"+e.ID
			}
		}
	}
	return longest, which
}

// story tells of a request's attempts, to find a cause by.
func story(f *engine.Fleet, request string) string {
	var all []string
	for _, a := range f.Attempts() {
		if a.Request == request && request != "" {
			all = append(all, fmt.Sprintf("%s at %s as %q, status %d, whole %v", a.Engine, a.Came.Format("05.000"), a.Role, a.Status, a.Whole))
		}
	}
	return strings.Join(all, "; ")
}

// slow has clients that read nothing, and looks whether their engine is free again.
func slow(ctx context.Context, opt experiments.Options, r *experiments.Report) error {
	fleet := engine.NewFleet()
	defer fleet.Close()
	e, err := fleet.Start(engine.Options{ID: "e0", Role: engine.OpenAI, Slots: 4, Tokens: 150_000, Burst: true}, true)
	if err != nil {
		return err
	}
	g, err := start(ctx, opt, opt.Program, "slow", settings([]*engine.Engine{e}, nil), 1)
	if err != nil {
		return err
	}
	defer g.Kill()
	var closers []func()
	for range 4 {
		c, err := load.OpenUnread(ctx, g.Addr, gateway.Key, "parts")
		if err != nil {
			return err
		}
		closers = append(closers, c)
	}
	begun := time.Now()
	for e.Running() == 0 && time.Since(begun) < freedIn {
		time.Sleep(time.Millisecond)
	}
	full := e.Running()
	begun = time.Now()
	for e.Running() > 0 && time.Since(begun) < 4*freedIn {
		time.Sleep(5 * time.Millisecond)
	}
	took := time.Since(begun)
	resident := g.ReadUsage().Resident
	for _, c := range closers {
		c()
	}
	r.AddBound(full > 0 && took <= freedIn, "slots of an engine whose clients do not read are free again in 2 s", "%d slots, %v; gateway %.0f MB", full, took.Round(time.Millisecond), resident)
	return nil
}

// conform plays the conformance suite before engines of all odd ways.
func conform(ctx context.Context, opt experiments.Options, r *experiments.Report) error {
	t := experiments.Table{Title: "Conformance, by the official Go client library", Head: []string{"case", "failed before engines that have"}}
	failed := map[string][]string{}
	var names []string
	cases := 0
	for _, odd := range append([]string{""}, engine.Odds()...) {
		fleet := engine.NewFleet()
		e, err := fleet.Start(engine.Options{ID: "e0", Role: engine.OpenAI, Tokens: 8, TokenEvery: time.Millisecond, Odd: odd}, true)
		if err != nil {
			return err
		}
		g, err := start(ctx, opt, opt.Program, "conform-"+strings.ReplaceAll(odd, " ", "-"), settings([]*engine.Engine{e}, nil), 1)
		if err != nil {
			return err
		}
		for _, c := range conformance.Run(ctx, conformance.Options{
			BaseURL: "http://" + g.Addr, Key: gateway.Key, Model: "parts", OrderModel: "orders", RefusalPrompt: "please-refuse", ReasoningPrompt: "please-think",
		}) {
			cases++
			if !slices.Contains(names, c.Name) {
				names = append(names, c.Name)
			}
			if !c.Passed {
				failed[c.Name] = append(failed[c.Name], odd+": "+c.Detail)
			}
		}
		g.Kill()
		fleet.Close()
	}
	bad := 0
	for _, n := range names {
		bad += len(failed[n])
		t.Rows = append(t.Rows, []any{n, strings.Join(failed[n], "; ")})
	}
	r.Tables = append(r.Tables, t)
	r.AddBound(bad == 0 && cases > 0, "all of the conformance suite passes", "%d of %d failed", bad, cases)
	return nil
}

const costEvents = 40

// cost measures the CPU of a stream and what the first event waits for.
func cost(ctx context.Context, opt experiments.Options, r *experiments.Report) error {
	type version struct{ name, program string }
	versions := []version{{"this", opt.Program}}
	if opt.Baseline != "" {
		versions = append(versions, version{"former", opt.Baseline})
	}
	span, rounds := 10*time.Second, 3
	if opt.Quick {
		span, rounds = 2*time.Second, 2
	}
	t := experiments.Table{Title: fmt.Sprintf("Cost of a stream of %d events on one core", costEvents), Head: []string{"version", "requests a second", "µs of CPU a request", "first event, p50 over direct", "p99 over direct", "MB"}}
	best := map[string]float64{}
	first := map[string]time.Duration{}
	for round := range rounds { // in turn, so that a noisy moment meets all alike
		for _, v := range versions {
			row, micros, over, err := costOf(ctx, opt, v.name, v.program, fmt.Sprintf("cost-%s-%d", v.name, round), span)
			if err != nil {
				return err
			}
			t.Rows = append(t.Rows, row)
			if b, had := best[v.name]; !had || micros < b {
				best[v.name] = micros
			}
			if f, had := first[v.name]; !had || over < f {
				first[v.name] = over
			}
		}
	}
	r.Tables = append(r.Tables, t)
	// What these come to depends on the machine; they are aims, and told beside what was found.
	r.Tables = append(r.Tables, experiments.Table{Title: "Aims", Head: []string{"aim", "found, best of the rounds"}, Rows: [][]any{
		{fmt.Sprintf("%.0f µs of CPU a request of %d events", costGoal, costEvents), fmt.Sprintf("%.0f µs", best["this"])},
		{"the first event within 0.3 ms of direct at light load", first["this"]},
	}})
	if was, had := best["former"]; had {
		r.AddBound(best["this"] < was/costLess, "it costs a third of what the former version did, or less", "%.0f µs, former %.0f: %.1f times less", best["this"], was, was/best["this"])
	}
	return nil
}

func costOf(ctx context.Context, opt experiments.Options, version, program, name string, span time.Duration) ([]any, float64, time.Duration, error) {
	fleet := engine.NewFleet()
	defer fleet.Close()
	var all []*engine.Engine
	for i := range 3 {
		e, err := fleet.Start(engine.Options{ID: fmt.Sprintf("e%d", i), Role: engine.OpenAI, Slots: 64, Queue: 256, Tokens: costEvents, Burst: true, ReadPerS: 1e9}, true)
		if err != nil {
			return nil, 0, 0, err
		}
		all = append(all, e)
	}
	g, err := start(ctx, opt, program, name, settings(all, func(f map[string]any) {
		f["limits"] = map[string]any{"cores": 1, "memory_mb": 256, "sockets": 2048}
	}), len(all))
	if err != nil {
		return nil, 0, 0, err
	}
	defer g.Kill()
	plan := load.Plan{Name: name, Key: gateway.Key, Targets: []string{g.Addr}, Models: []load.Model{{Name: "parts", Weight: 1, Words: 60, Tokens: costEvents}}, Clients: 24, Seed: opt.Seed}
	play := func(p load.Plan, d time.Duration) load.Summary {
		var rec load.Recorder
		part, done := context.WithTimeout(ctx, d)
		defer done()
		load.Run(part, p, &rec)
		return load.Summarize(rec.All(), time.Time{}, time.Time{})
	}
	play(plan, span/4) // until the module knows its engines
	before, begun := g.ReadUsage(), time.Now()
	s := play(plan, span)
	took, after := time.Since(begun), g.ReadUsage()
	if s.Served == 0 {
		return nil, 0, 0, fmt.Errorf("%s: nothing was served: %v", name, s.Failures)
	}
	micros := float64((after.CPU - before.CPU).Microseconds()) / float64(s.Served)
	light := plan
	light.Clients, light.ThinkTime = 1, 2*time.Millisecond
	by := play(light, span/2)
	direct := light
	direct.Targets = []string{all[0].Addr()}
	straight := play(direct, span/2)
	over50, over99 := by.FirstP50-straight.FirstP50, by.FirstP99-straight.FirstP99
	return []any{version, fmt.Sprintf("%.0f", float64(s.Served)/took.Seconds()), fmt.Sprintf("%.0f", micros), over50, over99, fmt.Sprintf("%.0f", after.Resident)}, micros, over50, nil
}
