package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"time"

	"wellgw/experiments/faultnet"
)

// NetworkFault is a kind of fault of the network between gateways and engines.
type NetworkFault string

// The faults. What is sent on a lost connection is taken and never arrives, and nothing shows an error.
const (
	LoseOne   NetworkFault = "connection lost" // one, at rest or in use
	LoseAll   NetworkFault = "all lost"        // all open ones to one engine; new ones work
	Vanish    NetworkFault = "vanished"        // an engine's machine, for a while
	Partition NetworkFault = "partition"       // a gateway from one zone's engines, for a while
)

// NetworkStep is a fault of the network and its time.
type NetworkStep struct {
	At      time.Duration
	For     time.Duration // of Vanish and Partition
	Fault   NetworkFault
	Gateway int
	Engine  int // by its place in the fleet
	Use     faultnet.Activity
	Ways    faultnet.Directions
}

// Bounds of the faults that are drawn.
const (
	leastLossPause = 40 * time.Millisecond
	mostLossPause  = 400 * time.Millisecond
	leastOutage    = 300 * time.Millisecond
	mostOutage     = 2500 * time.Millisecond
	networkStream  = 49 // of random numbers, apart from that of the rest of the plan
)

// drawNetwork draws the zones, kills in the middle of a file's write, and the faults of the network: none in
// half of the plans.
func (p *Plan) drawNetwork(seed uint64) {
	r := rand.New(rand.NewPCG(seed, networkStream))
	p.Zones = 1 + r.IntN(2)
	for g := range p.Faults {
		if r.IntN(3) == 0 {
			p.Faults[g].Kill = 2 + r.IntN(2) // the first is the mark of a process that has just started
		}
	}
	if r.IntN(2) == 0 {
		return
	}
	engines := prefillEngines + decodeEngines
	add := func(s NetworkStep) { p.Network = append(p.Network, s) }
	for g := range p.Gateways {
		for at := stepsBegin; at < length; at += leastLossPause + time.Duration(r.Int64N(int64(mostLossPause-leastLossPause))) {
			add(NetworkStep{At: at, Fault: LoseOne, Gateway: g, Engine: r.IntN(engines), Use: faultnet.Activity(r.IntN(3)), Ways: faultnet.Directions(1 + r.IntN(3))})
		}
	}
	for range r.IntN(4) {
		add(NetworkStep{At: drawnTime(r), Fault: LoseAll, Gateway: r.IntN(p.Gateways), Engine: r.IntN(engines), Ways: faultnet.Both})
	}
	if r.IntN(2) == 0 {
		add(NetworkStep{At: drawnTime(r), For: drawnOutage(r), Fault: Vanish, Engine: r.IntN(engines)})
	}
	if p.Zones > 1 && r.IntN(2) == 0 {
		add(NetworkStep{At: drawnTime(r), For: drawnOutage(r), Fault: Partition, Gateway: r.IntN(p.Gateways), Engine: r.IntN(p.Zones)})
	}
}

func drawnTime(r *rand.Rand) time.Duration {
	return stepsBegin + time.Duration(r.Int64N(int64(length-2*stepsBegin)))
}

func drawnOutage(r *rand.Rand) time.Duration {
	return leastOutage + time.Duration(r.Int64N(int64(mostOutage-leastOutage)))
}

// zone is that of a gateway or an engine, by its number.
func (p Plan) zone(number int) string { return zoneNames[number%p.zones()] }

// zones is how many there are; plans that draw none have one.
func (p Plan) zones() int { return max(1, p.Zones) }

var zoneNames = []string{"a", "b"}

// network is the relays between gateways and engines.
type network struct {
	plan   Plan
	fabric *faultnet.Net
}

func gatewayName(n int) string { return fmt.Sprint("g", n) }

func (e *engineServer) name() string { return fmt.Sprint("e", e.place) }

// newNetwork puts a relay between each gateway and each engine, whose addresses discovery tells.
func newNetwork(ctx context.Context, p Plan, f *fleet, d *discovery) (*network, error) {
	n := &network{plan: p, fabric: faultnet.New(p.Seed)}
	context.AfterFunc(ctx, n.fabric.Close)
	n.fabric.TapLost(func(_, _ string, b []byte) {
		if id := lostAnswer.FindSubmatch(b); id != nil {
			f.answerLost(string(id[1]))
		}
	})
	for g := range p.Gateways {
		addresses := make([]string, 0, len(f.all))
		for _, e := range f.all {
			n.fabric.SetListener(e.name(), e.addr)
			addr, err := n.fabric.Dial(gatewayName(g), e.name())
			if err != nil {
				return nil, err
			}
			addresses = append(addresses, addr)
		}
		d.addresses = append(d.addresses, addresses)
	}
	return n, nil
}

// lostAnswer finds the request in a prefill engine's answer.
var lostAnswer = regexp.MustCompile(`^HTTP/1.1 202 Accepted\r\nX-Request-Id: (\S+)`)

// run carries out the faults, each at its time after begun.
func (n *network) run(ctx context.Context, b *Book, begun time.Duration, f *fleet) {
	steps := slices.SortedFunc(slices.Values(n.plan.Network), func(a, b NetworkStep) int { return cmp.Compare(a.At, b.At) })
	for _, s := range steps {
		if wait(ctx, nil, begun+s.At-b.now()); ctx.Err() != nil {
			return
		}
		n.step(ctx, s, f)
	}
}

func (n *network) step(ctx context.Context, s NetworkStep, f *fleet) {
	gateway, engine := gatewayName(s.Gateway), f.all[s.Engine].name()
	switch s.Fault {
	case LoseOne:
		n.fabric.Lose(gateway, engine, s.Use, s.Ways)
	case LoseAll:
		n.fabric.LoseAll(gateway, engine, faultnet.AnyActivity, s.Ways)
	case Vanish:
		n.fabric.TakeDown(engine)
		n.after(ctx, s.For, func() { n.fabric.BringUp(engine) })
	case Partition:
		for _, e := range f.all {
			if n.plan.zone(e.place) == zoneNames[s.Engine] {
				n.fabric.Sever(gateway, e.name(), true)
				n.after(ctx, s.For, func() { n.fabric.Sever(gateway, e.name(), false) })
			}
		}
	}
}

// after does something once a span is over, unless the seed ends before.
func (n *network) after(ctx context.Context, span time.Duration, do func()) {
	go func() {
		if wait(ctx, nil, span) {
			do()
		}
	}()
}
