// Package rolesim emulates a two-stage fleet under a mix that swings, second by second
// and as a fluid, to compare ways of deciding on roles. It is deterministic for a seed.
package rolesim

import (
	"math"
	"math/rand/v2"
	"time"

	"wellgw/decide/roles"
)

// Class is one class of requests; work is in engine-seconds of a usual engine.
type Class struct {
	Name           string
	Prompt, Answer float64 // of one request, at each stage
	Worth          float64
	Aim, Deadline  time.Duration // of waiting
	Late           float64       // share of the worth that an answer after the aim earns
}

// Classes returns lookups, which are short to read and long to write, and orders, whose
// prompts are long.
func Classes() []Class {
	return []Class{
		{Name: "part-lookup", Prompt: 0.018, Answer: 0.060, Worth: 2, Aim: time.Second, Deadline: 4 * time.Second, Late: 0.2},
		{Name: "place-order", Prompt: 0.060, Answer: 0.024, Worth: 3, Aim: 2500 * time.Millisecond, Deadline: 10 * time.Second, Late: 0.2},
	}
}

// Day is what is emulated.
type Day struct {
	Engines, Racks int
	Rate           float64                       // requests a second
	Lookups        func(t time.Duration) float64 // share of lookups among them
	For            time.Duration                 // of the whole day
	Phase          time.Duration                 // service is also told for each such part
	Noise          float64                       // relative error of what is seen of each engine
	Drain, Cold    time.Duration                 // of a change
	ColdShare      float64
	Seed           uint64
}

// Result is what came of a day.
type Result struct {
	Service float64   // worth in time over worth asked
	Phases  []float64 // by phase
	Worst10 float64   // the worst 10 s
	ByClass []float64
	Changes int
	Over    [][2]float64 // service by second
	Answers [][2]float64 // engines of the answer stage by second
}

// Decide is what moves engines: it is told each second how they are seen, and what has
// been asked and served by class.
type Decide func(now time.Time, engines []roles.Engine, traffic []roles.Traffic) *roles.Change

type engine struct {
	roles.Engine
	to      roles.Role
	since   time.Duration // of the change under way
	flipped time.Duration // when it took its new role; below 0: long ago
}

// cohort is what came in one step of one class.
type cohort struct {
	class    int
	at       time.Duration
	requests float64 // requests
	left     float64 // of their work at this stage
}

const (
	step    = 250 * time.Millisecond
	decides = time.Second
	sampled = 3.0    // gateways, of which the owner sees one's traffic
	tokens  = 10_000 // that a usual engine does in a second
)

// Play emulates a day with so many engines of the prompt stage at the start.
func Play(d Day, classes []Class, prompt int, decide Decide) Result {
	p := newPlay(d, classes, prompt)
	for p.now = 0; p.now < d.For; p.now += step {
		p.arrive()
		p.run()
		used := p.serve()
		if p.now%decides != 0 {
			continue
		}
		p.result.Answers = append(p.result.Answers, [2]float64{p.now.Seconds(), p.power[roles.Decode]})
		if decide != nil {
			p.change(decide(time.Unix(0, 0).Add(p.now), p.view(used), p.traffic))
		}
	}
	return p.sum()
}

// play is one day under way.
type play struct {
	Day
	classes []Class
	random  *rand.Rand
	now     time.Duration
	engines []*engine
	queues  [2][]cohort // by role
	traffic []roles.Traffic
	power   [2]float64 // of the engines of each role, cold ones in part
	serving [2]float64 // how many there are

	asked, earned []float64    // worth, by class
	bySecond      [][2]float64 // worth asked, worth earned
	byPhase       [][2]float64
	result        Result
}

func newPlay(d Day, classes []Class, prompt int) *play {
	phases := int(math.Ceil(float64(d.For) / float64(d.Phase)))
	p := &play{
		Day: d, classes: classes, random: rand.New(rand.NewPCG(d.Seed, 1)),
		traffic: make([]roles.Traffic, len(classes)), byPhase: make([][2]float64, phases),
		asked: make([]float64, len(classes)), earned: make([]float64, len(classes)),
	}
	p.result.Phases = make([]float64, phases)
	for i := range d.Engines {
		role := roles.Decode
		if i*prompt/d.Engines != (i+1)*prompt/d.Engines {
			role = roles.Prefill
		}
		e := roles.Engine{ID: string(rune('a' + i)), Rack: i % max(d.Racks, 1), Role: role, Ready: true}
		p.engines = append(p.engines, &engine{Engine: e, flipped: -time.Hour})
	}
	return p
}

// What is booked of some worth.
const (
	worthAsked = iota
	worthEarned
)

// book notes worth by the time at which it was asked for.
func (p *play) book(at time.Duration, worth float64, what int) {
	second, phase := int(at/time.Second), min(int(at/p.Phase), len(p.byPhase)-1)
	for len(p.bySecond) <= second {
		p.bySecond = append(p.bySecond, [2]float64{})
	}
	p.bySecond[second][what] += worth
	p.byPhase[phase][what] += worth
}

// arrive brings a step's requests.
func (p *play) arrive() {
	lookups := p.Lookups(p.now)
	for c, class := range p.classes {
		share := lookups
		if c == 1 {
			share = 1 - lookups
		}
		n := p.Rate * share * step.Seconds() * (1 + 0.2*p.random.NormFloat64())
		if n <= 0 {
			continue
		}
		p.asked[c] += n * class.Worth
		// The owner sees its own gateway's part alone, and takes it for all.
		seen := max(0, n/sampled+math.Sqrt(n/sampled)*p.random.NormFloat64())
		p.traffic[c].Class = class.Name
		p.traffic[c].Requested += seen
		p.traffic[c].PromptTokens += seen * class.Prompt * tokens
		p.book(p.now, n*class.Worth, worthAsked)
		p.queues[roles.Prefill] = append(p.queues[roles.Prefill], cohort{c, p.now, n, n * class.Prompt})
	}
}

// run ends changes of role that are due, and adds up what the engines can do.
func (p *play) run() {
	p.power, p.serving = [2]float64{}, [2]float64{}
	for _, e := range p.engines {
		if e.Changing && p.now-e.since >= p.Drain {
			e.Changing, e.Role, e.flipped = false, e.to, p.now
		}
		if e.Changing {
			continue
		}
		e.ThroughputFraction = 1
		if age := p.now - e.flipped; age < p.Cold {
			e.ThroughputFraction = p.ColdShare + (1-p.ColdShare)*float64(age)/float64(p.Cold)
		}
		p.power[e.Role] += e.ThroughputFraction
		p.serving[e.Role]++
	}
}

// serve works on what waits and returns how much work of each role was done.
func (p *play) serve() (used [2]float64) {
	for s := range p.queues {
		budget := p.power[s] * step.Seconds()
		var keep []cohort
		for _, q := range p.queues[s] {
			class := p.classes[q.class]
			if p.now-q.at > class.Deadline { // given up
				continue
			}
			done := min(budget, q.left)
			budget -= done
			used[s] += done
			if q.left -= done; q.left > 1e-9 {
				keep = append(keep, q)
				continue
			}
			if s == int(roles.Prefill) {
				p.queues[roles.Decode] = append(p.queues[roles.Decode], cohort{q.class, q.at, q.requests, q.requests * class.Answer})
				continue
			}
			p.answered(q)
		}
		p.queues[s] = keep
	}
	return used
}

// answered books a cohort whose answers are complete.
func (p *play) answered(q cohort) {
	class := p.classes[q.class]
	worth := q.requests * class.Worth
	if p.now-q.at > class.Aim {
		worth *= class.Late
	}
	p.earned[q.class] += worth
	p.book(q.at, worth, worthEarned)
	traffic := &p.traffic[q.class]
	traffic.Served += q.requests / sampled
	traffic.ServedPromptTokens += q.requests / sampled * class.Prompt * tokens
	traffic.OutputTokens += q.requests / sampled * class.Answer * tokens
}

// view returns the engines as the owner sees them.
func (p *play) view(used [2]float64) (view []roles.Engine) {
	var backlog [2]float64
	for s := range p.queues {
		for _, q := range p.queues[s] {
			backlog[s] += q.left
		}
	}
	for _, e := range p.engines {
		v := e.Engine
		noise := 1 + p.Noise*p.random.NormFloat64()
		if p.power[v.Role] > 0 {
			v.Utilization = min(1, used[v.Role]/(p.power[v.Role]*step.Seconds())) * max(noise, 0)
			v.QueueSeconds = backlog[v.Role] / p.serving[v.Role]
		}
		view = append(view, v)
	}
	return view
}

// change begins what was decided on; nil is nothing.
func (p *play) change(c *roles.Change) {
	if c == nil {
		return
	}
	for _, e := range p.engines {
		if e.ID == c.Engine && !e.Changing {
			e.Changing, e.to, e.since = true, c.To, p.now
			p.result.Changes++
		}
	}
}

func (p *play) sum() Result {
	r := &p.result
	asked, earned := 0.0, 0.0
	for c := range p.classes {
		asked, earned = asked+p.asked[c], earned+p.earned[c]
		r.ByClass = append(r.ByClass, p.earned[c]/max(p.asked[c], 1e-9))
	}
	r.Service = earned / max(asked, 1e-9)
	for i, worth := range p.byPhase {
		r.Phases[i] = worth[worthEarned] / max(worth[worthAsked], 1e-9)
	}
	r.Worst10 = 1
	for i, worth := range p.bySecond {
		r.Over = append(r.Over, [2]float64{float64(i), worth[worthEarned] / max(worth[worthAsked], 1e-9)})
		if i+10 <= len(p.bySecond) {
			r.Worst10 = min(r.Worst10, partOf(p.bySecond[i:i+10]))
		}
	}
	return *r
}

// partOf returns the part of the worth asked for that was earned.
func partOf(seconds [][2]float64) float64 {
	asked, earned := 0.0, 0.0
	for _, s := range seconds {
		asked, earned = asked+s[worthAsked], earned+s[worthEarned]
	}
	return earned / max(asked, 1e-9)
}

// Swing returns a mix that goes to and fro between 80 and 20 per cent lookups.
func Swing(every time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if int(t/every)%2 == 0 {
			return 0.8
		}
		return 0.2
	}
}

// Wave returns a mix that moves slowly between the same ends.
func Wave(period time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 { return 0.5 + 0.3*math.Cos(2*math.Pi*float64(t)/float64(period)) }
}

// Still returns a mix that stands still.
func Still(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// Planned returns a decision by the planner; an error names a setting.
func Planned(set roles.Settings) (Decide, error) {
	p, err := roles.NewPlanner(set)
	if err != nil {
		return nil, err
	}
	return func(now time.Time, engines []roles.Engine, traffic []roles.Traffic) *roles.Change {
		p.Observe(now, engines, traffic)
		plan := p.Plan(now)
		if plan.Change != nil {
			p.ChangeStarted(now, *plan.Change)
		}
		return plan.Change
	}, nil
}

// Oracle returns a decision that knows the mix ahead of time by as long as a change
// takes, and moves as many engines at once as it likes.
func Oracle(d Day, classes []Class) Decide {
	return func(now time.Time, engines []roles.Engine, _ []roles.Traffic) *roles.Change {
		t := now.Sub(time.Unix(0, 0)) + d.Drain + d.Cold/2
		want, _ := roles.OptimalSplit(len(engines), Demand(d, classes, t))
		have := 0
		for _, e := range engines {
			if (e.Role == roles.Prefill) != e.Changing { // one in change counts as what it becomes
				have++
			}
		}
		if have == want {
			return nil
		}
		from := roles.Prefill
		if have < want {
			from = roles.Decode
		}
		for _, e := range engines {
			if e.Role == from && !e.Changing {
				return &roles.Change{Engine: e.ID, From: from, To: from.Opposite()}
			}
		}
		return nil
	}
}

// Demand is what the mix at a time asks of both stages, in engines.
func Demand(d Day, classes []Class, t time.Duration) [2]float64 {
	x := d.Lookups(t)
	return [2]float64{
		d.Rate * (x*classes[0].Prompt + (1-x)*classes[1].Prompt),
		d.Rate * (x*classes[0].Answer + (1-x)*classes[1].Answer),
	}
}
