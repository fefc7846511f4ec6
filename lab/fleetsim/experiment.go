package fleetsim

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"wellgw/lab"
	"wellgw/ringdale"
)

// slack is how much less than the best plain policy the module may serve.
const slack = 0.01

// Experiment returns the experiment "deployments".
func Experiment() lab.Experiment {
	return lab.Experiment{
		Name:  "deployments",
		About: "Deployments drawn from a seed and emulated in virtual time: the module against three plain policies, on the same requests and troubles.",
		Run:   run,
	}
}

// run plays the deployments of the seeds that follow opt.Seed.
func run(ctx context.Context, opt lab.Options) (*lab.Report, error) {
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
					results[i] = append(results[i], Play(days[i], p.Policy, false))
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
	return report(days, policies, results), nil
}

func report(days []*Deployment, policies []Baseline, results [][]Result) *lab.Report {
	r := &lab.Report{}
	t := lab.Table{Title: "Service by deployment: worth in time over worth asked", Head: []string{"deployment", "what it is", "requests"}}
	classes := lab.Table{Title: "Service of the module by class", Head: []string{"deployment", "aim, gain, effect: service", "worst 10 s", "tries refused", "late"}}
	chart := lab.Chart{Name: "service", Title: "Service by deployment", X: "deployment", Y: "service"}
	worst := lab.Chart{Name: "classes", Title: "The module's best and worst served class", X: "deployment", Y: "service", Lines: []lab.Line{{Name: "best"}, {Name: "worst"}}}
	for _, p := range policies {
		t.Head = append(t.Head, p.Name)
		chart.Lines = append(chart.Lines, lab.Line{Name: p.Name})
	}
	for i, d := range days {
		row := []any{d.Name, d.about(), results[i][0].Requests}
		best, who := 0.0, ""
		for k, res := range results[i] {
			row = append(row, fmt.Sprintf("%.3f", res.Service))
			chart.Lines[k].At = append(chart.Lines[k].At, [2]float64{float64(d.Seed), res.Service})
			if k > 0 && res.Service > best {
				best, who = res.Service, policies[k].Name
			}
		}
		t.Rows = append(t.Rows, row)
		m := results[i][0]
		var by []string
		low, high := 1.0, 0.0
		for k, c := range d.Classes {
			by = append(by, fmt.Sprintf("%.1f s, %.1f, %s: %.3f", c.Aim.Seconds(), c.Gain, effectName(c.Effect), m.ByClass[k]))
			low, high = min(low, m.ByClass[k]), max(high, m.ByClass[k])
		}
		x := float64(d.Seed)
		worst.Lines[0].At = append(worst.Lines[0].At, [2]float64{x, high})
		worst.Lines[1].At = append(worst.Lines[1].At, [2]float64{x, low})
		classes.Rows = append(classes.Rows, []any{d.Name, strings.Join(by, "; "), fmt.Sprintf("%.3f", m.Worst10), m.Refused, m.Late})
		r.Hold(len(m.Broken) == 0, d.Name+": no rule broken", "%d%s", len(m.Broken), firstOf(m.Broken))
		r.Hold(m.Service >= best-slack, d.Name+": no less than the best plain policy less a point", "%.3f against %.3f (%s)", m.Service, best, who)
	}
	r.Tables = []lab.Table{t, classes}
	r.Charts = []lab.Chart{chart, worst}
	return r
}

func firstOf(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return ": " + list[0]
}

func effectName(e ringdale.Effect) string {
	if e == ringdale.EffectSingleShot {
		return "once"
	}
	return "free"
}

// about says in a line what a deployment is.
func (d *Deployment) about() string {
	readers := 0
	for _, e := range d.Engines {
		if e.Kind == 0 {
			readers++
		}
	}
	parts := []string{fmt.Sprintf("%d gateways, %d readers, %d writers, load %.2f", len(d.Gateways), readers, len(d.Engines)-readers, d.Load)}
	if d.Report.Memory != nil {
		parts = append(parts, "reports")
	}
	if d.Settings.WritersRead {
		parts = append(parts, "writers read")
	}
	for _, t := range d.Troubles {
		parts = append(parts, t.What)
	}
	return strings.Join(parts, ", ")
}
