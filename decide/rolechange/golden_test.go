package rolechange

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"
)

// randomInputs returns random inputs of a leader, and randomRecord a random record; both use the
// strings of stored records.
func randomInputs(rng *rand.Rand) Inputs {
	f := Inputs{
		Now: t0.Add(time.Duration(rng.IntN(60_000)) * time.Millisecond), Leader: "g1", FencingToken: uint64(4 + rng.IntN(8)/7*rng.IntN(3)),
		Gateways: rng.IntN(4), Confirmed: rng.IntN(4), Listed: rng.IntN(5) > 0, ListedRole: randomRole(rng), Reply: Reply(rng.IntN(8) / 7 * rng.IntN(4)),
	}
	if rng.IntN(5) == 0 {
		f.UnresponsiveFor = time.Duration(rng.IntN(9000)) * time.Millisecond
		return f
	}
	f.Report = &Report{
		Role: randomRole(rng), Draining: rng.IntN(2) == 0, Running: rng.IntN(2), HeldStates: rng.IntN(4) / 3,
		FencingToken: uint64(3 + rng.IntN(8)/7*rng.IntN(4)), StartedAt: t0,
	}
	return f
}

func randomRole(rng *rand.Rand) string {
	return []string{"read", "write", "read", "write", "read", "write", "both"}[rng.IntN(7)]
}

func randomRecord(rng *rand.Rand) Record {
	steps := []string{"announced", "draining", "flipping", "warming", "settled", "undoing", "unheard-of"}
	return Record{
		Engine: "e", Addr: "a:1", Rack: rng.IntN(3), From: "read", To: "write", Step: Step(steps[rng.IntN(len(steps))]),
		FencingToken: uint64(4 + rng.IntN(8)/7*(rng.IntN(3)-1)), Leader: "g0", StartedAt: t0, StepStartedAt: t0.Add(time.Duration(rng.IntN(20_000)) * time.Millisecond),
		FlippedAt: t0.Add(time.Duration(rng.IntN(20_000)) * time.Millisecond), Reason: "drawn",
	}
}

// TestGoldenActions compares the actions for random records and inputs with recorded hashes. No
// name of a Go type or field is hashed, so that the hashes remain valid after renames.
func TestGoldenActions(t *testing.T) {
	for seed, want := range [...]uint64{0x334b5fb29fe49ccb, 0x10a293b5bc81cfa5, 0x20b1cb36260fa660, 0xb33df1df1b2c7731} {
		rng, sum := rand.New(rand.NewPCG(uint64(seed), 45)), fnv.New64a()
		limits := DefaultTimeouts()
		for range 20_000 {
			r, f := randomRecord(rng), randomInputs(rng)
			for range 1 + rng.IntN(4) { // consecutive decisions of one change
				a := Next(r, f, limits)
				x := a.Record
				paused, role, coldSince := x.Routing()
				fmt.Fprintln(sum, a.Write, string(a.Command), string(a.Outcome), a.LeaseLost, a.Reason, paused, role, coldSince.UnixNano(),
					x.Engine, x.Addr, x.Rack, x.From, x.To, string(x.Step), x.FencingToken, x.Leader, x.StartedAt.UnixNano(), x.StepStartedAt.UnixNano(), x.FlippedAt.UnixNano(), x.Reason)
				r, f = x, randomInputs(rng)
			}
			l := NewLease(rng.Uint64(), time.Duration(rng.IntN(9000))*time.Millisecond, t0)
			l.Renewed(t0.Add(time.Duration(rng.IntN(4000)-2000) * time.Millisecond))
			sessions := []string{"", "s1", "s2"}
			action := DecideLock(sessions[rng.IntN(3)], sessions[rng.IntN(3)], []string{"", "g1"}[rng.IntN(2)])
			fmt.Fprintln(sum, l.FencingToken, l.Valid(t0.Add(time.Duration(rng.IntN(6000))*time.Millisecond)), uint8(action))
		}
		if got := sum.Sum64(); got != want {
			t.Errorf("seed %d: %#x, want %#x", seed, got, want)
		}
	}
}

// TestGoldenDefaults checks the timeouts for an operator who sets none, in the order of the settings.
func TestGoldenDefaults(t *testing.T) {
	l := DefaultTimeouts()
	got := [...]time.Duration{l.Confirmation, l.Draining, l.Flipping, l.WarmUp, l.EngineUnresponsive, l.RollingBack}
	if want := [...]time.Duration{4 * s, 30 * s, 5 * s, 14 * s, 6 * s, 10 * s}; got != want {
		t.Errorf("%v, want %v", got, want)
	}
}
