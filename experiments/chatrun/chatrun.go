// Package chatrun is the experiment "chat". It runs the chat API with engines that deviate from the API in
// several ways and whose streams break at random bytes, and with clients that retry after any error that is
// not final. It also measures the cost of a stream, compared with a former version of the gateway.
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
		Name: "chat",
		About: "Streams that break at random bytes under retrying clients: orders run twice, final answers, " +
			"states held; a planned restart; slow clients; conformance; and the cost of a stream, old against new.",
		Run: run,
	}
}

// The bounds of the experiment.
const (
	maxHeld      = 500 * time.Millisecond // maximum time for which a state is held after its request ended
	pollInterval = 50 * time.Millisecond  // interval of the polls for held states
	minCostRatio = 3.0                    // minimum ratio of the cost before the fast path to the present cost
	targetCost   = 130.0                  // target in µs of CPU per request of costEvents events
	maxFreeTime  = 2 * time.Second        // maximum time until slots are free whose clients do not read
)

func run(ctx context.Context, opt experiments.Options) (*experiments.Report, error) {
	r := &experiments.Report{}
	started := time.Now()
	for _, part := range []struct {
		name string
		run  func(context.Context, experiments.Options, *experiments.Report) error
	}{{"breaks", breaks}, {"slow clients", slow}, {"conformance", conform}, {"cost", cost}} {
		opt.Progress(started, "%s", part.name)
		if err := part.run(ctx, opt, r); err != nil {
			return nil, fmt.Errorf("%s: %w", part.name, err)
		}
	}
	return r, nil
}

// settings returns an operator's file that lists the engines itself instead of using a catalogue.
func settings(engines []*engine.Engine, modify func(map[string]any)) map[string]any {
	file := gateway.Settings(nil)
	delete(file, "consul")
	var list []any
	for i, e := range engines {
		list = append(list, map[string]any{
			"id": e.ID, "address": e.Addr(), "role": e.Role, "zone": "a", "cell": i % 2,
		})
	}
	file["engines"] = list
	if modify != nil {
		modify(file)
	}
	return file
}

func start(
	ctx context.Context, opt experiments.Options, program, name string, file map[string]any, engines int,
) (*gateway.Gateway, error) {
	g, err := gateway.Start(ctx, program, opt.WorkDir, name, file)
	if err != nil {
		return nil, err
	}
	if _, ok := g.Await(ctx, 10*time.Second, func(a admin.View) bool { return len(a.Engines) == engines }); !ok {
		g.Kill()
		return nil, fmt.Errorf("%s: engines missing from the view after 10 s", name)
	}
	return g, nil
}

// breaks runs engines that break their streams at random bytes, with clients that abandon requests and retry.
func breaks(ctx context.Context, opt experiments.Options, r *experiments.Report) error {
	fleet := engine.NewFleet()
	defer fleet.Close()
	all, err := breakingEngines(fleet, opt.Seed)
	if err != nil {
		return err
	}
	gateways, files, err := pair(ctx, opt, all)
	defer func() {
		for _, g := range gateways {
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
	for _, g := range gateways {
		plan.Targets = append(plan.Targets, g.Addr)
	}
	var rec load.Recorder
	loading, done := context.WithTimeout(ctx, span)
	defer done()
	watching, stop := context.WithCancel(ctx)
	states := &heldLog{seen: map[string]time.Time{}}
	var group sync.WaitGroup
	group.Go(func() { states.watch(watching, fleet) })
	load.Run(loading, plan, &rec)
	pause.Sleep(ctx, 2*maxHeld)
	stop()
	group.Wait()
	outcomes := rec.All()
	reportBreaks(r, fleet, states, outcomes)
	return restart(ctx, opt, r, fleet, gateways, files, plan, outcomes)
}

// breakingEngines starts engines of all roles. Those of the chat API cover all deviations of engine.Odds.
func breakingEngines(fleet *engine.Fleet, seed uint64) ([]*engine.Engine, error) {
	var all []*engine.Engine
	deviations := engine.Quirks()
	for i, role := range []string{
		engine.Read, engine.Read, engine.Write, engine.Write, engine.Write, engine.Both,
		engine.OpenAI, engine.OpenAI, engine.OpenAI, engine.OpenAI, engine.OpenAI, engine.OpenAI, engine.OpenAI, engine.OpenAI, engine.OpenAI,
	} {
		o := engine.Options{ID: fmt.Sprintf("e%d", i), Role: role, Slots: 16, Tokens: 12,
			TokenInterval: time.Millisecond, CutFraction: 0.35, Seed: seed + uint64(i)}
		if role == engine.OpenAI {
			o.Quirk = deviations[i%len(deviations)]
		}
		e, err := fleet.Start(o, true)
		if err != nil {
			return nil, err
		}
		all = append(all, e)
	}
	return all, nil
}

// pair starts two gateways that store their idempotency keys in files, so that the keys survive a restart. It
// also returns the gateways' settings.
func pair(
	ctx context.Context, opt experiments.Options, all []*engine.Engine,
) ([]*gateway.Gateway, []map[string]any, error) {
	var gateways []*gateway.Gateway
	var files []map[string]any
	for n := range 2 {
		name := fmt.Sprintf("chat-%d", n)
		file := settings(all, func(f map[string]any) {
			f["gateways"] = 2
			f["idempotency"] = map[string]any{
				"sticky": true, "keys": 200_000, "file": filepath.Join(opt.WorkDir, name+".keys"),
			}
		})
		g, err := start(ctx, opt, opt.Program, name, file, len(all))
		if err != nil {
			return gateways, files, err
		}
		gateways, files = append(gateways, g), append(files, file)
	}
	return gateways, files, nil
}

// reportBreaks adds the results of the orders and their bounds to the report.
func reportBreaks(r *experiments.Report, fleet *engine.Fleet, states *heldLog, outcomes []load.Outcome) {
	sum := tally(outcomes)
	duplicates := engine.DuplicateExecutions(fleet.Attempts(), func(string) bool { return true })
	longest, id := states.longest(outcomes)
	r.Tables = append(r.Tables, experiments.Table{
		Title: "Orders whose streams break anywhere, under keys and retrying clients",
		Head: []string{"orders", "tries", "served", "of these replayed", "fate unknown",
			"turned away to the end", "other", "run twice", "tries without one final answer",
			"longest state after its end"},
		Rows: [][]any{{sum.orders, sum.tries, sum.served, sum.replayed, sum.unknown, sum.refused, sum.other,
			len(duplicates), len(sum.faults), longest.Round(time.Millisecond)}},
	})
	r.AddBound(sum.orders >= 1000, "thousands of orders", "%d orders in %d tries", sum.orders, sum.tries)
	r.AddBound(len(duplicates) == 0, "orders run twice", "%d %s", len(duplicates),
		strings.Join(duplicates[:min(3, len(duplicates))], " "))
	r.AddBound(len(sum.faults) == 0, "tries with none or two final answers", "%d %s", len(sum.faults),
		strings.Join(sum.faults[:min(3, len(sum.faults))], "; "))
	r.AddBound(longest <= maxHeld, "no state is held past 500 ms after its request's end", "%v %s",
		longest.Round(time.Millisecond), attempts(fleet, id))
	r.AddBound(sum.served > sum.orders/3 && sum.unknown > 0,
		"some are served, and some have an unknown fate", "%d and %d of %d", sum.served, sum.unknown, sum.orders)
}

// restart shuts a gateway down gracefully, starts it again, and repeats up to 300 of its orders: those that
// were served are replayed, and those that may have run are not run again.
func restart(
	ctx context.Context, opt experiments.Options, r *experiments.Report, fleet *engine.Fleet,
	gateways []*gateway.Gateway, files []map[string]any, plan load.Plan, outcomes []load.Outcome,
) error {
	g := gateways[0]
	before := len(fleet.Attempts())
	if !g.Stop(10 * time.Second) {
		return fmt.Errorf("%s did not shut down within 10 s", g.Name)
	}
	files[0]["listen"] = g.Addr
	restarted, err := start(ctx, opt, opt.Program, g.Name, files[0], 15)
	if err != nil {
		return err
	}
	gateways[0] = restarted
	replayed, mismatched, repeated := 0, []string{}, 0
	for _, o := range slices.Backward(outcomes) { // newest first: the gateway may have evicted the oldest answers
		if o.Target != g.Addr || repeated == 300 || !o.Served && o.Code != "idempotency_fate_unknown" {
			continue
		}
		repeated++
		second := load.Repeat(ctx, plan, g.Addr, o)
		switch {
		case o.Served && second.Served && second.Replayed:
			replayed++
		case !o.Served && second.Code == "idempotency_fate_unknown":
		default:
			mismatched = append(mismatched, fmt.Sprintf("%s: %s", o.RequestID, second.Failure))
		}
	}
	ran := len(fleet.Attempts()) - before
	r.AddBound(repeated > 50 && len(mismatched) == 0,
		"after a planned restart, keys of before are replayed or stay unknown",
		"%d asked, %d replayed, %d otherwise %s", repeated, replayed, len(mismatched),
		strings.Join(mismatched[:min(2, len(mismatched))], "; "))
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

// heldLog records when held states were last observed at engines.
type heldLog struct {
	seen map[string]time.Time // time of the last observation, by the request's identifier at the engines
}

func (l *heldLog) watch(ctx context.Context, f *engine.Fleet) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		now := time.Now()
		for _, id := range f.HeldStates() {
			l.seen[id] = now
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// longest returns the longest time after the end of a request at which its state was still held, and the
// identifier of that request.
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

// attempts lists the attempts of a request, for finding the cause of a failure.
func attempts(f *engine.Fleet, request string) string {
	var all []string
	for _, a := range f.Attempts() {
		if a.Request == request && request != "" {
			all = append(all, fmt.Sprintf("%s at %s as %q, status %d, whole %v",
				a.Engine, a.ArrivalTime.Format("05.000"), a.Role, a.Status, a.Completed))
		}
	}
	return strings.Join(all, "; ")
}

// slow runs clients that read nothing of their streams, and measures when the slots of the engine are free
// again.
func slow(ctx context.Context, opt experiments.Options, r *experiments.Report) error {
	fleet := engine.NewFleet()
	defer fleet.Close()
	e, err := fleet.Start(engine.Options{ID: "e0", Role: engine.OpenAI, Slots: 4, Tokens: 150_000,
		Burst: true}, true)
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
	started := time.Now()
	for e.CountRunning() == 0 && time.Since(started) < maxFreeTime {
		time.Sleep(time.Millisecond)
	}
	busySlots := e.CountRunning()
	started = time.Now()
	for e.CountRunning() > 0 && time.Since(started) < 4*maxFreeTime {
		time.Sleep(5 * time.Millisecond)
	}
	elapsed := time.Since(started)
	resident := g.ReadUsage().Resident
	for _, c := range closers {
		c()
	}
	r.AddBound(busySlots > 0 && elapsed <= maxFreeTime,
		"slots of an engine whose clients do not read are free again in 2 s", "%d slots, %v; gateway %.0f MB",
		busySlots, elapsed.Round(time.Millisecond), resident)
	return nil
}

// conform runs the conformance suite against engines with each deviation of engine.Odds, and one without.
func conform(ctx context.Context, opt experiments.Options, r *experiments.Report) error {
	t := experiments.Table{Title: "Conformance, by the official Go client library",
		Head: []string{"case", "failed before engines that have"}}
	failed := map[string][]string{}
	var names []string
	cases := 0
	for _, odd := range append([]string{""}, engine.Quirks()...) {
		fleet := engine.NewFleet()
		e, err := fleet.Start(engine.Options{ID: "e0", Role: engine.OpenAI, Tokens: 8,
			TokenInterval: time.Millisecond, Quirk: odd}, true)
		if err != nil {
			return err
		}
		g, err := start(ctx, opt, opt.Program, "conform-"+strings.ReplaceAll(odd, " ", "-"),
			settings([]*engine.Engine{e}, nil), 1)
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

// costEvents is the number of events of each stream in the cost measurement.
const costEvents = 40

// cost measures the CPU time of a stream, and the latency that the gateway adds to the first event.
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
	t := experiments.Table{Title: fmt.Sprintf("Cost of a stream of %d events on one core", costEvents),
		Head: []string{"version", "requests a second", "µs of CPU a request", "first event, p50 over direct",
			"p99 over direct", "MB"}}
	best := map[string]float64{}
	first := map[string]time.Duration{}
	for round := range rounds { // alternate the versions, so that noise on the machine affects them equally
		for _, v := range versions {
			row, micros, over, err := costOf(ctx, opt, v.name, v.program,
				fmt.Sprintf("cost-%s-%d", v.name, round), span)
			if err != nil {
				return err
			}
			t.Rows = append(t.Rows, row)
			if b, ok := best[v.name]; !ok || micros < b {
				best[v.name] = micros
			}
			if f, ok := first[v.name]; !ok || over < f {
				first[v.name] = over
			}
		}
	}
	r.Tables = append(r.Tables, t)
	// These figures depend on the machine, so they are aims that are reported with the results, not bounds.
	r.Tables = append(r.Tables, experiments.Table{Title: "Aims",
		Head: []string{"aim", "found, best of the rounds"}, Rows: [][]any{
			{fmt.Sprintf("%.0f µs of CPU a request of %d events", targetCost, costEvents),
				fmt.Sprintf("%.0f µs", best["this"])},
			{"the first event within 0.3 ms of direct at light load", first["this"]},
		}})
	if former, ok := best["former"]; ok {
		r.AddBound(best["this"] < former/minCostRatio,
			"it costs a third of what the former version did, or less", "%.0f µs, former %.0f: %.1f times less",
			best["this"], former, former/best["this"])
	}
	return nil
}

func costOf(
	ctx context.Context, opt experiments.Options, version, program, name string, span time.Duration,
) ([]any, float64, time.Duration, error) {
	fleet := engine.NewFleet()
	defer fleet.Close()
	var all []*engine.Engine
	for i := range 3 {
		e, err := fleet.Start(engine.Options{ID: fmt.Sprintf("e%d", i), Role: engine.OpenAI, Slots: 64,
			Queue: 256, Tokens: costEvents, Burst: true, PrefillTokensPerSecond: 1e9}, true)
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
	plan := load.Plan{Name: name, Key: gateway.Key, Targets: []string{g.Addr},
		Models: []load.Model{{Name: "parts", Weight: 1, Words: 60, Tokens: costEvents}}, Clients: 24,
		Seed: opt.Seed}
	measure := func(p load.Plan, d time.Duration) load.Summary {
		var rec load.Recorder
		part, done := context.WithTimeout(ctx, d)
		defer done()
		load.Run(part, p, &rec)
		return load.Summarize(rec.All(), time.Time{}, time.Time{})
	}
	measure(plan, span/4) // warm-up: at the start the module has no data on its engines
	before, started := g.ReadUsage(), time.Now()
	s := measure(plan, span)
	elapsed, after := time.Since(started), g.ReadUsage()
	if s.Served == 0 {
		return nil, 0, 0, fmt.Errorf("%s: no request was served: %v", name, s.Failures)
	}
	micros := float64((after.CPU - before.CPU).Microseconds()) / float64(s.Served)
	light := plan
	light.Clients, light.ThinkTime = 1, 2*time.Millisecond
	gatewayLoad := measure(light, span/2)
	direct := light
	direct.Targets = []string{all[0].Addr()}
	directLoad := measure(direct, span/2)
	over50, over99 := gatewayLoad.FirstP50-directLoad.FirstP50, gatewayLoad.FirstP99-directLoad.FirstP99
	return []any{
		version, fmt.Sprintf("%.0f", float64(s.Served)/elapsed.Seconds()), fmt.Sprintf("%.0f", micros),
		over50, over99, fmt.Sprintf("%.0f", after.Resident),
	}, micros, over50, nil
}
