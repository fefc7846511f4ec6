package fleetsim

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"wellgw/experiments"
	"wellgw/routing"
)

// slack is how much less than the best plain policy the module may serve.
const slack = 0.01

// Experiment returns the experiment "deployments".
func Experiment() experiments.Experiment {
	return experiments.Experiment{
		Name:  "deployments",
		About: "Deployments drawn from a seed and emulated in virtual time: the module against three plain policies, on the same requests and troubles.",
		Run:   run,
	}
}

// run plays the deployments of the seeds that follow opt.Seed.
func run(ctx context.Context, opt experiments.Options) (*experiments.Report, error) {
	n := 40
	if opt.Quick {
		n = 12
	}
	policies := append([]Baseline{{"module", Module}}, Baselines()...)
	days := make([]*Deployment, n)
	results := make([][]Result, n)
	var group sync.WaitGroup
	at := make(chan int)
	for range 4 {
		group.Go(func() {
			for i := range at {
				days[i] = Draw(opt.Seed - 1 + uint64(i))
				for _, p := range policies {
					results[i] = append(results[i], mean(days[i], p.Policy))
				}
			}
		})
	}
	for i := 0; i < n && ctx.Err() == nil; i++ {
		at <- i
	}
	close(at)
	group.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	r := report(days, policies, results)
	r.Tables = append(r.Tables, troubles(opt.Seed, 8))
	return r, nil
}

// plays is how often a deployment is played under a policy, each time with other routers'
// seeds: one play near its limits differs from the next by a point or two.
const plays = 3

// mean plays a deployment several times and returns the means; broken rules add up.
func mean(d *Deployment, policy Policy) Result {
	var sum Result
	for salt := range uint64(plays) {
		r := Play(d, func(set routing.Settings, seed uint64) Decider { return policy(set, seed+salt<<32) }, false)
		sum.Service, sum.Worst10 = sum.Service+r.Service/plays, sum.Worst10+r.Worst10/plays
		sum.Requests, sum.Refused, sum.Late = r.Requests, sum.Refused+r.Refused, sum.Late+r.Late
		sum.Broken = append(sum.Broken, r.Broken...)
		if sum.ByClass == nil {
			sum.ByClass = make([]float64, len(r.ByClass))
		}
		for i, v := range r.ByClass {
			sum.ByClass[i] += v / plays
		}
	}
	sum.Refused, sum.Late = sum.Refused/plays, sum.Late/plays
	return sum
}

// troubles plays each trouble alone, on deployments at two thirds of their load, and tells
// how deep service falls and how long it takes to come back.
func troubles(seed uint64, n int) experiments.Table {
	t := experiments.Table{
		Title: "Each trouble alone, at load 0.65: the module's service, over several deployments",
		Head:  []string{"trouble", "asked in the 6 s before", "worst 3 s", "back after its begin", "back after its end", "service"},
	}
	const at, span = 22 * time.Second, 8 * time.Second
	for _, what := range []string{Slow, Flush, Hot, Links, Crash, Drain} {
		var asked, earned [60]float64
		for i := range n {
			d := Draw(seed - 1 + uint64(i))
			d.Rate *= 0.65 / d.Load
			d.Swing, d.Bursts = 0, false
			trouble := Trouble{What: what, At: at, For: span, Part: 0.25, Size: 4}
			switch what {
			case Flush:
				trouble.Part = 0.8
			case Hot:
				trouble.Size = 0.15
			}
			d.Troubles = []Trouble{trouble}
			for second, x := range Play(d, Module, false).BySecond {
				asked[second] += x[0]
				earned[second] += x[1]
			}
		}
		part := func(from, to int) float64 {
			a, e := 0.0, 0.0
			for s := from; s < to; s++ {
				a, e = a+asked[s], e+earned[s]
			}
			return e / max(a, 1e-9)
		}
		begin, end := int(at/time.Second), int((at+span)/time.Second)
		before, worst, back := part(begin-6, begin), 1.0, begin
		for s := begin; s+3 <= 54; s++ {
			now := part(s, s+3)
			worst = min(worst, now)
			if now < before-0.02 {
				back = s + 3
			}
		}
		t.Rows = append(t.Rows, []any{what, fmt.Sprintf("%.3f", before), fmt.Sprintf("%.3f", worst),
			fmt.Sprintf("%d s", back-begin), fmt.Sprintf("%d s", max(0, back-end)), fmt.Sprintf("%.3f", part(begin, 55))})
	}
	return t
}

func report(days []*Deployment, policies []Baseline, results [][]Result) *experiments.Report {
	r := &experiments.Report{}
	t := experiments.Table{Title: "Service by deployment: worth in time over worth asked", Head: []string{"deployment", "what it is", "requests"}}
	classes := experiments.Table{Title: "Service of the module by class", Head: []string{"deployment", "aim, gain, effect: service", "worst 10 s", "tries refused", "late"}}
	chart := experiments.Chart{Name: "service", Title: "Service by deployment", X: "deployment", Y: "service"}
	worst := experiments.Chart{Name: "classes", Title: "The module's best and worst served class", X: "deployment", Y: "service", Lines: []experiments.Line{{Name: "best"}, {Name: "worst"}}}
	for _, p := range policies {
		t.Head = append(t.Head, p.Name)
		chart.Lines = append(chart.Lines, experiments.Line{Name: p.Name})
	}
	for i, d := range days {
		row := []any{d.Name, d.about(), results[i][0].Requests}
		best, who := 0.0, ""
		for k, res := range results[i] {
			row = append(row, fmt.Sprintf("%.3f", res.Service))
			chart.Lines[k].At = append(chart.Lines[k].At, [2]float64{float64(d.Seed), res.Service})
			if k > 0 && len(res.Broken) > 0 {
				row[len(row)-1] = row[len(row)-1].(string) + " (breaks rules)"
			} else if k > 0 && res.Service > best {
				best, who = res.Service, policies[k].Name
			}
		}
		t.Rows = append(t.Rows, row)
		m := results[i][0]
		var by []string
		low, high := 1.0, 0.0
		for k, c := range d.Classes {
			by = append(by, fmt.Sprintf("%.1f s, %.1f, %s: %.3f", c.FirstTokenObjective.Seconds(), c.PriorityWeight, effectName(c.Effect), m.ByClass[k]))
			low, high = min(low, m.ByClass[k]), max(high, m.ByClass[k])
		}
		x := float64(d.Seed)
		worst.Lines[0].At = append(worst.Lines[0].At, [2]float64{x, high})
		worst.Lines[1].At = append(worst.Lines[1].At, [2]float64{x, low})
		classes.Rows = append(classes.Rows, []any{d.Name, strings.Join(by, "; "), fmt.Sprintf("%.3f", m.Worst10), m.Refused, m.Late})
		r.AddBound(len(m.Broken) == 0, d.Name+": no rule broken", "%d%s", len(m.Broken), firstOf(m.Broken))
		r.AddBound(m.Service >= best-slack, d.Name+": no less than the best plain policy that keeps the rules, less a point", "%.3f against %.3f (%s)", m.Service, best, who)
	}
	r.Tables = []experiments.Table{t, classes}
	r.Charts = []experiments.Chart{chart, worst}
	return r
}

func firstOf(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return ": " + list[0]
}

func effectName(e routing.Effect) string {
	if e == routing.EffectAtMostOnce {
		return "once"
	}
	return "free"
}

// about says in a line what a deployment is.
func (d *Deployment) about() string {
	prefillEngines := 0
	for _, e := range d.Engines {
		if e.Kind == 0 {
			prefillEngines++
		}
	}
	parts := []string{fmt.Sprintf("%d gateways, %d readers, %d writers, load %.2f", len(d.Gateways), prefillEngines, len(d.Engines)-prefillEngines, d.Load)}
	if d.Report.MemoryUsed != nil {
		parts = append(parts, "reports")
	}
	if d.Settings.DecodePrefills {
		parts = append(parts, "writers read")
	}
	for _, t := range d.Troubles {
		parts = append(parts, t.What)
	}
	return strings.Join(parts, ", ")
}
