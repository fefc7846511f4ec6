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

// goldenHash is the hash over all results of the ledgers that goldenRun drives. Each value is hashed as a
// number or as an engine's letter, so the hash does not depend on Go identifiers.
const goldenHash = "3b6b03416bfc6f923ef57e76d0de9a38d7b54a18570327396f9eab48e68ea97a"

// goldenRun drives one ledger with events drawn from a seed and hashes its results after each event.
func goldenRun(h hash.Hash, seed uint64) {
	draw := rand.New(rand.NewPCG(seed, 45))
	drawDuration := func(limit time.Duration) time.Duration { return time.Duration(draw.Int64N(int64(limit))) }
	limits := Limits{HeldStateLimit: 20*ms + drawDuration(time.Second), HeldStateSlack: drawDuration(400 * ms), ReleaseTimeout: 5 * time.Second, MaxCancelledPrefill: drawDuration(4 * time.Second)}
	l := New(limits)
	names := []string{"a", "b", "c", "d"}
	now := Time(ms)
	releasing := map[string]bool{}
	number := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	for range 60 {
		engine := names[draw.IntN(len(names))]
		step := draw.IntN(14)
		fmt.Fprint(h, seed, now, step, engine, ";")
		switch step {
		case 0:
			l.PrefillCompleted(engine, now)
		case 1:
			l.AttemptLost(engine, draw.IntN(2) == 0)
		case 2:
			l.AttemptFailed(engine)
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
			l.FlightEnded(drawFlight(draw, now), now)
		case 10, 11:
			flights := make([]Flight, draw.IntN(3))
			for i := range flights {
				flights[i] = drawFlight(draw, now)
			}
			l.SetFlights(flights, now)
		case 12:
			if draw.IntN(4) == 0 {
				delete(releasing, engine)
				l.DropEngine(engine)
			}
		case 13: // no event: engines may answer late or never
		}
		for _, cancelled := range l.ReleasesToCancel(now) {
			fmt.Fprint(h, "s", cancelled, ",")
			if releasing[cancelled] && draw.IntN(2) == 0 {
				delete(releasing, cancelled)
				l.ReleaseEnded(cancelled, false, now)
			}
		}
		expired := l.Expired(now)
		fmt.Fprint(h, number(expired), ",")
		if expired {
			l.Expire(now)
		}
		for _, due := range l.ReleasesDue(now) {
			releasing[due] = true
			fmt.Fprint(h, "d", due, int64(l.ReleaseDeadline(due)), ",")
		}
		for _, name := range names {
			if releasing[name] && draw.IntN(3) == 0 {
				delete(releasing, name)
				l.ReleaseEnded(name, draw.IntN(3) > 0, now)
			}
		}
		next, scheduled := l.NextUpdate()
		fmt.Fprintln(h, l.StateHolder(), int64(next), number(scheduled), number(l.Completed()), number(l.BlocksDrain(now)))
		switch {
		case scheduled && next > now && draw.IntN(2) == 0:
			now = next
		default:
			now += drawDuration(time.Duration(1+draw.IntN(900)) * ms)
		}
	}
}

// drawFlight draws an attempt that was written before now: without evidence of its arrival, with evidence
// from its own connection, or with evidence from another connection or from before it was written.
func drawFlight(draw *rand.Rand, now Time) Flight {
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
	if got := hex.EncodeToString(h.Sum(nil)); got != goldenHash {
		t.Errorf("hash of the results is %s, want %s", got, goldenHash)
	}
}
