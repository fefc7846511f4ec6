package fleetrun

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"wellgw/decide/membership"
	"wellgw/experiments"
	"wellgw/experiments/faultnet"
	"wellgw/experiments/gateway"
	"wellgw/experiments/load"
	"wellgw/fake/consul"
	"wellgw/fake/engine"
	"wellgw/internal/admin"
	"wellgw/internal/pause"
	"wellgw/internal/peers"
)

// The stage, and what must hold on it.
const (
	gateways = 12
	engines  = 8
	clients  = 72
	node     = "node-1"
	check    = "alive"
	service  = "llm"
	coldFor  = 14 * time.Second
	grace    = 2 * time.Second  // after a mark, until no new work may come
	evenIn   = 10 * time.Second // after a change, until load is even
	evenFor  = 5 * time.Second  // the end of that, over which it is counted
	evenMost = 1.25             // the busiest engine's attempts against the mean
	wait     = 20 * time.Second
)

// tier is the programs and all that they stand before.
type tier struct {
	opt    experiments.Options
	begun  time.Time
	net    *faultnet.Net
	store  *consul.Store
	agent  *consul.Agent
	fleet  *engine.Fleet
	byID   map[string]*engine.Engine
	names  []string
	peers  map[string]string // relays
	doors  []string          // by which clients come
	gates  map[string]*gateway.Gateway
	tier   *gateway.Tier
	spans  []engine.Span
	spread experiments.Table
}

// programs plays kills, stops, cuts, a drain and a restart under load.
func programs(ctx context.Context, opt experiments.Options, r *experiments.Report) error {
	t := &tier{
		opt: opt, begun: time.Now(), net: faultnet.New(opt.Seed), store: consul.NewStore(), fleet: engine.NewFleet(), byID: map[string]*engine.Engine{},
		peers: map[string]string{}, gates: map[string]*gateway.Gateway{},
		spread: experiments.Table{Title: "Twelve gateways before eight engines: load after each change", Head: []string{"change", "attempts", "busiest engine against the mean", "asked", "served"}},
	}
	defer t.close()
	if err := t.start(ctx); err != nil {
		return err
	}
	var rec load.Recorder
	within, done := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		load.Run(within, load.Plan{
			Name: "f", Key: gateway.Key, Targets: t.doors, Clients: clients, Turns: 3, MaxTokens: 8, Retries: 4, Seed: opt.Seed, ThinkTime: 20 * time.Millisecond,
			Models: []load.Model{{Name: "parts", Weight: 0.6, Words: 40}, {Name: "orders", Weight: 0.4, Words: 60}},
		}, &rec)
	}()
	all := []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}
	err := t.course(ctx, r, &rec, all)
	done()
	<-ended
	if err != nil {
		return err
	}
	r.Tables = append(r.Tables, t.spread)
	attempts, orders := t.fleet.Attempts(), map[string]bool{}
	for _, o := range rec.All() {
		orders[o.RequestID] = orders[o.RequestID] || o.Model == "orders"
	}
	late := engine.AttemptsInSpans(attempts, t.spans)
	r.AddBound(len(late) == 0, "no new work after its grace to an engine marked or gone", "%d %v", len(late), late)
	twice := engine.DuplicateExecutions(attempts, func(order string) bool { return orders[order] })
	r.AddBound(len(twice) == 0, "no order ran twice", "%d of %d", len(twice), len(orders))
	r.AddBound(t.fleet.OverloadCrashes() == 0, "no cold engine pushed over by all gateways together", "%d", t.fleet.OverloadCrashes())
	return nil
}

func (t *tier) start(ctx context.Context) (err error) {
	if t.agent, err = consul.NewAgent(t.store, node); err != nil {
		return err
	}
	for i := range engines {
		id := fmt.Sprint("e", i+1)
		e, err := t.fleet.Start(engine.Options{ID: id, Role: engine.OpenAI, Slots: 16, Queue: 64, TokenInterval: 4 * time.Millisecond, WarmUp: coldFor, OverloadFactor: 4}, true)
		if err != nil {
			return err
		}
		t.byID[id] = e
		t.list(id)
	}
	if t.tier, err = gateway.NewTier(t.opt.WorkDir, t.opt.Seed); err != nil {
		return err
	}
	for i := range gateways {
		name := fmt.Sprint("g", i+1)
		if t.peers[name], err = t.net.OpenPort(name); err != nil {
			return err
		}
		door, err := t.net.Dial("clients", name)
		if err != nil {
			return err
		}
		t.names, t.doors = append(t.names, name), append(t.doors, door)
	}
	t.tier.Join = []string{t.peers[t.names[0]], t.peers[t.names[1]]}
	for _, name := range t.names {
		if err := t.begin(ctx, name); err != nil {
			return err
		}
	}
	return t.agree(ctx, t.names)
}

func (t *tier) list(id string) {
	host, port, _ := net.SplitHostPort(t.byID[id].Addr())
	n, _ := strconv.Atoi(port)
	t.store.Register(consul.Service{ID: id, Name: service, Node: node, Address: host, Port: n, Meta: map[string]string{"role": engine.OpenAI}},
		map[string]string{check + ":" + id: "passing"})
}

func (t *tier) mark(id, status string) {
	t.store.SetChecks(node, map[string]string{id: status}, check)
}

// begin starts a gateway's program and waits until it sees engines.
func (t *tier) begin(ctx context.Context, name string) error {
	s := gateway.Settings(map[string]any{"check_path": "/healthz", "address": t.agent.Addr, "service": service})
	s["gateways"] = gateways
	s["peers"] = t.tier.Peers(name, t.peers[name])
	g, err := gateway.Start(ctx, t.opt.Program, t.opt.WorkDir, name, s)
	if err != nil {
		return err
	}
	t.gates[name] = g
	var p peers.Status
	if err := g.FetchPage(ctx, admin.PeersPath, &p); err != nil {
		return err
	}
	if err := t.net.SetBackend(name, p.Listen); err != nil {
		return err
	}
	if _, ok := g.Await(ctx, wait, func(v admin.View) bool { return len(v.Engines) >= engines-1 }); !ok {
		return fmt.Errorf("%s: no engines in time", name)
	}
	t.net.SetListener(name, g.Addr)
	return nil
}

// agree waits until the named all hold each other for alive.
func (t *tier) agree(ctx context.Context, names []string) error {
	for _, name := range names {
		for begun := time.Now(); ; pause.Sleep(ctx, 50*time.Millisecond) {
			var s peers.Status
			err := t.gates[name].FetchPage(ctx, admin.PeersPath, &s)
			alive := 1
			for _, g := range s.View.Peers {
				if g.Status == membership.Alive {
					alive++
				}
			}
			if err == nil && alive >= len(names) {
				break
			}
			if time.Since(begun) > wait || ctx.Err() != nil {
				return fmt.Errorf("%s holds %d for alive, not %d", name, alive, len(names))
			}
		}
	}
	return nil
}

func (t *tier) close() {
	for _, g := range t.gates {
		g.Resume()
		g.Kill()
	}
	t.net.Close()
	if t.agent != nil {
		t.agent.Close()
	}
	t.fleet.Close()
	t.store.Close()
}

// course makes one change after the other, and looks at the load after each.
func (t *tier) course(ctx context.Context, r *experiments.Report, rec *load.Recorder, all []string) error {
	even := func(what string, at time.Time, among []string) {
		pause.Sleep(ctx, time.Until(at.Add(evenIn)))
		t.even(r, rec, what, at.Add(evenIn-evenFor), among)
	}
	even("start", time.Now(), all)

	victims := []string{"g2", "g5", "g8", "g11"}
	at := time.Now()
	for i, name := range victims {
		t.gates[name].Kill()
		t.net.SetListener(name, t.gates[t.names[3*i]].Addr) // whoever deals out clients has noticed
	}
	even("four of twelve gateways killed", at, all)
	at = time.Now()
	for _, name := range victims {
		if err := t.begin(ctx, name); err != nil {
			return err
		}
	}
	even("and started again", at, all)

	at = time.Now()
	for _, name := range victims[:3] {
		t.gates[name].Pause()
	}
	pause.Sleep(ctx, 4*time.Second)
	for _, name := range victims[:3] {
		t.gates[name].Resume()
	}
	even("three stopped for 4 s", at, all)

	at = time.Now()
	t.halves(faultnet.Rule{Cut: true})
	even("cut into halves", at, all)
	t.halves(faultnet.Rule{})
	at = time.Now()
	even("and healed", at, all)

	at = time.Now()
	t.mark("e3", "critical")
	t.spans = append(t.spans, engine.Span{Engine: "e3", From: at.Add(grace), Reason: "critical"})
	even("an engine marked critical", at, without(all, "e3"))
	t.spans[len(t.spans)-1].To = time.Now()
	t.mark("e3", "passing")

	at = time.Now()
	t.byID["e6"].Crash()
	t.mark("e6", "critical")
	t.spans = append(t.spans, engine.Span{Engine: "e6", From: at.Add(grace), Reason: "gone"})
	pause.Sleep(ctx, 3*time.Second)
	if err := t.byID["e6"].Restart(false); err != nil {
		return err
	}
	t.spans[len(t.spans)-1].To = time.Now()
	t.mark("e6", "passing")
	even("an engine restarted, cold: the seven others", at, without(all, "e6"))
	pause.Sleep(ctx, time.Until(at.Add(3*time.Second+coldFor)))
	even("warm again", time.Now(), all)
	return ctx.Err()
}

func (t *tier) halves(rule faultnet.Rule) {
	for _, a := range t.names[:gateways/2] {
		for _, b := range t.names[gateways/2:] {
			t.net.SetRule(a, b, rule)
			t.net.SetRule(b, a, rule)
		}
	}
}

func without(all []string, id string) (rest []string) {
	for _, x := range all {
		if x != id {
			rest = append(rest, x)
		}
	}
	return rest
}

// even states how load has been spread over some engines since a time.
func (t *tier) even(r *experiments.Report, rec *load.Recorder, what string, from time.Time, among []string) {
	by, total, most := map[string]int{}, 0, 0
	for _, a := range t.fleet.Attempts() {
		if a.ArrivalTime.After(from) {
			by[a.Engine]++
		}
	}
	for _, id := range among {
		total, most = total+by[id], max(most, by[id])
	}
	ratio := float64(most) * float64(len(among)) / float64(max(total, 1))
	s := load.Summarize(rec.All(), from, time.Time{})
	t.spread.Rows = append(t.spread.Rows, []any{what, total, fmt.Sprintf("%.2f", ratio), s.Requests, s.Served})
	r.AddBound(total > 100 && ratio <= evenMost, fmt.Sprintf("%s: within %v load is even, busiest engine at most %.2f of the mean", what, evenIn, evenMost), "%.2f of %d attempts", ratio, total)
	t.opt.Progress(t.begun, "%s: %.2f, %d of %d served", what, ratio, s.Served, s.Requests)
}
