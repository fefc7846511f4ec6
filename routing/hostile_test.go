package routing

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// attempt is an attempt in flight, as recorded by the test.
type attempt struct {
	id        RequestID
	number    int
	engine    EngineInfo
	streaming bool
}

// TestInvariantsUnderRandomEvents sends random legal events to a Router and checks invariants on every
// action.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	for seed := range uint64(30) {
		first := runRandomEvents(t, seed)
		if second := runRandomEvents(t, seed); !reflect.DeepEqual(first, second) {
			t.Fatalf("seed %d: two runs with the same events returned different actions", seed)
		}
	}
}

// requestPeriod is the simulated time in which a run starts new requests.
const requestPeriod = 20 * time.Second

// randomEventRun sends random legal events to a Router and records independently which requests, attempts
// and held states must exist.
type randomEventRun struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	router  *Router
	set     Settings
	names   []string // engine names
	engines map[string]EngineInfo

	now           time.Duration
	timer         time.Duration // expiry of the timer; -1 for none
	nextID        RequestID
	actions       []Action
	inFlight      []attempt
	open          map[RequestID]Request
	deadlines     map[RequestID]time.Duration
	attemptCounts map[RequestID]int           // number of attempts
	possibleRuns  map[RequestID][]attempt     // attempts that may have been executed
	firstSentAt   map[RequestID]time.Duration // send time of the first attempt that may have been executed
	heldSince     map[RequestID]time.Duration // since when state is held with no attempt in flight
}

func newRandomEventRun(t *testing.T, seed uint64) *randomEventRun {
	w := &randomEventRun{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), set: testSettings(), timer: -1, nextID: 1,
		engines: map[string]EngineInfo{}, open: map[RequestID]Request{}, deadlines: map[RequestID]time.Duration{},
		attemptCounts: map[RequestID]int{}, possibleRuns: map[RequestID][]attempt{},
		firstSentAt: map[RequestID]time.Duration{}, heldSince: map[RequestID]time.Duration{},
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
	w.sendEngineList(EngineListStale)
	return w
}

// runRandomEvents performs one run and returns all actions of the router.
func runRandomEvents(t *testing.T, seed uint64) []Action {
	w := newRandomEventRun(t, seed)
	for w.now < requestPeriod || len(w.inFlight) > 0 || len(w.open) > 0 {
		w.now += time.Duration(w.random.IntN(8)) * ms
		if w.timer >= 0 && w.now >= w.timer {
			w.timer = -1
			w.handle(TimerFired{Name: "tick"})
		}
		w.checkHeld()
		w.checkAnswered()
		w.expireAttempts()
		w.step()
	}
	w.checkNoResidue()
	return w.actions
}

func (w *randomEventRun) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d: %s", w.seed, fmt.Sprintf(format, args...))
}

// indexInFlight returns the index of the attempt in flight for a request, or -1.
func (w *randomEventRun) indexInFlight(id RequestID) int {
	return slices.IndexFunc(w.inFlight, func(a attempt) bool { return a.id == id })
}

// handle sends an event to the router and checks the actions that it returns.
func (w *randomEventRun) handle(ev Event) {
	for _, action := range w.router.Handle(w.now, ev) {
		w.actions = append(w.actions, action)
		switch a := action.(type) {
		case SetTimer:
			w.timer = w.now + a.After
		case Send:
			w.checkSend(a)
		case Reject:
			w.checkReject(a.ID)
		case Fail:
			if _, open := w.open[a.ID]; !open {
				w.fail("second final answer for request %d", a.ID)
			}
			delete(w.open, a.ID)
		case Release:
			delete(w.heldSince, a.ID)
		}
	}
}

// checkSend checks an attempt that the router starts and records it.
func (w *randomEventRun) checkSend(a Send) {
	q, open := w.open[a.ID]
	s := w.engines[a.Engine]
	switch {
	case !open:
		w.fail("send for request %d, which has ended", a.ID)
	case w.indexInFlight(a.ID) >= 0:
		w.fail("two attempts of request %d in flight", a.ID)
	case s.Phase != PhaseActive:
		w.fail("send to %s, which is draining or removed", a.Engine)
	case w.attemptCounts[a.ID] >= w.set.MaxAttempts:
		w.fail("more than MaxAttempts attempts")
	}
	for _, m := range w.possibleRuns[a.ID] {
		if q.Class == "once" ||
			q.Class == "keyed" && (m.engine.Cell != s.Cell || w.now-w.firstSentAt[a.ID] > 2*time.Second) {
			w.fail("%s request %d may be executed twice", q.Class, a.ID)
		}
	}
	if len(w.possibleRuns[a.ID]) == 0 {
		w.firstSentAt[a.ID] = w.now
	}
	delete(w.heldSince, a.ID)
	w.inFlight = append(w.inFlight, attempt{id: a.ID, number: w.attemptCounts[a.ID], engine: s})
	w.attemptCounts[a.ID]++
}

func (w *randomEventRun) checkReject(id RequestID) {
	q, open := w.open[id]
	if !open || q.Class != "c" && len(w.possibleRuns[id]) > 0 {
		w.fail("request %d (%s) rejected although it has ended or may have been executed", id, q.Class)
	}
	delete(w.open, id)
}

// sendEngineList sends an engine list with all engines to the router.
func (w *randomEventRun) sendEngineList(scope EngineListScope) {
	ev := EngineList{Scope: scope}
	for _, n := range w.names {
		ev.Engines = append(ev.Engines, w.engines[n])
	}
	w.handle(ev)
}

// endAttempt ends the i-th attempt in flight.
func (w *randomEventRun) endAttempt(i int, st Status) {
	a := w.inFlight[i]
	w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	_, open := w.open[a.id]
	final := !open || a.streaming || st == StatusServed
	if final {
		delete(w.open, a.id)
	}
	if a.engine.Kind != "r" &&
		(st == StatusError || st == StatusTimeout || st == StatusReset || st == StatusCancelled) {
		w.possibleRuns[a.id] = append(w.possibleRuns[a.id], a)
	}
	if st == StatusPrefilled {
		w.heldSince[a.id] = w.now
	} else if _, held := w.heldSince[a.id]; held || a.engine.Kind == "w" && !a.streaming && st != StatusServed {
		w.heldSince[a.id] = w.now
	}
	if a.streaming {
		delete(w.heldSince, a.id)
	}
	w.handle(Outcome{
		ID: a.id, Attempt: a.number, Engine: a.engine.Name, Status: st, Latency: 5 * ms, Final: final,
		CachedTokens: w.random.IntN(500),
	})
}

// expireAttempts ends the attempts whose deadline has passed.
func (w *randomEventRun) expireAttempts() {
	for i := 0; i < len(w.inFlight); i++ {
		if a := w.inFlight[i]; !a.streaming && w.now >= w.deadlines[a.id] {
			w.endAttempt(i, StatusTimeout)
			i = -1
		}
	}
}

// step performs one random event: a request arrives or its client disconnects, an engine changes, or an
// attempt advances.
func (w *randomEventRun) step() {
	switch k := w.random.IntN(10); {
	case k < 2 && w.now < requestPeriod:
		w.request()
	case k < 3 && w.random.IntN(20) == 0:
		w.changeEngine()
	case k < 4 && len(w.inFlight) > 0 && w.random.IntN(10) == 0:
		if a := w.inFlight[w.random.IntN(len(w.inFlight))]; !a.streaming {
			delete(w.open, a.id)
			w.handle(ClientGone{ID: a.id})
		}
	case len(w.inFlight) > 0:
		w.advance(w.random.IntN(len(w.inFlight)))
	}
}

func (w *randomEventRun) request() {
	id := w.nextID
	w.nextID++
	q := testRequest(id, 100+w.random.IntN(6000))
	q.Class = []string{"c", "keyed", "once"}[w.random.IntN(3)]
	q.TTL = time.Duration(10+w.random.IntN(3000)) * ms
	w.open[id], w.deadlines[id] = q, w.now+q.TTL
	w.handle(q)
}

// changeEngine starts, drains or removes one engine.
func (w *randomEventRun) changeEngine() {
	name := w.names[w.random.IntN(len(w.names))]
	s := w.engines[name]
	s.Phase, s.StartTime = Phase(w.random.IntN(3)), w.now
	if w.random.IntN(2) == 0 {
		s.Phase = PhaseActive
	}
	w.engines[name] = s
	w.sendEngineList([]EngineListScope{EngineListDelta, EngineListSnapshot}[w.random.IntN(2)])
}

// advance starts the answer of the i-th attempt in flight, or ends the attempt.
func (w *randomEventRun) advance(i int) {
	a := w.inFlight[i]
	fail := []Status{StatusError, StatusRejected,
		StatusTimeout, StatusConnectFailed, StatusReset}[w.random.IntN(5)]
	switch {
	case a.streaming && w.random.IntN(4) > 0:
		w.endAttempt(i, StatusServed)
	case a.streaming:
		w.endAttempt(i, StatusReset)
	case w.random.IntN(4) == 0:
		w.endAttempt(i, fail)
	case a.engine.Kind == "r":
		w.endAttempt(i, StatusPrefilled)
	default:
		w.inFlight[i].streaming = true
		delete(w.heldSince, a.id)
		w.handle(FirstToken{ID: a.id, Attempt: a.number, Engine: a.engine.Name, Latency: 5 * ms})
	}
}

func (w *randomEventRun) checkHeld() {
	for id, since := range w.heldSince {
		if w.indexInFlight(id) < 0 && w.now-since > w.set.HeldStateLimit {
			w.fail("held state of request %d was not released within HeldStateLimit", id)
		}
	}
}

func (w *randomEventRun) checkAnswered() {
	for id, deadline := range w.deadlines {
		if _, open := w.open[id]; !open || w.now <= deadline+16*ms {
			continue
		}
		if i := w.indexInFlight(id); i < 0 || !w.inFlight[i].streaming {
			w.fail("request %d has neither a final answer nor a streaming attempt 16 ms after its deadline", id)
		}
	}
}

// checkNoResidue checks that the router retains no data of requests that have ended.
func (w *randomEventRun) checkNoResidue() {
	if len(w.router.requests) != 0 || len(w.router.holdQueue.requests) != 0 {
		w.fail("%d requests were not deleted after their end", len(w.router.requests))
	}
	for _, e := range w.router.engines.ordered {
		if e.prefills != 0 || e.heldStates != 0 || e.answers != 0 || len(e.inFlight) != 0 {
			w.fail("workload of %s is not zero after all requests have ended: %+v", e.Name, e)
		}
	}
}
