package routing

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// attempt is the test's own record of an attempt that is out.
type attempt struct {
	id     RequestID
	number int
	engine EngineInfo
	begun  bool
}

// TestRulesUnderHostileEvents drives random legal events and checks the rules on every action.
func TestRulesUnderHostileEvents(t *testing.T) {
	for seed := range uint64(30) {
		first := hostileRun(t, seed)
		if again := hostileRun(t, seed); !reflect.DeepEqual(first, again) {
			t.Fatalf("seed %d: the same events gave other actions", seed)
		}
	}
}

// hostileSpan is how long requests come in a run.
const hostileSpan = 20 * time.Second

// hostileWorld is a run of random legal events with the test's own account of what they mean.
type hostileWorld struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	router  *Router
	set     Settings
	names   []string // of the engines
	engines map[string]EngineInfo

	now     time.Duration
	timer   time.Duration // -1 for none
	nextID  RequestID
	actions []Action
	out     []attempt
	live    map[RequestID]Request
	due     map[RequestID]time.Duration
	counts  map[RequestID]int           // of attempts
	maybe   map[RequestID][]attempt     // attempts that may have run
	sentAt  map[RequestID]time.Duration // when the first that may have run was sent
	holding map[RequestID]time.Duration // since when a state is held with nothing out
}

func newHostileWorld(t *testing.T, seed uint64) *hostileWorld {
	w := &hostileWorld{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), set: testSettings(), timer: -1, nextID: 1,
		engines: map[string]EngineInfo{}, live: map[RequestID]Request{}, due: map[RequestID]time.Duration{},
		counts: map[RequestID]int{}, maybe: map[RequestID][]attempt{}, sentAt: map[RequestID]time.Duration{},
		holding: map[RequestID]time.Duration{},
	}
	for i := range 9 {
		s := testEngine(fmt.Sprint("n", i), []string{"r", "w", "m"}[i%3], i%2)
		w.engines[s.Name] = s
		w.names = append(w.names, s.Name)
	}
	router, err := New(w.set, seed)
	if err != nil {
		t.Fatal(err)
	}
	w.router = router
	w.roster(EngineListStale)
	return w
}

// hostileRun plays one run and returns all actions of the router.
func hostileRun(t *testing.T, seed uint64) []Action {
	w := newHostileWorld(t, seed)
	for w.now < hostileSpan || len(w.out) > 0 || len(w.live) > 0 {
		w.now += time.Duration(w.random.IntN(8)) * ms
		if w.timer >= 0 && w.now >= w.timer {
			w.timer = -1
			w.handle(TimerFired{Name: "tick"})
		}
		w.checkHeld()
		w.checkAnswered()
		w.expire()
		w.step()
	}
	w.checkClosed()
	return w.actions
}

func (w *hostileWorld) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d: %s", w.seed, fmt.Sprintf(format, args...))
}

// outOf returns where the attempt of a request is that is out, -1 for none.
func (w *hostileWorld) outOf(id RequestID) int {
	return slices.IndexFunc(w.out, func(a attempt) bool { return a.id == id })
}

// handle gives the router an event and checks what it does.
func (w *hostileWorld) handle(ev Event) {
	for _, action := range w.router.Handle(w.now, ev) {
		w.actions = append(w.actions, action)
		switch a := action.(type) {
		case SetTimer:
			w.timer = w.now + a.After
		case Send:
			w.sent(a)
		case Reject:
			w.refused(a.ID)
		case Fail:
			if _, open := w.live[a.ID]; !open {
				w.fail("a second final answer for %d", a.ID)
			}
			delete(w.live, a.ID)
		case Release:
			delete(w.holding, a.ID)
		}
	}
}

// sent checks an attempt that the router makes, and takes it into the account.
func (w *hostileWorld) sent(a Send) {
	q, open := w.live[a.ID]
	s := w.engines[a.Engine]
	switch {
	case !open:
		w.fail("send for %d, which has ended", a.ID)
	case w.outOf(a.ID) >= 0:
		w.fail("two attempts of %d out", a.ID)
	case s.Phase != PhaseActive:
		w.fail("send to %s, which is leaving", a.Engine)
	case w.counts[a.ID] >= w.set.MaxAttempts:
		w.fail("too many attempts")
	}
	for _, m := range w.maybe[a.ID] {
		if q.Class == "once" || q.Class == "keyed" && (m.engine.Cell != s.Cell || w.now-w.sentAt[a.ID] > 2*time.Second) {
			w.fail("%s request %d may run twice", q.Class, a.ID)
		}
	}
	if len(w.maybe[a.ID]) == 0 {
		w.sentAt[a.ID] = w.now
	}
	delete(w.holding, a.ID)
	w.out = append(w.out, attempt{id: a.ID, number: w.counts[a.ID], engine: s})
	w.counts[a.ID]++
}

func (w *hostileWorld) refused(id RequestID) {
	q, open := w.live[id]
	if !open || q.Class != "c" && len(w.maybe[id]) > 0 {
		w.fail("request %d (%s) refused though it may have run or ended", id, q.Class)
	}
	delete(w.live, id)
}

// roster tells the router of all engines.
func (w *hostileWorld) roster(scope EngineListScope) {
	ev := EngineList{Scope: scope}
	for _, n := range w.names {
		ev.Engines = append(ev.Engines, w.engines[n])
	}
	w.handle(ev)
}

// end ends the i-th attempt that is out.
func (w *hostileWorld) end(i int, st Status) {
	a := w.out[i]
	w.out = append(w.out[:i], w.out[i+1:]...)
	_, open := w.live[a.id]
	final := !open || a.begun || st == StatusServed
	if final {
		delete(w.live, a.id)
	}
	if a.engine.Kind != "r" && (st == StatusError || st == StatusTimeout || st == StatusReset || st == StatusCancelled) {
		w.maybe[a.id] = append(w.maybe[a.id], a)
	}
	if st == StatusPrefilled {
		w.holding[a.id] = w.now
	} else if _, kept := w.holding[a.id]; kept || a.engine.Kind == "w" && !a.begun && st != StatusServed {
		w.holding[a.id] = w.now
	}
	if a.begun {
		delete(w.holding, a.id)
	}
	w.handle(Outcome{
		ID: a.id, Attempt: a.number, Engine: a.engine.Name, Status: st, Latency: 5 * ms, Final: final,
		CachedTokens: w.random.IntN(500),
	})
}

// expire ends the attempts whose deadline has passed.
func (w *hostileWorld) expire() {
	for i := 0; i < len(w.out); i++ {
		if a := w.out[i]; !a.begun && w.now >= w.due[a.id] {
			w.end(i, StatusTimeout)
			i = -1
		}
	}
}

// step has something happen: a request comes or is given up, the list changes, or an attempt
// goes on or ends.
func (w *hostileWorld) step() {
	switch k := w.random.IntN(10); {
	case k < 2 && w.now < hostileSpan:
		w.request()
	case k < 3 && w.random.IntN(20) == 0:
		w.changeList()
	case k < 4 && len(w.out) > 0 && w.random.IntN(10) == 0:
		if a := w.out[w.random.IntN(len(w.out))]; !a.begun {
			delete(w.live, a.id)
			w.handle(ClientGone{ID: a.id})
		}
	case len(w.out) > 0:
		w.advance(w.random.IntN(len(w.out)))
	}
}

func (w *hostileWorld) request() {
	id := w.nextID
	w.nextID++
	q := testRequest(id, 100+w.random.IntN(6000))
	q.Class = []string{"c", "keyed", "once"}[w.random.IntN(3)]
	q.TTL = time.Duration(10+w.random.IntN(3000)) * ms
	w.live[id], w.due[id] = q, w.now+q.TTL
	w.handle(q)
}

// changeList has one engine start, drain or leave.
func (w *hostileWorld) changeList() {
	name := w.names[w.random.IntN(len(w.names))]
	s := w.engines[name]
	s.Phase, s.StartTime = Phase(w.random.IntN(3)), w.now
	if w.random.IntN(2) == 0 {
		s.Phase = PhaseActive
	}
	w.engines[name] = s
	w.roster([]EngineListScope{EngineListDelta, EngineListSnapshot}[w.random.IntN(2)])
}

// advance has the i-th attempt that is out begin its answer, or end.
func (w *hostileWorld) advance(i int) {
	a := w.out[i]
	fail := []Status{StatusError, StatusRejected, StatusTimeout, StatusConnectFailed, StatusReset}[w.random.IntN(5)]
	switch {
	case a.begun && w.random.IntN(4) > 0:
		w.end(i, StatusServed)
	case a.begun:
		w.end(i, StatusReset)
	case w.random.IntN(4) == 0:
		w.end(i, fail)
	case a.engine.Kind == "r":
		w.end(i, StatusPrefilled)
	default:
		w.out[i].begun = true
		delete(w.holding, a.id)
		w.handle(FirstToken{ID: a.id, Attempt: a.number, Engine: a.engine.Name, Latency: 5 * ms})
	}
}

func (w *hostileWorld) checkHeld() {
	for id, since := range w.holding {
		if w.outOf(id) < 0 && w.now-since > w.set.HeldStateLimit {
			w.fail("the state of %d stayed pinned", id)
		}
	}
}

func (w *hostileWorld) checkAnswered() {
	for id, due := range w.due {
		if _, open := w.live[id]; !open || w.now <= due+16*ms {
			continue
		}
		if i := w.outOf(id); i < 0 || !w.out[i].begun {
			w.fail("request %d got no final answer in time", id)
		}
	}
}

// checkClosed checks that the router keeps nothing of requests that have ended.
func (w *hostileWorld) checkClosed() {
	if len(w.router.requests) != 0 || len(w.router.holdQueue.requests) != 0 {
		w.fail("%d requests left behind", len(w.router.requests))
	}
	for _, e := range w.router.engines.ordered {
		if e.prefills != 0 || e.heldStates != 0 || e.answers != 0 || len(e.inFlight) != 0 {
			w.fail("the account of %s does not close: %+v", e.Name, e)
		}
	}
}
