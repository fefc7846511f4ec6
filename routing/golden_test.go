package routing_test

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"wellgw/routing"
)

// The hashes below cover every action that the Router returns for generated events, in order, with its time.
// They record the Router's decisions: refactoring and renames must not change them. A change that alters
// decisions on purpose replaces them and states so in its commit. Action types are hashed as numbers and
// times as integers, so that the hashes do not depend on Go names. The hashes are valid for amd64, where no
// floating-point operations are fused.

// goldenCase is one configuration of the Router and the simulated load.
type goldenCase struct {
	name    string
	load    float64 // as a fraction of the engines' capacity, 60 requests per second
	reports string  // fields of load reports: w waiting tokens, m memory, q queue; "" for no reports
	apply   func(*routing.Settings)
	want    [3]string     // hashes for the seeds 1 to 3
	pause   time.Duration // without requests, halfway through the run
}

var goldenCases = []goldenCase{
	{"few gateways", 0.8, "", func(*routing.Settings) {},
		[3]string{"706f5dc647e84896", "ab5550b298a03ee4", "7d60cf3c2c8c4717"}, 0},
	{"overload", 2.5, "", func(*routing.Settings) {},
		[3]string{"bf6643c4968aaeb1", "4db7bed2888d12a7", "45831d4fa95055aa"}, 0},
	{"reports", 1.1, "wm", func(*routing.Settings) {},
		[3]string{"9b04cbd72b83e4f4", "5da3ed1e5efe5184", "c7d2577839e616af"}, 0},
	{"no cancellation", 1, "m", func(s *routing.Settings) { s.CanCancel, s.CanRetryAfter = false, false },
		[3]string{"140889576f62a14b", "da7d88da3ad09154", "0501c93ed8a95b43"}, 0},
	{"decode engines prefill", 1.4, "wm",
		func(s *routing.Settings) { s.DecodePrefills, s.MaxAttempts = true, 3 },
		[3]string{"d285a9a1bfb30876", "66b4a00f6f065c34", "920da7bb21a2379d"}, 0},
	{"must subscribe", 0.9, "w", func(s *routing.Settings) { s.MustSubscribe, s.Gateways = true, 1 },
		[3]string{"ccb7e5a057dcc2c8", "ba0f905dab1eba37", "b00dbd602985378d"}, 0},
	{"many gateways, probes", 0.9, "qm", func(s *routing.Settings) { s.CanProbe, s.Gateways = true, 80 },
		[3]string{"eb420aa11de35861", "ce6eda06f2508b5e", "8ba04ba61c0cd4aa"}, 0},
	{"many gateways, no probes", 0.9, "", func(s *routing.Settings) { s.Gateways = 30 },
		[3]string{"f902d5abf5b0c142", "07a457f7976b1b2e", "eedb42e075f3c113"}, 0},
	{"ten gateways, probes", 1.3, "wqm",
		func(s *routing.Settings) { s.CanProbe, s.Gateways, s.DecodePrefills = true, 10, true },
		[3]string{"5443f41b255dd6d2", "b79a7b1c7ed35782", "119f7565a1a7174f"}, 0},
	{"send delay", 1, "m", func(s *routing.Settings) { s.MaxSendDelay, s.MaxAttempts = 250*time.Millisecond, 4 },
		[3]string{"7cc54d95aa9d56df", "00d9a58a4b5187ea", "19a977eb8d48c654"}, 0},
	{"tenants", 1.2, "m", func(s *routing.Settings) {
		s.Tenants = []routing.Tenant{{Name: "a", Quota: 20}, {Name: "b", Quota: 0.4}, {Name: "c"}}
		s.OverQuotaWeight = 0.3
	}, [3]string{"95842abc6e491056", "e02dae6614db60a9", "967b19b617931ce1"}, 0},
	{"tenants, no traffic above quotas", 0.7, "wm", func(s *routing.Settings) {
		s.Tenants = []routing.Tenant{{Name: "a", Quota: 10}, {Name: "b", Quota: 0.4}}
	}, [3]string{"3b48419255bfeab3", "bda4252f3a47a737", "12ac9a3d2b745559"}, 0},
	{"pause", 1, "", func(*routing.Settings) {},
		[3]string{"6acc5bb7f6577547", "141b7946c79fa3a2", "8d1b2e1b87e48e47"}, 50 * time.Second},
}

func TestActionsMatchRecordedHashes(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("the recorded hashes are valid for amd64 only")
	}
	for _, c := range goldenCases {
		for i, want := range c.want {
			t.Run(fmt.Sprint(c.name, "/", i+1), func(t *testing.T) {
				t.Parallel()
				g := newGoldenSimulation(t, c, uint64(i+1))
				got := g.run()
				if g.sentAttempts < 500 {
					t.Errorf("only %d attempts were sent, want at least 500", g.sentAttempts)
				}
				if got != want {
					t.Errorf("hash of the actions is %s, the recorded hash is %s", got, want)
				}
			})
		}
	}
}

// goldenSettings returns settings with a class of each effect and a kind of each role.
func goldenSettings() routing.Settings {
	const ms = time.Millisecond
	return routing.Settings{
		Zone: "z", Zones: []string{"z", "y"}, Gateways: 2, MaxAttempts: 6, CanCancel: true, CanRetryAfter: true,
		MaxRetryAfter: time.Second,
		Classes: []routing.Class{
			{
				Name: "chat", FirstTokenObjective: time.Second, FirstTokenPerPromptToken: 40 * time.Microsecond,
				TokenIntervalObjective: 50 * ms, PriorityWeight: 1,
			},
			{
				Name: "batch", FirstTokenObjective: 4 * time.Second, TokenIntervalObjective: 90 * ms, PriorityWeight: 0.4,
			},
			{
				Name: "cell", FirstTokenObjective: time.Second, PriorityWeight: 2, Effect: routing.EffectDeduplicated,
				DedupScope: routing.DedupCell, DedupWindow: 2 * time.Second,
			},
			{
				Name: "zone", FirstTokenObjective: time.Second, PriorityWeight: 2, Effect: routing.EffectDeduplicated,
				DedupScope: routing.DedupZone, DedupWindow: time.Second,
			},
			{
				Name: "all", FirstTokenObjective: time.Second, PriorityWeight: 2, Effect: routing.EffectDeduplicated,
				DedupScope: routing.DedupAllEngines, DedupWindow: time.Second,
			},
			{Name: "once", FirstTokenObjective: time.Second, PriorityWeight: 3, Effect: routing.EffectAtMostOnce},
		},
		Kinds: []routing.EngineKind{
			{Name: "r", Role: routing.RolePrefill, Memory: 2e5}, {Name: "w", Role: routing.RoleDecode, Memory: 6e4},
			{Name: "m", Role: routing.RoleMixed, Memory: 5e4}, {Name: "x"},
		},
		SlowStartPeriod: 5 * time.Second, SlowStartCapacity: 0.3,
		OverloadWindow: 2 * time.Second, OverloadMultiple: 3,
		HeldStateLimit: 500 * ms, TickInterval: ms,
	}
}

// goldenEngine is a simulated engine.
type goldenEngine struct {
	info         routing.EngineInfo
	idleAt       time.Duration // when its queue is empty
	queued       int           // requests
	queuedTokens float64       // tokens to prefill
	memory       float64       // fraction in use
	fault        string        // "" for none
}

// goldenAttempt is an attempt in flight at an engine.
type goldenAttempt struct {
	number    int
	engine    *goldenEngine
	sentAt    time.Duration
	streaming bool // the answer has started
	ended     bool
}

// goldenRequest is a client's request.
type goldenRequest struct {
	event    routing.Request
	attempts int // sent so far
	inFlight *goldenAttempt
	ended    bool // finally answered, or the client has disconnected
	hasState bool // held state at a prefill engine
}

// goldenEvent is a scheduled step of the simulation.
type goldenEvent struct {
	at  time.Duration
	seq int // order of events with equal times
	run func()
}

// goldenEventQueue implements heap.Interface, in order of time.
type goldenEventQueue []goldenEvent

func (a goldenEventQueue) Len() int { return len(a) }
func (a goldenEventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a goldenEventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *goldenEventQueue) Push(x any)   { *a = append(*a, x.(goldenEvent)) }
func (a *goldenEventQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// goldenSimulation simulates engines, clients and faults for one Router.
type goldenSimulation struct {
	t            *testing.T
	testCase     goldenCase
	set          routing.Settings
	random       *rand.Rand
	router       *routing.Router
	hash         hash.Hash
	now          time.Duration
	events       goldenEventQueue
	seq          int
	engines      []*goldenEngine
	requests     map[routing.RequestID]*goldenRequest
	lastID       routing.RequestID
	sentAttempts int
}

// goldenDuration is how long clients send requests, without goldenCase.pause.
const goldenDuration = 40 * time.Second

func newGoldenSimulation(t *testing.T, c goldenCase, seed uint64) *goldenSimulation {
	t.Helper()
	g := &goldenSimulation{
		t: t, testCase: c, set: goldenSettings(), random: rand.New(rand.NewPCG(seed, 45)), hash: sha256.New(),
		requests: map[routing.RequestID]*goldenRequest{},
	}
	c.apply(&g.set)
	for i := range 14 {
		info := routing.EngineInfo{
			Name: fmt.Sprint("e", i), Kind: []string{"r", "w", "r", "w", "m", "r", "w"}[i%7],
			Zone: []string{"z", "y"}[i/7], Cell: i % 3, Weight: []float64{1, 0.5, 2, 0}[i%4],
		}
		g.engines = append(g.engines, &goldenEngine{info: info, memory: 0.3})
	}
	for _, unusable := range []routing.EngineInfo{
		{Name: "odd1", Kind: "x", Zone: "z"}, {Name: "odd2", Kind: "r", Zone: "far"},
	} {
		g.engines = append(g.engines, &goldenEngine{info: unusable})
	}
	router, err := routing.New(g.set, seed)
	if err != nil {
		t.Fatal(err)
	}
	g.router = router
	return g
}

// run runs the simulation and returns the hash of all actions.
func (g *goldenSimulation) run() string {
	g.sendEngineList(routing.EngineListStale)
	g.schedule(0, g.submitRequest)
	g.schedule(time.Second, g.injectFault)
	g.schedule(goldenDuration/3, g.reconfigure)
	g.schedule(goldenDuration/2, func() { g.handle(routing.GatewaysChanged{Gateways: g.set.Gateways + 3}) })
	g.schedule(goldenDuration/2+time.Second, func() { g.handle(routing.GatewaysChanged{}) })
	g.schedule(goldenDuration/2+time.Second, func() { g.handle(routing.ProbeResult{Engine: "unknown"}) })
	g.schedule(goldenDuration*3/4, func() { g.handle(routing.GatewaysChanged{Gateways: g.set.Gateways}) })
	end := goldenDuration + g.testCase.pause
	g.schedule(end, func() { g.handle(routing.ShuttingDown{}) })
	g.schedule(end+300*time.Millisecond, func() { g.handle(routing.ShuttingDown{Final: true}) })
	for len(g.events) > 0 {
		event := heap.Pop(&g.events).(goldenEvent)
		g.now = event.at
		event.run()
	}
	g.recordQueries()
	return hex.EncodeToString(g.hash.Sum(nil)[:8])
}

// reconfigure changes the classes and the number of attempts of the running Router: one class is removed,
// one gets another objective and one another priority weight.
func (g *goldenSimulation) reconfigure() {
	classes := slices.Clone(g.set.Classes)
	classes = slices.Delete(classes, 3, 4)
	classes[0].FirstTokenObjective, classes[1].PriorityWeight = 700*time.Millisecond, 0.8
	if err := g.router.Reconfigure(classes, g.set.MaxAttempts+1); err != nil {
		g.t.Fatal(err)
	}
	if err := g.router.Reconfigure(nil, 0); err == nil {
		g.t.Fatal("Reconfigure accepted settings without classes")
	}
}

// recordQueries hashes the results of the Router's query methods.
func (g *goldenSimulation) recordQueries() {
	toInt := func(b bool) int64 {
		if b {
			return 1
		}
		return 0
	}
	for _, name := range []string{"a", "b", "c", ""} {
		status, found := g.router.QuotaStatus(name)
		g.hashValues(0, toInt(found), int64(status.Burst*1e6), int64(status.Remaining*1e6), int64(status.ResetIn))
	}
	for _, c := range append(g.set.Classes, routing.Class{Name: "unknown"}) {
		g.hashValues(0, toInt(g.router.Idempotent(c.Name)))
	}
	for _, k := range append(g.set.Kinds, routing.EngineKind{Name: "unknown"}) {
		g.hashValues(0, toInt(g.router.CanPrefill(k.Name)))
	}
}

// schedule adds an event, at the current time if t has passed.
func (g *goldenSimulation) schedule(t time.Duration, run func()) {
	g.seq++
	heap.Push(&g.events, goldenEvent{max(t, g.now), g.seq, run})
}

// chance returns true with probability p.
func (g *goldenSimulation) chance(p float64) bool { return g.random.Float64() < p }

// randomDuration returns a random duration below limit.
func (g *goldenSimulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(g.random.Float64() * float64(limit))
}

// handle passes an event to the Router, then records and executes the returned actions.
func (g *goldenSimulation) handle(event routing.Event) {
	for _, action := range slices.Clone(g.router.Handle(g.now, event)) {
		g.record(action)
		g.execute(action)
	}
}

// The numbers of the action types in the hash.
const (
	goldenSend = iota + 1
	goldenReject
	goldenFail
	goldenCancel
	goldenRelease
	goldenTimer
	goldenProbe
	goldenSubscribe
)

// record hashes one action: the time, the number of its type and its fields in order.
func (g *goldenSimulation) record(action routing.Action) {
	switch a := action.(type) {
	case routing.Send:
		g.hashValues(goldenSend, int64(a.ID), int64(a.Timeout))
		g.hashName(a.Engine)
	case routing.Reject:
		overQuota := int64(0)
		if a.OverQuota {
			overQuota = 1
		}
		g.hashValues(goldenReject, int64(a.ID), int64(a.RetryAfter), overQuota)
	case routing.Fail:
		g.hashValues(goldenFail, int64(a.ID))
	case routing.CancelAttempt:
		g.hashValues(goldenCancel, int64(a.ID), int64(a.Attempt))
	case routing.Release:
		g.hashValues(goldenRelease, int64(a.ID))
	case routing.SetTimer:
		g.hashValues(goldenTimer, int64(a.After))
		g.hashName(a.Name)
	case routing.Probe:
		g.hashValues(goldenProbe)
		g.hashName(a.Engine)
	case routing.Subscribe:
		g.hashValues(goldenSubscribe)
	default:
		g.t.Fatalf("action type without a number: %v", action)
	}
}

// hashValues hashes the current time, the number of an action type and values.
func (g *goldenSimulation) hashValues(kind int64, values ...int64) {
	b := binary.BigEndian.AppendUint64(nil, uint64(g.now))
	for _, v := range append([]int64{kind}, values...) {
		b = binary.BigEndian.AppendUint64(b, uint64(v))
	}
	g.hash.Write(b)
}

// hashName hashes a name with its length.
func (g *goldenSimulation) hashName(name string) {
	g.hash.Write(append(binary.BigEndian.AppendUint64(nil, uint64(len(name))), name...))
}

// execute executes an action of the Router.
func (g *goldenSimulation) execute(action routing.Action) {
	switch a := action.(type) {
	case routing.SetTimer:
		if g.now < goldenDuration+g.testCase.pause+20*time.Second {
			g.schedule(g.now+a.After, func() { g.handle(routing.TimerFired{Name: a.Name}) })
		}
	case routing.Send:
		g.send(a)
	case routing.Reject:
		g.recordFinalAnswer(a.ID)
	case routing.Fail:
		g.recordFinalAnswer(a.ID)
	case routing.CancelAttempt:
		req := g.requests[a.ID]
		if req == nil || req.inFlight == nil || req.inFlight.number != a.Attempt || req.inFlight.streaming {
			return
		}
		attempt := req.inFlight
		g.schedule(g.now+g.randomDuration(3*time.Millisecond), func() {
			g.endAttempt(req, attempt, routing.StatusCancelled)
		})
	case routing.Probe:
		g.answerProbe(a.Engine)
	case routing.Subscribe:
		scope := routing.EngineListSnapshot
		if g.chance(0.4) {
			scope = routing.EngineListFailed
		}
		g.schedule(g.now+20*time.Millisecond, func() { g.sendEngineList(scope) })
	}
}

// recordFinalAnswer ends a request that the Router rejected or failed.
func (g *goldenSimulation) recordFinalAnswer(id routing.RequestID) {
	req := g.requests[id]
	if req == nil || req.ended {
		g.t.Fatalf("final answer for request %d, which is not pending", id)
	}
	req.ended = true
	if req.inFlight == nil {
		delete(g.requests, id)
	}
}

// submitRequest submits a random request and schedules the next.
func (g *goldenSimulation) submitRequest() {
	if g.now >= goldenDuration+g.testCase.pause+time.Second {
		return
	}
	rate := 60 * g.testCase.load
	if second := int(g.now.Seconds()); second%11 > 8 { // a burst
		rate *= 3
	}
	next := g.now + time.Duration(g.random.ExpFloat64()/rate*float64(time.Second))
	if half := goldenDuration / 2; g.now < half && next >= half {
		next += g.testCase.pause
	}
	g.schedule(next, g.submitRequest)
	g.lastID++
	event := routing.Request{
		ID: g.lastID, Class: g.set.Classes[min(g.random.IntN(9), len(g.set.Classes)-1)].Name,
		PromptTokens: 50 + g.random.IntN(5000), MaxTokens: 100 + g.random.IntN(400),
		TTL:   200*time.Millisecond + g.randomDuration(6*time.Second),
		Retry: g.chance(0.1), Reconnect: g.chance(0.05),
	}
	if g.chance(0.8) {
		event.Session = fmt.Sprint("s", g.random.IntN(120))
	}
	if g.chance(0.6) { // prefixes with low numbers are the most frequent
		event.Prefix, event.PrefixLen = fmt.Sprint(
			"p", int(40*g.random.Float64()*g.random.Float64()*g.random.Float64()),
		), 20+g.random.IntN(3000)
		event.PromptTokens += event.PrefixLen
	}
	if g.chance(0.3) {
		event.DurationHint = g.randomDuration(20 * time.Second)
	}
	if len(g.set.Tenants) > 0 {
		event.Tenant = []string{"a", "a", "a", "b", "c", ""}[g.random.IntN(6)]
	}
	if g.chance(0.005) {
		event.Class = "unknown"
	}
	if g.chance(0.005) {
		event.TTL = 10 * time.Millisecond
	}
	req := &goldenRequest{event: event}
	g.requests[event.ID] = req
	if g.chance(0.05) { // the client disconnects early
		g.schedule(g.now+g.randomDuration(event.TTL), func() { g.disconnect(req) })
	}
	g.schedule(g.now+event.TTL, func() { g.disconnect(req) })
	g.handle(event)
	if g.chance(0.002) && !req.ended { // duplicate event
		g.handle(event)
	}
}

// disconnect simulates the disconnect of a request's client, unless the answer has started.
func (g *goldenSimulation) disconnect(req *goldenRequest) {
	if req.ended || req.inFlight != nil && req.inFlight.streaming {
		return
	}
	req.ended = true
	if req.inFlight == nil {
		delete(g.requests, req.event.ID)
	}
	g.handle(routing.ClientGone{ID: req.event.ID})
}

// engine returns the engine with a name.
func (g *goldenSimulation) engine(name string) *goldenEngine {
	i := slices.IndexFunc(g.engines, func(e *goldenEngine) bool { return e.info.Name == name })
	if i < 0 {
		g.t.Fatalf("unknown engine %q", name)
	}
	return g.engines[i]
}

// send sends an attempt to an engine and schedules its random result.
func (g *goldenSimulation) send(a routing.Send) {
	req, e := g.requests[a.ID], g.engine(a.Engine)
	if req == nil || req.inFlight != nil || req.ended {
		g.t.Fatalf("Send for request %d, which has ended or has an attempt in flight", a.ID)
	}
	attempt := &goldenAttempt{number: req.attempts, engine: e, sentAt: g.now}
	req.attempts++
	req.inFlight = attempt
	g.sentAttempts++
	if a.Timeout > 0 {
		g.schedule(g.now+a.Timeout, func() { g.endAttempt(req, attempt, routing.StatusTimeout) })
	}
	if status, delay, fails := g.randomFailure(req, e); fails {
		if delay >= 0 {
			g.schedule(g.now+delay, func() { g.endAttempt(req, attempt, status) })
		}
		return
	}
	latency := g.enqueue(req, e)
	g.schedule(g.now+latency, func() {
		if attempt.ended {
			return
		}
		e.queued--
		e.queuedTokens = max(0, e.queuedTokens-float64(req.event.PromptTokens))
		if e.info.Kind == "r" {
			g.endAttempt(req, attempt, routing.StatusPrefilled)
			return
		}
		g.startStream(req, attempt)
	})
}

// enqueue adds a request to an engine's queue and returns its time in the queue and in service.
func (g *goldenSimulation) enqueue(req *goldenRequest, e *goldenEngine) time.Duration {
	serviceTime := 15 * time.Millisecond
	if e.info.Kind != "w" || !req.hasState {
		serviceTime += time.Duration(req.event.PromptTokens) * 15 * time.Microsecond
	}
	switch e.fault {
	case "slow":
		serviceTime *= 6
	case "busy": // with work of other gateways
		serviceTime += g.randomDuration(200 * time.Millisecond)
	}
	e.queued++
	e.queuedTokens += float64(req.event.PromptTokens)
	e.idleAt = max(e.idleAt, g.now) + serviceTime
	return e.idleAt - g.now + g.randomDuration(4*time.Millisecond)
}

// randomFailure returns whether an attempt fails, with which status and after which delay. An attempt with a
// delay below 0 never ends.
func (g *goldenSimulation) randomFailure(
	req *goldenRequest, e *goldenEngine,
) (status routing.Status, delay time.Duration, fails bool) {
	delay = g.randomDuration(40 * time.Millisecond)
	switch {
	case e.info.Phase == routing.PhaseRemoved:
		return routing.StatusConnectFailed, delay, true
	case e.fault == "unresponsive" || g.chance(0.003):
		return 0, -1, true
	case e.fault == "failing" && g.chance(0.8):
		return []routing.Status{
			routing.StatusError, routing.StatusReset, routing.StatusConnectFailed,
		}[g.random.IntN(3)], delay, true
	case e.fault == "rate limit" && (req.event.Class == "batch" || req.event.Tenant == "b"):
		return routing.StatusRejected, delay, true
	case e.queued > 25:
		return routing.StatusRejected, delay, true
	case g.chance(0.02):
		return routing.Status(2 + g.random.IntN(7)), delay, true
	}
	return 0, 0, false
}

// startStream starts the answer and schedules its end.
func (g *goldenSimulation) startStream(req *goldenRequest, attempt *goldenAttempt) {
	attempt.streaming = true
	e := attempt.engine
	e.memory = min(1.2, e.memory+0.03)
	g.handle(routing.FirstToken{
		ID: req.event.ID, Attempt: attempt.number, Engine: e.info.Name, Latency: g.now - attempt.sentAt,
	})
	status := routing.StatusServed
	if g.chance(0.03) {
		status = routing.StatusReset
	}
	g.schedule(g.now+100*time.Millisecond+g.randomDuration(2*time.Second), func() {
		e.memory = max(0, e.memory-0.03)
		g.endAttempt(req, attempt, status)
	})
}

// endAttempt reports the outcome of an attempt, unless it has ended already.
func (g *goldenSimulation) endAttempt(req *goldenRequest, attempt *goldenAttempt, status routing.Status) {
	if attempt.ended ||
		attempt.streaming && (status == routing.StatusTimeout || status == routing.StatusCancelled) {
		return
	}
	attempt.ended, req.inFlight = true, nil
	id := req.event.ID
	req.hasState = status == routing.StatusPrefilled || req.hasState && attempt.engine.info.Kind == "w"
	final := req.ended || attempt.streaming || status == routing.StatusServed
	if final {
		req.ended = true
		delete(g.requests, id)
	}
	event := routing.Outcome{
		ID: id, Attempt: attempt.number, Engine: attempt.engine.info.Name, Status: status,
		Latency: g.now - attempt.sentAt, Final: final, Report: g.report(attempt.engine),
	}
	if status == routing.StatusPrefilled || status == routing.StatusServed {
		event.CachedTokens = g.random.IntN(req.event.PromptTokens)
	}
	if status == routing.StatusRejected && attempt.engine.info.Kind == "w" && g.chance(0.2) {
		event.StateMissing, req.hasState = true, false
	}
	g.handle(event)
	if g.chance(0.002) { // duplicate event
		g.handle(event)
	}
}

// report returns an engine's load report with the fields of the test case.
func (g *goldenSimulation) report(e *goldenEngine) *routing.LoadReport {
	if g.testCase.reports == "" || g.chance(0.2) {
		return nil
	}
	load := &routing.LoadReport{}
	for _, field := range g.testCase.reports {
		switch field {
		case 'w':
			v := e.queuedTokens * (0.6 + 0.8*g.random.Float64())
			load.WaitingTokens = &v
		case 'm':
			v := e.memory
			load.MemoryUsed = &v
		case 'q':
			v := float64(e.queued) + float64(g.random.IntN(3))
			load.QueueLength = &v
		}
	}
	return load
}

// answerProbe answers a probe or drops it.
func (g *goldenSimulation) answerProbe(name string) {
	e := g.engine(name)
	if e.fault == "unresponsive" || g.chance(0.1) {
		return
	}
	g.schedule(g.now+g.randomDuration(60*time.Millisecond), func() {
		if e.info.Phase == routing.PhaseRemoved {
			g.handle(routing.ProbeResult{Engine: name, Status: routing.StatusConnectFailed})
			return
		}
		g.handle(routing.ProbeResult{
			Engine: name, Status: routing.StatusServed, Latency: time.Millisecond, Report: g.report(e),
		})
	})
}

// sendEngineList sends an engine list to the Router. It may still contain removed engines.
func (g *goldenSimulation) sendEngineList(scope routing.EngineListScope) {
	event := routing.EngineList{Scope: scope}
	for _, e := range g.engines {
		if scope != routing.EngineListFailed && (e.info.Phase != routing.PhaseRemoved || g.chance(0.5)) {
			event.Engines = append(event.Engines, e.info)
		}
	}
	g.handle(event)
}

// injectFault makes a random engine faulty, or restarts, drains or removes it, and schedules its recovery.
func (g *goldenSimulation) injectFault() {
	if g.now > goldenDuration+g.testCase.pause {
		return
	}
	g.schedule(g.now+200*time.Millisecond+g.randomDuration(1500*time.Millisecond), g.injectFault)
	e := g.engines[g.random.IntN(14)]
	update := func(phase routing.Phase, startTime time.Duration) {
		e.info.Phase, e.info.StartTime = phase, startTime
		if g.chance(0.3) {
			g.sendEngineList(routing.EngineListSnapshot)
			return
		}
		g.handle(routing.EngineList{Engines: []routing.EngineInfo{e.info}})
	}
	recoveryTime := g.now + 500*time.Millisecond + g.randomDuration(4*time.Second)
	switch fault := []string{
		"slow", "busy", "unresponsive", "failing", "rate limit", "restart", "drain", "remove",
	}[g.random.IntN(8)]; fault {
	case "restart":
		update(routing.PhaseActive, g.now)
	case "drain":
		update(routing.PhaseDraining, e.info.StartTime)
		g.schedule(recoveryTime, func() { update(routing.PhaseActive, e.info.StartTime) })
	case "remove":
		update(routing.PhaseRemoved, e.info.StartTime)
		g.schedule(recoveryTime, func() { update(routing.PhaseActive, g.now) })
	default:
		e.fault = fault
		g.schedule(recoveryTime, func() { e.fault = "" })
	}
}
