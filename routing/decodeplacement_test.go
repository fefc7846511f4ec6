package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestDecodePlacementPrefersCellOfPrefill(t *testing.T) {
	r := newTestRouter(t, testSettings(),
		testEngine("a", "r", 1), testEngine("near", "w", 1), testEngine("near2", "w", 1),
		testEngine("far", "w", 2), testEngine("b", "r", 2))
	r.engines.byName["b"].backoffs.until["\x00c"] = time.Minute // prefills are rejected at b, so a prefills
	used := 0.5
	r.engines.byName["near"].report.update(&LoadReport{MemoryUsed: &used}, r.now)
	sentTo(t, r.Handle(ms, testRequest(1, 500)))
	if to := sentTo(t, r.Handle(20*ms, prefilledAt(1, 0, "a", 0))); to != "near2" {
		t.Fatalf("sent to %s, want near2, the engine with the lowest memory usage in the cell", to)
	}
	r.Handle(20*ms, EngineList{Scope: EngineListDelta, Engines: []EngineInfo{
		{Name: "near", Kind: "w", Zone: "z", Cell: 1, Phase: PhaseDraining},
		{Name: "near2", Kind: "w", Zone: "z", Cell: 1, Phase: PhaseRemoved}}})
	sentTo(t, r.Handle(21*ms, testRequest(2, 500)))
	if to := sentTo(t, r.Handle(40*ms, prefilledAt(2, 0, "a", 0))); to != "far" {
		t.Fatalf("sent to %s, want far, as the cell of the prefill engine has no usable decode engine", to)
	}
}

// Prefills are distributed in proportion to the decode engines of each cell, and prefills beyond the
// capacity of the local decode engines are decoded in cells with too few prefill engines.
func TestAnswersSpreadEvenlyOverUnevenCells(t *testing.T) {
	var engines []EngineInfo
	for i := range 6 {
		engines = append(engines, testEngine(fmt.Sprint("ra", i), "r", 1), testEngine(fmt.Sprint("wb", i), "w", 2))
	}
	engines = append(engines,
		testEngine("wa0", "w", 1), testEngine("wa1", "w", 1), testEngine("rb0", "r", 2), testEngine("rb1", "r", 2))
	answers := map[string]int{}
	for i, r := range newTestRouters(t, 800, testSettings(), engines...) {
		to := sentTo(t, r.Handle(ms, testRequest(RequestID(i), 1000)))
		answers[sentTo(t, r.Handle(20*ms, prefilledAt(RequestID(i), 0, to, 0)))]++
	}
	for name, n := range answers {
		if n < 60 || n > 145 {
			t.Errorf("%s received %d of 800 answers, want about 100", name, n)
		}
	}
	if len(answers) != 8 {
		t.Errorf("%d of 8 decode engines were used", len(answers))
	}
}
