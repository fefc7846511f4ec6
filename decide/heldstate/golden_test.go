package heldstate

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"testing"
	"time"
)

// golden is the hash over all that ledgers have said under the events of goldenRun. Every value is
// hashed as a number or as an engine's letter, so that it outlives renames.
const golden = "3b6b03416bfc6f923ef57e76d0de9a38d7b54a18570327396f9eab48e68ea97a"

// goldenRun drives one ledger with events drawn from a seed, and hashes what it says after each.
func goldenRun(h hash.Hash, seed uint64) {
	draw := rand.New(rand.NewPCG(seed, 45))
	span := func(most time.Duration) time.Duration { return time.Duration(draw.Int64N(int64(most))) }
	lim := Limits{HeldStateLimit: 20*ms + span(time.Second), HeldStateSlack: span(400 * ms), ReleaseTimeout: 5 * time.Second, MaxCancelledPrefill: span(4 * time.Second)}
	l := New(lim)
	names := []string{"a", "b", "c", "d"}
	now := Time(ms)
	flight := map[string]bool{}
	number := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	for range 60 {
		e := names[draw.IntN(len(names))]
		step := draw.IntN(14)
		fmt.Fprint(h, seed, now, step, e, ";")
		switch step {
		case 0:
			l.PrefillCompleted(e, now)
		case 1:
			l.AttemptLost(e, draw.IntN(2) == 0)
		case 2:
			l.AttemptFailed(e)
		case 3:
			if draw.IntN(3) == 0 {
				l.AnswerStarted()
			}
		case 4:
			if draw.IntN(3) == 0 {
				l.AnswerCompleted()
			}
		case 5:
			if draw.IntN(3) == 0 {
				l.Detach()
			}
		case 6:
			if draw.IntN(3) == 0 {
				l.StateMissing()
			}
		case 7:
			if draw.IntN(4) == 0 {
				l.Finish()
			}
		case 8:
			l.RepeatReleases()
		case 9:
			l.FlightEnded(drawnFlight(draw, now), now)
		case 10, 11:
			flights := make([]Flight, draw.IntN(3))
			for i := range flights {
				flights[i] = drawnFlight(draw, now)
			}
			l.SetFlights(flights, now)
		case 12:
			if draw.IntN(4) == 0 {
				delete(flight, e)
				l.DropEngine(e)
			}
		case 13: // engines answer late, or never
		}
		for _, over := range l.ReleasesToCancel(now) {
			fmt.Fprint(h, "s", over, ",")
			if flight[over] && draw.IntN(2) == 0 {
				delete(flight, over)
				l.ReleaseEnded(over, false, now)
			}
		}
		expired := l.Expired(now)
		fmt.Fprint(h, number(expired), ",")
		if expired {
			l.Expire(now)
		}
		for _, due := range l.ReleasesDue(now) {
			flight[due] = true
			fmt.Fprint(h, "d", due, int64(l.ReleaseDeadline(due)), ",")
		}
		for _, name := range names {
			if flight[name] && draw.IntN(3) == 0 {
				delete(flight, name)
				l.ReleaseEnded(name, draw.IntN(3) > 0, now)
			}
		}
		next, some := l.NextUpdate()
		fmt.Fprintln(h, l.StateHolder(), int64(next), number(some), number(l.Completed()), number(l.BlocksDrain(now)))
		switch {
		case some && next > now && draw.IntN(2) == 0:
			now = next
		default:
			now += span(time.Duration(1+draw.IntN(900)) * ms)
		}
	}
}

// drawnFlight draws an attempt that was written before now: with no answer, with one on its own
// connection, or with evidence of another connection or from before it was written.
func drawnFlight(draw *rand.Rand, now Time) Flight {
	f := Flight{
		Connection: ConnectionNumber(1 + draw.IntN(3)),
		WrittenAt:  now - Time(draw.Int64N(int64(min(now, time.Second)))),
	}
	if draw.IntN(2) == 0 {
		f.Arrival = Arrival{Connection: ConnectionNumber(1 + draw.IntN(3)), At: Time(draw.Int64N(int64(now))) + 1}
	}
	return f
}

func TestGolden(t *testing.T) {
	h := sha256.New()
	for seed := range uint64(2000) {
		goldenRun(h, seed)
	}
	if got := hex.EncodeToString(h.Sum(nil)); got != golden {
		t.Errorf("the ledgers say %s, want %s", got, golden)
	}
}
