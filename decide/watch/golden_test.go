package watch

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"
)

// The golden hashes are over all that this package returns for drawn events. Kinds are
// hashed as numbers and no Go name is, so that they outlive renames.
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
			a := Response{Index: index, Checksum: uint64(r.IntN(3)), HasLeader: r.IntN(8) > 0}
			if r.IntN(10) == 0 {
				a.Index = uint64(r.IntN(int(index)))
			}
			if r.IntN(10) == 0 {
				a.Age = time.Duration(r.IntN(30)) * time.Second
			}
			next := q.Next(r.IntN(4) == 0)
			fmt.Fprintln(h, "next", next.Index, int64(next.Wait), next.Stale)
			if r.IntN(3) == 0 {
				v := q.RecordFailure(Failure(r.IntN(6)), time.Duration(r.IntN(3000))*time.Millisecond, time.Duration(r.IntN(2)*r.IntN(9000))*time.Millisecond)
				fmt.Fprintf(h, "failed %q %v %d\n", string(v.Reason), v.Log, int64(v.Pause))
				continue
			}
			news := q.RecordResponse(a)
			fmt.Fprintln(h, "answered", news)
			if r.IntN(6) > 0 {
				fmt.Fprintln(h, "pause", int64(q.RecordProcessed(a, news || r.IntN(5) == 0, time.Duration(r.IntN(400))*time.Millisecond)))
			}
		}
	}
	if got := h.Sum64(); got != goldenQueries {
		t.Errorf("%#x, want %#x", got, uint64(goldenQueries))
	}
}

func TestGoldenAgents(t *testing.T) {
	h := fnv.New64a()
	r := rand.New(rand.NewPCG(1, 45))
	names := []string{"one", "two", "three"}
	a := NewAgentSelector(names)
	for range 5000 {
		switch name := names[r.IntN(3)]; r.IntN(3) {
		case 0:
			fmt.Fprintln(h, "lost", a.MarkDown(name))
		case 1:
			fmt.Fprintln(h, "back", a.MarkUp(name))
		case 2:
			name, other, ok := a.Select()
			fmt.Fprintln(h, "pick", name, other, ok)
		}
	}
	if got := h.Sum64(); got != goldenAgents {
		t.Errorf("%#x, want %#x", got, uint64(goldenAgents))
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
		t.Errorf("%#x, want %#x", got, uint64(goldenPolling))
	}
}

func TestGoldenTiming(t *testing.T) {
	h := fnv.New64a()
	for grace := -time.Second; grace < 8*time.Second; grace += 37 * time.Millisecond {
		for _, beat := range []time.Duration{0, time.Second, 2 * time.Second} {
			p := TimingFor(grace, beat)
			fmt.Fprintln(h, int64(p.ResponseTimeout), int64(p.IdleTimeout), int64(p.InitialBackoff), int64(p.MaxBackoff), p.Jitter, int64(p.MaxDelay()))
		}
	}
	if got := h.Sum64(); got != goldenTiming {
		t.Errorf("%#x, want %#x", got, uint64(goldenTiming))
	}
}
