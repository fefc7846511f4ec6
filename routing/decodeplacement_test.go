package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestDecodeInCellThenOutside(t *testing.T) {
	r := newTestRouter(t, testSettings(), testEngine("a", "r", 1), testEngine("near", "w", 1), testEngine("near2", "w", 1),
		testEngine("far", "w", 2), testEngine("b", "r", 2))
	r.engines.byName["b"].backoffs.until["\x00c"] = time.Minute // the plan is even; only a reads
	used := 0.5
	r.engines.byName["near"].report.update(&LoadReport{MemoryUsed: &used}, r.now)
	sentTo(t, r.Handle(ms, testRequest(1, 500)))
	if to := sentTo(t, r.Handle(20*ms, prefilledAt(1, 0, "a", 0))); to != "near2" {
		t.Fatalf("went to %s, want the one with most free memory in the cell", to)
	}
	r.Handle(20*ms, EngineList{Scope: EngineListDelta, Engines: []EngineInfo{
		{Name: "near", Kind: "w", Zone: "z", Cell: 1, Phase: PhaseDraining},
		{Name: "near2", Kind: "w", Zone: "z", Cell: 1, Phase: PhaseRemoved}}})
	sentTo(t, r.Handle(21*ms, testRequest(2, 500)))
	if to := sentTo(t, r.Handle(40*ms, prefilledAt(2, 0, "a", 0))); to != "far" {
		t.Fatalf("went to %s, want the other cell once the prefill engine's has none", to)
	}
}

// Reads follow the decode engines of their cells, and what is over goes to cells that lack prefill engines.
func TestSpreadOverUnevenCells(t *testing.T) {
	var engines []EngineInfo
	for i := range 6 {
		engines = append(engines, testEngine(fmt.Sprint("ra", i), "r", 1), testEngine(fmt.Sprint("wb", i), "w", 2))
	}
	engines = append(engines, testEngine("wa0", "w", 1), testEngine("wa1", "w", 1), testEngine("rb0", "r", 2), testEngine("rb1", "r", 2))
	answers := map[string]int{}
	for i, r := range newTestRouters(t, 800, testSettings(), engines...) {
		to := sentTo(t, r.Handle(ms, testRequest(RequestID(i), 1000)))
		answers[sentTo(t, r.Handle(20*ms, prefilledAt(RequestID(i), 0, to, 0)))]++
	}
	for name, n := range answers {
		if n < 60 || n > 145 {
			t.Errorf("%s got %d of 800 answers, want about 100", name, n)
		}
	}
	if len(answers) != 8 {
		t.Errorf("%d of 8 decode engines were used", len(answers))
	}
}
