package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// bears is how many calls an engine that has just started bears in any span of the settings'
// length, n being what the settings allow it: a little more for chance.
func bears(n float64) float64 {
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
		{"servers of 12 requests a second", 12, []int{1, 2, 3, 5, 10, 30, 80, 300}, 40 * time.Second, 0, false},
		{"of one", 1, []int{1, 3, 10, 80, 300}, 200 * time.Second, 0, true},
		{"of 60", 60, []int{1, 3, 30, 300}, 20 * time.Second, 0, false},
		{"half of the servers leave before", 60, []int{1, 3, 30, 300}, 20 * time.Second, 2, false},
		{"nothing learned", 12, []int{1, 3, 300}, 10 * ms, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) { playCold(t, c.capacity, c.routers, c.learn, c.leave, c.starved) })
	}
}

// playCold plays one deployment under routers of several numbers and shares. With starved a
// cold engine may get nothing.
func playCold(t *testing.T, capacity float64, routers []int, learn time.Duration, leave int, starved bool) {
	shares := map[string]func(i, n int) float64{
		"even":               func(int, int) float64 { return 1 },
		"some several times": func(i, _ int) float64 { return []float64{4, 1, 0.5, 0.5, 0.25}[i%5] },
		"by rank":            func(i, _ int) float64 { return 1 / float64(i+1) },
	}
	const warm, prompt = 4, 500
	for _, n := range routers {
		for name, share := range shares {
			t.Run(fmt.Sprint(n, " routers, ", name), func(t *testing.T) {
				set := testSettings()
				servers := []EngineInfo{server("w", "w", 0)}
				for i := range warm {
					servers = append(servers, server(fmt.Sprint("r", i), "r", 0))
				}
				all := fleet(t, n, set, servers...)
				rng := rand.New(rand.NewPCG(uint64(n), 5))
				var upto []float64
				total := 0.0
				for i := range n {
					total += share(i, n)
					upto = append(upto, total)
				}
				id, now := RequestID(0), Time(0)
				toCold := []Time{}
				full := false // warm engines turn all away
				// one has a request come to one router, and answers what it sends at once.
				one := func(rate float64) {
					now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
					at, _ := slices.BinarySearch(upto, rng.Float64()*total)
					r := all[min(at, n-1)]
					id++
					if full {
						for i := range warm {
							r.engines[fmt.Sprint("r", i)].fullTo["\x00c"] = now + time.Minute
						}
					}
					actions := slices.Clone(r.Handle(now, ask(id, prompt)))
					for attempt := 0; has[Send](actions) && attempt < 2; attempt++ {
						to := sent(t, actions)
						if to == "cold" {
							toCold = append(toCold, now)
						}
						if to == "w" {
							r.Handle(now, FirstToken{ID: id, Attempt: attempt, Engine: to, Latency: 20 * ms})
							r.Handle(now, Outcome{ID: id, Attempt: attempt, Engine: to, Status: StatusServed, Final: true})
							break
						}
						actions = slices.Clone(r.Handle(now, read(id, attempt, to, 0)))
					}
				}
				for now < learn {
					one(0.8 * capacity * warm)
				}
				if leave > 0 {
					for i := range leave {
						gone := server(fmt.Sprint("r", i), "r", 0)
						gone.Phase = PhaseDraining
						for _, r := range all {
							r.Handle(now, Roster{Engines: []EngineInfo{gone}})
						}
					}
					for end := now + time.Second; now < end; {
						one(0.8 * capacity * warm)
					}
				}
				full = true
				cold := server("cold", "r", 0)
				cold.CameUp = now
				for _, r := range all {
					r.Handle(now, Roster{Engines: []EngineInfo{cold}})
				}
				for end := now + 4*set.Fall; now < end; {
					one(1.2 * capacity * warm)
				}
				most := bears(set.FallMultiple * set.ColdShare * capacity * set.Fall.Seconds())
				for i, from := range toCold {
					if got := slices.IndexFunc(toCold[i:], func(at Time) bool { return at > from+set.Fall }); float64(got) > most || got < 0 && float64(len(toCold)-i) > most {
						t.Fatalf("over %.0f sends in %v from %v on", most, set.Fall, from)
					}
				}
				if len(toCold) == 0 && !starved {
					t.Error("none was sent to it: it never warms")
				}
			})
		}
	}
}
