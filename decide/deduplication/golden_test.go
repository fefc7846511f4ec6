package deduplication

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wellgw/internal/golden"
)

// recorder adds entries and keys to golden.Recorder.
type recorder struct{ golden.Recorder }

func (r recorder) entry(e Entry) {
	r.Text(e.Key.Team, e.Key.Name, e.Digest, e.RequestID, e.ContentType, string(e.Answer))
	r.Flag(e.Answer == nil)
	r.Number(int64(e.State), e.Since.UnixNano())
}

func (r recorder) keys(keys []Key) {
	slices.SortFunc(keys, compareKeys) // a table returns removed keys in map order
	r.Number(int64(len(keys)))
	for _, k := range keys {
		r.Text(k.Team, k.Name)
	}
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Name, b.Name))
}

// TestGoldenResults sends drawn events to the table and compares a hash of all its results with the one
// recorded before the code's names were changed.
func TestGoldenResults(t *testing.T) {
	for seed, want := range map[uint64]string{
		1: "85bc1960c0c71ad8b0a931727988eccf6efdfdf203b03b24607c365dd753e751",
		2: "20b13e9919fbfcb0e026fa52297bd273d4e149b8e81e520401e555ae89656bf4",
		3: "14a30f3e138c27b66801ca42819e22f6a76154fea38293b28259691b36d2b836",
		4: "7bd17984f408e5542362a9e8bb159c788e352b368f2368cf57ed1b4afc01ff6e",
	} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			if got := goldenRun(t, seed); got != want {
				t.Errorf("hash %s, want %s", got, want)
			}
		})
	}
}

// goldenRun draws limits so small that each of them is reached. Times differ at every step, so that no choice
// between equal entries depends on the iteration order of a map.
func goldenRun(t *testing.T, seed uint64) string {
	const steps, teams, names = 20_000, 3, 40
	rng := rand.New(rand.NewPCG(seed, 45))
	rec := recorder{golden.NewRecorder()}
	limits := DefaultLimits()
	limits.MaxEntries, limits.MaxEntriesPerTeam = 10+rng.IntN(40), rng.IntN(30)
	limits.MaxTotalAnswerBytes, limits.MaxAnswerBytes = int64(200+rng.IntN(400)), 40
	limits.Retention, limits.MinRetention, limits.UncertaintyPeriod = 20*time.Minute, time.Minute, 2*time.Minute
	newTable := func() *Table {
		table, err := NewTable(limits)
		if err != nil {
			t.Fatal(err)
		}
		return table
	}
	table := newTable()
	stored := map[Key]Entry{} // simulates the entries stored on disk
	running := map[Key]string{}
	applyRemovals := func() {
		removed := table.PopRemoved()
		rec.keys(removed)
		for _, k := range removed {
			delete(stored, k)
		}
	}
	now := t0
	drawKey := func() Key {
		team := fmt.Sprint("t", rng.IntN(teams))
		return Key{Team: team, Name: fmt.Sprint(team, "-", rng.IntN(names))}
	}
	for step := range steps {
		now = now.Add(time.Duration(1 + rng.Int64N(int64(4*time.Second))))
		kind := rng.IntN(40)
		rec.Number(int64(kind))
		switch {
		case kind < 20:
			request := Request{Key: drawKey(), Digest: "d", RequestID: fmt.Sprint("id", step), MayHaveRunOnOtherGateway: rng.IntN(2) == 0}
			if rng.IntN(10) == 0 {
				request.Digest = "other"
			}
			if rng.IntN(2) == 0 {
				request.RetryCount = rng.IntN(4)
			}
			decision, e := table.Begin(now, request)
			rec.Number(int64(decision))
			rec.entry(e)
			if applyRemovals(); decision == Run {
				running[request.Key], stored[request.Key] = request.RequestID, e
			}
		case kind < 35:
			if len(running) == 0 {
				continue
			}
			k := slices.SortedFunc(maps.Keys(running), compareKeys)[rng.IntN(len(running))]
			id := running[k]
			if rng.IntN(20) == 0 {
				id = "of another request"
			} else {
				delete(running, k)
			}
			outcome := []Outcome{OutcomeNotRun, OutcomeCompleted, OutcomeCompleted, OutcomeCompleted, OutcomeIndeterminate}[rng.IntN(5)]
			e, remembered := table.End(now, k, id, outcome, "text/plain", make([]byte, rng.IntN(60)))
			rec.entry(e)
			rec.Flag(remembered)
			if applyRemovals(); remembered {
				stored[k] = e
			}
		case kind < 37:
			table.RecordRefusal(now, drawKey())
		case kind < 39:
			table.Expire(now)
			applyRemovals()
		case rng.IntN(20) == 0: // a restart
			var entries []Entry
			for _, k := range slices.SortedFunc(maps.Keys(stored), compareKeys) {
				entries = append(entries, stored[k])
			}
			table = newTable()
			uncertainty := limits.UncertaintyPeriod
			if rng.IntN(2) == 0 {
				uncertainty = 0
			}
			table.Restore(now, entries, uncertainty)
			clear(running)
			for i := range entries { // running requests were interrupted
				if e := &entries[i]; e.State == StateRunning {
					e.State, e.Since, e.Answer = StateUnknown, now, nil
					stored[e.Key] = *e
				}
			}
		}
		keys, bytes := table.Counts()
		rec.Number(int64(keys), bytes)
	}
	return rec.Hash()
}

// TestGoldenDecisionsAboutGateways covers every combination of a Result and of a Topology: the outcome of a
// request, and whether an earlier attempt may have reached another gateway.
func TestGoldenDecisionsAboutGateways(t *testing.T) {
	const want = "285231c93e1967c538fb3308137b34b5c85d970d013c7776ecb966c736b84f8a"
	rec := recorder{golden.NewRecorder()}
	for bits := range 16 {
		result := Result{Complete: bits&1 > 0, Refused: bits&2 > 0, RejectedByEngine: bits&4 > 0, MayHaveRun: bits&8 > 0}
		rec.Number(int64(result.Outcome()))
	}
	for configured := range 4 {
		for observed := range 4 {
			for bits := range 4 {
				topology := Topology{StickyKeys: bits&1 > 0, PeersEnabled: bits&2 > 0, ConfiguredGateways: configured, ObservedGateways: observed}
				rec.Flag(topology.AttemptsMayReachOtherGateways())
			}
		}
	}
	if got := rec.Hash(); got != want {
		t.Errorf("hash %s, want %s", got, want)
	}
}

// TestTextsOfStatesAndDecisions checks texts that are shown in metrics and counts.
func TestTextsOfStatesAndDecisions(t *testing.T) {
	for v, want := range []string{"run", "under way", "replay", "not kept", "reused", "lost", "full"} {
		if got := Decision(v).String(); got != want {
			t.Errorf("decision %d: %q, want %q", v, got, want)
		}
	}
	for s, want := range []string{"running", "complete", "unknown"} {
		if got := State(s).String(); got != want {
			t.Errorf("state %d: %q, want %q", s, got, want)
		}
	}
}

// TestTextsOfLimitErrors checks the error messages about settings.
func TestTextsOfLimitErrors(t *testing.T) {
	for _, c := range []struct {
		change func(*Limits)
		want   string
	}{
		{func(l *Limits) { l.MaxEntries = 0 }, "keys: below 1"},
		{func(l *Limits) { l.MaxTotalAnswerBytes = -1 }, "answer_bytes, largest_answer: below 0"},
		{func(l *Limits) { l.MaxAnswerBytes = -1 }, "answer_bytes, largest_answer: below 0"},
		{func(l *Limits) { l.MinRetention = 0 }, "least_ms, age_ms: the age must be no less than the least, and both above 0"},
		{func(l *Limits) { l.Retention = l.MinRetention - 1 }, "least_ms, age_ms: the age must be no less than the least, and both above 0"},
	} {
		l := DefaultLimits()
		c.change(&l)
		if err := l.Validate(); err == nil || err.Error() != c.want {
			t.Errorf("%v, want %q", err, c.want)
		}
	}
}
