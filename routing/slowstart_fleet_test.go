package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// slowStartLimit is the maximum number of requests that an engine in slow start may receive within an
// OverloadWindow: the n that the settings allow, plus a margin for random variation.
func slowStartLimit(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// The sends of all routers to an engine in slow start must stay below its limit in every OverloadWindow, for
// any number of routers and any distribution of traffic over them. The test covers the worst case: all warm
// engines reject requests, and the load rises from 0.8 to 1.2 times their capacity. It covers large and
// small engines, for which the budget of each router is far below one request, the removal of half of the
// warm engines shortly before, and routers without throughput samples.
func TestSlowStartBudgetOverAllRouters(t *testing.T) {
	for _, c := range []struct {
		name      string
		capacity  float64 // requests per second of each engine
		routers   []int
		warmup    time.Duration // traffic before the new engine starts
		removed   int           // warm engines removed a second before the new engine starts, out of four
		mayStarve bool
	}{
		{"engines of 12 requests per second", 12, []int{1, 2, 3, 5, 10, 30, 80, 300}, 40 * time.Second, 0, false},
		{"engines of 1 request per second", 1, []int{1, 3, 10, 80, 300}, 200 * time.Second, 0, true},
		{"engines of 60 requests per second", 60, []int{1, 3, 30, 300}, 20 * time.Second, 0, false},
		{"half of the warm engines removed", 60, []int{1, 3, 30, 300}, 20 * time.Second, 2, false},
		{"no throughput samples", 12, []int{1, 3, 300}, 10 * ms, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			testSlowStart(t, c.capacity, c.routers, c.warmup, c.removed, c.mayStarve)
		})
	}
}

// trafficDistributions are distributions of traffic over routers: each function returns the relative traffic
// of the i-th of n routers.
var trafficDistributions = map[string]func(i, n int) float64{
	"even":            func(int, int) float64 { return 1 },
	"uneven":          func(i, _ int) float64 { return []float64{4, 1, 0.5, 0.5, 0.25}[i%5] },
	"inverse of rank": func(i, _ int) float64 { return 1 / float64(i+1) },
}

// testSlowStart simulates one deployment for several numbers of routers and distributions of traffic. With
// mayStarve the new engine may receive no requests.
func testSlowStart(t *testing.T, capacity float64, routers []int, warmup time.Duration, removed int,
	mayStarve bool) {
	for _, n := range routers {
		for name, traffic := range trafficDistributions {
			t.Run(fmt.Sprint(n, " routers, ", name), func(t *testing.T) {
				w := newSlowStartSimulation(t, capacity, n, traffic)
				w.run(warmup, removed)
				w.check(mayStarve)
			})
		}
	}
}

// The engines and prompts of a slowStartSimulation.
const (
	warmEngineCount = 4   // prefill engines
	promptLength    = 500 // tokens
)

// slowStartSimulation is a deployment of many routers and a few warm engines, to which a new engine is added.
type slowStartSimulation struct {
	t                 *testing.T
	set               Settings
	capacity          float64 // requests per second of each engine
	random            *rand.Rand
	routers           []*Router
	cumulativeTraffic []float64 // by router
	now               Time
	lastID            RequestID
	sendTimes         []Time // of requests sent to the new engine
	rejecting         bool   // warm engines reject all requests
}

func newSlowStartSimulation(
	t *testing.T, capacity float64, routers int, traffic func(i, n int) float64) *slowStartSimulation {
	w := &slowStartSimulation{t: t, set: testSettings(), capacity: capacity,
		random: rand.New(rand.NewPCG(uint64(routers), 5))}
	engines := []EngineInfo{testEngine("w", "w", 0)}
	for i := range warmEngineCount {
		engines = append(engines, testEngine(warmName(i), "r", 0))
	}
	w.routers = newTestRouters(t, routers, w.set, engines...)
	total := 0.0
	for i := range routers {
		total += traffic(i, routers)
		w.cumulativeTraffic = append(w.cumulativeTraffic, total)
	}
	return w
}

func warmName(i int) string { return fmt.Sprint("r", i) }

// run simulates traffic at warm engines, the removal of some of them, and the start of a new engine.
func (w *slowStartSimulation) run(warmup time.Duration, removed int) {
	w.sendRequests(warmup, 0.8)
	if removed > 0 {
		for i := range removed {
			draining := testEngine(warmName(i), "r", 0)
			draining.Phase = PhaseDraining
			w.sendEngineUpdate(draining)
		}
		w.sendRequests(time.Second, 0.8)
	}
	w.rejecting = true
	started := testEngine("cold", "r", 0)
	started.StartTime = w.now
	w.sendEngineUpdate(started)
	w.sendRequests(4*w.set.OverloadWindow, 1.2)
}

// sendRequests sends requests for a period at a multiple of the capacity of the warm engines.
func (w *slowStartSimulation) sendRequests(period time.Duration, load float64) {
	for end := w.now + period; w.now < end; {
		w.sendRequest(load * w.capacity * warmEngineCount)
	}
}

// sendEngineUpdate sends an engine list delta with one engine to all routers.
func (w *slowStartSimulation) sendEngineUpdate(e EngineInfo) {
	for _, r := range w.routers {
		r.Handle(w.now, EngineList{Engines: []EngineInfo{e}})
	}
}

// sendRequest sends one request to a random router and completes its attempts immediately.
func (w *slowStartSimulation) sendRequest(rate float64) {
	w.now += time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
	at, _ := slices.BinarySearch(w.cumulativeTraffic,
		w.random.Float64()*w.cumulativeTraffic[len(w.cumulativeTraffic)-1])
	r := w.routers[min(at, len(w.routers)-1)]
	w.lastID++
	if w.rejecting {
		for i := range warmEngineCount {
			r.engines.byName[warmName(i)].backoffs.until["\x00c"] = w.now + time.Minute
		}
	}
	actions := slices.Clone(r.Handle(w.now, testRequest(w.lastID, promptLength)))
	for attempt := 0; has[Send](actions) && attempt < 2; attempt++ {
		to := sentTo(w.t, actions)
		if to == "cold" {
			w.sendTimes = append(w.sendTimes, w.now)
		}
		if to == "w" {
			r.Handle(w.now, FirstToken{ID: w.lastID, Attempt: attempt, Engine: to, Latency: 20 * ms})
			r.Handle(w.now, Outcome{ID: w.lastID, Attempt: attempt, Engine: to, Status: StatusServed, Final: true})
			return
		}
		actions = slices.Clone(r.Handle(w.now, prefilledAt(w.lastID, attempt, to, 0)))
	}
}

// check checks the number of sends to the new engine in every OverloadWindow.
func (w *slowStartSimulation) check(mayStarve bool) {
	limit := slowStartLimit(
		w.set.OverloadMultiple * w.set.SlowStartCapacity * w.capacity * w.set.OverloadWindow.Seconds())
	for i, from := range w.sendTimes {
		sends := slices.IndexFunc(w.sendTimes[i:], func(at Time) bool { return at > from+w.set.OverloadWindow })
		if sends < 0 {
			sends = len(w.sendTimes) - i
		}
		if float64(sends) > limit {
			w.t.Fatalf("more than %.0f sends to the new engine within %v from %v", limit, w.set.OverloadWindow, from)
		}
	}
	if len(w.sendTimes) == 0 && !mayStarve {
		w.t.Error("no request was sent to the new engine in slow start")
	}
}
