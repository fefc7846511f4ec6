// Package membersrun is the experiment "members": gateways of a tier as programs, with
// faults between them, and tiers of other sizes in virtual time.
package membersrun

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"wellgw/decide/membership"
	"wellgw/internal/admin"
	"wellgw/internal/peers"
	"wellgw/lab"
	"wellgw/lab/faultnet"
	"wellgw/lab/gateway"
	"wellgw/lab/load"
	"wellgw/lab/membersim"
	"wellgw/standin/engine"
)

// Experiment returns the experiment.
func Experiment() lab.Experiment {
	return lab.Experiment{
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

// tier is the programs and the net between them.
type tier struct {
	opt   lab.Options
	net   *faultnet.Net
	names []string
	addrs []string // public ones, by name's place
	gates map[string]*gateway.Gateway
	fleet *engine.Fleet
	files map[string]map[string]any
}

func run(ctx context.Context, opt lab.Options) (*lab.Report, error) {
	begun := time.Now()
	r := &lab.Report{}
	t := &tier{opt: opt, net: faultnet.New(opt.Seed), gates: map[string]*gateway.Gateway{}, fleet: engine.NewFleet(), files: map[string]map[string]any{}}
	defer t.close()
	if err := t.start(ctx); err != nil {
		return nil, err
	}
	took, ok := t.agree(ctx, joinMost)
	opt.Say(begun, "nine gateways agree after %v", took.Round(10*time.Millisecond))
	r.Hold(ok, fmt.Sprintf("nine gateways that start together agree within %v", joinMost), "%v", took.Round(10*time.Millisecond))
	kills, span := 3, 15*time.Second
	if !opt.Quick {
		kills, span = 12, 90*time.Second
	}
	steps := []func(context.Context, *lab.Report) error{
		func(ctx context.Context, r *lab.Report) error { return t.kills(ctx, r, kills) },
		func(ctx context.Context, r *lab.Report) error { return t.faults(ctx, r, span) },
		t.halves,
		t.oneSided,
		t.hub,
		t.stalled,
		func(ctx context.Context, r *lab.Report) error { return t.flood(ctx, r, floodFor(opt.Quick)) },
	}
	for _, step := range steps {
		if err := step(ctx, r); err != nil {
			return nil, err
		}
		opt.Say(begun, "%s: %s", r.Bounds[len(r.Bounds)-1].What, r.Bounds[len(r.Bounds)-1].Got)
	}
	sizes(r, opt)
	return r, nil
}

// start begins the engines and the gateways, each behind its relay.
func (t *tier) start(ctx context.Context) error {
	common, err := gateway.NewTier(t.opt.Work, t.opt.Seed)
	if err != nil {
		return err
	}
	var engines []any
	for i := range someEngine {
		e, err := t.fleet.Start(engine.Options{ID: fmt.Sprint("e", i), Role: engine.OpenAI, Slots: 16, Tokens: 12, TokenEvery: time.Millisecond}, true)
		if err != nil {
			return err
		}
		engines = append(engines, map[string]any{"id": fmt.Sprint("e", i), "address": e.Addr(), "role": "openai"})
	}
	for i := range gateways {
		name := fmt.Sprint("g", i+1)
		addr, err := t.net.Port(name)
		if err != nil {
			return err
		}
		t.names, t.addrs = append(t.names, name), append(t.addrs, addr)
	}
	common.Join = t.addrs[:2]
	for i, name := range t.names {
		s := gateway.Settings(nil)
		delete(s, "consul")
		s["engines"] = engines
		s["peers"] = common.Peers(name, t.addrs[i])
		t.files[name] = s
		if err := t.begin(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

// begin starts a gateway's program, and tells the net where it is now.
func (t *tier) begin(ctx context.Context, name string) error {
	g, err := gateway.Start(ctx, t.opt.Program, t.opt.Work, name, t.files[name])
	if err != nil {
		return err
	}
	t.gates[name] = g
	s, err := t.status(ctx, name)
	if err != nil {
		return err
	}
	return t.net.Behind(name, s.Listen)
}

func (t *tier) close() {
	for _, g := range t.gates {
		g.Resume()
		g.Kill()
	}
	t.net.Close()
	t.fleet.Close()
}

func (t *tier) status(ctx context.Context, name string) (s peers.Status, err error) {
	err = t.gates[name].Page(ctx, admin.PeersPath, &s)
	return s, err
}

// agree waits until all hold one view in which all are alive.
func (t *tier) agree(ctx context.Context, most time.Duration) (time.Duration, bool) {
	begun := time.Now()
	for ctx.Err() == nil && time.Since(begun) < most {
		if t.agreed(ctx) {
			return time.Since(begun), true
		}
		time.Sleep(look)
	}
	return time.Since(begun), false
}

func (t *tier) agreed(ctx context.Context) bool {
	var first membership.View
	for i, name := range t.names {
		s, err := t.status(ctx, name)
		if err != nil {
			return false
		}
		if i == 0 {
			first = s.View
		}
		alive := 1
		for _, g := range s.View.Others {
			if g.Status == membership.Alive {
				alive++
			}
		}
		if alive < len(t.names) || s.View.Digest != first.Digest || s.View.Epoch != first.Epoch {
			return false
		}
	}
	return true
}

// kills ends one after the other at once, and sees when each of the others knows.
func (t *tier) kills(ctx context.Context, r *lab.Report, n int) error {
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
				if slices.ContainsFunc(s.View.Others, func(g membership.Gateway) bool { return g.ID == victim && g.Status == membership.Dead }) {
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
			r.Hold(false, "a gateway started again is alive to all", "not after %v", took)
		}
	}
	slices.Sort(all)
	p99 := all[(len(all)-1)*99/100]
	r.Tables = append(r.Tables, lab.Table{
		Title: "Time until a kill is known, over all gateways that run", Head: []string{"kills", "p50 ms", "p99 ms", "longest ms"},
		Rows: [][]any{{n, all[len(all)/2].Milliseconds(), p99.Milliseconds(), all[len(all)-1].Milliseconds()}},
	})
	r.Hold(p99 <= killP99, fmt.Sprintf("a kill is known to all within %v at p99", killP99), "%v, longest %v", p99.Round(ms), all[len(all)-1].Round(ms))
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
		n += s.View.Stats.Died
	}
	return n, nil
}

// faults plays a schedule of pauses and one-sided cuts under loss, in which nobody dies. It
// is written out, and can be played again.
func (t *tier) faults(ctx context.Context, r *lab.Report, span time.Duration) error {
	s := faultnet.Draw(t.opt.Seed, t.names, span, longPause)
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
	r.Hold(died == 0, fmt.Sprintf("no false death in %d faults over %v with 30%% loss", len(s), span), "%d", died)
	r.Hold(ok && took <= healMost, fmt.Sprintf("after the last fault views agree within %v", healMost), "%v", took.Round(10*ms))
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
		_ = os.WriteFile(filepath.Join(t.opt.Work, name), raw, 0o600)
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
	t.net.All(t.names, lossy)
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
		edges = append(edges, edge{step.At, func() { t.net.Set(step.From, step.To, step.Rule) }},
			edge{step.At + step.For, func() { t.net.Set(step.From, step.To, lossy) }})
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
	t.net.All(t.names, faultnet.Rule{})
	took, ok = t.agree(ctx, 4*healMost)
	after, err := t.deaths(ctx)
	return after - before, took, ok, err
}

// halves cuts four of nine off the rest for some seconds.
func (t *tier) halves(ctx context.Context, r *lab.Report) error {
	cut := func(rule faultnet.Rule) {
		for _, a := range t.names[:4] {
			for _, b := range t.names[4:] {
				t.net.Set(a, b, rule)
				t.net.Set(b, a, rule)
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
		right = right && s.View.Minority == (i < 4) && s.View.Sharing == len(t.names)
	}
	r.Hold(right, "of 4 and 5 cut apart the 4 know that they are a minority, and all say that nine share", "%v", right)
	cut(faultnet.Rule{})
	took, ok := t.agree(ctx, 4*healMost)
	r.Hold(ok && took <= healMost, fmt.Sprintf("healed halves agree within %v", healMost), "%v", took.Round(10*ms))
	return nil
}

// oneSided cuts one direction after the other among three for longer than a death takes.
func (t *tier) oneSided(ctx context.Context, r *lab.Report) error {
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
			t.net.Set(from, to, faultnet.Rule{Cut: true})
			time.Sleep(3500 * ms)
			s, err := t.status(ctx, from)
			if err != nil {
				return err
			}
			if slices.ContainsFunc(s.View.Others, func(g membership.Gateway) bool { return g.ID == to && g.OneWay }) {
				shown++
			}
			t.net.Set(from, to, faultnet.Rule{})
		}
	}
	after, err := t.deaths(ctx)
	if err != nil {
		return err
	}
	r.Hold(after == before && shown == cuts, fmt.Sprintf("each of %d one-sided cuts of 3.5s shows at its gateway, and nobody dies", cuts), "%d show, %d deaths", shown, after-before)
	return nil
}

// hub leaves two halves one gateway alone by which to reach each other.
func (t *tier) hub(ctx context.Context, r *lab.Report) error {
	before, err := t.deaths(ctx)
	if err != nil {
		return err
	}
	cut := func(rule faultnet.Rule) {
		for _, a := range t.names[:4] {
			for _, b := range t.names[4:8] {
				t.net.Set(a, b, rule)
				t.net.Set(b, a, rule)
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
	r.Hold(ok, "healed, halves that had a hub agree", "%v", took.Round(10*ms))
	r.Hold(after == before, fmt.Sprintf("two halves of four that reach each other by a ninth alone for %v stay one tier", hubFor), "%d deaths", after-before)
	return nil
}

func floodFor(quick bool) time.Duration {
	if quick {
		return 4 * time.Second
	}
	return 15 * time.Second
}

// flood sends forged datagrams, and good ones again, to three gateways under load.
func (t *tier) flood(ctx context.Context, r *lab.Report, span time.Duration) error {
	var mu sync.Mutex
	good := map[string][][]byte{}
	t.net.Tap(func(_, to string, b []byte) {
		mu.Lock()
		defer mu.Unlock()
		if len(good[to]) < overheard {
			good[to] = append(good[to], bytes.Clone(b))
		}
	})
	time.Sleep(10 * time.Second * overheard / 200) // each gets some 20 a second
	t.net.Tap(nil)
	before, err := t.deaths(ctx)
	if err != nil {
		return err
	}
	victims := t.names[:3]
	usual, _, err := t.serve(ctx, victims, span, nil)
	if err != nil {
		return err
	}
	under, took, err := t.serve(ctx, victims, span, func(name string, conn net.Conn, i int) error {
		b := good[name][i%len(good[name])]
		if i%2 == 0 { // forged: of a process that never sealed anything
			b = bytes.Clone(b)
			b[10], b[20], b[21] = byte(i), byte(i>>8), byte(i>>16)|1
		}
		_, err := conn.Write(b)
		return err
	})
	if err != nil {
		return err
	}
	after, err := t.deaths(ctx)
	if err != nil {
		return err
	}
	r.Tables = append(r.Tables, lab.Table{
		Title: "Three gateways under forged and replayed datagrams and load", Head: []string{"datagrams a second each", "asked", "served", "first event p50 us", "p99 us", "CPU a gateway, s a s"},
		Rows: [][]any{
			{0, usual.Asked, fmt.Sprintf("%.4f", part(usual.Summary)), usual.FirstP50.Microseconds(), usual.FirstP99.Microseconds(), fmt.Sprintf("%.2f", usual.cpu)},
			{took, under.Asked, fmt.Sprintf("%.4f", part(under.Summary)), under.FirstP50.Microseconds(), under.FirstP99.Microseconds(), fmt.Sprintf("%.2f", under.cpu)},
		},
	})
	r.Hold(took >= floodRate*9/10, fmt.Sprintf("the flood is one of %d datagrams a second at each", floodRate), "%d", took)
	r.Hold(after == before, "nobody dies under the flood", "%d", after-before)
	r.Hold(part(under.Summary) >= part(usual.Summary)-served, "service under the flood is within a point of the usual", "%.4f against %.4f", part(under.Summary), part(usual.Summary))
	return nil
}

// loaded is a load's summary and the CPU that the gateways asked have used, each, in seconds
// a second.
type loaded struct {
	load.Summary
	cpu float64
}

func part(s load.Summary) float64 { return float64(s.Served) / float64(max(s.Asked, 1)) }

// serve asks some gateways for a span. Meanwhile flood, if given, sends each of them a
// datagram floodRate times a second; the rate reached, of the slowest, is returned.
func (t *tier) serve(ctx context.Context, names []string, span time.Duration, flood func(name string, to net.Conn, i int) error) (l loaded, rate int, err error) {
	within, done := context.WithTimeout(ctx, span)
	defer done()
	var targets []string
	var group sync.WaitGroup
	counts := make([]int, len(names))
	begun, before := time.Now(), time.Duration(0)
	for i, name := range names {
		targets = append(targets, t.gates[name].Addr)
		before += t.gates[name].Use().CPU
		if flood == nil {
			continue
		}
		s, err := t.status(ctx, name)
		if err != nil {
			return l, 0, err
		}
		conn, err := net.Dial("udp4", s.Listen)
		if err != nil {
			return l, 0, fmt.Errorf("flood: %w", err)
		}
		defer conn.Close()
		group.Go(func() {
			for within.Err() == nil {
				for due := int(time.Since(begun).Seconds() * floodRate); counts[i] < due; counts[i]++ {
					if flood(name, conn, counts[i]) != nil {
						return
					}
				}
				time.Sleep(ms)
			}
		})
	}
	var rec load.Recorder
	load.Run(within, load.Plan{
		Name: "members", Targets: targets, Key: gateway.Key, Models: []load.Model{{Name: "parts", Share: 1, Words: 20, Tokens: 12}},
		Clients: 2 * len(names), Turns: 3, MaxTokens: 12, Seed: t.opt.Seed,
	}, &rec)
	group.Wait()
	took, after := time.Since(begun), time.Duration(0)
	for _, name := range names {
		after += t.gates[name].Use().CPU
	}
	l = loaded{load.Sum(rec.All(), time.Time{}, time.Time{}), (after - before).Seconds() / took.Seconds() / float64(len(names))}
	if flood != nil {
		rate = int(float64(slices.Min(counts)) / took.Seconds())
	}
	return l, rate, nil
}

// stalled serves clients while every link between gateways stands still.
func (t *tier) stalled(ctx context.Context, r *lab.Report) error {
	span := 5 * time.Second
	if !t.opt.Quick {
		span = 20 * time.Second
	}
	usual, _, err := t.serve(ctx, t.names, span, nil)
	if err != nil {
		return err
	}
	t.net.All(t.names, faultnet.Rule{Stall: true})
	still, _, err := t.serve(ctx, t.names, span, nil)
	if err != nil {
		return err
	}
	t.net.All(t.names, faultnet.Rule{})
	r.Tables = append(r.Tables, lab.Table{
		Title: "Service to clients while all links between gateways stand still", Head: []string{"links", "asked", "served", "first event p50 us", "p99 us"},
		Rows: [][]any{
			{"as usual", usual.Asked, fmt.Sprintf("%.4f", part(usual.Summary)), usual.FirstP50.Microseconds(), usual.FirstP99.Microseconds()},
			{"stalled", still.Asked, fmt.Sprintf("%.4f", part(still.Summary)), still.FirstP50.Microseconds(), still.FirstP99.Microseconds()},
		},
	})
	r.Hold(part(still.Summary) >= part(usual.Summary)-served, "service with stalled links is within a point of the usual", "%.4f against %.4f", part(still.Summary), part(usual.Summary))
	took, ok := t.agree(ctx, 4*healMost)
	r.Hold(ok, "after the stall views agree again", "%v", took.Round(10*ms))
	return nil
}

// sizes measures tiers in virtual time: what a gateway sends, how soon deaths and joins are
// known, and what it costs.
func sizes(r *lab.Report, opt lab.Options) {
	all := []int{3, 30}
	if !opt.Quick {
		all = append(all, 300)
	}
	t := lab.Table{Title: "Tiers in virtual time", Head: []string{
		"gateways", "join s", "messages a second", "bytes a second", "CPU us a second", "kill known p50 ms", "p99 ms", "one more known s", "heal s",
	}}
	bytesLine, kills, cost := lab.Line{Name: "bytes a second of a gateway"}, lab.Line{Name: "kill known, p99 ms"}, lab.Line{Name: "CPU of its machine, us a second"}
	for _, n := range all {
		tier := membersim.New(opt.Seed, n)
		tier.Size = peers.Size
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
	r.Charts = append(r.Charts, lab.Chart{Name: "sizes", Title: "What a gateway sends, and how soon a kill is known, by the number of gateways", X: "gateways", Y: "bytes a second; ms", Lines: []lab.Line{bytesLine, kills, cost}})
	first, last := bytesLine.At[0], bytesLine.At[len(bytesLine.At)-1]
	// From 3 to n gateways the logarithm grows by log2(n+1)/log2(4).
	grown := 1.0
	for n := 4.0; n < last[0]+1; n *= 2 {
		grown += 0.5
	}
	r.Hold(last[1] <= first[1]*grown, "what a gateway sends grows no faster than the logarithm of their number", "%.0f bytes a second at %.0f, %.0f at %.0f", first[1], first[0], last[1], last[0])
	small, big := cost.At[0], cost.At[len(cost.At)-1]
	// A cache that no longer holds all of 300 machines is the emulator's, not a gateway's.
	r.Hold(big[1] <= small[1]*grown*cpuSlack, "what a gateway's machine costs grows no faster than that either, but for noise", "%.0f us of CPU a second at %.0f, %.0f at %.0f", small[1], small[0], big[1], big[0])
}
