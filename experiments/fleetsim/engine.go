package fleetsim

import (
	"math"
	"slices"
	"time"

	"wellgw/routing"
)

// kept is a text that an engine keeps: of a session, or a shared beginning.
type kept struct {
	key          string
	tokens, cost int // cost is what it takes beyond a beginning kept beside it
	used         time.Duration
}

// job is an attempt's work at an engine.
type job struct {
	attempt *attempt
	context int // tokens held for it
	todo    int // tokens still to be read here
	left    int // tokens still to be written
	ready   time.Duration
	begun   bool
}

// engine is an engine as it is, which no router sees.
type engine struct {
	world *world
	Engine
	kind     *Kind
	up       bool
	draining bool
	start    int           // counts its starts, so that work of an earlier one is void
	cameUp   time.Duration // 0: long ago
	warmth   int           // requests served since its start
	slow     float64
	queue    []*job
	running  []*job // at a prefill engine the one that it reads
	busy     bool   // a step is under way
	texts    []*kept
	states   map[*try]int // read states that wait here, in tokens
	held     int          // tokens of all of them and of running work
	linkFree time.Duration
	latency  time.Duration
	report   *routing.LoadReport
	arrivals []arrival // while cold
	sends    int       // attempts sent here
}

type arrival struct {
	at     time.Duration
	weight float64
}

func (e *engine) prefills() bool { return e.kind.Role == routing.RolePrefill }

// capacity is the part of its warm speed that it has now.
func (e *engine) capacity() float64 {
	if e.cameUp == 0 {
		return 1
	}
	d := e.world.deployment
	part := float64(e.world.now-e.cameUp) / float64(d.ColdSpan)
	if d.WarmBy > 0 {
		part = math.Max(part-0.5, float64(e.warmth)/float64(d.WarmBy))
	}
	return d.ColdFrom + (1-d.ColdFrom)*math.Min(1, part)
}

// takes is how long work lasts that takes a warm engine of usual speed so many seconds.
func (e *engine) takes(seconds float64) time.Duration {
	return time.Duration(seconds * e.slow / (e.Speed * e.capacity()) * float64(time.Second))
}

func (e *engine) match(c *call) int {
	best := 0
	for _, t := range e.texts {
		switch t.key {
		case "s:" + c.session:
			best, t.used = max(best, t.tokens), e.world.now
		case "p:" + c.prefix:
			best, t.used = max(best, min(t.tokens, c.prefixLen)), e.world.now
		}
	}
	return max(0, min(best, c.prompt-1))
}

// keep enters a text, and drops the least lately used ones beyond the memory.
func (e *engine) keep(c *call) {
	put := func(key string, tokens, cost int) {
		if i := slices.IndexFunc(e.texts, func(t *kept) bool { return t.key == key }); i >= 0 {
			e.texts[i].tokens, e.texts[i].cost, e.texts[i].used = tokens, cost, e.world.now
			return
		}
		e.texts = append(e.texts, &kept{key, tokens, cost, e.world.now})
	}
	if c.prefix != "" {
		put("p:"+c.prefix, c.prefixLen, c.prefixLen)
	}
	put("s:"+c.session, c.prompt, c.prompt-c.prefixLen)
	total := e.held
	for _, t := range e.texts {
		total += t.cost
	}
	for total > int(e.kind.Memory) && len(e.texts) > 0 {
		oldest := 0
		for i, t := range e.texts {
			if t.used < e.texts[oldest].used {
				oldest = i
			}
		}
		total -= e.texts[oldest].cost
		e.texts = slices.Delete(e.texts, oldest, oldest+1)
	}
}

// take receives an attempt.
func (e *engine) take(a *attempt) {
	t := a.try
	if !e.up {
		e.world.reply(a, routing.StatusConnectFailed, 0, false)
		return
	}
	e.push(t)
	if e.draining || len(e.running)+len(e.queue) >= e.kind.Slots+e.kind.Queue {
		e.world.reply(a, routing.StatusRejected, 0, false)
		return
	}
	j := &job{attempt: a, context: t.call.prompt, left: t.call.out}
	if !e.prefills() && t.state == nil {
		if !e.world.deployment.Settings.DecodePrefills {
			e.world.reply(a, routing.StatusRejected, 0, true)
			return
		}
		a.whole = true
	}
	e.queue = append(e.queue, j)
	e.work()
}

// push counts work that reaches a cold engine against the rule.
func (e *engine) push(t *try) {
	d := e.world.deployment
	if e.cameUp == 0 || e.world.now-e.cameUp > d.ColdSpan {
		return
	}
	e.arrivals = append(e.arrivals, arrival{e.world.now, e.world.weight(e, t.call.class)})
	for len(e.arrivals) > 0 && e.world.now-e.arrivals[0].at > d.Settings.OverloadWindow {
		e.arrivals = e.arrivals[1:]
	}
	sum, chance := 0.0, 0.0
	for _, x := range e.arrivals {
		sum, chance = sum+x.weight, math.Max(chance, x.weight)
	}
	most := d.Settings.OverloadMultiple*e.capacity()*e.Speed*d.Settings.OverloadWindow.Seconds() + 3*chance
	if sum > most {
		e.world.broke("a cold engine was sent %.1f engine-seconds in %v, %.1f at most", sum, d.Settings.OverloadWindow, most)
		e.arrivals = nil
	}
}

// drop forgets an attempt's work here.
func (e *engine) drop(a *attempt) {
	is := func(j *job) bool { return j.attempt == a }
	e.queue = slices.DeleteFunc(e.queue, is)
	for _, j := range e.running {
		if j.attempt == a {
			e.held -= j.context
		}
	}
	e.running = slices.DeleteFunc(e.running, is)
	e.work()
}

func (e *engine) release(t *try) {
	e.held -= e.states[t]
	delete(e.states, t)
	e.work()
}

// work starts what can be started.
func (e *engine) work() {
	if !e.up || e.busy {
		return
	}
	if e.prefills() {
		if len(e.queue) > 0 && e.held+e.queue[0].context <= int(e.kind.Memory) {
			e.read()
		}
		return
	}
	for len(e.queue) > 0 && len(e.running) < e.kind.Slots && e.held+e.queue[0].context <= int(e.kind.Memory) {
		e.admit()
	}
	if len(e.running) > 0 {
		e.step()
	}
}

// after runs do later if the engine has not started anew by then.
func (e *engine) after(in time.Duration, do func()) {
	start := e.start
	e.world.at(e.world.now+in, func() {
		if e.start == start {
			do()
		}
	})
}

// read takes the next prompt. What was cancelled in the middle is given up at its end.
func (e *engine) read() {
	j := e.queue[0]
	e.queue, e.running, e.busy = e.queue[1:], append(e.running, j), true
	e.held += j.context
	found := e.match(j.attempt.try.call)
	todo := j.context - found
	j.todo = todo
	e.after(e.takes(e.kind.Step.Seconds()+float64(todo)/e.kind.ReadRate), func() {
		e.busy = false
		if slices.Contains(e.running, j) {
			e.running = nil
			t := j.attempt.try
			e.warmth++
			e.keep(t.call)
			e.states[t] = j.context
			e.latency = e.world.now - j.attempt.sent
			if t.ended || t.gone || t.out != j.attempt {
				e.release(t)
			} else {
				t.state = e
				e.world.reply(j.attempt, routing.StatusPrefilled, found, false)
			}
		}
		e.work()
	})
}

// admit gives the next answer a slot and begins to fetch its state, or to read it anew.
func (e *engine) admit() {
	j := e.queue[0]
	e.queue, e.running = e.queue[1:], append(e.running, j)
	e.held += j.context
	t := j.attempt.try
	switch from := t.state; {
	case j.begun: // it was put back for lack of memory
		j.todo = j.context
	case from == nil:
		j.todo = j.context - e.match(t.call)
	case from.states[t] == 0:
		t.state = nil
		e.drop(j.attempt)
		e.world.reply(j.attempt, routing.StatusRejected, 0, true)
	default:
		j.ready = e.world.fetch(from, e, j.context)
		e.world.at(j.ready, func() { from.release(t) })
		t.state = nil
	}
}

// step writes one token of each running answer, and reads one chunk.
func (e *engine) step() {
	e.busy = true
	k, n, context, chunk := e.kind, 0, 0, 0
	var reads *job
	for _, j := range e.running {
		switch {
		case j.ready > e.world.now:
		case j.todo > 0:
			if reads == nil {
				reads, chunk = j, min(j.todo, k.Chunk)
			}
		default:
			n, context = n+1, context+j.context
		}
	}
	if n == 0 && reads == nil { // all wait for their states
		e.after(2*time.Millisecond, func() { e.busy = false; e.work() })
		return
	}
	took := k.Step + time.Duration(n)*k.PerAnswer + time.Duration(float64(context)/1000*float64(k.PerK))
	begun := e.world.now
	e.after(e.takes(took.Seconds()+float64(chunk)/k.ReadRate), func() {
		e.busy = false
		e.written(begun, reads, chunk)
		e.work()
	})
}

func (e *engine) written(begun time.Duration, reads *job, chunk int) {
	for _, j := range slices.Clone(e.running) {
		if j.ready > begun || j.todo > 0 {
			continue
		}
		j.left--
		j.context++
		e.held++
		if !j.begun {
			j.begun = true
			e.latency = e.world.now - j.attempt.sent
			e.world.first(j.attempt)
		}
		if j.left <= 0 {
			e.warmth++
			e.drop(j.attempt)
			if j.attempt.whole {
				e.keep(j.attempt.try.call)
			}
			e.world.reply(j.attempt, routing.StatusServed, 0, false)
		}
	}
	if reads != nil {
		reads.todo -= chunk
	}
	for e.held > int(e.kind.Memory) && len(e.running) > 1 { // the newest goes back
		j := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		e.held -= j.context
		e.queue = slices.Insert(e.queue, 0, j)
	}
}

// publish refreshes the load report, which others see later.
func (e *engine) publish() {
	d := e.world.deployment
	if !e.up {
		return
	}
	noisy := func(v float64) *float64 {
		v *= math.Max(0, 1+d.Noise*e.world.noise.NormFloat64())
		return &v
	}
	rep := &routing.LoadReport{}
	waiting := 0
	for _, j := range append(slices.Clone(e.queue), e.running...) {
		if j.todo > 0 || !j.begun && j.ready == 0 {
			waiting += j.context
		}
	}
	if d.Report.MemoryUsed != nil {
		rep.MemoryUsed = noisy(float64(e.held) / e.kind.Memory)
	}
	if d.Report.WaitingTokens != nil {
		rep.WaitingTokens = noisy(float64(waiting))
	}
	if d.Report.QueueLength != nil {
		rep.QueueLength = noisy(float64(len(e.queue)))
		rep.Utilization = noisy(float64(len(e.running)) / float64(e.kind.Slots))
	}
	if d.Report.Latency != nil {
		l := e.latency
		rep.Latency = &l
	}
	e.after(d.ReportDelay, func() { e.report = rep })
}

// die ends the process: what it had is lost, and connections break.
func (e *engine) die() {
	e.up, e.busy, e.report = false, false, nil
	e.start++
	jobs := append(slices.Clone(e.queue), e.running...)
	e.queue, e.running, e.texts, e.held = nil, nil, nil, 0
	for t := range e.states {
		if t.state == e {
			t.state = nil
		}
	}
	clear(e.states)
	for _, j := range jobs {
		e.world.reply(j.attempt, routing.StatusReset, 0, false)
	}
}

func (e *engine) rise() {
	e.up, e.draining, e.cameUp, e.warmth, e.arrivals = true, false, e.world.now, 0, nil
}
