package membersrun

import (
	"context"
	"fmt"
	"time"

	"wellgw/decide/membership"
	"wellgw/experiments"
	"wellgw/experiments/faultnet"
	"wellgw/experiments/gateway"
	"wellgw/fake/engine"
	"wellgw/internal/admin"
	"wellgw/internal/peers"
)

// tier is the programs and the net between them.
type tier struct {
	opt   experiments.Options
	net   *faultnet.Net
	names []string
	addrs []string // public ones, by name's place
	gates map[string]*gateway.Gateway
	fleet *engine.Fleet
	files map[string]map[string]any
}

// start begins the engines and the gateways, each behind its relay.
func (t *tier) start(ctx context.Context) error {
	common, err := gateway.NewTier(t.opt.WorkDir, t.opt.Seed)
	if err != nil {
		return err
	}
	var engines []any
	for i := range someEngine {
		e, err := t.fleet.Start(engine.Options{ID: fmt.Sprint("e", i), Role: engine.OpenAI, Slots: 16, Tokens: 12, TokenInterval: time.Millisecond}, true)
		if err != nil {
			return err
		}
		engines = append(engines, map[string]any{"id": fmt.Sprint("e", i), "address": e.Addr(), "role": "openai"})
	}
	for i := range gateways {
		name := fmt.Sprint("g", i+1)
		addr, err := t.net.OpenPort(name)
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
	g, err := gateway.Start(ctx, t.opt.Program, t.opt.WorkDir, name, t.files[name])
	if err != nil {
		return err
	}
	t.gates[name] = g
	s, err := t.status(ctx, name)
	if err != nil {
		return err
	}
	return t.net.SetBackend(name, s.Listen)
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
	err = t.gates[name].FetchPage(ctx, admin.PeersPath, &s)
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
		for _, g := range s.View.Peers {
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
