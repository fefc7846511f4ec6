package lifecycle

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"math/rand/v2"
	"testing"
	"time"
)

// goldenSums are hashes over the decisions of a Process for events drawn from fixed seeds, one hash for each
// Limits: bit 0 is KillExpected, bit 1 ClientsResume, bit 2 SharedSocket. They were recorded before the names
// of this package were changed. A different hash means that the behaviour changed; the numeric values of
// states, actions and decisions, and their order, are part of that behaviour.
var goldenSums = [8]string{
	"d53817c8fa47972b6dd1a38737b95afb",
	"1921a3fc854795e23aeddbb7cbde1c1c",
	"a775bf812480f3c237b4ea155c16ff7a",
	"2b5ef8977ed16d42d99bf6c695f6aa47",
	"c169d181ec624c435234f5f5fd60cdb8",
	"a02cc81bf79cf2fb912d6a87bae4b228",
	"42cdea12e3f34f2fd72b6d3329cc11d8",
	"138e8af3c3d63ac2d1c4db4f628174cf",
}

const (
	goldenSeeds  = 200 // per Limits
	goldenEvents = 60  // per seed
)

// TestGoldenDecisions sends events drawn from fixed seeds to processes, at times before, at and after those
// that NextTick returns, and compares hashes over the decisions.
func TestGoldenDecisions(t *testing.T) {
	for bits, want := range goldenSums {
		t.Run(fmt.Sprintf("limits %03b", bits), func(t *testing.T) {
			sum := sha256.New()
			for seed := range uint64(goldenSeeds) {
				hashProcess(sum, rand.New(rand.NewPCG(seed, uint64(bits))), bits)
			}
			if got := fmt.Sprintf("%x", sum.Sum(nil)[:16]); got != want {
				t.Errorf("hash of the decisions is %s, want %s", got, want)
			}
		})
	}
}

// hashProcess sends events to one process and adds its decisions to the hash.
func hashProcess(sum hash.Hash, rng *rand.Rand, bits int) {
	drawWait := func() time.Duration { return time.Duration(50+rng.IntN(70_000)) * time.Millisecond }
	if rng.IntN(2) == 0 { // short waits, for which the shutdown steps share the available time
		drawWait = func() time.Duration { return time.Duration(1+rng.IntN(4000)) * time.Millisecond }
	}
	p := New(Limits{MaxFirstEventWait: drawWait(), KillExpected: bits&1 != 0, ClientsResume: bits&2 != 0, SharedSocket: bits&4 != 0})
	now := time.Duration(0)
	for range goldenEvents {
		kind := rng.IntN(16)
		switch next := since(p.NextTick()); {
		case next >= now && rng.IntN(3) == 0: // exactly at the time of the tick
			now, kind = next, 15
		case next > now && rng.IntN(3) == 0: // 1 ns before the tick
			now, kind = next-1, 15
		default:
			now += time.Duration(rng.IntN(400)) * time.Millisecond
		}
		actions, accepted := p.Handle(at(now), goldenEvent(kind, drawWait))
		hashNumbers(sum, int64(kind), int64(now), number(accepted), int64(len(actions)))
		for _, a := range actions {
			hashNumbers(sum, int64(a))
		}
		s := p.Service()
		hashNumbers(sum, int64(p.State()), number(p.LostListener()), int64(since(p.NextTick())),
			int64(s.State), number(s.Draining), number(s.Healthy), number(s.KeepAlive), number(s.Listening),
			int64(since(s.RequestDeadline)), int64(since(s.AnswerDeadline)), number(s.AcceptsRequest(at(now))))
		for flags := range 16 {
			openedAt := now - time.Duration(rng.IntN(600))*time.Millisecond
			decision, next := s.DecideConnection(at(now), Connection{
				Opened: at(openedAt), Answered: flags&1 != 0, InFlight: flags&2 != 0, PartialRequest: flags&4 != 0, UnreadBytes: flags&8 != 0,
			})
			hashNumbers(sum, int64(decision), int64(since(next)))
		}
	}
}

// goldenEvent returns the event for a drawn number.
func goldenEvent(kind int, drawWait func() time.Duration) Event {
	switch kind {
	case 0, 1:
		return Drain{}
	case 2, 3:
		return Activate{}
	case 4:
		return HandOver{}
	case 5:
		return Terminate{}
	case 6:
		return ListenerLost{}
	case 7, 8:
		return SettingsChanged{drawWait()}
	case 9, 10:
		return ClientsIdle{}
	case 11:
		return WorkCompleted{}
	}
	return Tick{}
}

func hashNumbers(sum hash.Hash, numbers ...int64) {
	for _, n := range numbers {
		_ = binary.Write(sum, binary.LittleEndian, n)
	}
}

func number(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// The names of the states are log values that operators search for.
func TestStateStrings(t *testing.T) {
	for n, want := range []string{"serving", "draining", "handed over", "leaving", "finishing", "refusing", "failing", "releasing", "ended"} {
		if got := State(n).String(); got != want {
			t.Errorf("state %d: name %q, want %q", n, got, want)
		}
	}
}
