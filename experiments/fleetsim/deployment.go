// Package fleetsim emulates a two-stage deployment in virtual time and drives routers of
// package routing through their own events: no sockets, no clock, no goroutines. The
// same seed gives the same figures, byte for byte.
//
// A Deployment is drawn from a seed over ranges wide enough that no one site is special.
// Play runs one under a policy and tells what was served and which rules were broken.
package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"wellgw/routing"
)

// Class is a class of requests with the habits of its clients. Lengths are in tokens.
type Class struct {
	routing.Class
	Deadline   time.Duration // a client's patience without a first token
	LateWorth  float64       // share of the worth that an answer after the aim earns
	Share      float64       // of the sessions
	New, Out   float64       // mean of what a turn adds, and of an answer
	MaxOut     int
	Turns      float64 // mean of a session
	Think      time.Duration
	Prefixes   int     // shared beginnings
	PrefixLen  int     // mean
	PrefixPart float64 // of the sessions that begin with one
}

// Kind is a kind of engines. Rates are in tokens a second, memory in tokens.
type Kind struct {
	routing.EngineKind
	Slots, Queue int
	ReadRate     float64
	Chunk        int           // tokens read in one step of a decode engine
	Step         time.Duration // of a decode engine, with nothing to do in it
	PerAnswer    time.Duration // added to a step by each running answer
	PerK         time.Duration // and by each 1,000 tokens of context
}

// Engine is one engine of a deployment.
type Engine struct {
	Name, Zone string
	Kind, Cell int
	Speed      float64
}

// What may go wrong.
const (
	Slow  = "slow"  // engines run Size times slower
	Flush = "flush" // prefill engines lose their kept texts
	Hot   = "hot"   // a part Size of all sessions begins with a long text not seen before
	Links = "links" // links between cells run Size times slower
	Crash = "crash" // engines die and come back cold
	Drain = "drain" // engines drain, end and come back cold
)

// Trouble is something that goes wrong. Part is the share of the engines struck.
type Trouble struct {
	What       string
	At, For    time.Duration
	Part, Size float64
}

// Deployment is all that is drawn of a deployment and its day.
type Deployment struct {
	Seed         uint64
	Name         string
	Settings     routing.Settings // without what differs by gateway
	Zones        []string
	Gateways     []string // the zone of each
	Kinds        []Kind
	Engines      []Engine
	Classes      []Class
	TenantShares []float64     // of the sessions, for each of Settings.Tenants
	Warm, Length time.Duration // the first part of the day, which does not count, and all of it
	Rate         float64       // requests a second, on average
	Load         float64       // of what the weaker pool is reckoned to do
	Swing        float64       // of a wave over the day
	Bursts       bool
	Report       routing.LoadReport // which values reports carry (non-nil), with answers; all nil: none
	ReportPeriod time.Duration
	ReportDelay  time.Duration
	Noise        float64
	Same, Cross  time.Duration // one way, within and across zones
	Near, Far    float64       // tokens a second from a prefill engine within its cell, and over a cell's link
	Grace        time.Duration // sends allowed to an engine after its drain was told
	Notice       time.Duration // of a change, by discovery
	ColdFrom     float64
	ColdSpan     time.Duration
	WarmBy       int // requests that warm an engine; 0: it warms by time
	Retries      int
	Honour       float64 // part of the clients that heed Retry-After
	Backoff      time.Duration
	Troubles     []Trouble
	Pull         bool // reports come by probes alone, with queue and use of slots
	Busy         int  // a gateway that gets BusyTimes the mean of the traffic; -1: none
	BusyTimes    float64
	ConnIdle     time.Duration // after which a gateway's connection to an engine is closed
	Size         *Size         // of a fleet; nil for a deployment of a few
}

// Size is what a fleet is made of.
type Size struct{ Gateways, Prefill, Decode, Cells, Zones int }

type draw struct{ *rand.Rand }

func (r draw) in(low, high float64) float64 { return low + (high-low)*r.Float64() }
func (r draw) span(low, high time.Duration) time.Duration {
	return time.Duration(r.in(float64(low), float64(high)))
}
func (r draw) chance(p float64) bool { return r.Float64() < p }

// spread draws a length around a mean, as lengths of texts lie: most shorter, some far longer.
func (r draw) spread(mean float64) float64 {
	const sigma = 0.6
	return mean * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)
}

// Draw returns the deployment of a seed.
func Draw(seed uint64) *Deployment { return drawn(seed, nil) }

// Fleet returns the fleet of a seed: a hundred engines before so many gateways. Whatever the
// number of gateways, engines, requests and troubles are the same.
func Fleet(seed uint64, gateways int) *Deployment {
	return drawn(seed, &Size{Gateways: gateways, Prefill: 40, Decode: 60, Cells: 10, Zones: 4})
}

func drawn(seed uint64, size *Size) *Deployment {
	r := draw{rand.New(rand.NewPCG(seed, 17))}
	d := &Deployment{
		Seed: seed, Name: fmt.Sprint("d", seed), Warm: 15 * time.Second, Length: 55 * time.Second,
		Load: r.in(0.5, 1.3), Swing: r.in(0, 0.3), Bursts: r.chance(0.5),
		ReportPeriod: r.span(150*time.Millisecond, 1500*time.Millisecond),
		ReportDelay:  r.span(30*time.Millisecond, 400*time.Millisecond), Noise: r.in(0.03, 0.15),
		Same: r.span(80*time.Microsecond, 400*time.Microsecond), Cross: r.span(600*time.Microsecond, 5*time.Millisecond),
		Near: r.in(1.5e5, 4e5), Grace: r.span(500*time.Millisecond, 2*time.Second), Notice: r.span(300*time.Millisecond, 4*time.Second),
		ColdFrom: r.in(0.25, 0.5), ColdSpan: r.span(4*time.Second, 14*time.Second),
		Retries: r.IntN(4), Honour: r.in(0.2, 1), Backoff: r.span(50*time.Millisecond, 500*time.Millisecond),
	}
	if r.chance(0.5) {
		d.WarmBy = 5 + r.IntN(60)
	}
	for i := range 1 + r.IntN(3) {
		d.Zones = append(d.Zones, fmt.Sprint("zone-", i))
	}
	for i := range max(len(d.Zones), 1+r.IntN(6)) {
		d.Gateways = append(d.Gateways, d.Zones[i%len(d.Zones)])
	}
	d.Busy, d.ConnIdle, d.Size = -1, 15*time.Second, size
	if size != nil {
		d.enlarge()
	}
	d.drawClasses(r)
	d.drawEngines(r)
	value := 0.0
	if wait := time.Duration(0); r.chance(0.6) {
		d.Report = routing.LoadReport{MemoryUsed: &value, WaitingTokens: &value}
		if r.chance(0.5) {
			d.Report.Latency = &wait
		}
	}
	d.Settings = routing.Settings{
		Zones: d.Zones, Gateways: len(d.Gateways), CanCancel: r.chance(0.8), CanRetryAfter: r.chance(0.7),
		MaxRetryAfter: r.span(500*time.Millisecond, 3*time.Second), MaxAttempts: 3 + r.IntN(4),
		DecodePrefills: r.chance(0.5), SlowStartPeriod: d.ColdSpan, SlowStartCapacity: d.ColdFrom,
		OverloadWindow: r.span(2*time.Second, 4*time.Second), OverloadMultiple: r.in(3, 5),
		HeldStateLimit: r.span(300*time.Millisecond, 700*time.Millisecond), TickInterval: 2 * time.Millisecond,
	}
	if size != nil {
		d.pulled()
	}
	for _, c := range d.Classes {
		d.Settings.Classes = append(d.Settings.Classes, c.Class)
	}
	for _, k := range d.Kinds {
		d.Settings.Kinds = append(d.Settings.Kinds, k.EngineKind)
	}
	for range 1 + r.IntN(3) {
		t := Trouble{At: r.span(18*time.Second, 40*time.Second), For: r.span(5*time.Second, 15*time.Second), Part: r.in(0.1, 0.3)}
		switch t.What = []string{Slow, Flush, Hot, Links, Crash, Drain}[r.IntN(6)]; t.What {
		case Slow, Links:
			t.Size = r.in(2, 8)
		case Flush:
			t.Part = r.in(0.3, 1)
		case Hot:
			t.Size = r.in(0.04, 0.2)
		}
		d.Troubles = append(d.Troubles, t)
	}
	return d
}

// enlarge gives a deployment a fleet's zones and gateways. Every zone has one, however few
// there are in all, as a front must find one.
func (d *Deployment) enlarge() {
	d.Name, d.Zones, d.Gateways = fmt.Sprint("fleet-", d.Seed), nil, nil
	for i := range min(d.Size.Zones, d.Size.Gateways) {
		d.Zones = append(d.Zones, fmt.Sprint("zone-", i))
	}
	for i := range d.Size.Gateways {
		d.Gateways = append(d.Gateways, d.Zones[i%len(d.Zones)])
	}
	d.Load, d.Retries = min(d.Load, 0.9), min(d.Retries, 2)
}

// pulled has reports come by probes, as where there are many gateways a report with each
// answer would be of little use.
func (d *Deployment) pulled() {
	value := 0.0
	d.Pull, d.Report = true, routing.LoadReport{MemoryUsed: &value, QueueLength: &value, Utilization: &value}
	d.Settings.CanProbe, d.Settings.CanCancel, d.Settings.DecodePrefills = true, true, false
}

func (d *Deployment) drawClasses(r draw) {
	effects := []routing.Effect{routing.EffectIdempotent, routing.EffectAtMostOnce}
	for i := range 1 + r.IntN(3) {
		aim := r.span(800*time.Millisecond, 3*time.Second)
		d.Classes = append(d.Classes, Class{
			Class: routing.Class{
				Name: fmt.Sprint("class-", i), FirstTokenObjective: aim, FirstTokenPerPromptToken: 40 * time.Microsecond,
				TokenIntervalObjective: r.span(50*time.Millisecond, 90*time.Millisecond), PriorityWeight: r.in(1, 4), Effect: effects[r.IntN(2)],
			},
			Deadline: time.Duration(r.in(3, 5) * float64(aim)), LateWorth: r.in(0.1, 0.3), Share: r.in(0.3, 1),
			New: r.in(200, 800), Out: r.in(60, 240), MaxOut: 500, Turns: r.in(1.3, 7), Think: r.span(1500*time.Millisecond, 9*time.Second),
			Prefixes: 2 + r.IntN(18), PrefixLen: int(r.in(1000, 7000)), PrefixPart: r.in(0.6, 0.95),
		})
	}
}

// prompt is the mean length of a class's prompts, and kept what of it a prefill engine that has
// seen its session would find.
func (c *Class) prompt() (mean, kept float64) {
	first := c.PrefixPart*float64(c.PrefixLen) + c.New
	grown := (c.Turns - 1) / 2 * (c.New + c.Out)
	return first + grown, c.PrefixPart*float64(c.PrefixLen) + grown*(c.Turns-1)/c.Turns
}

// drawEngines draws kinds and engines, then settles how fast prefill engines read by a drawn ratio
// of the two pools, and the rate by the weaker one.
func (d *Deployment) drawEngines(r draw) {
	prefills := Kind{
		EngineKind: routing.EngineKind{Name: "kind-0", Role: routing.RolePrefill, Memory: math.Round(r.in(1.5e5, 3e5))},
		Slots:      4 + r.IntN(8), Queue: 20 + r.IntN(40), Step: 10 * time.Millisecond,
	}
	d.Kinds = []Kind{prefills}
	for i := range 1 + r.IntN(2) {
		d.Kinds = append(d.Kinds, Kind{
			EngineKind: routing.EngineKind{Name: fmt.Sprint("kind-", i+1), Role: routing.RoleDecode, Memory: math.Round(r.in(1e5, 2.2e5))},
			Slots:      50 + r.IntN(70), Queue: 10 + r.IntN(30), ReadRate: r.in(5000, 9000), Chunk: 512 << r.IntN(3),
			Step: r.span(9*time.Millisecond, 20*time.Millisecond), PerAnswer: r.span(50*time.Microsecond, 350*time.Microsecond),
			PerK: r.span(20*time.Microsecond, 80*time.Microsecond),
		})
	}
	prefillEngines, decodeEngines, cells := 3+r.IntN(4), 4+r.IntN(5), max(len(d.Zones), 1+r.IntN(3))
	if d.Size != nil {
		prefillEngines, decodeEngines, cells = d.Size.Prefill, d.Size.Decode, d.Size.Cells
	}
	for i := range prefillEngines + decodeEngines {
		e := Engine{Name: fmt.Sprintf("e-%08x", r.Uint32()), Cell: i % cells, Speed: r.in(0.85, 1.15)}
		if i >= prefillEngines {
			e.Kind = 1 + r.IntN(len(d.Kinds)-1)
		}
		e.Zone = d.Zones[e.Cell%len(d.Zones)]
		d.Engines = append(d.Engines, e)
	}
	share, prompt, read, out := 0.0, 0.0, 0.0, 0.0
	for i := range d.Classes {
		c := &d.Classes[i]
		mean, kept := c.prompt()
		n := c.Share * c.Turns
		share, prompt, read, out = share+n, prompt+n*mean, read+n*(mean-0.85*kept), out+n*c.Out
	}
	prompt, read, out = prompt/share, read/share, out/share
	answers := 0.0 // that the decode engines do in a second
	for _, e := range d.Engines {
		if k := d.Kinds[e.Kind]; e.Kind > 0 {
			n := math.Min(0.8*k.Memory/(prompt+out/2), float64(k.Slots))
			step := k.Step + time.Duration(n*float64(k.PerAnswer)) + time.Duration(n*prompt/1000*float64(k.PerK))
			answers += e.Speed * n / (out * step.Seconds())
		}
	}
	k := &d.Kinds[0]
	k.ReadRate = r.in(1, 1.7) * answers * read / float64(prefillEngines)
	d.Far = r.in(1, 3.5) * answers * prompt / float64(cells)
	d.Rate = d.Load * answers
}
