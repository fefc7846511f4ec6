package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// slowStartLimit is how many calls an engine that has just started bears in any span of the settings'
// length, n being what the settings allow it: a little more for chance.
func slowStartLimit(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// Whatever the number of routers and however uneven their traffic, what all of them send to
// an engine that has just started stays within what it bears, in any span of that length.
// The worst is played: warm engines turn all away, and a burst of half as much again comes.
// It holds at large and at small engines, where each router's part is far below one call,
// where half of the engines that carried the work have just left, and where the routers know
// nothing yet.
func TestColdBudgetOverAllRouters(t *testing.T) {
	for _, c := range []struct {
		name     string
		capacity float64 // requests a second of each engine
		routers  []int
		learn    time.Duration
		leave    int // of the four warm engines, a second before the cold one comes
		starved  bool
	}{
		{"engines of 12 requests a second", 12, []int{1, 2, 3, 5, 10, 30, 80, 300}, 40 * time.Second, 0, false},
		{"of one", 1, []int{1, 3, 10, 80, 300}, 200 * time.Second, 0, true},
		{"of 60", 60, []int{1, 3, 30, 300}, 20 * time.Second, 0, false},
		{"half of the engines leave before", 60, []int{1, 3, 30, 300}, 20 * time.Second, 2, false},
		{"nothing learned", 12, []int{1, 3, 300}, 10 * ms, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) { playCold(t, c.capacity, c.routers, c.learn, c.leave, c.starved) })
	}
}

// trafficShares are ways in which traffic is spread over routers: the part of the i-th of n.
var trafficShares = map[string]func(i, n int) float64{
	"even":               func(int, int) float64 { return 1 },
	"some several times": func(i, _ int) float64 { return []float64{4, 1, 0.5, 0.5, 0.25}[i%5] },
	"by rank":            func(i, _ int) float64 { return 1 / float64(i+1) },
}

// playCold plays one deployment under routers of several numbers and shares. With starved a
// cold engine may get nothing.
func playCold(t *testing.T, capacity float64, routers []int, learn time.Duration, leave int, starved bool) {
	for _, n := range routers {
		for name, share := range trafficShares {
			t.Run(fmt.Sprint(n, " routers, ", name), func(t *testing.T) {
				w := newColdWorld(t, capacity, n, share)
				w.play(learn, leave)
				w.check(starved)
			})
		}
	}
}

// The engines and prompts of a coldWorld.
const (
	coldWarm   = 4 // warm prefill engines
	coldPrompt = 500
)

// coldWorld is many routers before a few engines, to which a cold one comes.
type coldWorld struct {
	t        *testing.T
	set      Settings
	capacity float64 // requests a second of each engine
	random   *rand.Rand
	routers  []*Router
	upTo     []float64 // sums of the routers' shares
	now      Time
	lastID   RequestID
	toCold   []Time
	full     bool // warm engines turn all away
}

func newColdWorld(t *testing.T, capacity float64, routers int, share func(i, n int) float64) *coldWorld {
	w := &coldWorld{t: t, set: testSettings(), capacity: capacity, random: rand.New(rand.NewPCG(uint64(routers), 5))}
	engines := []EngineInfo{testEngine("w", "w", 0)}
	for i := range coldWarm {
		engines = append(engines, testEngine(warmName(i), "r", 0))
	}
	w.routers = newTestRouters(t, routers, w.set, engines...)
	total := 0.0
	for i := range routers {
		total += share(i, routers)
		w.upTo = append(w.upTo, total)
	}
	return w
}

func warmName(i int) string { return fmt.Sprint("r", i) }

// play has the routers learn, some engines leave, and then a cold one come.
func (w *coldWorld) play(learn time.Duration, leave int) {
	w.run(learn, 0.8)
	if leave > 0 {
		for i := range leave {
			gone := testEngine(warmName(i), "r", 0)
			gone.Phase = PhaseDraining
			w.tell(gone)
		}
		w.run(time.Second, 0.8)
	}
	w.full = true
	cold := testEngine("cold", "r", 0)
	cold.StartTime = w.now
	w.tell(cold)
	w.run(4*w.set.OverloadWindow, 1.2)
}

// run has requests come for a time, so many times what the warm engines bear.
func (w *coldWorld) run(span time.Duration, load float64) {
	for end := w.now + span; w.now < end; {
		w.request(load * w.capacity * coldWarm)
	}
}

func (w *coldWorld) tell(e EngineInfo) {
	for _, r := range w.routers {
		r.Handle(w.now, EngineList{Engines: []EngineInfo{e}})
	}
}

// request has one come to one router, and answers what that sends at once.
func (w *coldWorld) request(rate float64) {
	w.now += time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
	at, _ := slices.BinarySearch(w.upTo, w.random.Float64()*w.upTo[len(w.upTo)-1])
	r := w.routers[min(at, len(w.routers)-1)]
	w.lastID++
	if w.full {
		for i := range coldWarm {
			r.engines.byName[warmName(i)].backoffs.until["\x00c"] = w.now + time.Minute
		}
	}
	actions := slices.Clone(r.Handle(w.now, testRequest(w.lastID, coldPrompt)))
	for attempt := 0; has[Send](actions) && attempt < 2; attempt++ {
		to := sentTo(w.t, actions)
		if to == "cold" {
			w.toCold = append(w.toCold, w.now)
		}
		if to == "w" {
			r.Handle(w.now, FirstToken{ID: w.lastID, Attempt: attempt, Engine: to, Latency: 20 * ms})
			r.Handle(w.now, Outcome{ID: w.lastID, Attempt: attempt, Engine: to, Status: StatusServed, Final: true})
			return
		}
		actions = slices.Clone(r.Handle(w.now, prefilledAt(w.lastID, attempt, to, 0)))
	}
}

// check checks what the cold engine got in any span of the settings' length.
func (w *coldWorld) check(starved bool) {
	most := slowStartLimit(w.set.OverloadMultiple * w.set.SlowStartCapacity * w.capacity * w.set.OverloadWindow.Seconds())
	for i, from := range w.toCold {
		got := slices.IndexFunc(w.toCold[i:], func(at Time) bool { return at > from+w.set.OverloadWindow })
		if got < 0 {
			got = len(w.toCold) - i
		}
		if float64(got) > most {
			w.t.Fatalf("over %.0f sends in %v from %v on", most, w.set.OverloadWindow, from)
		}
	}
	if len(w.toCold) == 0 && !starved {
		w.t.Error("none was sent to it: it never warms")
	}
}
