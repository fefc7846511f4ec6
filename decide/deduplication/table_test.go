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

func table(t interface {
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
		end    *Outcome
		answer string
		again  Request
		after  time.Duration
		want   Decision
	}{
		"in progress":               {nil, "", first, time.Second, InProgress},
		"complete":                  {ptr(OutcomeCompleted), "yes", first, time.Second, Replay},
		"complete, nothing kept":    {ptr(OutcomeCompleted), "", first, time.Second, AnswerUnavailable},
		"complete, too large":       {ptr(OutcomeCompleted), strings.Repeat("x", 300<<10), first, time.Second, AnswerUnavailable},
		"broken":                    {ptr(OutcomeIndeterminate), "", first, time.Second, PriorOutcomeUnknown},
		"refused":                   {ptr(OutcomeNotRun), "", first, time.Second, Run},
		"another body":              {ptr(OutcomeCompleted), "yes", newRequest("a", "k", "other"), time.Second, KeyReused},
		"another body, in progress": {nil, "", newRequest("a", "k", "other"), time.Second, KeyReused},
		"another body, broken":      {ptr(OutcomeIndeterminate), "", newRequest("a", "k", "other"), time.Second, KeyReused},
		"the same text, other key":  {ptr(OutcomeCompleted), "yes", newRequest("a", "k2", "d"), time.Second, Run},
		"another team's key":        {ptr(OutcomeCompleted), "yes", newRequest("b", "k", "d"), time.Second, Run},
		"past its age":              {ptr(OutcomeCompleted), "yes", first, 25 * time.Hour, Run},
		"broken, past its age":      {ptr(OutcomeIndeterminate), "", first, 25 * time.Hour, Run},
		"in progress for a day":     {nil, "", first, 25 * time.Hour, InProgress},
	} {
		t.Run(name, func(t *testing.T) {
			tb := table(t, nil)
			if v, _ := tb.Begin(t0, first); v != Run {
				t.Fatalf("%v at first", v)
			}
			if c.end != nil {
				tb.End(t0, first.Key, first.RequestID, *c.end, "text/plain", []byte(c.answer))
			}
			v, e := tb.Begin(t0.Add(c.after), c.again)
			if v != c.want {
				t.Errorf("%v, want %v", v, c.want)
			}
			if v == Replay && (string(e.Answer) != c.answer || e.ContentType != "text/plain") {
				t.Errorf("%+v", e)
			}
		})
	}
}

func ptr(o Outcome) *Outcome { return &o }

func TestEndings(t *testing.T) {
	for e, want := range map[Result]Outcome{
		{}: OutcomeNotRun, {MayHaveRun: true}: OutcomeIndeterminate, {MayHaveRun: true, Refused: true}: OutcomeNotRun, {MayHaveRun: true, RejectedByEngine: true}: OutcomeNotRun,
		{Complete: true}: OutcomeCompleted, {Complete: true, MayHaveRun: true}: OutcomeCompleted,
	} {
		if got := e.Outcome(); got != want {
			t.Errorf("%+v: %v, want %v", e, got, want)
		}
	}
}

func TestRetriesUnderUnseenKeys(t *testing.T) {
	for name, c := range map[string]struct {
		retry  int
		others bool
		clean  bool
		after  time.Duration
		want   Decision
	}{
		"a first try":                     {0, false, true, 0, Run},
		"a first try, other gateways":     {0, true, false, 0, Run},
		"a retry, nothing is lost":        {1, false, true, 0, Run},
		"a retry, other gateways":         {1, true, true, 0, PriorOutcomeUnknown},
		"a retry after a crash":           {2, false, false, time.Minute, PriorOutcomeUnknown},
		"a retry long after a crash":      {2, false, false, time.Hour, Run},
		"a first try just after a crash":  {0, false, false, 0, Run},
		"a retry, others, after long":     {1, true, false, time.Hour, PriorOutcomeUnknown},
		"a retry just as the doubts end":  {1, false, false, 10 * time.Minute, Run},
		"a retry just before they end":    {1, false, false, 10*time.Minute - 1, PriorOutcomeUnknown},
		"a retry many times, all is well": {9, false, true, time.Hour, Run},
	} {
		t.Run(name, func(t *testing.T) {
			tb := table(t, nil)
			tb.Restore(t0, nil, c.clean)
			a := newRequest("a", "k", "d")
			a.RetryCount, a.MayHaveRunOnOtherGateway = c.retry, c.others
			if v, _ := tb.Begin(t0.Add(c.after), a); v != c.want {
				t.Errorf("%v, want %v", v, c.want)
			}
		})
	}
}

// Attempts that were refused here did not run: so many retries are safe here, whatever other gateways
// there may be, and not one more.
func TestRetryAfterRefusal(t *testing.T) {
	tb := table(t, nil)
	tb.Restore(t0, nil, false)
	try := func(at time.Duration, retry int) Decision {
		a := newRequest("a", "k", "d")
		a.RetryCount, a.MayHaveRunOnOtherGateway = retry, true
		v, _ := tb.Begin(t0.Add(at), a)
		return v
	}
	for n := range 3 {
		if v := try(time.Duration(n)*time.Second, n); v != Run {
			t.Fatalf("after %d attempts refused here: %v", n, v)
		}
		tb.End(t0, Key{"a", "k"}, newRequest("a", "k", "d").RequestID, OutcomeNotRun, "", nil)
	}
	if v := try(time.Minute, 4); v != PriorOutcomeUnknown {
		t.Errorf("one of four attempts was made elsewhere: %v", v)
	}
	if v := try(time.Hour, 3); v != PriorOutcomeUnknown {
		t.Errorf("an hour later: %v", v)
	}
	for i := range 10 * maxRefusalsPerGeneration { // a flood of another team's costs this one nothing
		tb.RecordRefusal(t0.Add(time.Hour), Key{"b", fmt.Sprint(i)})
	}
	tb.RecordRefusal(t0.Add(time.Hour), Key{"a", "k2"})
	if n := tb.refusals["a"].count(t0.Add(time.Hour), "k2"); n != 1 {
		t.Errorf("%d refusals remembered", n)
	}
	if b := tb.refusals["b"]; len(b.current)+len(b.previous) > 2*maxRefusalsPerGeneration {
		t.Errorf("%d refused keys remembered", len(b.current)+len(b.previous))
	}
}

func TestEarlierAttemptAtOtherGateway(t *testing.T) {
	for name, c := range map[string]struct {
		topology Topology
		may      bool
	}{
		"nothing is said":                        {Topology{ObservedGateways: 1}, true},
		"one gateway, by the file":               {Topology{ConfiguredGateways: 1, ObservedGateways: 1}, false},
		"one by the file, others listed":         {Topology{ConfiguredGateways: 1, ObservedGateways: 2}, true},
		"three by the file":                      {Topology{ConfiguredGateways: 3, ObservedGateways: 3}, true},
		"gateways talk, and none is there yet":   {Topology{ConfiguredGateways: 1, PeersEnabled: true, ObservedGateways: 1}, true},
		"keys stick":                             {Topology{StickyKeys: true, ConfiguredGateways: 3, PeersEnabled: true, ObservedGateways: 3}, false},
		"one found by a catalogue, nothing said": {Topology{ObservedGateways: 0}, true},
	} {
		t.Run(name, func(t *testing.T) {
			if c.topology.AttemptsMayReachOtherGateways() != c.may {
				t.Errorf("%v", !c.may)
			}
		})
	}
}

func TestRestoreAfterRestart(t *testing.T) {
	tb := table(t, nil)
	entry := func(k string, s State, age time.Duration, answer string) Entry {
		return Entry{Key: Key{"a", k}, Digest: "d", State: s, Since: t0.Add(-age), Answer: []byte(answer)}
	}
	tb.Restore(t0, []Entry{
		entry("ran", StateRunning, time.Second, ""), entry("done", StateComplete, time.Hour, "yes"), entry("old", StateComplete, 25*time.Hour, "yes"),
		entry("ahead", StateComplete, -time.Hour, "yes"), entry("done", StateUnknown, time.Hour, ""),
	}, true)
	for k, want := range map[string]Decision{"ran": PriorOutcomeUnknown, "done": Replay, "old": Run, "ahead": Replay} {
		if v, _ := tb.Begin(t0, newRequest("a", k, "d")); v != want {
			t.Errorf("%s: %v, want %v", k, v, want)
		}
	}
}

// A team that floods the table with keys costs another team neither its keys nor its
// answers, as long as that one has less than its part.
func TestFloodOfKeysIsBounded(t *testing.T) {
	tb := table(t, func(l *Limits) { l.MaxEntries, l.MaxTotalAnswerBytes, l.MaxEntriesPerTeam = 100, 1000, 80 })
	done := func(now time.Time, a Request) Decision {
		v, _ := tb.Begin(now, a)
		if v == Run {
			tb.End(now, a.Key, a.RequestID, OutcomeCompleted, "", []byte("0123456789"))
		}
		return v
	}
	for i := range 10 {
		done(t0, newRequest("quiet", fmt.Sprint(i), "d"))
	}
	full := 0
	for i := range 1000 {
		if done(t0.Add(time.Duration(i)*time.Second), newRequest("loud", fmt.Sprint(i), "d")) == CapacityExceeded {
			full++
		}
	}
	for i := range 10 {
		if v, _ := tb.Begin(t0.Add(time.Hour), newRequest("quiet", fmt.Sprint(i), "d")); v != Replay {
			t.Errorf("the quiet team's %d: %v", i, v)
		}
	}
	for i := range 10 { // and there is still room for more
		if v := done(t0.Add(time.Hour), newRequest("quiet", fmt.Sprint("more", i), "d")); v != Run {
			t.Errorf("the quiet team's new key %d: %v", i, v)
		}
	}
	if full == 0 {
		t.Error("keys younger than the minimum retention were removed")
	}
}

func TestLimitsAreNamed(t *testing.T) {
	for field, change := range map[string]func(*Limits){
		"keys": func(l *Limits) { l.MaxEntries = 0 }, "answer_bytes": func(l *Limits) { l.MaxTotalAnswerBytes = -1 },
		"age_ms": func(l *Limits) { l.Retention = l.MinRetention - 1 }, "least_ms": func(l *Limits) { l.MinRetention = 0 },
	} {
		t.Run(field, func(t *testing.T) {
			l := DefaultLimits()
			change(&l)
			var wrong setting.Error
			if _, err := NewTable(l); !errors.As(err, &wrong) || !strings.Contains(wrong.Field, field) {
				t.Errorf("%v", err)
			}
		})
	}
}

// Whatever comes in whatever order: what may have run under a key does not run again
// before its minimum retention, two never run at once, bounds are kept, and
// the accounts are right.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb := table(t, func(l *Limits) {
			l.MaxEntries, l.MaxTotalAnswerBytes, l.MaxAnswerBytes = rapid.IntRange(1, 8).Draw(t, "entries"), int64(rapid.IntRange(0, 60).Draw(t, "bytes")), 20
			l.Retention, l.MinRetention, l.MaxEntriesPerTeam = time.Hour, 10*time.Minute, rapid.IntRange(0, 8).Draw(t, "of a team")
		})
		type ran struct {
			running bool
			at      time.Time // when it may have run
		}
		world := map[Key]*ran{}
		under := map[Key]string{}
		now, n := t0, 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "s")) * time.Second)
			k := Key{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "key"))}
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3:
				n++
				a := Request{Key: k, Digest: "d", RequestID: fmt.Sprint(n), RetryCount: rapid.IntRange(0, 1).Draw(t, "retry")}
				v, _ := tb.Begin(now, a)
				w := world[k]
				if v != Run {
					continue
				}
				if w != nil && w.running {
					t.Fatalf("%v runs twice at once", k)
				}
				if w != nil && !w.at.IsZero() && now.Sub(w.at) < 10*time.Minute {
					t.Fatalf("%v runs again %v after it may have run", k, now.Sub(w.at))
				}
				world[k], under[k] = &ran{running: true}, a.RequestID
			case 4, 5, 6, 7:
				id, on := under[k]
				if !on {
					continue
				}
				how := rapid.SampledFrom([]Outcome{OutcomeNotRun, OutcomeCompleted, OutcomeIndeterminate}).Draw(t, "how")
				tb.End(now, k, id, how, "", make([]byte, rapid.IntRange(0, 25).Draw(t, "size")))
				delete(under, k)
				if world[k].running = false; how != OutcomeNotRun {
					world[k].at = now
				}
			case 8:
				tb.Expire(now)
			default: // the process ends and begins anew
				var kept []Entry
				for _, e := range tb.entries {
					kept = append(kept, *e)
				}
				next := table(t, func(l *Limits) { *l = tb.limits })
				next.Restore(now, kept, true)
				tb = next
				for k := range under {
					world[k].running, world[k].at = false, now
				}
				clear(under)
			}
			keys, bytes := tb.Counts()
			sum := int64(0)
			for _, e := range tb.entries {
				sum += int64(len(e.Answer))
			}
			if keys > tb.limits.MaxEntries || bytes > tb.limits.MaxTotalAnswerBytes || bytes != sum {
				t.Fatalf("%d keys, %d bytes, by count %d", keys, bytes, sum)
			}
		}
	})
}
