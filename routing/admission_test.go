package routing

import (
	"testing"
	"time"
)

func TestMixedEngineWithoutMemoryRejects(t *testing.T) {
	r := newTestRouter(t, testSettings(), testEngine("m", "m", 0))
	r.engines.byName["m"].answerMemory = 1e5 // tokens used by each of two gateways: all of the engine's memory
	if a := r.Handle(ms, testRequest(1, 500)); !has[Reject](a) {
		t.Errorf("a request to a mixed engine without free memory was not rejected: %v", a)
	}
}

// A shortage of decode memory is only an estimate: it leads to rejections only if the observed wait for
// decode engines is long as well.
func TestFullDecodeEnginesRejectBeforePrefill(t *testing.T) {
	for _, c := range []struct {
		firstTokenSeconds float64 // mean at decode engines
		rejected          bool
	}{{0.02, false}, {0.3, true}} {
		r := newTestRouter(t, testSettings(), testEngine("a", "r", 0), testEngine("w", "w", 0))
		r.engines.byName["w"].answerMemory = 1e5
		r.latency.roles[RoleDecode].firstTokenSeconds = c.firstTokenSeconds
		if a := r.Handle(ms, testRequest(1, 500)); has[Send](a) == c.rejected || has[Reject](a) != c.rejected {
			t.Errorf("mean time to first token of %.2f s: %v", c.firstTokenSeconds, a)
		}
	}
}

// With the same expected wait for all classes, a request is rejected before it makes a class of higher
// priority miss its objective, even if it would meet its own, longer one. Without such a class it is sent.
func TestLowerPriorityIsRejectedFirst(t *testing.T) {
	for _, c := range []struct {
		name           string
		priorityWeight float64 // of the class with the short objective
		rejected       bool
	}{{"higher priority", 3, true}, {"lower priority", 1, false}} {
		set := testSettings()
		set.Classes = []Class{
			{Name: "short", FirstTokenObjective: time.Second, PriorityWeight: c.priorityWeight},
			{Name: "c", FirstTokenObjective: 4 * time.Second, PriorityWeight: 2},
		}
		r := newTestRouter(t, set, testEngine("a", "r", 0), testEngine("w", "w", 0))
		r.latency.roles[RoleDecode].firstTokenSeconds = 1.5 // expected wait of every held state
		r.latency.roles[RoleDecode].firstTokenAt = 0
		if a := r.Handle(ms, testRequest(1, 500)); has[Reject](a) != c.rejected {
			t.Errorf("short objective with %s: %v", c.name, a)
		}
	}
}
