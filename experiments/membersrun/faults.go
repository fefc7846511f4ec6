package membersrun

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"wellgw/decide/membership"
	"wellgw/experiments"
	"wellgw/experiments/faultnet"
)

// kills ends one after the other at once, and sees when each of the others knows.
func (t *tier) kills(ctx context.Context, r *experiments.Report, n int) error {
	var all []time.Duration
	for i := range n {
		victim := t.names[(i*4+3)%len(t.names)]
		t.gates[victim].Kill()
		begun, knows := time.Now(), map[string]time.Duration{}
		for time.Since(begun) < killWait && len(knows) < len(t.names)-1 && ctx.Err() == nil {
			for _, name := range t.names {
				if _, known := knows[name]; known || name == victim {
					continue
				}
				s, err := t.status(ctx, name)
				if err != nil {
					return err
				}
				if slices.ContainsFunc(s.View.Peers, func(g membership.Gateway) bool { return g.ID == victim && g.Status == membership.Dead }) {
					knows[name] = time.Since(begun)
				}
			}
			time.Sleep(look)
		}
		for _, name := range t.names {
			if at, known := knows[name]; known {
				all = append(all, at)
			} else if name != victim {
				all = append(all, killWait)
			}
		}
		if err := t.begin(ctx, victim); err != nil {
			return err
		}
		if took, ok := t.agree(ctx, killWait); !ok {
			r.AddBound(false, "a gateway started again is alive to all", "not after %v", took)
		}
	}
	slices.Sort(all)
	p99 := all[(len(all)-1)*99/100]
	r.Tables = append(r.Tables, experiments.Table{
		Title: "Time until a kill is known, over all gateways that run", Head: []string{"kills", "p50 ms", "p99 ms", "longest ms"},
		Rows: [][]any{{n, all[len(all)/2].Milliseconds(), p99.Milliseconds(), all[len(all)-1].Milliseconds()}},
	})
	r.AddBound(p99 <= killP99, fmt.Sprintf("a kill is known to all within %v at p99", killP99), "%v, longest %v", p99.Round(ms), all[len(all)-1].Round(ms))
	return nil
}

const ms = time.Millisecond

// deaths adds up how often any gateway has held another for dead.
func (t *tier) deaths(ctx context.Context) (n uint64, err error) {
	for _, name := range t.names {
		s, err := t.status(ctx, name)
		if err != nil {
			return 0, err
		}
		n += s.View.Stats.Deaths
	}
	return n, nil
}

// faults plays a schedule of pauses and one-sided cuts under loss, in which nobody dies. It
// is written out, and can be played again.
func (t *tier) faults(ctx context.Context, r *experiments.Report, span time.Duration) error {
	s := faultnet.Generate(t.opt.Seed, t.names, span, longPause)
	if t.opt.Schedule != "" {
		raw, err := os.ReadFile(t.opt.Schedule)
		if err == nil {
			s = nil
			err = json.Unmarshal(raw, &s)
		}
		if err != nil {
			return fmt.Errorf("schedule: %w", err)
		}
	}
	t.write("schedule.json", s)
	died, took, ok, err := t.play(ctx, s, span)
	if err != nil {
		return err
	}
	r.AddBound(died == 0, fmt.Sprintf("no false death in %d faults over %v with 30%% loss", len(s), span), "%d", died)
	r.AddBound(ok && took <= healMost, fmt.Sprintf("after the last fault views agree within %v", healMost), "%v", took.Round(10*ms))
	if died > 0 && t.opt.Shrink {
		s = faultnet.Shrink(s, func(x faultnet.Schedule) bool {
			died, _, _, err := t.play(ctx, x, span)
			return err == nil && died > 0
		})
		t.write("shrunk.json", s)
		r.Notes = append(r.Notes, fmt.Sprintf("The shortest schedule that still fails has %d faults: %+v", len(s), s))
	}
	return nil
}

func (t *tier) write(name string, s faultnet.Schedule) {
	if raw, err := json.MarshalIndent(s, "", " "); err == nil {
		_ = os.WriteFile(filepath.Join(t.opt.WorkDir, name), raw, 0o600)
	}
}

// play plays a schedule; it returns how many deaths there were, and how long views took to
// agree after it.
func (t *tier) play(ctx context.Context, s faultnet.Schedule, span time.Duration) (died uint64, took time.Duration, ok bool, err error) {
	before, err := t.deaths(ctx)
	if err != nil {
		return 0, 0, false, err
	}
	lossy := faultnet.Rule{Loss: 0.3}
	t.net.SetAll(t.names, lossy)
	type edge struct {
		at  time.Duration
		run func()
	}
	var edges []edge
	for _, step := range s {
		g := t.gates[step.From]
		if step.Pause {
			edges = append(edges, edge{step.At, g.Pause}, edge{step.At + step.For, g.Resume})
			continue
		}
		edges = append(edges, edge{step.At, func() { t.net.SetRule(step.From, step.To, step.Rule) }},
			edge{step.At + step.For, func() { t.net.SetRule(step.From, step.To, lossy) }})
	}
	slices.SortStableFunc(edges, func(a, b edge) int { return int(a.at - b.at) })
	begun := time.Now()
	for _, e := range append(edges, edge{span, func() {}}) {
		select {
		case <-ctx.Done():
			return 0, 0, false, ctx.Err()
		case <-time.After(e.at - time.Since(begun)):
		}
		e.run()
	}
	for _, g := range t.gates {
		g.Resume()
	}
	t.net.SetAll(t.names, faultnet.Rule{})
	took, ok = t.agree(ctx, 4*healMost)
	after, err := t.deaths(ctx)
	return after - before, took, ok, err
}

// halves cuts four of nine off the rest for some seconds.
func (t *tier) halves(ctx context.Context, r *experiments.Report) error {
	cut := func(rule faultnet.Rule) {
		for _, a := range t.names[:4] {
			for _, b := range t.names[4:] {
				t.net.SetRule(a, b, rule)
				t.net.SetRule(b, a, rule)
			}
		}
	}
	cut(faultnet.Rule{Cut: true})
	time.Sleep(6 * time.Second)
	right := true
	for i, name := range t.names {
		s, err := t.status(ctx, name)
		if err != nil {
			return err
		}
		right = right && s.View.Minority == (i < 4) && s.View.ActiveGateways == len(t.names)
	}
	r.AddBound(right, "of 4 and 5 cut apart the 4 know that they are a minority, and all say that nine share", "%v", right)
	cut(faultnet.Rule{})
	took, ok := t.agree(ctx, 4*healMost)
	r.AddBound(ok && took <= healMost, fmt.Sprintf("healed halves agree within %v", healMost), "%v", took.Round(10*ms))
	return nil
}

// oneSided cuts one direction after the other among three for longer than a death takes.
func (t *tier) oneSided(ctx context.Context, r *experiments.Report) error {
	before, err := t.deaths(ctx)
	if err != nil {
		return err
	}
	cuts, shown := 0, 0
	for _, from := range t.names[:3] {
		for _, to := range t.names[:3] {
			if from == to {
				continue
			}
			cuts++
			t.net.SetRule(from, to, faultnet.Rule{Cut: true})
			time.Sleep(3500 * ms)
			s, err := t.status(ctx, from)
			if err != nil {
				return err
			}
			if slices.ContainsFunc(s.View.Peers, func(g membership.Gateway) bool { return g.ID == to && g.OneWay }) {
				shown++
			}
			t.net.SetRule(from, to, faultnet.Rule{})
		}
	}
	after, err := t.deaths(ctx)
	if err != nil {
		return err
	}
	r.AddBound(after == before && shown == cuts, fmt.Sprintf("each of %d one-sided cuts of 3.5s shows at its gateway, and nobody dies", cuts), "%d show, %d deaths", shown, after-before)
	return nil
}

// hub leaves two halves one gateway alone by which to reach each other.
func (t *tier) hub(ctx context.Context, r *experiments.Report) error {
	before, err := t.deaths(ctx)
	if err != nil {
		return err
	}
	cut := func(rule faultnet.Rule) {
		for _, a := range t.names[:4] {
			for _, b := range t.names[4:8] {
				t.net.SetRule(a, b, rule)
				t.net.SetRule(b, a, rule)
			}
		}
	}
	cut(faultnet.Rule{Cut: true})
	time.Sleep(hubFor)
	after, err := t.deaths(ctx)
	if err != nil {
		return err
	}
	cut(faultnet.Rule{})
	took, ok := t.agree(ctx, 4*healMost)
	r.AddBound(ok, "healed, halves that had a hub agree", "%v", took.Round(10*ms))
	r.AddBound(after == before, fmt.Sprintf("two halves of four that reach each other by a ninth alone for %v stay one tier", hubFor), "%d deaths", after-before)
	return nil
}

// stalled serves clients while every link between gateways stands still.
func (t *tier) stalled(ctx context.Context, r *experiments.Report) error {
	span := 5 * time.Second
	if !t.opt.Quick {
		span = 20 * time.Second
	}
	usual, _, err := t.serve(ctx, t.names, span, nil)
	if err != nil {
		return err
	}
	t.net.SetAll(t.names, faultnet.Rule{Stall: true})
	still, _, err := t.serve(ctx, t.names, span, nil)
	if err != nil {
		return err
	}
	t.net.SetAll(t.names, faultnet.Rule{})
	r.Tables = append(r.Tables, experiments.Table{
		Title: "Service to clients while all links between gateways stand still", Head: []string{"links", "asked", "served", "first event p50 us", "p99 us"},
		Rows: [][]any{
			{"as usual", usual.Requests, fmt.Sprintf("%.4f", part(usual.Summary)), usual.FirstP50.Microseconds(), usual.FirstP99.Microseconds()},
			{"stalled", still.Requests, fmt.Sprintf("%.4f", part(still.Summary)), still.FirstP50.Microseconds(), still.FirstP99.Microseconds()},
		},
	})
	r.AddBound(part(still.Summary) >= part(usual.Summary)-served, "service with stalled links is within a point of the usual", "%.4f against %.4f", part(still.Summary), part(usual.Summary))
	took, ok := t.agree(ctx, 4*healMost)
	r.AddBound(ok, "after the stall views agree again", "%v", took.Round(10*ms))
	return nil
}
