package consulrun

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"wellgw/experiments"
	"wellgw/experiments/gateway"
	"wellgw/fake/consul"
	"wellgw/internal/admin"
	"wellgw/internal/pause"
)

// size is one size of catalogue, and how it is followed.
type size struct {
	engines, services, watches int
}

const flapsPerS = 1000

// playCost measures what it costs to follow catalogues of growing size, at rest and
// while checks flap. Their engines are of a role that is never sent to.
func playCost(ctx context.Context, opt experiments.Options, r *experiments.Report, mu *sync.Mutex) ([][]any, error) {
	sizes := []size{{300, 20, 64}, {1000, 70, 128}, {3000, 200, 256}, {3000, 200, 64}}
	if opt.Quick {
		sizes = []size{{300, 20, 64}, {3000, 200, 256}, {3000, 200, 64}}
	}
	var rows [][]any
	for _, z := range sizes {
		row, err := measure(ctx, opt, z, r, mu)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func measure(ctx context.Context, opt experiments.Options, z size, r *experiments.Report, mu *sync.Mutex) ([]any, error) {
	store := consul.NewStore()
	defer store.Close()
	agent, err := consul.NewAgent(store, node)
	if err != nil {
		return nil, err
	}
	defer agent.Close()
	for i := range z.engines {
		id := fmt.Sprintf("x%04d", i)
		store.Register(consul.Service{
			ID: id, Name: fmt.Sprintf("svc-%03d", i%z.services), Node: node, Address: fmt.Sprintf("127.9.%d.%d", i/250, i%250+1), Port: 9000,
			Tags: []string{"engine"}, Meta: map[string]string{"role": "spare", "zone": "a", "cell": "1"},
		}, map[string]string{checkName + ":" + id: "passing"})
	}
	s := &stage{}
	file := s.settings(map[string]any{"address": agent.Addr, "tag": "engine", "max_watches": z.watches, "check_path": ""})
	name := fmt.Sprintf("cost-%d-%d", z.engines, z.watches)
	g, err := gateway.Start(ctx, opt.Program, opt.WorkDir, name, file)
	if err != nil {
		return nil, err
	}
	defer g.Kill()
	if _, ok := g.Await(ctx, 20*time.Second, func(v admin.View) bool { return len(v.Engines) == z.engines }); !ok {
		return nil, fmt.Errorf("%s: not all engines are seen", name)
	}
	part := 3 * time.Second
	if !opt.Quick {
		part = 10 * time.Second
	}
	pause.Sleep(ctx, time.Second)
	idle := watchUse(ctx, g, agent, part)
	at := time.Now()
	store.SetCheck(node, "x0007", checkName, "critical")
	_, ok := g.Await(ctx, 10*time.Second, func(v admin.View) bool { return state(v, "x0007") == "critical" })
	seen := time.Since(at)
	mu.Lock()
	r.AddBound(ok && seen <= followLimit, fmt.Sprintf("a mark among %d engines is seen (%d watches)", z.engines, z.watches), "%v, limit %v", seen.Round(time.Millisecond), followLimit)
	mu.Unlock()
	flapping, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { flap(flapping, store, z.engines) })
	busy := watchUse(ctx, g, agent, part)
	stop()
	group.Wait()
	back := time.Now()
	all := map[string]string{}
	for i := range z.engines {
		all[fmt.Sprintf("x%04d", i)] = "passing"
	}
	store.SetChecks(node, all, checkName)
	_, ok = g.Await(ctx, 20*time.Second, func(v admin.View) bool { return in(v) == z.engines })
	settled := time.Since(back)
	mu.Lock()
	r.AddBound(ok && settled <= 10*time.Second, fmt.Sprintf("%d flapping engines settle (%d watches)", z.engines, z.watches), "%v", settled.Round(time.Millisecond))
	mu.Unlock()
	way := "a watch each"
	if idle.rounds {
		way = "rounds"
	}
	return []any{
		z.engines, z.services, way, fmt.Sprintf("%.0f", busy.resident), percent(idle.cpu), fmt.Sprintf("%.0f", idle.queries), fmt.Sprintf("%.0f", idle.kb),
		seen.Round(time.Millisecond), flapsPerS, percent(busy.cpu), fmt.Sprintf("%.0f", busy.kb), fmt.Sprintf("%.0f", busy.told),
	}, nil
}

func percent(x float64) string { return strings.TrimSpace(fmt.Sprintf("%.1f %%", 100*x)) }

type use struct {
	cpu, queries, kb, told, resident float64
	rounds                           bool
}

// watchUse measures a gateway for a while.
func watchUse(ctx context.Context, g *gateway.Gateway, a *consul.Agent, d time.Duration) use {
	before, _ := g.View(ctx)
	was := g.ReadUsage()
	q0, b0, _ := a.Stats()
	begun := time.Now()
	pause.Sleep(ctx, d)
	is := g.ReadUsage()
	took := time.Since(begun).Seconds()
	q1, b1, _ := a.Stats()
	after, _ := g.View(ctx)
	return use{
		cpu: (is.CPU - was.CPU).Seconds() / took, queries: float64(q1-q0) / took, kb: float64(b1-b0) / 1000 / took,
		told: float64(after.Stats.Changes-before.Stats.Changes) / took, resident: is.Resident, rounds: after.Consul.Polling,
	}
}

// flap turns checks over, so many a second, in turn over all engines.
func flap(ctx context.Context, store *consul.Store, engines int) {
	const every = 100 * time.Millisecond
	t := time.NewTicker(every)
	defer t.Stop()
	status := map[bool]string{true: "critical", false: "passing"}
	for n := 0; ; {
		by := map[string]string{}
		for range int(flapsPerS * every.Seconds()) {
			by[fmt.Sprintf("x%04d", n%engines)] = status[n/engines%2 == 0]
			n++
		}
		store.SetChecks(node, by, checkName)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
