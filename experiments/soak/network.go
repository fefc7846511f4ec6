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

// NetworkFault is a kind of network fault between gateways and engines.
type NetworkFault string

// The faults. Writes to a lost connection succeed, but their data never arrives and no error is reported.
const (
	LoseOne   NetworkFault = "connection lost" // one connection, idle or in use
	LoseAll   NetworkFault = "all lost"        // all open connections to one engine; new ones work
	Vanish    NetworkFault = "vanished"        // an engine's machine is unreachable for a time
	Partition NetworkFault = "partition"       // between a gateway and one zone's engines, for a time
)

// NetworkStep is one scheduled network fault.
type NetworkStep struct {
	At      time.Duration
	For     time.Duration // duration of Vanish and Partition
	Fault   NetworkFault
	Gateway int
	Engine  int // index in the fleet; the zone's index for Partition
	Use     faultnet.Activity
	Ways    faultnet.Directions
}

// Bounds of the random faults.
const (
	minLossPause        = 40 * time.Millisecond
	maxLossPause        = 400 * time.Millisecond
	minOutage           = 300 * time.Millisecond
	maxOutage           = 2500 * time.Millisecond
	networkRandomStream = 49 // random number stream, separate from that of the other parts of the plan
)

// drawNetwork draws the zones, the kills in the middle of a file write and the network faults. Half of the
// plans have no network faults.
func (p *Plan) drawNetwork(seed uint64) {
	r := rand.New(rand.NewPCG(seed, networkRandomStream))
	p.Zones = 1 + r.IntN(2)
	for g := range p.Faults {
		if r.IntN(3) == 0 {
			p.Faults[g].Kill = 2 + r.IntN(2) // write 1 is the mark of a started process
		}
	}
	if r.IntN(2) == 0 {
		return
	}
	engines := prefillEngines + decodeEngines
	add := func(s NetworkStep) { p.Network = append(p.Network, s) }
	for g := range p.Gateways {
		for at := stepsStart; at < trafficLength; at += minLossPause + time.Duration(r.Int64N(int64(maxLossPause-minLossPause))) {
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
	return stepsStart + time.Duration(r.Int64N(int64(trafficLength-2*stepsStart)))
}

func drawnOutage(r *rand.Rand) time.Duration {
	return minOutage + time.Duration(r.Int64N(int64(maxOutage-minOutage)))
}

// zone returns the zone of a gateway or an engine, by its number.
func (p Plan) zone(number int) string { return zoneNames[number%p.zones()] }

// zones returns the number of zones; a plan without drawn zones has one.
func (p Plan) zones() int { return max(1, p.Zones) }

var zoneNames = []string{"a", "b"}

// network holds the relays between gateways and engines.
type network struct {
	plan   Plan
	fabric *faultnet.Net
}

func gatewayName(n int) string { return fmt.Sprint("g", n) }

func (e *engineServer) name() string { return fmt.Sprint("e", e.index) }

// newNetwork starts a relay between each gateway and each engine and gives the relay addresses to discovery.
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

// lostAnswer matches the request id in a prefill engine's answer.
var lostAnswer = regexp.MustCompile(`^HTTP/1.1 202 Accepted\r\nX-Request-Id: (\S+)`)

// run triggers each fault at its time after start.
func (n *network) run(ctx context.Context, b *Observations, start time.Duration, f *fleet) {
	steps := slices.SortedFunc(slices.Values(n.plan.Network), func(a, b NetworkStep) int { return cmp.Compare(a.At, b.At) })
	for _, s := range steps {
		if wait(ctx, nil, start+s.At-b.now()); ctx.Err() != nil {
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
			if n.plan.zone(e.index) == zoneNames[s.Engine] {
				n.fabric.Sever(gateway, e.name(), true)
				n.after(ctx, s.For, func() { n.fabric.Sever(gateway, e.name(), false) })
			}
		}
	}
}

// after calls do after a delay, unless ctx ends first.
func (n *network) after(ctx context.Context, span time.Duration, do func()) {
	go func() {
		if wait(ctx, nil, span) {
			do()
		}
	}()
}
