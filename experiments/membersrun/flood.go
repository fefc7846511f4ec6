package membersrun

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"wellgw/experiments"
	"wellgw/experiments/gateway"
	"wellgw/experiments/load"
)

func floodFor(quick bool) time.Duration {
	if quick {
		return 4 * time.Second
	}
	return 15 * time.Second
}

// flood sends forged datagrams, and good ones again, to three gateways under load.
func (t *tier) flood(ctx context.Context, r *experiments.Report, span time.Duration) error {
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
	r.Tables = append(r.Tables, experiments.Table{
		Title: "Three gateways under forged and replayed datagrams and load", Head: []string{"datagrams a second each", "asked", "served", "first event p50 us", "p99 us", "CPU a gateway, s a s"},
		Rows: [][]any{
			{0, usual.Requests, fmt.Sprintf("%.4f", part(usual.Summary)), usual.FirstP50.Microseconds(), usual.FirstP99.Microseconds(), fmt.Sprintf("%.2f", usual.cpu)},
			{took, under.Requests, fmt.Sprintf("%.4f", part(under.Summary)), under.FirstP50.Microseconds(), under.FirstP99.Microseconds(), fmt.Sprintf("%.2f", under.cpu)},
		},
	})
	r.AddBound(took >= floodRate*9/10, fmt.Sprintf("the flood is one of %d datagrams a second at each", floodRate), "%d", took)
	r.AddBound(after == before, "nobody dies under the flood", "%d", after-before)
	r.AddBound(part(under.Summary) >= part(usual.Summary)-served, "service under the flood is within a point of the usual", "%.4f against %.4f", part(under.Summary), part(usual.Summary))
	return nil
}

// loaded is a load's summary and the CPU that the gateways asked have used, each, in seconds
// a second.
type loaded struct {
	load.Summary
	cpu float64
}

func part(s load.Summary) float64 { return float64(s.Served) / float64(max(s.Requests, 1)) }

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
		before += t.gates[name].ReadUsage().CPU
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
		Name: "members", Targets: targets, Key: gateway.Key, Models: []load.Model{{Name: "parts", Weight: 1, Words: 20, Tokens: 12}},
		Clients: 2 * len(names), Turns: 3, MaxTokens: 12, Seed: t.opt.Seed,
	}, &rec)
	group.Wait()
	took, after := time.Since(begun), time.Duration(0)
	for _, name := range names {
		after += t.gates[name].ReadUsage().CPU
	}
	l = loaded{load.Summarize(rec.All(), time.Time{}, time.Time{}), (after - before).Seconds() / took.Seconds() / float64(len(names))}
	if flood != nil {
		rate = int(float64(slices.Min(counts)) / took.Seconds())
	}
	return l, rate, nil
}
