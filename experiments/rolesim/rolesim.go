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
	class int
	at    time.Duration
	n     float64 // requests
	left  float64 // of their work at this stage
}

const (
	step    = 250 * time.Millisecond
	decides = time.Second
	sampled = 3.0    // gateways, of which the owner sees one's traffic
	tokens  = 10_000 // that a usual engine does in a second
)

// Play emulates a day with so many engines of the prompt stage at the start.
func Play(d Day, classes []Class, prompt int, decide Decide) Result {
	random := rand.New(rand.NewPCG(d.Seed, 1))
	epoch := time.Unix(0, 0)
	engines := make([]*engine, d.Engines)
	for i := range engines {
		role := roles.Answer
		if i*prompt/d.Engines != (i+1)*prompt/d.Engines {
			role = roles.Prompt
		}
		engines[i] = &engine{Engine: roles.Engine{ID: string(rune('a' + i)), Rack: i % max(d.Racks, 1), Role: role, Ready: true}, flipped: -time.Hour}
	}
	var queues [2][]cohort
	var r Result
	asked, earned := make([]float64, len(classes)), make([]float64, len(classes))
	var bySecond []([2]float64) // worth asked, worth earned
	r.Phases = make([]float64, int(math.Ceil(float64(d.For)/float64(d.Phase))))
	phase := make([][2]float64, len(r.Phases))
	traffic := make([]roles.Traffic, len(classes))
	book := func(at time.Duration, worth float64, got bool) {
		i, k := int(at/time.Second), min(int(at/d.Phase), len(phase)-1)
		for len(bySecond) <= i {
			bySecond = append(bySecond, [2]float64{})
		}
		j := 0
		if got {
			j = 1
		}
		bySecond[i][j] += worth
		phase[k][j] += worth
	}
	for t := time.Duration(0); t < d.For; t += step {
		lookups := d.Lookups(t)
		for c, class := range classes {
			share := lookups
			if c == 1 {
				share = 1 - lookups
			}
			n := d.Rate * share * step.Seconds() * (1 + 0.2*random.NormFloat64())
			if n <= 0 {
				continue
			}
			asked[c] += n * class.Worth
			// The owner sees its own gateway's part alone, and takes it for all.
			seen := max(0, n/sampled+math.Sqrt(n/sampled)*random.NormFloat64())
			traffic[c].Class = class.Name
			traffic[c].Asked += seen
			traffic[c].Prompt += seen * class.Prompt * tokens
			book(t, n*class.Worth, false)
			queues[roles.Prompt] = append(queues[roles.Prompt], cohort{c, t, n, n * class.Prompt})
		}
		var power, serving [2]float64
		for _, e := range engines {
			if e.Changing && t-e.since >= d.Drain {
				e.Changing, e.Role, e.flipped = false, e.to, t
			}
			if e.Changing {
				continue
			}
			p := 1.0
			if age := t - e.flipped; age < d.Cold {
				p = d.ColdShare + (1-d.ColdShare)*float64(age)/float64(d.Cold)
			}
			e.Pace = p
			power[e.Role] += p
			serving[e.Role]++
		}
		var used [2]float64
		for s := range queues {
			budget := power[s] * step.Seconds()
			var keep []cohort
			for _, q := range queues[s] {
				class := classes[q.class]
				if t-q.at > class.Deadline { // given up
					continue
				}
				done := min(budget, q.left)
				budget -= done
				used[s] += done
				if q.left -= done; q.left > 1e-9 {
					keep = append(keep, q)
					continue
				}
				if s == int(roles.Prompt) {
					queues[roles.Answer] = append(queues[roles.Answer], cohort{q.class, q.at, q.n, q.n * class.Answer})
					continue
				}
				worth := q.n * class.Worth
				if t-q.at > class.Aim {
					worth *= class.Late
				}
				earned[q.class] += worth
				book(q.at, worth, true)
				traffic[q.class].Served += q.n / sampled
				traffic[q.class].ServedPrompt += q.n / sampled * class.Prompt * tokens
				traffic[q.class].Output += q.n / sampled * class.Answer * tokens
			}
			queues[s] = keep
		}
		if t%decides == 0 {
			r.Answers = append(r.Answers, [2]float64{t.Seconds(), power[roles.Answer]})
		}
		if decide == nil || t%decides != 0 {
			continue
		}
		var view []roles.Engine
		var backlog [2]float64
		for s := range queues {
			for _, q := range queues[s] {
				backlog[s] += q.left
			}
		}
		for _, e := range engines {
			v := e.Engine
			noise := 1 + d.Noise*random.NormFloat64()
			if power[v.Role] > 0 {
				v.Util = min(1, used[v.Role]/(power[v.Role]*step.Seconds())) * max(noise, 0)
				v.Queue = backlog[v.Role] / serving[v.Role]
			}
			view = append(view, v)
		}
		c := decide(epoch.Add(t), view, traffic)
		if c != nil {
			for _, e := range engines {
				if e.ID == c.Engine && !e.Changing {
					e.Changing, e.to, e.since = true, c.To, t
					r.Changes++
				}
			}
		}
	}
	totalAsked, totalEarned := 0.0, 0.0
	for c := range classes {
		totalAsked, totalEarned = totalAsked+asked[c], totalEarned+earned[c]
		r.ByClass = append(r.ByClass, earned[c]/max(asked[c], 1e-9))
	}
	r.Service = totalEarned / max(totalAsked, 1e-9)
	for i, p := range phase {
		r.Phases[i] = p[1] / max(p[0], 1e-9)
	}
	r.Worst10 = 1
	for i := range bySecond {
		r.Over = append(r.Over, [2]float64{float64(i), bySecond[i][1] / max(bySecond[i][0], 1e-9)})
		if i+10 <= len(bySecond) {
			a, e := 0.0, 0.0
			for _, b := range bySecond[i : i+10] {
				a, e = a+b[0], e+b[1]
			}
			r.Worst10 = min(r.Worst10, e/max(a, 1e-9))
		}
	}
	return r
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
			p.Begun(now, *plan.Change)
		}
		return plan.Change
	}, nil
}

// Oracle returns a decision that knows the mix ahead of time by as long as a change
// takes, and moves as many engines at once as it likes.
func Oracle(d Day, classes []Class) Decide {
	return func(now time.Time, engines []roles.Engine, _ []roles.Traffic) *roles.Change {
		t := now.Sub(time.Unix(0, 0)) + d.Drain + d.Cold/2
		want, _ := roles.Split(len(engines), Demand(d, classes, t))
		have := 0
		for _, e := range engines {
			if (e.Role == roles.Prompt) != e.Changing { // one in change counts as what it becomes
				have++
			}
		}
		if have == want {
			return nil
		}
		from := roles.Prompt
		if have < want {
			from = roles.Answer
		}
		for _, e := range engines {
			if e.Role == from && !e.Changing {
				return &roles.Change{Engine: e.ID, From: from, To: from.Other()}
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
