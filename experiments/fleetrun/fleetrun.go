// Package fleetrun is the experiment "fleet": what gateways do alone, added up. Fleets of 3 to
// 300 gateways before the same hundred engines in virtual time, and twelve gateways as programs
// before eight stand-in engines, with faults between them.
package fleetrun

import (
	"context"
	"fmt"
	"sync"

	"wellgw/experiments"
	"wellgw/experiments/fleetsim"
	"wellgw/routing"
)

// Experiment returns the experiment.
func Experiment() experiments.Experiment {
	return experiments.Experiment{
		Name:  "fleet",
		About: "Fleets of 3 to 300 gateways before the same hundred engines in virtual time; twelve gateways as programs before eight engines, killed, stopped and cut off in turn.",
		Run:   run,
	}
}

// points is how much less than at 3 gateways may be served at 300.
const points = 0.03

func run(ctx context.Context, opt experiments.Options) (*experiments.Report, error) {
	r := &experiments.Report{}
	if err := programs(ctx, opt, r); err != nil {
		return nil, err
	}
	emulated(ctx, opt, r)
	return r, ctx.Err()
}

// emulated plays each fleet's day with more and more gateways.
func emulated(ctx context.Context, opt experiments.Options, r *experiments.Report) {
	fleets, sizes := 4, []int{3, 30, 80, 300}
	if opt.Quick {
		fleets, sizes = 1, []int{3, 30}
	}
	type cell struct {
		deployment *fleetsim.Deployment
		result     fleetsim.Result
	}
	cells := make([][]cell, fleets)
	var group sync.WaitGroup
	free := make(chan struct{}, 4)
	for i := range fleets {
		cells[i] = make([]cell, len(sizes))
		for j, n := range sizes {
			group.Go(func() {
				free <- struct{}{}
				defer func() { <-free }()
				if ctx.Err() == nil {
					d := fleetsim.Fleet(opt.Seed+uint64(i), n)
					cells[i][j] = cell{d, fleetsim.Play(d, func(set routing.Settings, seed uint64) fleetsim.Decider { return fleetsim.Module(set, seed) }, false)}
				}
			})
		}
	}
	group.Wait()
	if ctx.Err() != nil {
		return
	}
	t := experiments.Table{Title: "The same day with more gateways, in virtual time", Head: []string{
		"fleet", "troubles", "gateways", "requests", "service", "worst 10 s", "refused tries", "late", "probes a request", "new connections a request",
	}}
	service := experiments.Line{Name: "service, mean"}
	for j, n := range sizes {
		mean := 0.0
		for i := range cells {
			mean += cells[i][j].result.Service / float64(fleets)
		}
		service.At = append(service.At, [2]float64{float64(n), mean})
	}
	for i := range cells {
		for j, n := range sizes {
			c := cells[i][j]
			each := func(n int) string { return fmt.Sprintf("%.2f", float64(n)/float64(max(c.result.Requests, 1))) }
			what := ""
			for _, x := range c.deployment.Troubles {
				what += fmt.Sprintf("%s %.0f s ", x.What, x.At.Seconds())
			}
			t.Rows = append(t.Rows, []any{
				c.deployment.Name, what, n, c.result.Requests, fmt.Sprintf("%.3f", c.result.Service), fmt.Sprintf("%.3f", c.result.Worst10), c.result.Refused, c.result.Late, each(c.result.Probes), each(c.result.Conns),
			})
			if len(c.result.Broken) > 0 {
				r.AddBound(false, fmt.Sprintf("%s with %d gateways keeps the rules", c.deployment.Name, n), "%s", c.result.Broken[0])
			}
		}
		few, many := cells[i][0].result.Service, cells[i][len(sizes)-1].result.Service
		r.AddBound(many >= few-points, fmt.Sprintf("%s: service at %d gateways is within 3 points of that at %d", cells[i][0].deployment.Name, sizes[len(sizes)-1], sizes[0]), "%.3f against %.3f", many, few)
	}
	r.Tables = append(r.Tables, t)
	r.Charts = append(r.Charts, experiments.Chart{Name: "service", Title: "Service by the number of gateways, the same load", X: "gateways", Y: "service", Lines: []experiments.Line{service}})
}
