// Package membersrun is the experiment "members": gateways of a tier as programs, with
// faults between them, and tiers of other sizes in virtual time.
package membersrun

import (
	"context"
	"fmt"
	"slices"
	"time"

	"wellgw/experiments"
	"wellgw/experiments/faultnet"
	"wellgw/experiments/gateway"
	"wellgw/experiments/membersim"
	"wellgw/fake/engine"
	"wellgw/internal/peers"
)

// Experiment returns the experiment.
func Experiment() experiments.Experiment {
	return experiments.Experiment{
		Name:  "members",
		About: "Nine gateways as programs that tell each other who is there: kills, loss, pauses, one-sided cuts, halves, stalled links under load; and tiers of 3, 30 and 300 in virtual time.",
		Run:   run,
	}
}

// The figures of the stage, and what must hold.
const (
	gateways   = 9
	look       = 20 * time.Millisecond // between looks at all views
	joinMost   = 20 * time.Second
	killP99    = 3 * time.Second
	killWait   = 10 * time.Second
	healMost   = 5 * time.Second
	longPause  = 2 * time.Second
	served     = 0.01 // least difference of service that counts
	someEngine = 3
	cpuSlack   = 1.5
	settle     = time.Minute
	overheard  = 60 // datagrams of each gateway that are sent again
	floodRate  = 50_000
	hubFor     = 8 * time.Second
)

func run(ctx context.Context, opt experiments.Options) (*experiments.Report, error) {
	begun := time.Now()
	r := &experiments.Report{}
	t := &tier{opt: opt, net: faultnet.New(opt.Seed), gates: map[string]*gateway.Gateway{}, fleet: engine.NewFleet(), files: map[string]map[string]any{}}
	defer t.close()
	if err := t.start(ctx); err != nil {
		return nil, err
	}
	took, ok := t.agree(ctx, joinMost)
	opt.Progress(begun, "nine gateways agree after %v", took.Round(10*time.Millisecond))
	r.AddBound(ok, fmt.Sprintf("nine gateways that start together agree within %v", joinMost), "%v", took.Round(10*time.Millisecond))
	kills, span := 3, 15*time.Second
	if !opt.Quick {
		kills, span = 12, 90*time.Second
	}
	steps := []func(context.Context, *experiments.Report) error{
		func(ctx context.Context, r *experiments.Report) error { return t.kills(ctx, r, kills) },
		func(ctx context.Context, r *experiments.Report) error { return t.faults(ctx, r, span) },
		t.halves,
		t.oneSided,
		t.hub,
		t.stalled,
		func(ctx context.Context, r *experiments.Report) error { return t.flood(ctx, r, floodFor(opt.Quick)) },
	}
	for _, step := range steps {
		if err := step(ctx, r); err != nil {
			return nil, err
		}
		opt.Progress(begun, "%s: %s", r.Bounds[len(r.Bounds)-1].Statement, r.Bounds[len(r.Bounds)-1].Observed)
	}
	sizes(r, opt)
	return r, nil
}

// sizes measures tiers in virtual time: what a gateway sends, how soon deaths and joins are
// known, and what it costs.
func sizes(r *experiments.Report, opt experiments.Options) {
	all := []int{3, 30}
	if !opt.Quick {
		all = append(all, 300)
	}
	t := experiments.Table{Title: "Tiers in virtual time", Head: []string{
		"gateways", "join s", "messages a second", "bytes a second", "CPU us a second", "kill known p50 ms", "p99 ms", "one more known s", "heal s",
	}}
	bytesLine, kills, cost := experiments.Line{Name: "bytes a second of a gateway"}, experiments.Line{Name: "kill known, p99 ms"}, experiments.Line{Name: "CPU of its machine, us a second"}
	for _, n := range all {
		tier := membersim.New(opt.Seed, n)
		tier.Size = peers.DatagramSize
		join, _ := tier.Until(2 * time.Minute)
		const still = 10 * time.Second
		tier.Run(settle) // what a join is followed by is over
		sent, size, spent := tier.Messages, tier.Bytes, tier.Spent
		tier.Run(still)
		cpu := tier.Spent - spent
		rate := func(x int) float64 { return float64(x) / float64(n) / still.Seconds() }
		messages, volume := rate(tier.Messages-sent), rate(tier.Bytes-size)
		var known []time.Duration
		for i := range 5 {
			victim := tier.Names[(i*7+2)%n]
			at := tier.Now
			tier.Kill(victim)
			tier.Run(6 * time.Second)
			when, _ := tier.Knows(victim)
			for _, x := range when {
				known = append(known, x-at)
			}
			tier.Start(victim, uint64(i+2))
			tier.Until(30 * time.Second)
		}
		slices.Sort(known)
		tier.Start("late", 1)
		late, _ := tier.Until(time.Minute)
		tier.Lost = func(a, b string) bool { return (a < "g001") != (b < "g001") } // one is cut off
		tier.Run(8 * time.Second)
		tier.Lost = nil
		heal, _ := tier.Until(time.Minute)
		p99 := known[(len(known)-1)*99/100]
		cost.At = append(cost.At, [2]float64{float64(n), float64(cpu.Microseconds()) / float64(n) / still.Seconds()})
		t.Rows = append(t.Rows, []any{
			n, fmt.Sprintf("%.1f", join.Seconds()), fmt.Sprintf("%.1f", messages), fmt.Sprintf("%.0f", volume),
			fmt.Sprintf("%.0f", float64(cpu.Microseconds())/float64(n)/still.Seconds()), known[len(known)/2].Milliseconds(), p99.Milliseconds(),
			fmt.Sprintf("%.1f", late.Seconds()), fmt.Sprintf("%.1f", heal.Seconds()),
		})
		bytesLine.At = append(bytesLine.At, [2]float64{float64(n), volume})
		kills.At = append(kills.At, [2]float64{float64(n), float64(p99.Milliseconds())})
	}
	r.Tables = append(r.Tables, t)
	r.Charts = append(r.Charts, experiments.Chart{Name: "sizes", Title: "What a gateway sends, and how soon a kill is known, by the number of gateways", X: "gateways", Y: "bytes a second; ms", Lines: []experiments.Line{bytesLine, kills, cost}})
	first, last := bytesLine.At[0], bytesLine.At[len(bytesLine.At)-1]
	// From 3 to n gateways the logarithm grows by log2(n+1)/log2(4).
	grown := 1.0
	for n := 4.0; n < last[0]+1; n *= 2 {
		grown += 0.5
	}
	r.AddBound(last[1] <= first[1]*grown, "what a gateway sends grows no faster than the logarithm of their number", "%.0f bytes a second at %.0f, %.0f at %.0f", first[1], first[0], last[1], last[0])
	small, big := cost.At[0], cost.At[len(cost.At)-1]
	// A cache that no longer holds all of 300 machines is the emulator's, not a gateway's.
	r.AddBound(big[1] <= small[1]*grown*cpuSlack, "what a gateway's machine costs grows no faster than that either, but for noise", "%.0f us of CPU a second at %.0f, %.0f at %.0f", small[1], small[0], big[1], big[0])
}
