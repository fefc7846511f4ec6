package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"wellgw/experiments/hostile"
)

// Constants of all plans.
const (
	prefillEngines = 2
	decodeEngines  = 3
	drainGrace     = 1500 * time.Millisecond
	trafficLength  = 9 * time.Second // of the traffic of one run
	stepsStart     = 800 * time.Millisecond
)

// Effect is the effect of a request class: whether a request may run twice.
type Effect string

// The effects, spelt as in the settings.
const (
	Free       Effect = "free"
	SingleShot Effect = "single_shot"
)

// Plan holds everything that is derived from one seed.
type Plan struct {
	Seed             uint64
	Gateways         int
	SharedSocket     bool // the platform owns the listening socket, for upgrades
	Resume           bool // clients resume a stream that was cut off
	Effect           Effect
	Deadline         time.Duration
	ReloadedDeadline time.Duration // the deadline after SIGHUP
	Attempts         int
	PinLimit         time.Duration
	Clients          int // per gateway
	IdleConns        int // idle connections per gateway
	Sockets          int
	EngineHang       float64       // fraction of attempts that an engine never answers
	EngineCut        float64       // fraction of attempts whose connection the engine closes
	EngineBusy       float64       // fraction of attempts that the engine rejects with 503
	EngineIdle       time.Duration // engines close connections that are idle for this long; 0 for never
	WatchReset       time.Duration // time at which all open watches are reset; 0 for never
	Outage           time.Duration
	OutageStart      time.Duration      // start of the outage of discovery, which lasts for Outage
	Zones            int                // number of zones of gateways and engines
	Network          []NetworkStep      // faults between gateways and engines
	Hostile          []hostile.Behavior // of clients beside the sound ones, in turn; empty for none
	HostileClients   int                // per gateway
	Faults           []Injected         // per gateway; only a program built with fault injection uses them
	Steps            []Step
}

// Injected is the schedule of the system faults of one gateway, as internal/faultinject reads it.
type Injected struct {
	Seed    uint64         `json:"seed"`
	Accept  float64        `json:"accept"`
	Connect float64        `json:"connect"`
	Read    float64        `json:"read"`
	Break   float64        `json:"break"`
	Files   []InjectedSpan `json:"files,omitempty"`
	Steps   []InjectedStep `json:"steps,omitempty"`
	Kill    int            `json:"kill"` // file write that a kill interrupts, once; 0 for never
}

// InjectedSpan is a time interval, in milliseconds, in which file operations fail.
type InjectedSpan struct {
	From  int64         `json:"from"`
	To    int64         `json:"to"`
	Errno syscall.Errno `json:"errno"`
}

// InjectedStep is a step of the wall clock, in milliseconds.
type InjectedStep struct {
	At int64 `json:"at"`
	By int64 `json:"by"`
}

// Verb is the action of a step.
type Verb string

// The verbs.
const (
	Standby       Verb = "standby"
	Active        Verb = "active"
	Terminate     Verb = "SIGTERM" // followed by a new process after the exit
	Kill          Verb = "SIGKILL" // followed by a new process after the exit
	Reload        Verb = "SIGHUP"
	Pause         Verb = "SIGSTOP" // for up to 0.15 s
	Upgrade       Verb = "upgrade" // a new process on the same socket, then SIGTERM to the old process
	EjectEngine   Verb = "maint-on"
	ReadmitEngine Verb = "maint-off"
	DrainEngine   Verb = "engine drains"
	RestartEngine Verb = "engine is back" // after a restart
)

// Step is an action on a gateway, or on an engine through discovery.
type Step struct {
	At      time.Duration
	Gateway int
	Engine  int // number of a decode engine
	Verb    Verb
	For     time.Duration // duration of Pause
}

func (s Step) String() string {
	return fmt.Sprintf("%.2fs g%d %s", s.At.Seconds(), s.Gateway, s.Verb)
}

// String summarises a plan in one line.
func (p Plan) String() string {
	steps := make([]string, 0, len(p.Steps))
	for _, s := range p.Steps {
		steps = append(steps, s.String())
	}
	return fmt.Sprintf("gateways %d zones %d network faults %d shared %v resume %v %s deadline %v then %v attempts %d pin %v clients %d crowd %d hostile %d %v; %s",
		p.Gateways, p.zones(), len(p.Network), p.SharedSocket, p.Resume, p.Effect, p.Deadline, p.ReloadedDeadline, p.Attempts, p.PinLimit, p.Clients, p.IdleConns, p.HostileClients, p.Hostile, strings.Join(steps, ", "))
}

// draw returns the plan of a seed. The same seed gives the same plan.
func draw(seed uint64) Plan {
	r := rand.New(rand.NewPCG(seed, 42))
	deadlines := []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second, 3 * time.Second, 8 * time.Second}
	p := Plan{
		Seed: seed, Gateways: 1 + r.IntN(4), SharedSocket: r.IntN(3) == 0, Resume: r.IntN(2) == 0, Effect: Free,
		Deadline: deadlines[r.IntN(len(deadlines))], ReloadedDeadline: deadlines[r.IntN(len(deadlines))], Attempts: 2 + r.IntN(4), // at least one prefill and one decode attempt

		PinLimit: time.Duration(200+r.IntN(2000)) * time.Millisecond, Clients: 6 + r.IntN(10), Sockets: 512,
		EngineHang: 0.01 * float64(r.IntN(3)), EngineCut: 0.01 * float64(r.IntN(4)), EngineBusy: 0.02 * float64(r.IntN(4)),
	}
	if r.IntN(2) == 0 {
		p.Effect = SingleShot
	}
	if r.IntN(4) == 0 {
		p.IdleConns, p.Sockets = 150, 160
	}
	if r.IntN(3) == 0 {
		p.OutageStart, p.Outage = time.Duration(1000+r.IntN(3000))*time.Millisecond, time.Duration(500+r.IntN(4000))*time.Millisecond
	}
	if r.IntN(2) == 0 {
		p.EngineIdle = time.Duration(50+r.IntN(500)) * time.Millisecond
	}
	if r.IntN(3) == 0 {
		p.WatchReset = time.Duration(1000+r.IntN(5000)) * time.Millisecond
	}
	for range p.Gateways {
		p.Faults = append(p.Faults, drawFaults(r))
	}
	p.drawSteps(r)
	p.drawNetwork(seed)
	return p
}

// drawWithHostile returns the plan of a seed, with hostile clients for half of the seeds.
func drawWithHostile(seed uint64) Plan {
	p := draw(seed)
	if r := rand.New(rand.NewPCG(seed, 67)); r.IntN(2) == 1 {
		p.drawHostile(r)
	}
	return p
}

// drawHostile draws the hostile clients; the rest of the plan stays the same.
func (p *Plan) drawHostile(r *rand.Rand) {
	behaviors := []hostile.Behavior{
		hostile.SlowBody, hostile.SlowHead, hostile.LargeHead, hostile.SlowReader, hostile.Churn,
		hostile.FloodHealth, hostile.FloodUnsound, hostile.FloodUnknown, hostile.EarlyClose, hostile.RepeatedOrders,
	}
	for range 1 + r.IntN(3) {
		p.Hostile = append(p.Hostile, behaviors[r.IntN(len(behaviors))])
	}
	p.HostileClients = 2 + r.IntN(20)
}

// drainPlan returns a plan with one drain and no faults.
func drainPlan(seed uint64) Plan {
	return Plan{
		Seed: seed, Gateways: 1, Effect: SingleShot, Deadline: 8 * time.Second, ReloadedDeadline: 8 * time.Second, Attempts: 4, PinLimit: 2 * time.Second,
		Clients: 60, Sockets: 512, Faults: make([]Injected, 1), Steps: []Step{{At: 3 * time.Second, Verb: Standby}},
	}
}

func drawFaults(r *rand.Rand) Injected {
	f := Injected{Seed: r.Uint64(), Accept: 0.1 * float64(r.IntN(3)), Connect: 0.02 * float64(r.IntN(3)), Read: 0.1 * float64(r.IntN(3)), Break: 0.001 * float64(r.IntN(3))}
	if r.IntN(2) == 0 {
		from := int64(r.IntN(4000))
		f.Files = append(f.Files, InjectedSpan{From: from, To: from + int64(r.IntN(3000)), Errno: []syscall.Errno{syscall.ENOSPC, syscall.EIO}[r.IntN(2)]})
	}
	for range r.IntN(3) {
		f.Steps = append(f.Steps, InjectedStep{At: int64(r.IntN(9000)), By: int64(r.IntN(7_200_001)) - 3_600_000})
	}
	return f
}

func (p *Plan) drawSteps(r *rand.Rand) {
	verbs := []Verb{Standby, Standby, Active, Terminate, Terminate, Kill, Reload, Pause, Pause}
	if p.SharedSocket { // with a shared socket the platform ends no process before its successor can serve
		verbs = []Verb{Standby, Standby, Active, Upgrade, Upgrade, Kill, Reload, Pause, Pause}
	}
	add := func(s Step) { p.Steps = append(p.Steps, s) }
	for g := range p.Gateways {
		for at := stepsStart + time.Duration(r.IntN(1500))*time.Millisecond; at < trafficLength-time.Second; {
			s := Step{At: at, Gateway: g, Verb: verbs[r.IntN(len(verbs))], For: time.Duration(20+r.IntN(131)) * time.Millisecond}
			add(s)
			pause := time.Duration(r.IntN(3000)) * time.Millisecond
			if s.Verb == Standby && r.IntN(2) == 0 {
				pause = 4500 * time.Millisecond // long enough for the drain to be checked
			}
			at += pause
		}
	}
	engine := r.IntN(decodeEngines)
	if ejected := (engine + 1) % decodeEngines; r.IntN(2) == 0 {
		g, at := r.IntN(p.Gateways), stepsStart+time.Duration(r.IntN(2000))*time.Millisecond
		add(Step{At: at, Gateway: g, Engine: ejected, Verb: EjectEngine})
		add(Step{At: at + 4*time.Second, Gateway: g, Engine: ejected, Verb: ReadmitEngine})
	}
	drainAt := stepsStart + time.Duration(r.IntN(2500))*time.Millisecond
	add(Step{At: drainAt, Engine: engine, Verb: DrainEngine})
	add(Step{At: drainAt + 4*time.Second, Engine: engine, Verb: RestartEngine})
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return int(a.At - b.At) })
}
