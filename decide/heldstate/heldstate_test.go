package heldstate

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

var limits = Limits{HeldStateLimit: 500 * ms, HeldStateSlack: 350 * ms, ReleaseTimeout: 30 * time.Second, MaxCancelledPrefill: 3 * time.Second}

func TestDue(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps func(*Ledger)
		want  []string
	}{
		{"nothing is held", func(*Ledger) {}, nil},
		{"a state that waits for a writer", func(l *Ledger) { l.PrefillCompleted("r", 1) }, nil},
		{"the request is over", func(l *Ledger) { l.PrefillCompleted("r", 1); l.Finish() }, []string{"r"}},
		{"a read that was lost, and nothing is out", func(l *Ledger) { l.AttemptLost("r", true) }, []string{"r"}},
		{"a read that was lost, and another attempt is out", func(l *Ledger) { l.AttemptLost("r", true); l.SetAttemptState(Confirmed, 1) }, nil},
		{"the other attempt may never have arrived", func(l *Ledger) { l.AttemptLost("r", true); l.SetAttemptState(Unconfirmed, 1) }, nil},
		{"and has been out for as long as a state may wait", func(l *Ledger) { l.AttemptLost("r", true); l.SetAttemptState(Unconfirmed, 1-time.Second) }, []string{"r"}},
		{"what was lost before, and a state waits", func(l *Ledger) { l.AttemptLost("r", true); l.PrefillCompleted("s", 1) }, nil},
		{"an answer has begun", func(l *Ledger) { l.PrefillCompleted("r", 1); l.AnswerStarted(); l.SetAttemptState(Confirmed, 1) }, nil},
		{"and breaks", func(l *Ledger) {
			l.PrefillCompleted("r", 1)
			l.AnswerStarted()
			l.SetAttemptState(NoAttempt, 1)
			l.Finish()
		}, []string{"r"}},
		{"an answer is whole", func(l *Ledger) { l.PrefillCompleted("r", 1); l.AnswerCompleted(); l.Finish() }, nil},
		{"an answer is whole, a read may run on", func(l *Ledger) { l.AttemptLost("r", true); l.PrefillCompleted("s", 1); l.AnswerCompleted(); l.Finish() }, []string{"r"}},
		{"an engine that fetches nothing goes on", func(l *Ledger) { l.PrefillCompleted("r", 1); l.Detach(); l.SetAttemptState(Confirmed, 1) }, []string{"r"}},
		{"it answers", func(l *Ledger) { l.PrefillCompleted("r", 1); l.Detach(); l.AnswerCompleted(); l.Finish() }, []string{"r"}},
		{"a writer has found no state", func(l *Ledger) { l.PrefillCompleted("r", 1); l.StateMissing() }, []string{"r"}},
		{"an engine has failed the attempt", func(l *Ledger) { l.AttemptFailed("r"); l.Finish() }, []string{"r"}},
		{"a release is under way", func(l *Ledger) { l.PrefillCompleted("r", 1); l.Finish(); l.ReleasesDue(1) }, nil},
		{"it was told", func(l *Ledger) {
			l.PrefillCompleted("r", 1)
			l.Finish()
			l.ReleasesDue(1)
			l.ReleaseEnded("r", true, 1)
		}, nil},
		{"it was stopped", func(l *Ledger) {
			l.PrefillCompleted("r", 1)
			l.Finish()
			l.ReleasesDue(1)
			l.ReleaseEnded("r", false, 1)
		}, []string{"r"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := New(limits)
			c.steps(l)
			if diff := cmp.Diff(c.want, l.ReleasesDue(1)); diff != "" {
				t.Errorf("told (-want +got):\n%s", diff)
			}
		})
	}
}

// A state waits for a decode engine as long as it may, however many attempts fail meanwhile without
// having surely been out; then it is let go.
func TestExpire(t *testing.T) {
	for _, c := range []struct {
		out    AttemptState
		lapses bool
		holder string
	}{{NoAttempt, true, ""}, {Unconfirmed, true, "r"}, {Confirmed, false, "r"}} {
		l := New(limits)
		l.SetAttemptState(NoAttempt, 10*ms)
		l.PrefillCompleted("r", time.Second)
		l.SetAttemptState(c.out, time.Second+ms)
		at := time.Second + limits.HeldStateLimit + limits.HeldStateSlack/2
		if l.Expired(at - 1) {
			t.Errorf("%v: lapsed before its time", c.out)
		}
		if l.Expired(at) != c.lapses {
			t.Errorf("%v: lapsed %v, want %v", c.out, !c.lapses, c.lapses)
		}
		if !c.lapses {
			continue
		}
		l.Expire(at)
		if l.StateHolder() != c.holder {
			t.Errorf("%v: the request goes on with the state of %q, want %q", c.out, l.StateHolder(), c.holder)
		}
		if diff := cmp.Diff([]string{"r"}, l.ReleasesDue(at)); diff != "" {
			t.Errorf("%v: told (-want +got):\n%s", c.out, diff)
		}
	}
}

// A release in flight is cancelled once an attempt has gone out: it could meet the end of the
// next read, whose state it would free.
func TestReleaseDoesNotMeetNextRead(t *testing.T) {
	for _, out := range []AttemptState{Unconfirmed, Confirmed} {
		l := New(limits)
		l.AttemptLost("r", true)
		l.ReleasesDue(1)
		if engines := l.ReleasesToCancel(1); len(engines) > 0 {
			t.Errorf("cancelled at %v with nothing out", engines)
		}
		l.SetAttemptState(out, 2)
		if diff := cmp.Diff([]string{"r"}, l.ReleasesToCancel(2)); diff != "" {
			t.Errorf("%v: cancelled (-want +got):\n%s", out, diff)
		}
	}
}

// A release that met an attempt at another engine let go of nothing. It is sent again once
// that engine must know that the attempt was given up.
func TestReleaseRepeatedAfterCancel(t *testing.T) {
	l := New(limits)
	l.PrefillCompleted("r", 1)
	l.AttemptLost("w", false)
	l.Finish()
	if diff := cmp.Diff([]string{"r", "w"}, l.ReleasesDue(1)); diff != "" {
		t.Fatalf("told (-want +got):\n%s", diff)
	}
	l.ReleaseEnded("r", true, 2*ms)
	if l.Completed() {
		t.Error("done, though the writer's engine has not been reached")
	}
	l.ReleaseEnded("w", true, 5*time.Second) // behind a cut until then
	at, some := l.NextUpdate()
	if want := 5*time.Second + CancelTransit; !some || at != want {
		t.Fatalf("next at %v, want %v", at, want)
	}
	if due := l.ReleasesDue(at); !slices.Contains(due, "r") {
		t.Errorf("told %v, want the reader again", due)
	}
	l.ReleaseEnded("r", true, at)
	l.ReleaseEnded("w", true, at)
	if !l.Completed() {
		t.Error("not done")
	}
}

// world is engines that hold states, as they really are, beside a ledger that has to have
// them let go.
type world struct {
	t       *rapid.T
	ledger  *Ledger
	now     Time
	held    map[string]Time // since when
	later   map[string]Time // when a read that runs on will leave its state
	away    map[string]bool
	telling map[string]bool
	out     AttemptState
}

var engines = []string{"a", "b", "c"}

// pass lets time pass in small steps. Releases arrive at engines that are not away.
func (w *world) pass(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += 10 * ms {
		for e, at := range w.later {
			if w.now >= at && !w.away[e] {
				w.held[e] = w.now
				delete(w.later, e)
			}
		}
		w.act()
		w.check()
	}
}

func (w *world) act() {
	w.ledger.SetAttemptState(w.out, w.now)
	if w.ledger.Expired(w.now) {
		w.ledger.Expire(w.now)
	}
	for _, e := range w.ledger.ReleasesToCancel(w.now) {
		delete(w.telling, e)
		w.ledger.ReleaseEnded(e, false, w.now)
	}
	for _, e := range w.ledger.ReleasesDue(w.now) {
		w.telling[e] = true
	}
	for _, e := range engines {
		if w.telling[e] && !w.away[e] {
			delete(w.telling, e)
			if w.out == NoAttempt || w.ledger.finished {
				delete(w.held, e)
			}
			w.ledger.ReleaseEnded(e, true, w.now)
		}
	}
}

// check is the rule: nothing is held for longer than the limits while no attempt is out, at
// an engine that can be told.
func (w *world) check() {
	for e, since := range w.held {
		if w.out != NoAttempt || w.away[e] {
			w.held[e] = w.now
			continue
		}
		if held := w.now - since; held > limits.HeldStateLimit+limits.HeldStateSlack {
			w.t.Fatalf("%s has held a state for %v at %v", e, held, w.now)
		}
	}
}

// outcome ends the attempt that is out. The time of all that is held counts from the last
// outcome.
func (w *world) outcome() {
	w.out = NoAttempt
	for e := range w.held {
		w.held[e] = w.now
	}
}

// lose ends an attempt at an engine without its word. The read may have ended, or run on.
func (w *world) lose(e string) {
	w.outcome()
	switch rapid.IntRange(0, 2).Draw(w.t, "what the read left") {
	case 0:
		w.held[e] = w.now
	case 1:
		w.later[e] = w.now + time.Duration(rapid.IntRange(0, int(limits.MaxCancelledPrefill/ms)).Draw(w.t, "read runs on, ms"))*ms
	}
	w.ledger.AttemptLost(e, true)
}

func TestStatesReleasedWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, ledger: New(limits), now: ms, held: map[string]Time{}, later: map[string]Time{}, away: map[string]bool{}, telling: map[string]bool{}}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			e := rapid.SampledFrom(engines).Draw(t, "engine")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				w.outcome()
				w.held[e] = w.now
				w.ledger.PrefillCompleted(e, w.now)
			case 1:
				w.lose(e)
			case 2:
				w.out = rapid.SampledFrom([]AttemptState{Unconfirmed, Confirmed}).Draw(t, "out")
			case 3:
				w.outcome()
			case 4:
				w.away[e] = !w.away[e]
			case 5:
				w.out = NoAttempt
				clear(w.held)
				w.ledger.AnswerCompleted()
			}
			w.pass(time.Duration(rapid.IntRange(0, 150).Draw(t, "for, in 10 ms")) * 10 * ms)
		}
		w.out = NoAttempt
		w.ledger.SetAttemptState(w.out, w.now)
		w.ledger.Finish()
		w.pass(time.Duration(rapid.IntRange(0, 1000).Draw(t, "after the end, in 10 ms")) * 10 * ms)
		clear(w.away)
		w.pass(2*limits.MaxCancelledPrefill + limits.ReleaseTimeout)
		if len(w.held) > 0 || !w.ledger.Completed() {
			t.Fatalf("at the end: held %v, done %v", w.held, w.ledger.Completed())
		}
	})
}

// A draining gateway waits for what only it can still release, but not for engines that have
// long been out of reach.
func TestUrgent(t *testing.T) {
	lost := func(reads bool) func(*Ledger) {
		return func(l *Ledger) {
			l.AttemptLost("r", reads)
			l.Finish()
			l.ReleasesDue(1)
		}
	}
	delivered := func(reads bool, at Time) func(*Ledger) {
		return func(l *Ledger) {
			lost(reads)(l)
			l.ReleaseEnded("r", true, 1)
			for at > 1 && len(l.ReleasesDue(at)) > 0 {
				l.ReleaseEnded("r", true, at)
			}
		}
	}
	for _, c := range []struct {
		name  string
		steps func(*Ledger)
		at    Time
		want  bool
	}{
		{"nothing is held", func(l *Ledger) { l.Finish() }, 1, false},
		{"a release is under way", lost(true), 1, true},
		{"its engine has been out of reach for several pin limits", lost(true), 1 + maxDrainWait*limits.HeldStateLimit, false},
		{"the release may have overtaken the cancel", delivered(false, 1), 1, true},
		{"it was repeated since", delivered(false, 1+CancelTransit), 1 + CancelTransit, false},
		{"the read may run on", delivered(true, 1+limits.MaxCancelledPrefill-1), 1 + limits.MaxCancelledPrefill - 1, true},
		{"the read has surely ended", delivered(true, 1+limits.MaxCancelledPrefill), 1 + limits.MaxCancelledPrefill, false},
		{"engines of its kind take no releases", func(l *Ledger) { lost(true)(l); l.DropEngine("r") }, 1, false},
	} {
		l := New(limits)
		c.steps(l)
		if got := l.BlocksDrain(c.at); got != c.want {
			t.Errorf("%s: urgent %v, want %v", c.name, got, c.want)
		}
	}
}
