package ringdale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Whatever the number of routers and however uneven their traffic, what all of them send to
// a server that has just started stays within what it bears: the settings' multiple of its
// present capacity and a little for chance, N + 2 x root of N + 2, in any span of that length.
// The worst is played: warm servers turn all away, and a burst of half as much again comes.
func TestAColdServerBearsWhatAllRoutersSend(t *testing.T) {
	shares := map[string]func(i, n int) float64{
		"even":               func(int, int) float64 { return 1 },
		"some several times": func(i, _ int) float64 { return []float64{4, 1, 0.5, 0.5, 0.25}[i%5] },
		"by rank":            func(i, _ int) float64 { return 1 / float64(i+1) },
	}
	const warm, capacity, prompt, learn = 4, 12.0, 500, 40 * time.Second // capacity: requests a second of each
	for _, n := range []int{1, 2, 3, 5, 10, 30, 80, 300} {
		for name, share := range shares {
			t.Run(fmt.Sprint(n, " routers, ", name), func(t *testing.T) {
				set := testSettings()
				servers := []ServerInfo{server("w", "w", 0)}
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
				// one has a request come to one router, and answers what it sends at once.
				one := func(rate float64) {
					now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
					at, _ := slices.BinarySearch(upto, rng.Float64()*total)
					r := all[min(at, n-1)]
					id++
					if now > learn {
						for i := range warm {
							r.workers[fmt.Sprint("r", i)].fullTo["\x00c"] = now + time.Minute
						}
					}
					actions := slices.Clone(r.Handle(now, ask(id, prompt)))
					for attempt := 0; has[Send](actions) && attempt < 2; attempt++ {
						to := sent(t, actions)
						if to == "cold" {
							toCold = append(toCold, now)
						}
						if to == "w" {
							r.Handle(now, FirstToken{ID: id, Attempt: attempt, Server: to, Latency: 20 * ms})
							r.Handle(now, Outcome{ID: id, Attempt: attempt, Server: to, Status: StatusServed, Final: true})
							break
						}
						actions = slices.Clone(r.Handle(now, read(id, attempt, to, 0)))
					}
				}
				for now < learn {
					one(0.8 * capacity * warm)
				}
				cold := server("cold", "r", 0)
				cold.CameUp = now
				for _, r := range all {
					r.Handle(now, Roster{Servers: []ServerInfo{cold}})
				}
				for end := now + 4*set.Fall; now < end; {
					one(1.2 * capacity * warm)
				}
				bears := set.FallMultiple * set.ColdShare * capacity * set.Fall.Seconds()
				most := bears + 2*math.Sqrt(bears) + 2
				for i, from := range toCold {
					if got := slices.IndexFunc(toCold[i:], func(at Time) bool { return at > from+set.Fall }); float64(got) > most || got < 0 && float64(len(toCold)-i) > most {
						t.Fatalf("over %.0f sends in %v from %v on", most, set.Fall, from)
					}
				}
				if len(toCold) == 0 {
					t.Error("none was sent to it: it never warms")
				}
			})
		}
	}
}
