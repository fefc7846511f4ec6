package routing

import (
	"testing"
	"time"
)

func TestGateIsStrict(t *testing.T) {
	for _, c := range []struct {
		tokens int
		opens  bool
	}{{100, false}, {101, true}} {
		kept := 0
		for id := RequestID(1); id <= 40; id++ {
			r := newTestRouter(t, testSettings(), testEngine("a", "r", 0), testEngine("b", "r", 0), testEngine("w", "w", 0))
			q := testRequest(id, 1000)
			cacheSession(r, "a", q.Session, c.tokens)
			if sentTo(t, r.Handle(ms, q)) == "a" {
				kept++
			}
		}
		if c.opens != (kept == 40) {
			t.Errorf("a match of %d of 1000: %d of 40 went to its prefill engine", c.tokens, kept)
		}
	}
}

func TestCapSendsPastTheBestMatch(t *testing.T) {
	r := newTestRouter(t, testSettings(), testEngine("a", "r", 0), testEngine("b", "r", 0), testEngine("c", "r", 0), testEngine("w", "w", 0))
	counts := map[string]int{}
	for id := RequestID(1); id <= 3; id++ {
		q := testRequest(id, 4000)
		cacheSession(r, "a", q.Session, 3999)
		counts[sentTo(t, r.Handle(ms, q))]++
	}
	if counts["a"] != 2 { // 2.0 x ceil(3 active / 3 prefill engines) = 2
		t.Errorf("the cap let %d of 3 to one prefill engine, want 2", counts["a"])
	}
}

func TestCapIgnoredWhenAllAreCapped(t *testing.T) {
	// One prefill engine alone may always hold 2.0 times all; the pool of the rest is empty only for none.
	r := newTestRouter(t, testSettings(), testEngine("a", "r", 0), testEngine("w", "w", 0))
	for id := RequestID(1); id <= 4; id++ {
		if got := sentTo(t, r.Handle(ms, testRequest(id, 100))); got != "a" {
			t.Fatal(got)
		}
	}
	q := &request{Request: testRequest(9, 100), class: r.classes["c"]}
	for _, w := range r.engines.ordered {
		w.heldStates = 1000 * (1 + len(w.inFlight)) // beyond any cap
	}
	r.engines.byName["a"].prefills = -999 // the total stays small, so that every prefill engine is past its share
	if w, _ := r.placePrefill(q); w == nil {
		t.Error("with every prefill engine capped the cap must be set aside")
	}
}

func TestWaitingStatesAreLoad(t *testing.T) {
	for id := RequestID(2); id <= 20; id++ {
		r := newTestRouter(t, testSettings(), testEngine("a", "r", 0), testEngine("b", "r", 0), testEngine("w", "w", 0))
		first := sentTo(t, r.Handle(ms, testRequest(1, 5000)))
		if to := sentTo(t, r.Handle(30*ms, prefilledAt(1, 0, first, 0))); to != "w" {
			t.Fatal(to)
		}
		if got := sentTo(t, r.Handle(31*ms, testRequest(id, 400))); got == first {
			t.Fatalf("request %d went to the prefill engine whose state waits", id)
		}
	}
}

func TestTiesRepeatAndSpread(t *testing.T) {
	pick := func(id RequestID) string {
		r := newTestRouter(t, testSettings(), testEngine("a", "r", 0), testEngine("b", "r", 0), testEngine("w", "w", 0))
		return sentTo(t, r.Handle(ms, testRequest(id, 500)))
	}
	counts := map[string]int{}
	for id := RequestID(1); id <= 100; id++ {
		first, second := pick(id), pick(id)
		if first != second {
			t.Fatal("a tie fell differently the second time")
		}
		counts[first]++
	}
	if counts["a"] < 30 || counts["b"] < 30 {
		t.Errorf("ties lean: %v", counts)
	}
}

func TestMixedTakesItsShareWhole(t *testing.T) {
	r := newTestRouter(t, testSettings(), testEngine("m", "m", 1))
	if to := sentTo(t, r.Handle(ms, testRequest(1, 500))); to != "m" {
		t.Fatal(to)
	}
	if a := r.Handle(50*ms, FirstToken{ID: 1, Engine: "m", Latency: 49 * ms}); has[Send](a) {
		t.Error("a request read by a mixed engine was sent on")
	}
}

func TestAnswersCountAtMixedEngine(t *testing.T) {
	r := newTestRouter(t, testSettings(), testEngine("m", "m", 0), testEngine("a", "r", 0), testEngine("w", "w", 0))
	r.engines.byName["m"].answers = 20
	for id := RequestID(1); id < 20; id++ {
		q := &request{Request: testRequest(id, 500), class: r.classes["c"], objective: time.Second}
		if w, _ := r.placePrefill(q); w.Name != "a" {
			t.Fatal("a read went to a mixed engine with many answers though a prefill engine was idle")
		}
	}
}

func TestOldestReadDoesNotMoveSession(t *testing.T) {
	r := newTestRouter(t, testSettings(), testEngine("a", "r", 0), testEngine("b", "r", 0), testEngine("w", "w", 0))
	q := testRequest(1, 4000)
	cacheSession(r, "a", q.Session, 3999)
	small := testRequest(2, 100)
	cacheSession(r, "a", small.Session, 99)
	sentTo(t, r.Handle(ms, small)) // one short read has been out for a while at the keeper
	if to := sentTo(t, r.Handle(200*ms, q)); to != "a" {
		t.Error("a session left its prefill engine because of one old short read there")
	}
}

// Where decode engines read, one with memory to spare takes a prompt for which every prefill engine has
// a long queue; nowhere else, and not one that is full or reads already.
func TestDecodePrefillsUnderQueue(t *testing.T) {
	queued, full := 40_000.0, 0.9
	for _, c := range []struct {
		name    string
		allowed bool
		memory  *float64
		first   bool // a first such read is out already
		to      string
	}{
		{"allowed", true, nil, false, "w"}, {"not allowed", false, nil, false, "a"},
		{"no memory to spare", true, &full, false, "a"}, {"reads already", true, nil, true, "a"},
	} {
		set := testSettings()
		set.DecodePrefills = c.allowed
		r := newTestRouter(t, set, testEngine("a", "r", 0), testEngine("w", "w", 0))
		r.engines.byName["a"].report.update(&LoadReport{WaitingTokens: &queued}, r.now)
		if c.memory != nil {
			r.engines.byName["w"].report.update(&LoadReport{MemoryUsed: c.memory}, r.now)
		}
		if c.first {
			r.Handle(ms, testRequest(1, 1000))
		}
		to := ""
		for _, a := range r.Handle(ms, testRequest(2, 1000)) {
			if s, ok := a.(Send); ok {
				to = s.Engine
			}
		}
		if to != c.to {
			t.Errorf("%s: sent to %q, want %q", c.name, to, c.to)
		}
	}
}
