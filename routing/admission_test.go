package routing

import (
	"testing"
	"time"
)

func TestFullMixedEngineRefuses(t *testing.T) {
	r := newTestRouter(t, testSettings(), testEngine("m", "m", 0))
	r.engines.byName["m"].answerMemory = 1e5 // of two routers each: all of it
	if a := r.Handle(ms, testRequest(1, 500)); !has[Reject](a) {
		t.Errorf("a mixed engine without memory took a request: %v", a)
	}
}

// Memory that seems short turns a request away only where answers are seen to wait for it.
func TestFullDecodeEnginesRefuseBeforeRead(t *testing.T) {
	for _, c := range []struct {
		first   float64 // seconds to the first token, as usual
		refused bool
	}{{0.02, false}, {0.3, true}} {
		r := newTestRouter(t, testSettings(), testEngine("a", "r", 0), testEngine("w", "w", 0))
		r.engines.byName["w"].answerMemory = 1e5
		r.latency.roles[RoleDecode].firstTokenSeconds = c.first
		if a := r.Handle(ms, testRequest(1, 500)); has[Send](a) == c.refused || has[Reject](a) != c.refused {
			t.Errorf("first tokens within %.2f s: %v", c.first, a)
		}
	}
}

// Under one wait for all, work of less worth is turned away before it makes work of more
// worth late, though its own aim is far; with no worthier work about it is not.
func TestLessWorthyWorkYields(t *testing.T) {
	for _, c := range []struct {
		name    string
		gain    float64 // of the class with the near aim
		refused bool
	}{{"worthier", 3, true}, {"worth less", 1, false}} {
		set := testSettings()
		set.Classes = []Class{{Name: "near", FirstTokenObjective: time.Second, PriorityWeight: c.gain}, {Name: "c", FirstTokenObjective: 4 * time.Second, PriorityWeight: 2}}
		r := newTestRouter(t, set, testEngine("a", "r", 0), testEngine("w", "w", 0))
		r.latency.roles[RoleDecode].firstTokenSeconds = 1.5 // every state waits so long for its decode engine
		r.latency.roles[RoleDecode].firstTokenAt = 0
		if a := r.Handle(ms, testRequest(1, 500)); has[Reject](a) != c.refused {
			t.Errorf("%s: %v", c.name, a)
		}
	}
}
