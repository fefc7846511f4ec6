package deduplication

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wellgw/decide/setting"
)

var t0 = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newTestTable(t interface {
	Helper()
	Fatal(...any)
}, change func(*Limits)) *Table {
	t.Helper()
	l := DefaultLimits()
	if change != nil {
		change(&l)
	}
	tb, err := NewTable(l)
	if err != nil {
		t.Fatal(err)
	}
	return tb
}

func newRequest(team, key, digest string) Request {
	return Request{Key: Key{team, key}, Digest: digest, RequestID: "id-" + key + "-" + digest}
}

func TestRepeatOutcomes(t *testing.T) {
	first := newRequest("a", "k", "d")
	for name, c := range map[string]struct {
		outcome  *Outcome
		answer   string
		repeated Request
		after    time.Duration
		want     Decision
	}{
		"in progress":                       {nil, "", first, time.Second, InProgress},
		"complete":                          {ptr(OutcomeCompleted), "yes", first, time.Second, Replay},
		"complete, answer empty":            {ptr(OutcomeCompleted), "", first, time.Second, AnswerUnavailable},
		"complete, answer too large":        {ptr(OutcomeCompleted), strings.Repeat("x", 300<<10), first, time.Second, AnswerUnavailable},
		"indeterminate":                     {ptr(OutcomeIndeterminate), "", first, time.Second, PriorOutcomeUnknown},
		"refused":                           {ptr(OutcomeNotRun), "", first, time.Second, Run},
		"different body":                    {ptr(OutcomeCompleted), "yes", newRequest("a", "k", "other"), time.Second, KeyReused},
		"different body, in progress":       {nil, "", newRequest("a", "k", "other"), time.Second, KeyReused},
		"different body, indeterminate":     {ptr(OutcomeIndeterminate), "", newRequest("a", "k", "other"), time.Second, KeyReused},
		"same body, different key":          {ptr(OutcomeCompleted), "yes", newRequest("a", "k2", "d"), time.Second, Run},
		"same key, different team":          {ptr(OutcomeCompleted), "yes", newRequest("b", "k", "d"), time.Second, Run},
		"past its retention":                {ptr(OutcomeCompleted), "yes", first, 25 * time.Hour, Run},
		"indeterminate, past its retention": {ptr(OutcomeIndeterminate), "", first, 25 * time.Hour, Run},
		"in progress for a day":             {nil, "", first, 25 * time.Hour, InProgress},
	} {
		t.Run(name, func(t *testing.T) {
			tb := newTestTable(t, nil)
			if decision, _ := tb.Begin(t0, first); decision != Run {
				t.Fatalf("first decision %v, want %v", decision, Run)
			}
			if c.outcome != nil {
				tb.End(t0, first.Key, first.RequestID, *c.outcome, "text/plain", []byte(c.answer))
			}
			decision, e := tb.Begin(t0.Add(c.after), c.repeated)
			if decision != c.want {
				t.Errorf("decision %v, want %v", decision, c.want)
			}
			if decision == Replay && (string(e.Answer) != c.answer || e.ContentType != "text/plain") {
				t.Errorf("replayed entry %+v, want answer %q", e, c.answer)
			}
		})
	}
}

func ptr(o Outcome) *Outcome { return &o }

func TestResultOutcome(t *testing.T) {
	for result, want := range map[Result]Outcome{
		{}: OutcomeNotRun, {MayHaveRun: true}: OutcomeIndeterminate, {MayHaveRun: true, Refused: true}: OutcomeNotRun, {MayHaveRun: true, RejectedByEngine: true}: OutcomeNotRun,
		{Complete: true}: OutcomeCompleted, {Complete: true, MayHaveRun: true}: OutcomeCompleted,
	} {
		if got := result.Outcome(); got != want {
			t.Errorf("%+v: outcome %v, want %v", result, got, want)
		}
	}
}

func TestRetriesUnderUnseenKeys(t *testing.T) {
	for name, c := range map[string]struct {
		retryCount    int
		otherGateways bool
		cleanShutdown bool
		after         time.Duration
		want          Decision
	}{
		"first attempt": {0, false, true, 0, Run},
		"first attempt, other gateways, unclean shutdown":         {0, true, false, 0, Run},
		"retry, clean shutdown":                                   {1, false, true, 0, Run},
		"retry, clean shutdown, other gateways":                   {1, true, true, 0, PriorOutcomeUnknown},
		"retry within the uncertainty period":                     {2, false, false, time.Minute, PriorOutcomeUnknown},
		"retry long after the uncertainty period":                 {2, false, false, time.Hour, Run},
		"first attempt within the uncertainty period":             {0, false, false, 0, Run},
		"retry long after the uncertainty period, other gateways": {1, true, false, time.Hour, PriorOutcomeUnknown},
		"retry at the end of the uncertainty period":              {1, false, false, 10 * time.Minute, Run},
		"retry 1 ns before the end of the uncertainty period":     {1, false, false, 10*time.Minute - 1, PriorOutcomeUnknown},
		"retry count 9, clean shutdown":                           {9, false, true, time.Hour, Run},
	} {
		t.Run(name, func(t *testing.T) {
			tb := newTestTable(t, nil)
			uncertainty := time.Duration(0)
			if !c.cleanShutdown {
				uncertainty = tb.limits.UncertaintyPeriod
			}
			tb.Restore(t0, nil, uncertainty)
			request := newRequest("a", "k", "d")
			request.RetryCount, request.MayHaveRunOnOtherGateway = c.retryCount, c.otherGateways
			if decision, _ := tb.Begin(t0.Add(c.after), request); decision != c.want {
				t.Errorf("decision %v, want %v", decision, c.want)
			}
		})
	}
}

// Attempts that this gateway refused did not run. Therefore as many retries, and no more, are safe here, even
// if other gateways exist.
func TestRetryAfterRefusal(t *testing.T) {
	tb := newTestTable(t, nil)
	tb.Restore(t0, nil, tb.limits.UncertaintyPeriod)
	begin := func(at time.Duration, retry int) Decision {
		request := newRequest("a", "k", "d")
		request.RetryCount, request.MayHaveRunOnOtherGateway = retry, true
		decision, _ := tb.Begin(t0.Add(at), request)
		return decision
	}
	for n := range 3 {
		if decision := begin(time.Duration(n)*time.Second, n); decision != Run {
			t.Fatalf("after %d refused attempts: decision %v", n, decision)
		}
		tb.End(t0, Key{"a", "k"}, newRequest("a", "k", "d").RequestID, OutcomeNotRun, "", nil)
	}
	if decision := begin(time.Minute, 4); decision != PriorOutcomeUnknown {
		t.Errorf("3 refusals, retry count 4: decision %v", decision)
	}
	if decision := begin(time.Hour, 3); decision != PriorOutcomeUnknown {
		t.Errorf("an hour after the refusals: decision %v", decision)
	}
	for i := range 10 * maxRefusalsPerGeneration { // another team's refusals must not displace this team's
		tb.RecordRefusal(t0.Add(time.Hour), Key{"b", fmt.Sprint(i)})
	}
	tb.RecordRefusal(t0.Add(time.Hour), Key{"a", "k2"})
	if n := tb.refusals["a"].count(t0.Add(time.Hour), "k2"); n != 1 {
		t.Errorf("%d refusals recorded, want 1", n)
	}
	if b := tb.refusals["b"]; len(b.newer)+len(b.older) > 2*maxRefusalsPerGeneration {
		t.Errorf("%d refused keys recorded, above the limit", len(b.newer)+len(b.older))
	}
}

func TestAttemptsMayReachOtherGateways(t *testing.T) {
	for name, c := range map[string]struct {
		topology Topology
		want     bool
	}{
		"nothing configured":                              {Topology{ObservedGateways: 1}, true},
		"one gateway configured":                          {Topology{ConfiguredGateways: 1, ObservedGateways: 1}, false},
		"one configured, two observed":                    {Topology{ConfiguredGateways: 1, ObservedGateways: 2}, true},
		"three configured":                                {Topology{ConfiguredGateways: 3, ObservedGateways: 3}, true},
		"one configured, peers enabled, no peer observed": {Topology{ConfiguredGateways: 1, PeersEnabled: true, ObservedGateways: 1}, true},
		"sticky keys":                                     {Topology{StickyKeys: true, ConfiguredGateways: 3, PeersEnabled: true, ObservedGateways: 3}, false},
		"nothing configured or observed":                  {Topology{ObservedGateways: 0}, true},
	} {
		t.Run(name, func(t *testing.T) {
			if c.topology.AttemptsMayReachOtherGateways() != c.want {
				t.Errorf("attempts may reach other gateways: %v, want %v", !c.want, c.want)
			}
		})
	}
}

func TestRestoreAfterRestart(t *testing.T) {
	tb := newTestTable(t, nil)
	entry := func(k string, s State, age time.Duration, answer string) Entry {
		return Entry{Key: Key{"a", k}, Digest: "d", State: s, Since: t0.Add(-age), Answer: []byte(answer)}
	}
	tb.Restore(t0, []Entry{
		entry("ran", StateRunning, time.Second, ""), entry("done", StateComplete, time.Hour, "yes"), entry("old", StateComplete, 25*time.Hour, "yes"),
		entry("ahead", StateComplete, -time.Hour, "yes"), entry("done", StateUnknown, time.Hour, ""),
	}, 0)
	for k, want := range map[string]Decision{"ran": PriorOutcomeUnknown, "done": Replay, "old": Run, "ahead": Replay} {
		if decision, _ := tb.Begin(t0, newRequest("a", k, "d")); decision != want {
			t.Errorf("%s: decision %v, want %v", k, decision, want)
		}
	}
}

// A team that floods the table with keys displaces neither the keys nor the answers of another team that is
// below its fair share.
func TestFloodOfKeysIsBounded(t *testing.T) {
	tb := newTestTable(t, func(l *Limits) { l.MaxEntries, l.MaxTotalAnswerBytes, l.MaxEntriesPerTeam = 100, 1000, 80 })
	runToCompletion := func(now time.Time, request Request) Decision {
		decision, _ := tb.Begin(now, request)
		if decision == Run {
			tb.End(now, request.Key, request.RequestID, OutcomeCompleted, "", []byte("0123456789"))
		}
		return decision
	}
	for i := range 10 {
		runToCompletion(t0, newRequest("light", fmt.Sprint(i), "d"))
	}
	rejected := 0
	for i := range 1000 {
		if runToCompletion(t0.Add(time.Duration(i)*time.Second), newRequest("flooding", fmt.Sprint(i), "d")) == CapacityExceeded {
			rejected++
		}
	}
	for i := range 10 {
		if decision, _ := tb.Begin(t0.Add(time.Hour), newRequest("light", fmt.Sprint(i), "d")); decision != Replay {
			t.Errorf("light team, key %d: decision %v", i, decision)
		}
	}
	for i := range 10 { // capacity for new keys remains
		if decision := runToCompletion(t0.Add(time.Hour), newRequest("light", fmt.Sprint("new", i), "d")); decision != Run {
			t.Errorf("light team, new key %d: decision %v", i, decision)
		}
	}
	if rejected == 0 {
		t.Error("keys younger than the minimum retention were removed")
	}
}

func TestInvalidLimitNamesSetting(t *testing.T) {
	for field, change := range map[string]func(*Limits){
		"keys": func(l *Limits) { l.MaxEntries = 0 }, "answer_bytes": func(l *Limits) { l.MaxTotalAnswerBytes = -1 },
		"age_ms": func(l *Limits) { l.Retention = l.MinRetention - 1 }, "least_ms": func(l *Limits) { l.MinRetention = 0 },
	} {
		t.Run(field, func(t *testing.T) {
			l := DefaultLimits()
			change(&l)
			var settingError setting.Error
			if _, err := NewTable(l); !errors.As(err, &settingError) || !strings.Contains(settingError.Field, field) {
				t.Errorf("error %v does not name the setting", err)
			}
		})
	}
}

// For any sequence of operations: a key under which a request may have run is not run again before its
// minimum retention, two requests with one key never run concurrently, limits are observed, and the counts
// are correct.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb := newTestTable(t, func(l *Limits) {
			l.MaxEntries, l.MaxTotalAnswerBytes, l.MaxAnswerBytes = rapid.IntRange(1, 8).Draw(t, "entries"), int64(rapid.IntRange(0, 60).Draw(t, "bytes")), 20
			l.Retention, l.MinRetention, l.MaxEntriesPerTeam = time.Hour, 10*time.Minute, rapid.IntRange(0, 8).Draw(t, "entries per team")
		})
		type execution struct {
			running      bool
			mayHaveRunAt time.Time // latest time at which a request may have run
		}
		model := map[Key]*execution{}
		runningIDs := map[Key]string{}
		now, n := t0, 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "seconds")) * time.Second)
			k := Key{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "key"))}
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0, 1, 2, 3:
				n++
				request := Request{Key: k, Digest: "d", RequestID: fmt.Sprint(n), RetryCount: rapid.IntRange(0, 1).Draw(t, "retry")}
				decision, _ := tb.Begin(now, request)
				modelled := model[k]
				if decision != Run {
					continue
				}
				if modelled != nil && modelled.running {
					t.Fatalf("%v runs twice concurrently", k)
				}
				if modelled != nil && !modelled.mayHaveRunAt.IsZero() && now.Sub(modelled.mayHaveRunAt) < 10*time.Minute {
					t.Fatalf("%v runs again %v after it may have run", k, now.Sub(modelled.mayHaveRunAt))
				}
				model[k], runningIDs[k] = &execution{running: true}, request.RequestID
			case 4, 5, 6, 7:
				id, inProgress := runningIDs[k]
				if !inProgress {
					continue
				}
				outcome := rapid.SampledFrom([]Outcome{OutcomeNotRun, OutcomeCompleted, OutcomeIndeterminate}).Draw(t, "outcome")
				tb.End(now, k, id, outcome, "", make([]byte, rapid.IntRange(0, 25).Draw(t, "size")))
				delete(runningIDs, k)
				if model[k].running = false; outcome != OutcomeNotRun {
					model[k].mayHaveRunAt = now
				}
			case 8:
				tb.Expire(now)
			default: // restart of the process
				var stored []Entry
				for _, e := range tb.entries {
					stored = append(stored, *e)
				}
				restarted := newTestTable(t, func(l *Limits) { *l = tb.limits })
				restarted.Restore(now, stored, 0)
				tb = restarted
				for k := range runningIDs {
					model[k].running, model[k].mayHaveRunAt = false, now
				}
				clear(runningIDs)
			}
			keys, bytes := tb.Counts()
			sum := int64(0)
			for _, e := range tb.entries {
				sum += int64(len(e.Answer))
			}
			if keys > tb.limits.MaxEntries || bytes > tb.limits.MaxTotalAnswerBytes || bytes != sum {
				t.Fatalf("%d keys, %d answer bytes counted, %d stored", keys, bytes, sum)
			}
		}
	})
}
