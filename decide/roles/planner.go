package roles

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Planner follows demand and decides on changes. It is not safe for concurrent use.
type Planner struct {
	set     Settings
	at      time.Time
	asked   demand
	phases  phases
	demand  [2]float64
	known   bool       // enough has been seen to know it
	level   [2]float64 // it, smoothed
	trend   [2]float64 // smoothed error of the level, sign included
	square  [2]float64 // smoothed square of the error
	engines []Engine
	engine  map[string]*history
	rates   rates
	begun   []time.Time // of changes in the last hour
	last    Role        // what the latest change was to
	lastAt  time.Time
}

// NewPlanner returns a planner; an error names the setting that can't be used.
func NewPlanner(s Settings) (*Planner, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &Planner{set: s, asked: demand{smooth: s.Smooth}, engine: map[string]*history{}}, nil
}

// power is what an engine can do in a role, against a usual one.
func (p *Planner) power(e Engine, r Role) float64 {
	if e.Role == Mixed {
		return 0 // it does either as it comes; the stages are planned without it
	}
	return p.rates.power(e.ID, r)
}

// history is what is remembered of an engine.
type history struct {
	since    time.Time // of its last change, also one that failed
	unfit    time.Time // until then it is not asked again
	seen     time.Time // last
	changing bool      // as last seen
	role     Role      // the same
}

func (p *Planner) of(id string) *history {
	h := p.engine[id]
	if h == nil {
		h = &history{}
		p.engine[id] = h
	}
	return h
}

// Observe takes in how engines are seen now, and what has been asked and served by class.
func (p *Planner) Observe(now time.Time, engines []Engine, traffic []Traffic) {
	var work [2]float64
	p.rates.observe(engines)
	for _, e := range engines {
		// A change may begin and end between two looks: its new role still shows it.
		h := p.of(e.ID)
		if ended := h.changing && !e.Changing; ended || !h.seen.IsZero() && h.role != e.Role {
			h.since = now
		}
		h.seen, h.changing, h.role = now, e.Changing, e.Role
		if e.Role != Mixed && (e.Ready || e.Changing) { // one that drains still works
			work[e.Role] += p.power(e, e.Role) * e.pace() * max(e.Util, e.Memory*memoryCounts)
		}
	}
	span := now.Sub(p.at)
	if p.at.IsZero() {
		span = 0
	}
	if seen, known := p.asked.observe(span, traffic, work); known {
		fade := fadeOver(span, p.set.Smooth)
		for s := range seen {
			if !p.known {
				p.level[s] = seen[s]
			}
			wrong := seen[s] - p.level[s]
			p.level[s] += wrong * fade
			p.square[s] += (wrong*wrong - p.square[s]) * fade
			p.trend[s] += (wrong - p.trend[s]) * fade
		}
		p.demand, p.known = seen, true
		p.phases.observe(now, seen)
	}
	p.at, p.engines = now, slices.Clone(engines)
	maps.DeleteFunc(p.engine, func(_ string, h *history) bool {
		last := h.seen
		if h.since.After(last) {
			last = h.since
		}
		return now.Sub(last) > p.set.Dwell+p.set.Unfit
	})
}

// pace is the share of its power that an engine has now.
func (e Engine) pace() float64 {
	if e.Pace > 0 {
		return e.Pace
	}
	return 1
}

// memoryCounts is how much a full memory counts as a full engine: past it requests are
// turned away though slots are free.
const memoryCounts = 0.95

// share is what part of a demand so many engines serve.
func share(have, demand [2]float64) float64 {
	served := 1.0
	for s := range have {
		if demand[s] > 0 {
			served = min(served, busy*have[s]/demand[s])
		}
	}
	return served
}

// Begun notes that a change was begun, by this planner's owner or another.
func (p *Planner) Begun(now time.Time, c Change) {
	p.begun = append(p.begun, now)
	p.last, p.lastAt = c.To, now
	p.of(c.Engine).since = now
}

// Ended notes how a change has ended, by this planner's owner or another.
func (p *Planner) Ended(now time.Time, engine string, done bool) {
	h := p.of(engine)
	if h.since = now; !done {
		h.unfit = now.Add(p.set.Unfit)
	}
}

// recent returns how many changes were begun in the last hour.
func (p *Planner) recent(now time.Time) int {
	p.begun = slices.DeleteFunc(p.begun, func(t time.Time) bool { return now.Sub(t) >= time.Hour })
	return len(p.begun)
}

// Plan decides on the next change. At most one is wanted at a time; changes under way
// count as done in what is foreseen.
func (p *Planner) Plan(now time.Time) Plan {
	out := Plan{Demand: p.demand, Capacity: p.capacity()}
	for s := range out.Noise {
		// What is wrong by the same sign again and again is a trend, not noise.
		out.Noise[s] = math.Sqrt(max(0, p.square[s]-p.trend[s]*p.trend[s]))
	}
	horizon := p.phases.left(now, p.set.Horizon)
	out.Before = p.expect(nil, out.Noise, horizon)
	out.After = out.Before
	if len(p.engines) == 0 {
		out.Why = "no engine is seen"
		return out
	}
	if !p.known {
		out.Why = "too little is known of the demand yet"
		return out
	}
	if n := p.recent(now); n >= p.set.AnHour {
		out.Why = fmt.Sprintf("%d changes in the last hour are enough", n)
		return out
	}
	needy, why := p.needy(out)
	if why != "" {
		out.Why = why
		return out
	}
	if p.last != needy && now.Sub(p.lastAt) < p.set.Settle && !p.lastAt.IsZero() {
		out.Why = "the latest change went the other way and has yet to settle"
		return out
	}
	c, why := p.candidate(now, needy)
	if c == nil {
		out.Why = why
		return out
	}
	out.After = p.expect(c, out.Noise, horizon)
	gain := out.After.Mean - out.Before.Mean
	if p.set.Strategy == Predictive {
		// The demand may be wrong by its usual error; the gain has to outlast that.
		low := p.demand
		low[needy] = max(0, low[needy]-out.Noise[needy])
		low[needy.Other()] += out.Noise[needy.Other()]
		sure := p.foresee(c, low, horizon).Mean - p.foresee(nil, low, horizon).Mean
		least := p.set.Gain
		if p.last != needy && !p.lastAt.IsZero() && now.Sub(p.lastAt) < undoSpan*p.set.Horizon {
			least *= undoCosts
		}
		if gain < least || sure <= 0 {
			out.Why = fmt.Sprintf("a change would gain %.3f, %.3f at the low end of the demand: not beyond the noise", gain, sure)
			out.After = out.Before
			return out
		}
	}
	if out.After.Worst < out.Before.Worst-worstDip && out.After.Worst < floor {
		out.Why = fmt.Sprintf("its loss would push service down to %.2f meanwhile", out.After.Worst)
		out.After = out.Before
		return out
	}
	out.Change = c
	out.Why = fmt.Sprintf("%s work needs %.1f of %.1f engines, %s work %.1f of %.1f; service %.3f, with the change %.3f",
		needy, p.demand[needy], out.Capacity[needy], needy.Other(), p.demand[needy.Other()], out.Capacity[needy.Other()], out.Before.Mean, out.After.Mean)
	return out
}

// A change that undoes the latest one has to gain more for a while: a mix that stands
// between two splits would have an engine go to and fro with the noise.
const (
	undoCosts = 4.0
	undoSpan  = 2 // horizons
)

// A change may push service down for a while by so much, or if it stays above the floor.
const (
	worstDip = 0.05
	floor    = 0.97
)

func (p *Planner) capacity() [2]float64 {
	var c [2]float64
	for _, e := range p.engines {
		if e.Role != Mixed && e.Ready && !e.Changing {
			c[e.Role] += p.power(e, e.Role)
		}
	}
	return c
}

// The thresholds of the two simpler strategies.
const (
	busyAbove  = 0.85
	idleBelow  = 0.7
	queueAhead = 0.5
	queueMost  = 4.0 // seconds; a longer queue says no more
)

// needy returns the stage that should get an engine, or why none should.
func (p *Planner) needy(plan Plan) (Role, string) {
	var load, queue [2]float64
	for s := range load {
		load[s] = plan.Demand[s] / max(plan.Capacity[s], 1e-9)
	}
	for _, e := range p.engines {
		if e.Role != Mixed && e.Ready {
			queue[e.Role] += min(e.Queue, queueMost) / max(plan.Capacity[e.Role], 1e-9)
		}
	}
	needy := Prompt
	if load[Answer] > load[Prompt] {
		needy = Answer
	}
	give := needy.Other()
	left := plan.Capacity[give] - 1
	switch p.set.Strategy {
	case Threshold:
		if load[needy] < busyAbove || left <= 0 || plan.Demand[give]/left > idleBelow {
			return needy, "no stage is busy while the other is not"
		}
	case QueueBalance:
		if queue[needy]+load[needy]-queue[give]-load[give] < queueAhead || left <= 0 {
			return needy, "the queues are near enough to each other"
		}
	default:
		if plan.Before.Mean > 1-p.set.Gain {
			return needy, "all that is asked can be served as it is"
		}
	}
	return needy, ""
}

// candidate returns the engine whose change to a role costs least, or why none may.
func (p *Planner) candidate(now time.Time, to Role) (*Change, string) {
	from := to.Other()
	racks := map[int]*rack{}
	changing, movable, givers := 0, 0, 0
	for _, e := range p.engines {
		r := racks[e.Rack]
		if r == nil {
			r = &rack{}
			racks[e.Rack] = r
		}
		if e.Changing {
			r.changing++
			changing++
		}
		if e.Role != Mixed {
			r.all++
			movable++
		}
		if e.Role == from && e.Ready && !e.Changing {
			givers++
		}
		if e.Role != Mixed && e.Ready && !e.Changing {
			r.have[e.Role]++
		}
	}
	if changing >= allowed(p.set.FleetPart, movable) {
		return nil, fmt.Sprintf("%d engines of the fleet are in change", changing)
	}
	if givers <= 1 {
		return nil, "the last engine of " + from.String() + " work stays"
	}
	why := "no engine may change"
	var best *Engine
	cost := 0.0
	for i, e := range p.engines {
		r := racks[e.Rack]
		switch {
		case e.Role != from || !e.Ready || e.Changing:
			continue
		case e.Pinned:
			why = "pinned by an operator"
		case now.Before(p.of(e.ID).unfit):
			why = "those left have refused or failed to change"
		case !p.of(e.ID).since.IsZero() && now.Sub(p.of(e.ID).since) < p.set.Dwell:
			why = "those left have changed too lately"
		case r.changing >= allowed(p.set.RackPart, r.all):
			why = "enough of their rack is in change"
		case r.have[from] <= 1 && r.have[to] >= 1:
			why = "the last of their rack stays: its states would have to leave the rack"
		default:
			// The rack with most to give and least of what is wanted, then the engine that is
			// better at the new work, then the least to drain.
			c := float64(r.have[to]) - float64(r.have[from]) + (p.power(e, from)-p.power(e, to))*powerCounts + e.Util*utilCounts
			if best == nil || c < cost || c == cost && e.ID < best.ID {
				best, cost = &p.engines[i], c
			}
		}
	}
	if best == nil {
		return nil, why
	}
	return &Change{Engine: best.ID, Rack: best.Rack, From: from, To: to}, ""
}

const (
	powerCounts = 2.0
	utilCounts  = 0.3
)

type rack struct {
	all, changing int
	have          [2]int
}

// allowed is how many of so many may be in change at once.
func allowed(part float64, of int) int { return max(1, int(part*float64(of))) }

// expect is foresee over the usual errors of the demand at both stages. Service falls off
// past what engines can do and gains nothing before: at the mean of the demand alone, a split
// that is just enough for one stage would look as good as one with room.
func (p *Planner) expect(c *Change, noise [2]float64, horizon time.Duration) Forecast {
	var f Forecast
	for i := range 4 {
		demand := p.demand
		for s := range demand {
			if i>>s&1 == 0 {
				demand[s] += noise[s]
			} else {
				demand[s] = max(0, demand[s]-noise[s])
			}
		}
		one := p.foresee(c, demand, horizon)
		f.Mean += one.Mean / 4
		f.Worst += one.Worst / 4
	}
	return f
}

// foresee returns the service over a horizon under a demand, with a change or, if c is
// nil, without one. Changes under way end as planned.
func (p *Planner) foresee(c *Change, demand [2]float64, horizon time.Duration) Forecast {
	const step = time.Second
	f := Forecast{Worst: 1}
	sum, n := 0.0, 0
	for t := time.Duration(0); t == 0 || t < horizon; t += step {
		var have [2]float64
		for _, e := range p.engines {
			switch {
			case e.Role == Mixed || !e.Ready && !e.Changing:
			case e.Changing: // it is somewhere in its change: taken as half way
				have[e.Role.Other()] += p.power(e, e.Role.Other()) * p.warmth(t+p.set.Drain/2)
			case c != nil && e.ID == c.Engine:
				have[c.To] += p.power(e, c.To) * p.warmth(t)
			default:
				have[e.Role] += p.power(e, e.Role)
			}
		}
		served := share(have, demand)
		sum += served
		f.Worst = min(f.Worst, served)
		n++
	}
	f.Mean = sum / float64(max(n, 1))
	return f
}

// warmth is the share of its power that an engine has in its new role at a time after
// its change began.
func (p *Planner) warmth(t time.Duration) float64 {
	t -= p.set.Drain
	switch {
	case t < 0:
		return 0
	case t >= p.set.Cold:
		return 1
	}
	return p.set.ColdShare + (1-p.set.ColdShare)*float64(t)/float64(p.set.Cold)
}

// Split returns how many engines each stage should have to serve a demand best, for an
// oracle or a fixed split: it weighs all splits of so many engines.
func Split(engines int, demand [2]float64) (prompt, answer int) {
	type split struct {
		engines int
		worst   float64
	}
	var all []split
	for n := 1; n < engines; n++ {
		all = append(all, split{n, max(demand[Prompt]/float64(n), demand[Answer]/float64(engines-n))})
	}
	if len(all) == 0 {
		return engines, 0
	}
	best := slices.MinFunc(all, func(a, b split) int { return cmp.Compare(a.worst, b.worst) })
	return best.engines, engines - best.engines
}
