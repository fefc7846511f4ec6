package routing

import (
	"fmt"
	"testing"
)

// prefillEngines returns a decode engine and n prefill engines.
func prefillEngines(n int) []EngineInfo {
	engines := []EngineInfo{testEngine("w", "w", 0)}
	for i := range n {
		engines = append(engines, testEngine(fmt.Sprint("r", i), "r", 0))
	}
	return engines
}

// Routers must choose the same home engines for a shared prefix. Otherwise the prefix would be prefilled
// again at a different engine for each router.
func TestRoutersAgreeOnPrefixHome(t *testing.T) {
	enginesByPrefix := map[string]map[string]bool{}
	for i, r := range newTestRouters(t, 60, testSettings(), prefillEngines(20)...) {
		q := testRequest(RequestID(i), 4000)
		q.Prefix, q.PrefixLen = fmt.Sprint("p", i%2), 3500
		to := sentTo(t, r.Handle(ms, q))
		if enginesByPrefix[q.Prefix] == nil {
			enginesByPrefix[q.Prefix] = map[string]bool{}
		}
		enginesByPrefix[q.Prefix][to] = true
	}
	for prefix, at := range enginesByPrefix {
		if len(at) < 2 || len(at) > 6 {
			t.Errorf("requests with prefix %s were sent to %d prefill engines, want 2 to 6", prefix, len(at))
		}
	}
}

// A single request with a prefix must not add homes: with many routers every rare prefix would have many
// homes, and each home would prefill it again.
func TestRarePrefixHasTwoHomes(t *testing.T) {
	rareHomes, popularHomes := map[string]bool{}, map[string]bool{}
	for i, r := range newTestRouters(t, 200, testSettings(), prefillEngines(90)...) {
		q := testRequest(RequestID(i), 4000)
		q.Prefix, q.PrefixLen, q.Session = "rare", 3500, fmt.Sprint("s", i)
		rareHomes[sentTo(t, r.Handle(ms, q))] = true
		for range 20 { // often enough to be popular
			r.popularity.count("popular")
		}
		q.ID, q.Prefix = RequestID(1000+i), "popular"
		popularHomes[sentTo(t, r.Handle(2*ms, q))] = true
	}
	if len(rareHomes) > 2 {
		t.Errorf("requests with a prefix counted once were sent to %d prefill engines, want 2 at most",
			len(rareHomes))
	}
	if len(popularHomes) < 10 {
		t.Errorf("requests with a popular prefix were sent to %d prefill engines, want at least 10",
			len(popularHomes))
	}
}
