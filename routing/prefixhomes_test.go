package routing

import (
	"fmt"
	"testing"
)

// prefill engines returns a decode engine and n prefill engines.
func prefillEngines(n int) []EngineInfo {
	engines := []EngineInfo{testEngine("w", "w", 0)}
	for i := range n {
		engines = append(engines, testEngine(fmt.Sprint("r", i), "r", 0))
	}
	return engines
}

// Each router would learn a kept text anew; they must expect it at the same prefill engine.
func TestRoutersAgreeOnPrefixHome(t *testing.T) {
	perText := map[string]map[string]bool{}
	for i, r := range newTestRouters(t, 60, testSettings(), prefillEngines(20)...) {
		q := testRequest(RequestID(i), 4000)
		q.Prefix, q.PrefixLen = fmt.Sprint("p", i%2), 3500
		to := sentTo(t, r.Handle(ms, q))
		if perText[q.Prefix] == nil {
			perText[q.Prefix] = map[string]bool{}
		}
		perText[q.Prefix][to] = true
	}
	for text, at := range perText {
		if len(at) < 2 || len(at) > 6 {
			t.Errorf("%s was sent to %d prefill engines, want 2 to 6", text, len(at))
		}
	}
}

// To have seen a text once says nothing of its share: each of many routers would give every
// rare text more homes, and each home would have to read it first.
func TestRarePrefixHasTwoHomes(t *testing.T) {
	at, again := map[string]bool{}, map[string]bool{}
	for i, r := range newTestRouters(t, 200, testSettings(), prefillEngines(90)...) {
		q := testRequest(RequestID(i), 4000)
		q.Prefix, q.PrefixLen, q.Session = "rare", 3500, fmt.Sprint("s", i)
		at[sentTo(t, r.Handle(ms, q))] = true
		for range 20 { // often enough to be hot
			r.popularity.count("hot")
		}
		q.ID, q.Prefix = RequestID(1000+i), "hot"
		again[sentTo(t, r.Handle(2*ms, q))] = true
	}
	if len(at) > 2 {
		t.Errorf("a text seen once was sent to %d prefill engines, want 2 at most", len(at))
	}
	if len(again) < 10 {
		t.Errorf("a hot text was sent to %d prefill engines, want many", len(again))
	}
}
