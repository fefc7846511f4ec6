package watch

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"
)

// The golden hashes are over all results of this package for random events. Enum values are hashed as numbers
// and Go names are not hashed, so that renames don't change the hashes.
const (
	goldenQueries = 0xd2c083c187dbe8b3
	goldenAgents  = 0x3281c47505954852
	goldenPolling = 0x72ae3efee99f2376
	goldenTiming  = 0x1905b6610a149d0c
)

func TestGoldenQueries(t *testing.T) {
	h := fnv.New64a()
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 45))
		q, index := NewQuery(DefaultLimits()), uint64(5)
		for range 1000 {
			index += uint64(r.IntN(3))
			response := Response{Index: index, Checksum: uint64(r.IntN(3)), HasLeader: r.IntN(8) > 0}
			if r.IntN(10) == 0 {
				response.Index = uint64(r.IntN(int(index)))
			}
			if r.IntN(10) == 0 {
				response.Age = time.Duration(r.IntN(30)) * time.Second
			}
			next := q.Next(r.IntN(4) == 0)
			fmt.Fprintln(h, "next", next.Index, int64(next.Wait), next.Stale)
			if r.IntN(3) == 0 {
				action := q.RecordFailure(Failure(r.IntN(6)), time.Duration(r.IntN(3000))*time.Millisecond, time.Duration(r.IntN(2)*r.IntN(9000))*time.Millisecond)
				fmt.Fprintf(h, "failed %q %v %d\n", string(action.Reason), action.Log, int64(action.Pause))
				continue
			}
			changed := q.RecordResponse(response)
			fmt.Fprintln(h, "answered", changed)
			if r.IntN(6) > 0 {
				fmt.Fprintln(h, "pause", int64(q.RecordProcessed(response, changed || r.IntN(5) == 0, time.Duration(r.IntN(400))*time.Millisecond)))
			}
		}
	}
	if got := h.Sum64(); got != goldenQueries {
		t.Errorf("hash %#x, want %#x", got, uint64(goldenQueries))
	}
}

func TestGoldenAgents(t *testing.T) {
	h := fnv.New64a()
	r := rand.New(rand.NewPCG(1, 45))
	names := []string{"one", "two", "three"}
	agents := NewAgentSelector(names)
	for range 5000 {
		switch name := names[r.IntN(3)]; r.IntN(3) {
		case 0:
			fmt.Fprintln(h, "lost", agents.MarkDown(name))
		case 1:
			fmt.Fprintln(h, "back", agents.MarkUp(name))
		case 2:
			name, changed, ok := agents.Select()
			fmt.Fprintln(h, "pick", name, changed, ok)
		}
	}
	if got := h.Sum64(); got != goldenAgents {
		t.Errorf("hash %#x, want %#x", got, uint64(goldenAgents))
	}
}

func TestGoldenPollingAndChecks(t *testing.T) {
	h := fnv.New64a()
	r := rand.New(rand.NewPCG(2, 45))
	mode, checks := NewPollingMode(16), NewCheckTracker()
	for range 5000 {
		fmt.Fprintln(h, "turns", mode.SetServices(r.IntN(40)), mode.Polling(), mode.Services(), int64(mode.Interval()))
		if r.IntN(3) == 0 {
			var nodes []string
			for range r.IntN(4) {
				nodes = append(nodes, fmt.Sprint("n", r.IntN(5)))
			}
			checks.SetNodes(fmt.Sprint("s", r.IntN(6)), nodes)
			continue
		}
		var failing []Check
		for range r.IntN(6) {
			c := Check{Node: fmt.Sprint("n", r.IntN(5)), CheckID: fmt.Sprint("c", r.IntN(3))}
			if r.IntN(2) == 0 {
				c.Service = fmt.Sprint("s", r.IntN(6))
				c.ServiceID = c.Service + "-1"
			}
			failing = append(failing, c)
		}
		fmt.Fprintf(h, "wake %q\n", checks.Update(failing))
	}
	if got := h.Sum64(); got != goldenPolling {
		t.Errorf("hash %#x, want %#x", got, uint64(goldenPolling))
	}
}

func TestGoldenTiming(t *testing.T) {
	h := fnv.New64a()
	for grace := -time.Second; grace < 8*time.Second; grace += 37 * time.Millisecond {
		for _, heartbeat := range []time.Duration{0, time.Second, 2 * time.Second} {
			timing := TimingFor(grace, heartbeat)
			fmt.Fprintln(h, int64(timing.ResponseTimeout), int64(timing.IdleTimeout), int64(timing.InitialBackoff), int64(timing.MaxBackoff), timing.Jitter, int64(timing.MaxDelay()))
		}
	}
	if got := h.Sum64(); got != goldenTiming {
		t.Errorf("hash %#x, want %#x", got, uint64(goldenTiming))
	}
}
