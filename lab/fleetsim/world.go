package fleetsim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"wellgw/routing"
)

// Decider is what is played: a router, or a plain policy with its events and actions.
type Decider interface {
	Handle(now routing.Time, ev routing.Event) []routing.Action
}

// Policy makes the decider of one gateway.
type Policy func(set routing.Settings, seed uint64) Decider

// Result is what came of a deployment's day.
type Result struct {
	Service   float64      // worth served in time over worth asked, late answers in part
	ByClass   []float64    // the same by class
	Worst10   float64      // the worst 10 s of it
	BySecond  [][2]float64 // worth asked in each second, and what of it was earned
	Requests  int
	Refused   int      // tries
	Probes    int      // of engines
	Conns     int      // opened between gateways and engines
	Sent      []int    // attempts by engine
	Late      int      // requests
	Broken    []string // rules, the first few
	Decisions []string // if asked for
}

// call is what a client wants answered, over all its tries.
type call struct {
	class             int
	zone              string
	session, prefix   string
	prefixLen, prompt int
	out               int
	at                time.Duration
	tries             int
	worth, earned     float64
	late              bool
}

// try is one request to a gateway.
type try struct {
	id           routing.RequestID
	call         *call
	gw           *gateway
	deadline     time.Duration
	attempts     int
	out          *attempt
	state        *engine // where its read state waits
	first        time.Duration
	ran          bool // an attempt may have had an effect
	ended        bool // has its final answer
	gone         bool // its time is over with nobody left to answer
	pinnedSince  time.Duration
	pinnedMarked bool
}

type attempt struct {
	n     int
	t     *try
	e     *engine
	sent  time.Duration
	whole bool
	over  bool
	done  func() // frees its connection
}

type gateway struct {
	zone    string
	decider Decider
	told    map[string]time.Duration    // since when an engine is known to drain or be gone
	idle    map[*engine][]time.Duration // connections that are free, by since when
}

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
	d        *Deployment
	now      time.Duration
	agenda   agenda
	seq      int
	noise    *rand.Rand
	clients  draw
	engines  []*engine
	byName   map[string]*engine
	gateways []*gateway
	busy     *gateway
	links    map[int]time.Duration // when a cell's link is free
	linkSlow float64
	calls    []*call
	tries    map[routing.RequestID]*try
	nextID   routing.RequestID
	hotLen   int
	res      Result
	trace    bool
	windows  [][2]float64
}

// Play plays a deployment under a policy. With trace, the result lists every decision.
func Play(d *Deployment, policy Policy, trace bool) Result {
	w := &world{
		d: d, noise: rand.New(rand.NewPCG(d.Seed, 2)), clients: draw{rand.New(rand.NewPCG(d.Seed, 3))},
		byName: map[string]*engine{}, links: map[int]time.Duration{}, linkSlow: 1,
		tries: map[routing.RequestID]*try{}, trace: trace,
	}
	for _, spec := range d.Engines {
		e := &engine{w: w, Engine: spec, kind: &d.Kinds[spec.Kind], up: true, slow: 1, states: map[*try]int{}}
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
		w.tell(g, routing.Roster{Scope: routing.RosterCached, Servers: w.list()})
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
		if w.now < w.d.Length+20*time.Second {
			w.every(w.now+period, period, do)
		}
	})
}

func (w *world) broke(format string, args ...any) {
	if len(w.res.Broken) < 20 {
		w.res.Broken = append(w.res.Broken, fmt.Sprintf("%.3fs: ", w.now.Seconds())+fmt.Sprintf(format, args...))
	}
}

func (w *world) list() []routing.ServerInfo {
	var out []routing.ServerInfo
	for _, e := range w.engines {
		out = append(out, e.info())
	}
	return out
}

func (e *engine) info() routing.ServerInfo {
	s := routing.ServerInfo{Name: e.Name, Kind: e.kind.Name, Zone: e.Zone, Cell: e.Cell, Weight: 1, CameUp: e.cameUp}
	switch {
	case !e.up:
		s.Phase = routing.PhaseOff
	case e.draining:
		s.Phase = routing.PhaseDraining
	}
	return s
}

// weight is what a request of a class takes of a warm engine of usual speed, in seconds.
func (w *world) weight(e *engine, class int) float64 {
	c := &w.d.Classes[class]
	mean, _ := c.prompt()
	if e.reader() {
		return 0.4 * mean / e.kind.ReadRate // much is kept
	}
	n := math.Min(0.8*e.kind.Memory/mean, float64(e.kind.Slots))
	return c.Out * (e.kind.Step.Seconds() + n*e.kind.PerAnswer.Seconds() + n*mean/1000*e.kind.PerK.Seconds()) / n
}

// arrivals draws all sessions ahead: the day asks the same of every policy.
func (w *world) arrivals() {
	r, d := w.clients, w.d
	total, turns := 0.0, 0.0
	for _, c := range d.Classes {
		total, turns = total+c.Share, turns+c.Share*c.Turns
	}
	rate := d.Rate * total / turns // sessions a second
	for _, t := range d.Troubles {
		if t.What == Hot {
			w.hotLen = 3000 + r.IntN(4000)
		}
	}
	burst := 1.0
	for at, n := time.Duration(0), 0; at < d.Length; n++ {
		level := 1 + d.Swing*math.Sin(2*math.Pi*at.Seconds()/30)
		if d.Bursts && n%20 == 0 {
			burst = r.in(0.6, 1.4)
		}
		at += time.Duration(r.ExpFloat64() / (rate * level * burst) * float64(time.Second))
		pick, class := r.Float64()*total, 0
		for pick -= d.Classes[0].Share; pick > 0 && class < len(d.Classes)-1; pick -= d.Classes[class].Share {
			class++
		}
		c := &d.Classes[class]
		s := call{class: class, zone: d.Zones[r.IntN(len(d.Zones))], session: fmt.Sprint(n), at: at}
		if hot := d.hotAt(at); r.chance(hot) {
			s.prefix, s.prefixLen = "hot", w.hotLen
		} else if r.chance(c.PrefixPart) {
			k := int(math.Floor(float64(c.Prefixes) * math.Pow(r.Float64(), 1.7)))
			s.prefix, s.prefixLen = fmt.Sprint(class, "-", k), c.PrefixLen*(80+(k*37)%41)/100
		}
		length := s.prefixLen
		for more := true; more && s.at < d.Length; more = r.chance(1 - 1/c.Turns) {
			length += 20 + int(r.spread(c.New))
			turn := s
			turn.prompt, turn.out = length, min(c.MaxOut, 5+int(r.spread(c.Out)))
			turn.worth = c.Gain * (float64(turn.prompt)/3000 + float64(turn.out)/120)
			w.calls = append(w.calls, &turn)
			w.at(turn.at, func() { w.ask(&turn) })
			length += turn.out
			s.at += time.Duration(float64(turn.out)*float64(c.TokenAim)/2) + time.Duration(r.spread(float64(c.Think)))
		}
	}
}

func (d *Deployment) hotAt(at time.Duration) float64 {
	for _, t := range d.Troubles {
		if t.What == Hot && at >= t.At && at < t.At+t.For {
			return min(1, 3*t.Size) // of new sessions; a part Size of all work
		}
	}
	return 0
}

// strike begins and ends a trouble.
func (w *world) strike(t Trouble) {
	r := draw{rand.New(rand.NewPCG(w.d.Seed, uint64(t.At)))}
	var hit []*engine
	for _, i := range r.Perm(len(w.engines))[:max(1, int(t.Part*float64(len(w.engines))))] {
		hit = append(hit, w.engines[i])
	}
	each := func(at time.Duration, do func(e *engine)) {
		w.at(at, func() {
			for _, e := range hit {
				do(e)
			}
		})
	}
	switch t.What {
	case Slow:
		each(t.At, func(e *engine) { e.slow = t.Size })
		each(t.At+t.For, func(e *engine) { e.slow = 1 })
	case Flush:
		w.at(t.At, func() {
			for _, e := range w.engines {
				if e.reader() && r.chance(t.Part) {
					e.texts = nil
				}
			}
		})
	case Links:
		w.at(t.At, func() { w.linkSlow = t.Size })
		w.at(t.At+t.For, func() { w.linkSlow = 1 })
	case Crash:
		each(t.At, func(e *engine) { e.die(); w.announce(e) })
		each(t.At+t.For, func(e *engine) { e.rise(); w.announce(e) })
	case Drain:
		each(t.At, func(e *engine) {
			if e.up {
				e.draining = true
				w.announce(e)
			}
		})
		each(t.At+t.For, func(e *engine) { e.die(); w.announce(e) })
		each(t.At+t.For+time.Second, func(e *engine) { e.rise(); w.announce(e) })
	}
}

// announce tells the gateways of an engine's state, each in its time.
func (w *world) announce(e *engine) {
	info := e.info()
	for _, g := range w.gateways {
		w.at(w.now+time.Duration(w.clients.in(0.7, 1)*float64(w.d.Notice)), func() {
			if info.Phase == routing.PhaseOn {
				delete(g.told, e.Name)
			} else if _, known := g.told[e.Name]; !known {
				g.told[e.Name] = w.now
			}
			w.tell(g, routing.Roster{Servers: []routing.ServerInfo{info}})
		})
	}
}

// ---- clients

func (w *world) ask(c *call) {
	class := &w.d.Classes[c.class]
	patience := class.Deadline + 2*time.Duration(c.prompt)*class.AimPerToken
	var near []*gateway
	for _, g := range w.gateways {
		if g.zone == c.zone {
			near = append(near, g)
		}
	}
	for _, g := range near {
		if g == w.busy {
			for range int(w.d.BusyTimes) {
				near = append(near, g)
			}
		}
	}
	c.tries++
	ttl := min(time.Duration(w.clients.in(0.5, 1)*float64(patience)), c.at+patience-w.now)
	if ttl <= 50*time.Millisecond {
		return
	}
	w.nextID++
	t := &try{id: w.nextID, call: c, gw: near[w.clients.IntN(len(near))], deadline: w.now + ttl}
	w.tries[t.id] = t
	w.at(t.deadline, func() { w.expire(t) })
	w.tell(t.gw, routing.Request{
		ID: t.id, Class: class.Name, Session: c.session, Prefix: c.prefix, PrefixLen: c.prefixLen,
		Prompt: c.prompt, MaxTokens: class.MaxOut, TTL: ttl, Repeat: c.tries > 1,
	})
}

// answerSlack is the time past a client's deadline in which a final answer still counts.
const answerSlack = 16 * time.Millisecond

// expire ends a try whose client has waited long enough for a first token.
func (w *world) expire(t *try) {
	if t.ended || t.first > 0 {
		return
	}
	if a := t.out; a != nil {
		w.finish(a, routing.StatusTimeout)
		w.at(w.now, func() { w.withdraw(a) })
	}
	w.at(w.now+answerSlack, func() {
		if !t.ended && t.first == 0 {
			w.broke("request %d got no final answer in time", t.id)
			t.ended, t.gone = true, true
			w.tell(t.gw, routing.Gone{ID: t.id})
		}
	})
}

// answered ends a try that was not served. Its client may come again.
func (w *world) answered(t *try, again bool, advice time.Duration) {
	t.ended = true
	if !again || t.call.tries > w.d.Retries {
		return
	}
	wait := time.Duration(w.clients.in(0.7, 1.3) * float64(w.d.Backoff))
	if w.clients.chance(w.d.Honour) {
		wait = max(wait, min(advice, w.d.Settings.MaxRetryAfter))
	}
	w.at(w.now+wait, func() { w.ask(t.call) })
}

// earn books what a whole answer is worth.
func (w *world) earn(t *try) {
	c, class := t.call, &w.d.Classes[t.call.class]
	aim := class.Aim + time.Duration(c.prompt)*class.AimPerToken
	pace := (w.now - t.first) / time.Duration(max(c.out-1, 1))
	switch {
	case t.first-c.at <= aim && pace <= class.TokenAim:
		c.earned = c.worth
	case pace <= 2*class.TokenAim:
		c.earned, c.late = c.worth*class.LateWorth, true
	}
}

func (w *world) sum() Result {
	d := w.d
	asked, earned := make([]float64, len(d.Classes)), make([]float64, len(d.Classes))
	bySecond := make([][2]float64, int(d.Length/time.Second)+1)
	for _, c := range w.calls {
		if c.at < d.Warm {
			continue
		}
		w.res.Requests++
		asked[c.class] += c.worth
		earned[c.class] += c.earned
		s := &bySecond[int(c.at/time.Second)]
		s[0], s[1] = s[0]+c.worth, s[1]+c.earned
		if c.late {
			w.res.Late++
		}
	}
	all, got := 0.0, 0.0
	for i := range asked {
		all, got = all+asked[i], got+earned[i]
		w.res.ByClass = append(w.res.ByClass, earned[i]/math.Max(asked[i], 1e-9))
	}
	w.res.BySecond = bySecond
	for _, e := range w.engines {
		w.res.Sent = append(w.res.Sent, e.sends)
	}
	w.res.Service, w.res.Worst10 = got/math.Max(all, 1e-9), 1
	for i := int(d.Warm / time.Second); i+10 < len(bySecond); i++ {
		a, g := 0.0, 0.0
		for _, s := range bySecond[i : i+10] {
			a, g = a+s[0], g+s[1]
		}
		w.res.Worst10 = math.Min(w.res.Worst10, g/math.Max(a, 1e-9))
	}
	return w.res
}

// ---- gateways

func (w *world) tell(g *gateway, ev routing.Event) {
	for _, a := range slices.Clone(g.decider.Handle(w.now, ev)) {
		w.act(g, a)
	}
}

func (w *world) act(g *gateway, action routing.Action) {
	if w.trace {
		if _, timer := action.(routing.SetTimer); !timer {
			w.res.Decisions = append(w.res.Decisions, fmt.Sprintf("%d %T %+v", w.now, action, action))
		}
	}
	switch a := action.(type) {
	case routing.SetTimer:
		w.at(w.now+max(a.In, w.d.Settings.Tick), func() {
			if w.now < w.d.Length+30*time.Second {
				w.tell(g, routing.TimerFired{Name: a.Name})
			}
		})
	case routing.Send:
		w.send(g, a)
	case routing.Refuse:
		if t := w.ending(g, a.ID); t != nil {
			if t.ran && w.single(t) {
				w.broke("request %d was refused though it may have run", t.id)
			}
			w.res.Refused++
			w.answered(t, true, a.RetryAfter)
		}
	case routing.Fail:
		if t := w.ending(g, a.ID); t != nil {
			w.answered(t, !w.single(t), 0)
		}
	case routing.CancelAttempt:
		t := w.tries[a.ID]
		if t == nil || t.out == nil || t.out.n != a.Attempt || t.first > 0 {
			return
		}
		out := t.out
		w.at(w.now+w.d.Settings.Tick, func() { w.finish(out, routing.StatusCancelled) })
		w.at(w.now+w.way(g, out.e), func() { w.withdraw(out) })
	case routing.Probe:
		w.probe(g, w.byName[a.Server])
	case routing.Release:
		if t := w.tries[a.ID]; t != nil {
			w.free(t)
		}
	}
}

func (w *world) single(t *try) bool {
	return w.d.Classes[t.call.class].Effect == routing.EffectSingleShot
}

// ending returns the try that a final answer ends, nil if the answer is out of place.
func (w *world) ending(g *gateway, id routing.RequestID) *try {
	t := w.tries[id]
	switch {
	case t == nil || t.gw != g:
		w.broke("a final answer for request %d, which is not known", id)
	case t.gone:
	case t.ended:
		w.broke("a second final answer for request %d", id)
	default:
		return t
	}
	return nil
}

func (w *world) send(g *gateway, a routing.Send) {
	t, e := w.tries[a.ID], w.byName[a.Server]
	switch {
	case t == nil || t.gw != g || t.ended && !t.gone:
		w.broke("a send for request %d, which has ended", a.ID)
		return
	case e == nil:
		w.broke("a send to %q, which is in no list", a.Server)
		return
	case t.out != nil:
		w.broke("two attempts of request %d are out", a.ID)
		return
	case t.attempts >= w.d.Settings.MaxAttempts:
		w.broke("request %d has had its attempts", a.ID)
		return
	case t.ran && w.single(t):
		w.broke("request %d may run twice", a.ID)
	}
	if since, known := g.told[e.Name]; known && w.now-since > w.d.Grace {
		w.broke("a send to %s %v after its drain was told", e.Name, w.now-since)
	}
	w.unpin(t)
	out := &attempt{n: t.attempts, t: t, e: e, sent: w.now, done: w.connect(g, e)}
	e.sends++
	t.attempts++
	t.out = out
	if a.Limit > 0 && w.now+a.Limit < t.deadline {
		w.at(w.now+a.Limit, func() {
			if t.first == 0 {
				w.finish(out, routing.StatusTimeout)
				w.withdraw(out)
			}
		})
	}
	w.at(w.now+w.way(g, e), func() {
		if !out.over {
			e.take(out)
		}
	})
}

// probe asks an engine for its load, on a connection of the gateway's.
func (w *world) probe(g *gateway, e *engine) {
	if e == nil {
		w.broke("a probe of an engine that is in no list")
		return
	}
	w.res.Probes++
	done := w.connect(g, e)
	w.at(w.now+w.way(g, e), func() {
		up, rep := e.up, e.report
		w.at(w.now+w.way(g, e), func() {
			done()
			s := routing.StatusServed
			if !up {
				s, rep = routing.StatusNoConnect, nil
			}
			w.tell(g, routing.ProbeResult{Server: e.Name, Status: s, Latency: 2 * w.way(g, e), Report: rep})
		})
	})
}

// connect takes a free connection to an engine, or opens one; the function returned frees it.
func (w *world) connect(g *gateway, e *engine) (done func()) {
	free := g.idle[e]
	for len(free) > 0 && w.now-free[0] > w.d.ConnIdle {
		free = free[1:]
	}
	if len(free) > 0 {
		free = free[:len(free)-1]
	} else {
		w.res.Conns++
	}
	g.idle[e] = free
	start := e.start
	return func() {
		if e.start == start { // a process that has ended took its connections with it
			g.idle[e] = append(g.idle[e], w.now)
		}
	}
}

// way is how long a message takes between a gateway and an engine.
func (w *world) way(g *gateway, e *engine) time.Duration {
	if g.zone == e.Zone {
		return w.d.Same
	}
	return w.d.Cross
}

// fetch moves a state and returns when it has come.
func (w *world) fetch(from, to *engine, tokens int) time.Duration {
	if from.Cell == to.Cell {
		from.linkFree = max(from.linkFree, w.now) + time.Duration(float64(tokens)/w.d.Near*float64(time.Second))
		return from.linkFree
	}
	slower := w.linkSlow
	if from.Zone != to.Zone {
		slower *= 2
	}
	took := time.Duration(float64(tokens) / w.d.Far * slower * float64(time.Second))
	w.links[from.Cell] = max(w.links[from.Cell], w.now) + took
	return w.links[from.Cell]
}

// withdraw stops an engine's work on an attempt that nobody waits for.
func (w *world) withdraw(a *attempt) {
	if a.e.up {
		a.e.drop(a)
	}
}

// free lets go of what a try holds.
func (w *world) free(t *try) {
	w.unpin(t)
	if e := t.state; e != nil {
		t.state = nil
		w.at(w.now+w.way(t.gw, e), func() { e.release(t) })
	}
}

// pin starts the time within which what is held must be taken or let go.
func (w *world) pin(t *try) {
	since := w.now
	t.pinnedSince = since
	w.at(since+w.d.Settings.PinLimit+time.Millisecond, func() {
		if t.pinnedSince == since && t.state != nil && t.out == nil && !t.pinnedMarked {
			t.pinnedMarked = true
			w.broke("the state of request %d stayed pinned", t.id)
		}
	})
}

func (w *world) unpin(t *try) { t.pinnedSince = -1 }

// first brings a first token to the gateway.
func (w *world) first(a *attempt) {
	w.at(w.now+w.way(a.t.gw, a.e), func() {
		t := a.t
		if a.over || t.out != a {
			return
		}
		t.first = w.now
		w.free(t)
		w.tell(t.gw, routing.FirstToken{ID: t.id, Attempt: a.n, Server: a.e.Name, Latency: w.now - a.sent})
	})
}

// reply brings an attempt's end to the gateway, with the report that the engine last gave out.
func (w *world) reply(a *attempt, s routing.Status, found int, noState bool) {
	rep := a.e.report
	if w.d.Pull {
		rep = nil
	}
	w.at(w.now+w.way(a.t.gw, a.e), func() {
		if a.over {
			if s == routing.StatusRead { // nobody asked any more: the state goes by itself
				a.e.release(a.t)
			}
			return
		}
		w.end(a, s, found, noState, rep)
	})
}

// finish ends an attempt at the gateway's side.
func (w *world) finish(a *attempt, s routing.Status) {
	if !a.over {
		w.end(a, s, 0, false, nil)
	}
}

func (w *world) end(a *attempt, s routing.Status, found int, noState bool, rep *routing.Report) {
	t := a.t
	a.over, t.out = true, nil
	if s != routing.StatusCancelled && s != routing.StatusTimeout { // those are closed
		a.done()
	}
	if !a.e.reader() && (s == routing.StatusError || s == routing.StatusTimeout || s == routing.StatusReset || s == routing.StatusCancelled) {
		t.ran = true
	}
	if a.e.reader() && s != routing.StatusRead && t.state == a.e { // cancelled or out of time: it goes by itself
		t.state = nil
		a.e.release(t)
	}
	final := t.ended || s == routing.StatusServed || t.first > 0
	if final && !t.ended {
		t.ended = true
		if s == routing.StatusServed {
			w.earn(t)
		}
	}
	if t.state != nil {
		w.pin(t)
	}
	w.tell(t.gw, routing.Outcome{
		ID: t.id, Attempt: a.n, Server: a.e.Name, Status: s, Latency: w.now - a.sent, Final: final,
		Kept: found, NoState: noState, Report: rep,
	})
}
