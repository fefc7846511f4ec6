package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// fleet makes routers that differ in seed alone.
func fleet(t *testing.T, n int, set Settings, servers ...EngineInfo) []*Router {
	t.Helper()
	set.Gateways = n
	var all []*Router
	for seed := range n {
		r, err := New(set, uint64(seed))
		if err != nil {
			t.Fatal(err)
		}
		r.Handle(0, EngineList{Scope: EngineListStale, Engines: servers})
		all = append(all, r)
	}
	return all
}

// A cold engine that looks empty to 200 routers would draw a first send from each.
func TestManyRoutersSpareColdEngine(t *testing.T) {
	set, now := testSettings(), 20*time.Second
	cold := server("cold", "r", 0)
	cold.StartTime = now
	all := fleet(t, 200, set, server("a", "r", 0), server("b", "r", 0), server("w", "w", 0), cold)
	toCold, sends := 0, 0
	for i, r := range all {
		r.throughputs[RolePrefill] = throughput{peak: 500 / 2.0, at: now} // half a request of 500 tokens a second
		r.meanPrompt["c"] = 500
		if sent(t, r.Handle(now, ask(RequestID(i), 500))) == "cold" {
			toCold++
		}
		sends++
	}
	// Warm peers carry 100 requests a second; the cold one may get 2 s x 3 x 0.3 of that.
	if most := 180; toCold == 0 || toCold > most {
		t.Errorf("%d of %d first sends went to a cold server, want some but at most %d", toCold, sends, most)
	}
	for _, r := range all {
		r.throughputs[RolePrefill].peak = 0.01 * 500
		r.engines.byName["cold"].slowStart.sends = nil
	}
	toCold = 0
	for i, r := range all {
		r.engines.byName["a"].backoffs.until["\x00c"], r.engines.byName["b"].backoffs.until["\x00c"] = time.Hour, time.Hour
		if has[Send](r.Handle(now+time.Millisecond, ask(RequestID(1000+i), 500))) {
			toCold++
		}
	}
	if toCold > 15 { // a share of 0.0126 requests each
		t.Errorf("%d of 200 routers sent to the cold server where all may send 3", toCold)
	}
}

// prefill engines returns a decode engine and n prefill engines.
func prefillEngines(n int) []EngineInfo {
	servers := []EngineInfo{server("w", "w", 0)}
	for i := range n {
		servers = append(servers, server(fmt.Sprint("r", i), "r", 0))
	}
	return servers
}

// Each router would learn a kept text anew; they must expect it at the same prefill engine.
func TestRoutersAgreeOnPrefixHome(t *testing.T) {
	perText := map[string]map[string]bool{}
	for i, r := range fleet(t, 60, testSettings(), prefillEngines(20)...) {
		q := ask(RequestID(i), 4000)
		q.Prefix, q.PrefixLen = fmt.Sprint("p", i%2), 3500
		to := sent(t, r.Handle(ms, q))
		if perText[q.Prefix] == nil {
			perText[q.Prefix] = map[string]bool{}
		}
		perText[q.Prefix][to] = true
	}
	for text, at := range perText {
		if len(at) < 2 || len(at) > 6 {
			t.Errorf("%s was sent to %d readers, want 2 to 6", text, len(at))
		}
	}
}

// To have seen a text once says nothing of its share: each of many routers would give every
// rare text more homes, and each home would have to read it first.
func TestRarePrefixHasTwoHomes(t *testing.T) {
	at, again := map[string]bool{}, map[string]bool{}
	for i, r := range fleet(t, 200, testSettings(), prefillEngines(90)...) {
		q := ask(RequestID(i), 4000)
		q.Prefix, q.PrefixLen, q.Session = "rare", 3500, fmt.Sprint("s", i)
		at[sent(t, r.Handle(ms, q))] = true
		for range 20 { // often enough to be hot
			r.popularity.count("hot")
		}
		q.ID, q.Prefix = RequestID(1000+i), "hot"
		again[sent(t, r.Handle(2*ms, q))] = true
	}
	if len(at) > 2 {
		t.Errorf("a text seen once was sent to %d readers, want 2 at most", len(at))
	}
	if len(again) < 10 {
		t.Errorf("a hot text was sent to %d readers, want many", len(again))
	}
}

// Reads follow the decode engines of their cells, and what is over goes to cells that lack prefill engines.
func TestSpreadOverUnevenCells(t *testing.T) {
	var servers []EngineInfo
	for i := range 6 {
		servers = append(servers, server(fmt.Sprint("ra", i), "r", 1), server(fmt.Sprint("wb", i), "w", 2))
	}
	servers = append(servers, server("wa0", "w", 1), server("wa1", "w", 1), server("rb0", "r", 2), server("rb1", "r", 2))
	answers := map[string]int{}
	for i, r := range fleet(t, 800, testSettings(), servers...) {
		to := sent(t, r.Handle(ms, ask(RequestID(i), 1000)))
		answers[sent(t, r.Handle(20*ms, read(RequestID(i), 0, to, 0)))]++
	}
	for name, n := range answers {
		if n < 60 || n > 145 {
			t.Errorf("%s got %d of 800 answers, want about 100", name, n)
		}
	}
	if len(answers) != 8 {
		t.Errorf("%d of 8 writers were used", len(answers))
	}
}

// Among many routers each sees a prefill engine too seldom to know its queue: before a
// request's first choice the likeliest prefill engine is probed, and the request goes by the
// report. A lost probe delays it by a tick at most; a prefill engine awaited is not asked again.
func TestManyRoutersProbePrefillEngines(t *testing.T) {
	set := testSettings()
	set.Gateways, set.CanProbe = 80, true
	servers := []EngineInfo{server("r1", "r", 0), server("r2", "r", 0), server("w1", "w", 0)}
	probes := func(actions []Action) (to []string) {
		for _, a := range actions {
			if p, ok := a.(Probe); ok {
				to = append(to, p.Engine)
			}
		}
		return to
	}
	r := router(t, set, servers...)
	first := slices.Clone(r.Handle(time.Second, ask(1, 1000)))
	asked := probes(first)
	if len(asked) != 1 || has[Send](first) {
		t.Fatalf("probes %v and a send %v, want %d probes and no send", asked, has[Send](first), 1)
	}
	if again := probes(r.Handle(time.Second, ask(2, 1000))); slices.Contains(again, asked[0]) {
		t.Errorf("%s was probed again while its answer was awaited", asked[0])
	}
	long := 40.0
	if to := sent(t, r.Handle(time.Second+ms, ProbeResult{Engine: asked[0], Report: &LoadReport{QueueLength: &long}})); to == asked[0] {
		t.Errorf("sent to %s, whose report shows a long queue", to)
	}
	r = router(t, set, servers...)
	r.Handle(time.Second, ask(1, 1000))
	if !has[Send](r.Handle(time.Second+r.tick(), TimerFired{Name: "tick"})) {
		t.Error("a request that waits for a lost probe was not sent at the tick")
	}
	// Few routers, no probes allowed, or no text that draws all alike: sent at once.
	for _, c := range []struct {
		routers    int
		can, quiet bool
	}{{2, true, false}, {80, false, false}, {80, true, true}} {
		set.Gateways, set.CanProbe = c.routers, c.can
		q := ask(1, 1000)
		if c.quiet {
			q.Session = ""
		}
		if acts := router(t, set, servers...).Handle(time.Second, q); len(probes(acts)) != 0 || !has[Send](acts) {
			t.Errorf("%+v: probes %v", c, probes(acts))
		}
	}
}

// Nothing is sent for a request whose client left while a probe was awaited, whether the probe is
// answered or lost.
func TestNoSendAfterClientLeftDuringProbe(t *testing.T) {
	set := testSettings()
	set.Gateways, set.CanProbe = 80, true
	for name, after := range map[string]func(engine string) Event{
		"answered": func(engine string) Event { return ProbeResult{Engine: engine, Report: &LoadReport{}} },
		"lost":     func(string) Event { return TimerFired{Name: "tick"} },
	} {
		r := router(t, set, server("r1", "r", 0), server("r2", "r", 0), server("w1", "w", 0))
		first := slices.Clone(r.Handle(time.Second, ask(1, 1000)))
		at := slices.IndexFunc(first, func(a Action) bool { _, is := a.(Probe); return is })
		if at < 0 || has[Send](first) {
			t.Fatalf("%s: %v, want a probe and no send", name, first)
		}
		gone := slices.Clone(r.Handle(time.Second+ms, ClientGone{ID: 1}))
		then := r.Handle(time.Second+r.tick(), after(first[at].(Probe).Engine))
		if has[Send](gone) || has[Send](then) || len(r.requests) > 0 {
			t.Errorf("%s: %v, then %v, %d requests left", name, gone, then, len(r.requests))
		}
	}
}
