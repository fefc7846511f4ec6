package fleetsim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"wellgw/routing"
)

// Decider is what is played: a router, or a plain policy with its events and actions.
type Decider interface {
	Handle(now routing.Time, ev routing.Event) []routing.Action
}

// Policy makes the decider of one gateway.
type Policy func(set routing.Settings, seed uint64) Decider

type happening struct {
	at  time.Duration
	seq int
	do  func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

type world struct {
	deployment *Deployment
	now        time.Duration
	agenda     agenda
	seq        int
	noise      *rand.Rand
	clients    draw
	engines    []*engine
	byName     map[string]*engine
	gateways   []*gateway
	allowances []*allowance // of tenants
	busy       *gateway
	links      map[int]time.Duration // when a cell's link is free
	linkSlow   float64
	calls      []*call
	tries      map[routing.RequestID]*try
	nextID     routing.RequestID
	hotLen     int
	res        Result
	trace      bool
}

// Play plays a deployment under a policy. With trace, the result lists every decision.
func Play(d *Deployment, policy Policy, trace bool) Result {
	w := &world{
		deployment: d, noise: rand.New(rand.NewPCG(d.Seed, 2)), clients: draw{rand.New(rand.NewPCG(d.Seed, 3))},
		byName: map[string]*engine{}, links: map[int]time.Duration{}, linkSlow: 1,
		tries: map[routing.RequestID]*try{}, trace: trace,
	}
	for _, spec := range d.Engines {
		e := &engine{world: w, Engine: spec, kind: &d.Kinds[spec.Kind], up: true, slow: 1, states: map[*try]int{}}
		w.engines, w.byName[e.Name] = append(w.engines, e), e
		w.every(time.Duration(w.noise.Float64()*float64(d.ReportPeriod)), d.ReportPeriod, e.publish)
	}
	for i, zone := range d.Gateways {
		set := d.Settings
		set.Zone = zone
		g := &gateway{zone: zone, decider: policy(set, d.Seed*1000+uint64(i)), told: map[string]time.Duration{}, idle: map[*engine][]time.Duration{}}
		w.gateways = append(w.gateways, g)
		if i == d.Busy {
			w.busy = g
		}
		w.tell(g, routing.EngineList{Scope: routing.EngineListStale, Engines: w.list()})
	}
	for _, t := range d.Settings.Tenants {
		w.allowances = append(w.allowances, newAllowance(t.Quota))
	}
	w.arrivals()
	for _, t := range d.Troubles {
		w.strike(t)
	}
	for len(w.agenda) > 0 {
		h := heap.Pop(&w.agenda).(happening)
		if w.now = h.at; w.now > d.Length+time.Minute {
			break
		}
		h.do()
	}
	return w.sum()
}

func (w *world) at(t time.Duration, do func()) {
	w.seq++
	heap.Push(&w.agenda, happening{t, w.seq, do})
}

// every repeats until a little after the last request.
func (w *world) every(first, period time.Duration, do func()) {
	w.at(first, func() {
		do()
		if w.now < w.deployment.Length+20*time.Second {
			w.every(w.now+period, period, do)
		}
	})
}

func (w *world) broke(format string, args ...any) {
	if len(w.res.Broken) < 20 {
		w.res.Broken = append(w.res.Broken, fmt.Sprintf("%.3fs: ", w.now.Seconds())+fmt.Sprintf(format, args...))
	}
}

func (w *world) list() []routing.EngineInfo {
	var out []routing.EngineInfo
	for _, e := range w.engines {
		out = append(out, e.info())
	}
	return out
}

func (e *engine) info() routing.EngineInfo {
	s := routing.EngineInfo{Name: e.Name, Kind: e.kind.Name, Zone: e.Zone, Cell: e.Cell, Weight: 1, StartTime: e.cameUp}
	switch {
	case !e.up:
		s.Phase = routing.PhaseRemoved
	case e.draining:
		s.Phase = routing.PhaseDraining
	}
	return s
}

// weight is what a request of a class takes of a warm engine of usual speed, in seconds.
func (w *world) weight(e *engine, class int) float64 {
	c := &w.deployment.Classes[class]
	mean, _ := c.prompt()
	if e.prefills() {
		return 0.4 * mean / e.kind.ReadRate // much is kept
	}
	n := math.Min(0.8*e.kind.Memory/mean, float64(e.kind.Slots))
	return c.Out * (e.kind.Step.Seconds() + n*e.kind.PerAnswer.Seconds() + n*mean/1000*e.kind.PerK.Seconds()) / n
}
