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

// The hashes below are of every action that the Router takes under drawn events, in order, each
// with its time. They pin today's decisions: a change of shape or of names leaves them as they
// are. A change that is meant to decide otherwise replaces them and says so in its commit. Kinds
// of actions are hashed as numbers, times as integers, so that no Go name is in what is hashed.
// The figures hold for amd64, where no floating-point operations are fused.

// goldenCase is one setting under which drawn events are played.
type goldenCase struct {
	name  string
	load  float64 // of what the engines bear
	tell  string  // what reports carry: w waiting tokens, m memory, q queue; "" for no reports
	apply func(*routing.Settings)
	want  [3]string     // hashes for the seeds 1 to 3
	lull  time.Duration // in which no request comes, halfway
}

var goldenCases = []goldenCase{
	{"few routers", 0.8, "", func(*routing.Settings) {},
		[3]string{"706f5dc647e84896", "ab5550b298a03ee4", "7d60cf3c2c8c4717"}, 0},
	{"overload", 2.5, "", func(*routing.Settings) {},
		[3]string{"bf6643c4968aaeb1", "4db7bed2888d12a7", "45831d4fa95055aa"}, 0},
	{"reports", 1.1, "wm", func(*routing.Settings) {},
		[3]string{"9b04cbd72b83e4f4", "5da3ed1e5efe5184", "c7d2577839e616af"}, 0},
	{"no cancel", 1, "m", func(s *routing.Settings) { s.CanCancel, s.CanRetryAfter = false, false },
		[3]string{"140889576f62a14b", "da7d88da3ad09154", "0501c93ed8a95b43"}, 0},
	{"decode engines read", 1.4, "wm", func(s *routing.Settings) { s.DecodePrefills, s.MaxAttempts = true, 3 },
		[3]string{"d285a9a1bfb30876", "66b4a00f6f065c34", "920da7bb21a2379d"}, 0},
	{"must subscribe", 0.9, "w", func(s *routing.Settings) { s.MustSubscribe, s.Gateways = true, 1 },
		[3]string{"ccb7e5a057dcc2c8", "ba0f905dab1eba37", "b00dbd602985378d"}, 0},
	{"many routers, probes", 0.9, "qm", func(s *routing.Settings) { s.CanProbe, s.Gateways = true, 80 },
		[3]string{"eb420aa11de35861", "ce6eda06f2508b5e", "8ba04ba61c0cd4aa"}, 0},
	{"many routers, no probes", 0.9, "", func(s *routing.Settings) { s.Gateways = 30 },
		[3]string{"f902d5abf5b0c142", "07a457f7976b1b2e", "eedb42e075f3c113"}, 0},
	{"ten routers, probes", 1.3, "wqm", func(s *routing.Settings) { s.CanProbe, s.Gateways, s.DecodePrefills = true, 10, true },
		[3]string{"5443f41b255dd6d2", "b79a7b1c7ed35782", "119f7565a1a7174f"}, 0},
	{"late arrivals", 1, "m", func(s *routing.Settings) { s.MaxSendDelay, s.MaxAttempts = 250*time.Millisecond, 4 },
		[3]string{"7cc54d95aa9d56df", "00d9a58a4b5187ea", "19a977eb8d48c654"}, 0},
	{"tenants", 1.2, "m", func(s *routing.Settings) {
		s.Tenants = []routing.Tenant{{Name: "a", Quota: 20}, {Name: "b", Quota: 0.4}, {Name: "c"}}
		s.OverQuotaWeight = 0.3
	}, [3]string{"95842abc6e491056", "e02dae6614db60a9", "967b19b617931ce1"}, 0},
	{"tenants, nothing above a quota", 0.7, "wm", func(s *routing.Settings) {
		s.Tenants = []routing.Tenant{{Name: "a", Quota: 10}, {Name: "b", Quota: 0.4}}
	}, [3]string{"3b48419255bfeab3", "bda4252f3a47a737", "12ac9a3d2b745559"}, 0},
	{"a lull", 1, "", func(*routing.Settings) {},
		[3]string{"6acc5bb7f6577547", "141b7946c79fa3a2", "8d1b2e1b87e48e47"}, 50 * time.Second},
}

func TestActionsAreAsRecorded(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("the hashes are of amd64")
	}
	for _, c := range goldenCases {
		for i, want := range c.want {
			t.Run(fmt.Sprint(c.name, "/", i+1), func(t *testing.T) {
				t.Parallel()
				w := newGoldenWorld(t, c, uint64(i+1))
				got := w.play()
				if w.sent < 500 {
					t.Errorf("only %d attempts were made", w.sent)
				}
				if got != want {
					t.Errorf("actions hash to %s, recorded are %s", got, want)
				}
			})
		}
	}
}

// goldenSettings are settings with a class of each effect, and a kind of each role.
func goldenSettings() routing.Settings {
	const ms = time.Millisecond
	return routing.Settings{
		Zone: "z", Zones: []string{"z", "y"}, Gateways: 2, MaxAttempts: 6, CanCancel: true, CanRetryAfter: true,
		MaxRetryAfter: time.Second,
		Classes: []routing.Class{
			{Name: "chat", FirstTokenObjective: time.Second, FirstTokenPerPromptToken: 40 * time.Microsecond, TokenIntervalObjective: 50 * ms, PriorityWeight: 1},
			{Name: "batch", FirstTokenObjective: 4 * time.Second, TokenIntervalObjective: 90 * ms, PriorityWeight: 0.4},
			{Name: "cell", FirstTokenObjective: time.Second, PriorityWeight: 2, Effect: routing.EffectDeduplicated, DedupScope: routing.DedupCell, DedupWindow: 2 * time.Second},
			{Name: "zone", FirstTokenObjective: time.Second, PriorityWeight: 2, Effect: routing.EffectDeduplicated, DedupScope: routing.DedupZone, DedupWindow: time.Second},
			{Name: "all", FirstTokenObjective: time.Second, PriorityWeight: 2, Effect: routing.EffectDeduplicated, DedupScope: routing.DedupAllEngines, DedupWindow: time.Second},
			{Name: "once", FirstTokenObjective: time.Second, PriorityWeight: 3, Effect: routing.EffectAtMostOnce},
		},
		Kinds: []routing.EngineKind{
			{Name: "r", Role: routing.RolePrefill, Memory: 2e5}, {Name: "w", Role: routing.RoleDecode, Memory: 6e4},
			{Name: "m", Role: routing.RoleMixed, Memory: 5e4}, {Name: "x"},
		},
		SlowStartPeriod: 5 * time.Second, SlowStartCapacity: 0.3, OverloadWindow: 2 * time.Second, OverloadMultiple: 3,
		HeldStateLimit: 500 * ms, TickInterval: ms,
	}
}

// goldenEngine is an engine as the world plays it.
type goldenEngine struct {
	info    routing.EngineInfo
	free    time.Duration // when its queue is done
	waiting int
	tokens  float64 // that wait to be read
	memory  float64 // share
	trouble string  // "" for none
}

// goldenAttempt is an attempt that is out.
type goldenAttempt struct {
	number int
	engine *goldenEngine
	sent   time.Duration
	begun  bool
	over   bool
}

// goldenTry is a client's try.
type goldenTry struct {
	request  routing.Request
	attempts int
	out      *goldenAttempt
	ended    bool // answered, or the client has left
	prefill  bool // its state waits at a prefill engine
}

type goldenEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type goldenAgenda []goldenEvent

func (a goldenAgenda) Len() int { return len(a) }
func (a goldenAgenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a goldenAgenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *goldenAgenda) Push(x any)   { *a = append(*a, x.(goldenEvent)) }
func (a *goldenAgenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// goldenWorld plays engines, clients and troubles before one Router.
type goldenWorld struct {
	t       *testing.T
	c       goldenCase
	set     routing.Settings
	random  *rand.Rand
	router  *routing.Router
	hash    hash.Hash
	now     time.Duration
	agenda  goldenAgenda
	seq     int
	engines []*goldenEngine
	tries   map[routing.RequestID]*goldenTry
	lastID  routing.RequestID
	sent    int
}

// goldenLength is how long requests come.
const goldenLength = 40 * time.Second

func newGoldenWorld(t *testing.T, c goldenCase, seed uint64) *goldenWorld {
	t.Helper()
	w := &goldenWorld{
		t: t, c: c, set: goldenSettings(), random: rand.New(rand.NewPCG(seed, 45)), hash: sha256.New(),
		tries: map[routing.RequestID]*goldenTry{},
	}
	c.apply(&w.set)
	for i := range 14 {
		info := routing.EngineInfo{
			Name: fmt.Sprint("e", i), Kind: []string{"r", "w", "r", "w", "m", "r", "w"}[i%7], Zone: []string{"z", "y"}[i/7],
			Cell: i % 3, Weight: []float64{1, 0.5, 2, 0}[i%4],
		}
		w.engines = append(w.engines, &goldenEngine{info: info, memory: 0.3})
	}
	for _, odd := range []routing.EngineInfo{{Name: "odd1", Kind: "x", Zone: "z"}, {Name: "odd2", Kind: "r", Zone: "far"}} {
		w.engines = append(w.engines, &goldenEngine{info: odd})
	}
	router, err := routing.New(w.set, seed)
	if err != nil {
		t.Fatal(err)
	}
	w.router = router
	return w
}

// play plays one run and returns the hash of all actions.
func (w *goldenWorld) play() string {
	w.tellAll(routing.EngineListStale)
	w.at(0, w.arrive)
	w.at(time.Second, w.trouble)
	w.at(goldenLength/3, w.retune)
	w.at(goldenLength/2, func() { w.tell(routing.GatewaysChanged{Gateways: w.set.Gateways + 3}) })
	w.at(goldenLength/2+time.Second, func() { w.tell(routing.GatewaysChanged{}) })
	w.at(goldenLength/2+time.Second, func() { w.tell(routing.ProbeResult{Engine: "unknown"}) })
	w.at(goldenLength*3/4, func() { w.tell(routing.GatewaysChanged{Gateways: w.set.Gateways}) })
	end := goldenLength + w.c.lull
	w.at(end, func() { w.tell(routing.ShuttingDown{}) })
	w.at(end+300*time.Millisecond, func() { w.tell(routing.ShuttingDown{Final: true}) })
	for len(w.agenda) > 0 {
		e := heap.Pop(&w.agenda).(goldenEvent)
		w.now = e.at
		e.do()
	}
	w.ask()
	return hex.EncodeToString(w.hash.Sum(nil)[:8])
}

// retune takes new classes and attempts into the running Router: one class is dropped, one has
// another aim.
func (w *goldenWorld) retune() {
	classes := slices.Clone(w.set.Classes)
	classes = slices.Delete(classes, 3, 4)
	classes[0].FirstTokenObjective, classes[1].PriorityWeight = 700*time.Millisecond, 0.8
	if err := w.router.Reconfigure(classes, w.set.MaxAttempts+1); err != nil {
		w.t.Fatal(err)
	}
	if err := w.router.Reconfigure(nil, 0); err == nil {
		w.t.Fatal("settings with no class were taken")
	}
}

// ask hashes what the Router tells when asked.
func (w *goldenWorld) ask() {
	flag := func(is bool) int64 {
		if is {
			return 1
		}
		return 0
	}
	for _, name := range []string{"a", "b", "c", ""} {
		s, has := w.router.QuotaStatus(name)
		w.put(0, flag(has), int64(s.Burst*1e6), int64(s.Remaining*1e6), int64(s.ResetIn))
	}
	for _, c := range append(w.set.Classes, routing.Class{Name: "unknown"}) {
		w.put(0, flag(w.router.Idempotent(c.Name)))
	}
	for _, k := range append(w.set.Kinds, routing.EngineKind{Name: "unknown"}) {
		w.put(0, flag(w.router.CanPrefill(k.Name)))
	}
}

func (w *goldenWorld) at(t time.Duration, do func()) {
	w.seq++
	heap.Push(&w.agenda, goldenEvent{max(t, w.now), w.seq, do})
}

func (w *goldenWorld) chance(p float64) bool { return w.random.Float64() < p }

// upTo draws a time below most.
func (w *goldenWorld) upTo(most time.Duration) time.Duration {
	return time.Duration(w.random.Float64() * float64(most))
}

func (w *goldenWorld) tell(event routing.Event) {
	for _, action := range slices.Clone(w.router.Handle(w.now, event)) {
		w.record(action)
		w.act(action)
	}
}

// The numbers of the kinds of actions in what is hashed.
const (
	goldenSend = iota + 1
	goldenRefuse
	goldenFail
	goldenCancel
	goldenRelease
	goldenTimer
	goldenProbe
	goldenSubscribe
)

// record hashes one action: its time, the number of its kind, and its fields in order.
func (w *goldenWorld) record(action routing.Action) {
	switch a := action.(type) {
	case routing.Send:
		w.put(goldenSend, int64(a.ID), int64(a.Timeout))
		w.putName(a.Engine)
	case routing.Reject:
		quota := int64(0)
		if a.OverQuota {
			quota = 1
		}
		w.put(goldenRefuse, int64(a.ID), int64(a.RetryAfter), quota)
	case routing.Fail:
		w.put(goldenFail, int64(a.ID))
	case routing.CancelAttempt:
		w.put(goldenCancel, int64(a.ID), int64(a.Attempt))
	case routing.Release:
		w.put(goldenRelease, int64(a.ID))
	case routing.SetTimer:
		w.put(goldenTimer, int64(a.After))
		w.putName(a.Name)
	case routing.Probe:
		w.put(goldenProbe)
		w.putName(a.Engine)
	case routing.Subscribe:
		w.put(goldenSubscribe)
	default:
		w.t.Fatalf("an action of a kind with no number: %v", action)
	}
}

func (w *goldenWorld) put(kind int64, values ...int64) {
	b := binary.BigEndian.AppendUint64(nil, uint64(w.now))
	for _, v := range append([]int64{kind}, values...) {
		b = binary.BigEndian.AppendUint64(b, uint64(v))
	}
	w.hash.Write(b)
}

func (w *goldenWorld) putName(name string) {
	w.hash.Write(append(binary.BigEndian.AppendUint64(nil, uint64(len(name))), name...))
}

// act does what the Router asks for.
func (w *goldenWorld) act(action routing.Action) {
	switch a := action.(type) {
	case routing.SetTimer:
		if w.now < goldenLength+w.c.lull+20*time.Second {
			w.at(w.now+a.After, func() { w.tell(routing.TimerFired{Name: a.Name}) })
		}
	case routing.Send:
		w.send(a)
	case routing.Reject:
		w.answered(a.ID)
	case routing.Fail:
		w.answered(a.ID)
	case routing.CancelAttempt:
		try := w.tries[a.ID]
		if try == nil || try.out == nil || try.out.number != a.Attempt || try.out.begun {
			return
		}
		out := try.out
		w.at(w.now+w.upTo(3*time.Millisecond), func() { w.end(try, out, routing.StatusCancelled) })
	case routing.Probe:
		w.probe(a.Engine)
	case routing.Subscribe:
		scope := routing.EngineListSnapshot
		if w.chance(0.4) {
			scope = routing.EngineListFailed
		}
		w.at(w.now+20*time.Millisecond, func() { w.tellAll(scope) })
	}
}

// answered takes a final answer.
func (w *goldenWorld) answered(id routing.RequestID) {
	try := w.tries[id]
	if try == nil || try.ended {
		w.t.Fatalf("a final answer for %d, which is not open", id)
	}
	try.ended = true
	if try.out == nil {
		delete(w.tries, id)
	}
}

// arrive has a request come, and the next one later.
func (w *goldenWorld) arrive() {
	if w.now >= goldenLength+w.c.lull+time.Second {
		return
	}
	rate := 60 * w.c.load
	if second := int(w.now.Seconds()); second%11 > 8 { // a burst
		rate *= 3
	}
	next := w.now + time.Duration(w.random.ExpFloat64()/rate*float64(time.Second))
	if half := goldenLength / 2; w.now < half && next >= half {
		next += w.c.lull
	}
	w.at(next, w.arrive)
	w.lastID++
	q := routing.Request{
		ID: w.lastID, Class: w.set.Classes[min(w.random.IntN(9), len(w.set.Classes)-1)].Name,
		PromptTokens: 50 + w.random.IntN(5000), MaxTokens: 100 + w.random.IntN(400),
		TTL: 200*time.Millisecond + w.upTo(6*time.Second), Retry: w.chance(0.1), Reconnect: w.chance(0.05),
	}
	if w.chance(0.8) {
		q.Session = fmt.Sprint("s", w.random.IntN(120))
	}
	if w.chance(0.6) { // the lower ones are the hot ones
		q.Prefix, q.PrefixLen = fmt.Sprint("p", int(40*w.random.Float64()*w.random.Float64()*w.random.Float64())), 20+w.random.IntN(3000)
		q.PromptTokens += q.PrefixLen
	}
	if w.chance(0.3) {
		q.DurationHint = w.upTo(20 * time.Second)
	}
	if len(w.set.Tenants) > 0 {
		q.Tenant = []string{"a", "a", "a", "b", "c", ""}[w.random.IntN(6)]
	}
	if w.chance(0.005) {
		q.Class = "unknown"
	}
	if w.chance(0.005) {
		q.TTL = 10 * time.Millisecond
	}
	try := &goldenTry{request: q}
	w.tries[q.ID] = try
	if w.chance(0.05) { // a client that leaves early
		w.at(w.now+w.upTo(q.TTL), func() { w.leave(try) })
	}
	w.at(w.now+q.TTL, func() { w.leave(try) })
	w.tell(q)
	if w.chance(0.002) && !try.ended { // the same event twice
		w.tell(q)
	}
}

// leave has a try's client leave, unless its answer has begun.
func (w *goldenWorld) leave(try *goldenTry) {
	if try.ended || try.out != nil && try.out.begun {
		return
	}
	try.ended = true
	if try.out == nil {
		delete(w.tries, try.request.ID)
	}
	w.tell(routing.ClientGone{ID: try.request.ID})
}

func (w *goldenWorld) engine(name string) *goldenEngine {
	i := slices.IndexFunc(w.engines, func(e *goldenEngine) bool { return e.info.Name == name })
	if i < 0 {
		w.t.Fatalf("%q is no engine", name)
	}
	return w.engines[i]
}

// send takes an attempt to an engine and draws what becomes of it.
func (w *goldenWorld) send(a routing.Send) {
	try, e := w.tries[a.ID], w.engine(a.Engine)
	if try == nil || try.out != nil || try.ended {
		w.t.Fatalf("a send for %d, which has ended or is out", a.ID)
	}
	out := &goldenAttempt{number: try.attempts, engine: e, sent: w.now}
	try.attempts++
	try.out = out
	w.sent++
	if a.Timeout > 0 {
		w.at(w.now+a.Timeout, func() { w.end(try, out, routing.StatusTimeout) })
	}
	if status, late, fails := w.failure(try, e); fails {
		if late >= 0 {
			w.at(w.now+late, func() { w.end(try, out, status) })
		}
		return
	}
	took := w.work(try, e)
	w.at(w.now+took, func() {
		if out.over {
			return
		}
		e.waiting--
		e.tokens = max(0, e.tokens-float64(try.request.PromptTokens))
		if e.info.Kind == "r" {
			w.end(try, out, routing.StatusPrefilled)
			return
		}
		w.begin(try, out)
	})
}

// work adds a try to an engine's queue and returns how long its part there takes.
func (w *goldenWorld) work(try *goldenTry, e *goldenEngine) time.Duration {
	span := 15 * time.Millisecond
	if e.info.Kind != "w" || !try.prefill {
		span += time.Duration(try.request.PromptTokens) * 15 * time.Microsecond
	}
	switch e.trouble {
	case "slow":
		span *= 6
	case "busy": // others' work
		span += w.upTo(200 * time.Millisecond)
	}
	e.waiting++
	e.tokens += float64(try.request.PromptTokens)
	e.free = max(e.free, w.now) + span
	return e.free - w.now + w.upTo(4*time.Millisecond)
}

// failure draws whether an attempt fails, how, and after how long: never, if that is below 0.
func (w *goldenWorld) failure(try *goldenTry, e *goldenEngine) (routing.Status, time.Duration, bool) {
	soon := w.upTo(40 * time.Millisecond)
	switch {
	case e.info.Phase == routing.PhaseRemoved:
		return routing.StatusConnectFailed, soon, true
	case e.trouble == "silent" || w.chance(0.003):
		return 0, -1, true
	case e.trouble == "failing" && w.chance(0.8):
		return []routing.Status{routing.StatusError, routing.StatusReset, routing.StatusConnectFailed}[w.random.IntN(3)], soon, true
	case e.trouble == "limits" && (try.request.Class == "batch" || try.request.Tenant == "b"):
		return routing.StatusRejected, soon, true
	case e.waiting > 25:
		return routing.StatusRejected, soon, true
	case w.chance(0.02):
		return routing.Status(2 + w.random.IntN(7)), soon, true
	}
	return 0, 0, false
}

// begin has an answer begin, and end later.
func (w *goldenWorld) begin(try *goldenTry, out *goldenAttempt) {
	out.begun = true
	e := out.engine
	e.memory = min(1.2, e.memory+0.03)
	w.tell(routing.FirstToken{ID: try.request.ID, Attempt: out.number, Engine: e.info.Name, Latency: w.now - out.sent})
	status := routing.StatusServed
	if w.chance(0.03) {
		status = routing.StatusReset
	}
	w.at(w.now+100*time.Millisecond+w.upTo(2*time.Second), func() {
		e.memory = max(0, e.memory-0.03)
		w.end(try, out, status)
	})
}

// end reports the end of an attempt, if it has not ended yet.
func (w *goldenWorld) end(try *goldenTry, out *goldenAttempt, status routing.Status) {
	if out.over || out.begun && (status == routing.StatusTimeout || status == routing.StatusCancelled) {
		return
	}
	out.over, try.out = true, nil
	id := try.request.ID
	try.prefill = status == routing.StatusPrefilled || try.prefill && out.engine.info.Kind == "w"
	final := try.ended || out.begun || status == routing.StatusServed
	if final {
		try.ended = true
		delete(w.tries, id)
	}
	event := routing.Outcome{
		ID: id, Attempt: out.number, Engine: out.engine.info.Name, Status: status, Latency: w.now - out.sent, Final: final,
		Report: w.report(out.engine),
	}
	if status == routing.StatusPrefilled || status == routing.StatusServed {
		event.CachedTokens = w.random.IntN(try.request.PromptTokens)
	}
	if status == routing.StatusRejected && out.engine.info.Kind == "w" && w.chance(0.2) {
		event.StateMissing, try.prefill = true, false
	}
	w.tell(event)
	if w.chance(0.002) { // a report that comes twice
		w.tell(event)
	}
}

// report is an engine's word on its load, as far as the case has it tell.
func (w *goldenWorld) report(e *goldenEngine) *routing.LoadReport {
	if w.c.tell == "" || w.chance(0.2) {
		return nil
	}
	rep := &routing.LoadReport{}
	for _, what := range w.c.tell {
		switch what {
		case 'w':
			v := e.tokens * (0.6 + 0.8*w.random.Float64())
			rep.WaitingTokens = &v
		case 'm':
			v := e.memory
			rep.MemoryUsed = &v
		case 'q':
			v := float64(e.waiting) + float64(w.random.IntN(3))
			rep.QueueLength = &v
		}
	}
	return rep
}

// probe answers a probe, or loses it.
func (w *goldenWorld) probe(name string) {
	e := w.engine(name)
	if e.trouble == "silent" || w.chance(0.1) {
		return
	}
	w.at(w.now+w.upTo(60*time.Millisecond), func() {
		if e.info.Phase == routing.PhaseRemoved {
			w.tell(routing.ProbeResult{Engine: name, Status: routing.StatusConnectFailed})
			return
		}
		w.tell(routing.ProbeResult{Engine: name, Status: routing.StatusServed, Latency: time.Millisecond, Report: w.report(e)})
	})
}

func (w *goldenWorld) tellAll(scope routing.EngineListScope) {
	event := routing.EngineList{Scope: scope}
	for _, e := range w.engines {
		if scope != routing.EngineListFailed && (e.info.Phase != routing.PhaseRemoved || w.chance(0.5)) {
			event.Engines = append(event.Engines, e.info)
		}
	}
	w.tell(event)
}

// trouble has one engine fall into trouble, start, drain or leave, and recover later.
func (w *goldenWorld) trouble() {
	if w.now > goldenLength+w.c.lull {
		return
	}
	w.at(w.now+200*time.Millisecond+w.upTo(1500*time.Millisecond), w.trouble)
	e := w.engines[w.random.IntN(14)]
	change := func(phase routing.Phase, cameUp time.Duration) {
		e.info.Phase, e.info.StartTime = phase, cameUp
		if w.chance(0.3) {
			w.tellAll(routing.EngineListSnapshot)
			return
		}
		w.tell(routing.EngineList{Engines: []routing.EngineInfo{e.info}})
	}
	back := w.now + 500*time.Millisecond + w.upTo(4*time.Second)
	switch what := []string{"slow", "busy", "silent", "failing", "limits", "restart", "drain", "leave"}[w.random.IntN(8)]; what {
	case "restart":
		change(routing.PhaseActive, w.now)
	case "drain":
		change(routing.PhaseDraining, e.info.StartTime)
		w.at(back, func() { change(routing.PhaseActive, e.info.StartTime) })
	case "leave":
		change(routing.PhaseRemoved, e.info.StartTime)
		w.at(back, func() { change(routing.PhaseActive, w.now) })
	default:
		e.trouble = what
		w.at(back, func() { e.trouble = "" })
	}
}
