package routing

import (
	"testing"
	"time"
)

func TestHitRateThresholdIsStrict(t *testing.T) {
	for _, c := range []struct {
		tokens  int
		exceeds bool
	}{{100, false}, {101, true}} {
		atCache := 0
		for id := RequestID(1); id <= 40; id++ {
			r := newTestRouter(t, testSettings(),
				testEngine("a", "r", 0), testEngine("b", "r", 0), testEngine("w", "w", 0))
			q := testRequest(id, 1000)
			cacheSession(r, "a", q.Session, c.tokens)
			if sentTo(t, r.Handle(ms, q)) == "a" {
				atCache++
			}
		}
		if c.exceeds != (atCache == 40) {
			t.Errorf("with %d of 1000 tokens cached, %d of 40 requests were sent to that engine", c.tokens, atCache)
		}
	}
}

func TestFairShareCapsRequestsAtBestMatch(t *testing.T) {
	r := newTestRouter(t, testSettings(),
		testEngine("a", "r", 0), testEngine("b", "r", 0), testEngine("c", "r", 0), testEngine("w", "w", 0))
	counts := map[string]int{}
	for id := RequestID(1); id <= 3; id++ {
		q := testRequest(id, 4000)
		cacheSession(r, "a", q.Session, 3999)
		counts[sentTo(t, r.Handle(ms, q))]++
	}
	if counts["a"] != 2 { // 2.0 x ceil(3 active / 3 prefill engines) = 2
		t.Errorf("%d of 3 requests were sent to one prefill engine, want 2", counts["a"])
	}
}

func TestFairShareIsIgnoredWhenAllEnginesExceedIt(t *testing.T) {
	// A single prefill engine never exceeds 2.0 times its fair share, which is all active requests.
	r := newTestRouter(t, testSettings(), testEngine("a", "r", 0), testEngine("w", "w", 0))
	for id := RequestID(1); id <= 4; id++ {
		if got := sentTo(t, r.Handle(ms, testRequest(id, 100))); got != "a" {
			t.Fatal(got)
		}
	}
	q := &request{Request: testRequest(9, 100), class: r.classes["c"]}
	for _, w := range r.engines.ordered {
		w.heldStates = 1000 * (1 + len(w.inFlight)) // above any fair share
	}
	r.engines.byName["a"].prefills = -999 // keeps the sum small, so that every prefill engine exceeds its share
	if w, _ := r.placePrefill(q); w == nil {
		t.Error("no engine was chosen with every prefill engine above its fair share")
	}
}

func TestHeldStateCountsAsLoad(t *testing.T) {
	for id := RequestID(2); id <= 20; id++ {
		r := newTestRouter(t, testSettings(),
			testEngine("a", "r", 0), testEngine("b", "r", 0), testEngine("w", "w", 0))
		first := sentTo(t, r.Handle(ms, testRequest(1, 5000)))
		if to := sentTo(t, r.Handle(30*ms, prefilledAt(1, 0, first, 0))); to != "w" {
			t.Fatal(to)
		}
		if got := sentTo(t, r.Handle(31*ms, testRequest(id, 400))); got == first {
			t.Fatalf("request %d was sent to the prefill engine that holds state, not to the idle one", id)
		}
	}
}

func TestTiesAreDeterministicAndBalanced(t *testing.T) {
	pick := func(id RequestID) string {
		r := newTestRouter(t, testSettings(),
			testEngine("a", "r", 0), testEngine("b", "r", 0), testEngine("w", "w", 0))
		return sentTo(t, r.Handle(ms, testRequest(id, 500)))
	}
	counts := map[string]int{}
	for id := RequestID(1); id <= 100; id++ {
		first, second := pick(id), pick(id)
		if first != second {
			t.Fatal("a repeated run broke a tie differently")
		}
		counts[first]++
	}
	if counts["a"] < 30 || counts["b"] < 30 {
		t.Errorf("ties are not balanced: %v, want at least 30 of 100 each", counts)
	}
}

func TestMixedEngineServesWholeRequest(t *testing.T) {
	r := newTestRouter(t, testSettings(), testEngine("m", "m", 1))
	if to := sentTo(t, r.Handle(ms, testRequest(1, 500))); to != "m" {
		t.Fatal(to)
	}
	if a := r.Handle(50*ms, FirstToken{ID: 1, Engine: "m", Latency: 49 * ms}); has[Send](a) {
		t.Error("a request prefilled by a mixed engine was sent to another engine")
	}
}

func TestAnswersCountAsLoadOfMixedEngine(t *testing.T) {
	r := newTestRouter(t, testSettings(),
		testEngine("m", "m", 0), testEngine("a", "r", 0), testEngine("w", "w", 0))
	r.engines.byName["m"].answers = 20
	for id := RequestID(1); id < 20; id++ {
		q := &request{Request: testRequest(id, 500), class: r.classes["c"], objective: time.Second}
		if w, _ := r.placePrefill(q); w.Name != "a" {
			t.Fatal("a prefill was placed at a mixed engine with 20 answers although a prefill engine was idle")
		}
	}
}

func TestOldestPrefillDoesNotMoveSession(t *testing.T) {
	r := newTestRouter(t, testSettings(),
		testEngine("a", "r", 0), testEngine("b", "r", 0), testEngine("w", "w", 0))
	q := testRequest(1, 4000)
	cacheSession(r, "a", q.Session, 3999)
	small := testRequest(2, 100)
	cacheSession(r, "a", small.Session, 99)
	sentTo(t, r.Handle(ms, small)) // in flight for 199 ms at the engine with the cache when q arrives
	if to := sentTo(t, r.Handle(200*ms, q)); to != "a" {
		t.Error("a session was moved from its prefill engine because of one old short prefill there")
	}
}

// With DecodePrefills, a decode engine with free memory and no prefill in flight prefills a prompt if every
// prefill engine has a long queue.
func TestDecodePrefillsUnderQueue(t *testing.T) {
	queued, full := 40_000.0, 0.9
	for _, c := range []struct {
		name    string
		allowed bool
		memory  *float64
		first   bool // a first prefill is in flight at the decode engine
		want    string
	}{
		{"allowed", true, nil, false, "w"}, {"not allowed", false, nil, false, "a"},
		{"no free memory", true, &full, false, "a"}, {"already prefilling", true, nil, true, "a"},
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
		if to != c.want {
			t.Errorf("%s: sent to %q, want %q", c.name, to, c.want)
		}
	}
}
