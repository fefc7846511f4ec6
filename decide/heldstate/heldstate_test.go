package heldstate

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// The attempts of these tests: none, one that nothing has come of, one whose engine has answered on the
// attempt's own connection.
var (
	noFlights []Flight
	sent      = []Flight{{Connection: 7, WrittenAt: 1}}
	answered  = []Flight{{Connection: 7, WrittenAt: 1, Arrival: Arrival{Connection: 7, At: 2}}}
)

var limits = Limits{HeldStateLimit: 500 * ms, HeldStateSlack: 350 * ms, ReleaseTimeout: 30 * time.Second, MaxCancelledPrefill: 3 * time.Second}

func TestReleasesDue(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps func(*Ledger)
		want  []string
	}{
		{"nothing is held", func(*Ledger) {}, nil},
		{"state that waits for a decode engine", func(l *Ledger) { l.PrefillCompleted("r", 1) }, nil},
		{"the request has its answer", func(l *Ledger) { l.PrefillCompleted("r", 1); l.Finish() }, []string{"r"}},
		{"a prefill that was lost, and nothing is in flight", func(l *Ledger) { l.AttemptLost("r", true) }, []string{"r"}},
		{"a prefill that was lost, and another attempt is in flight", func(l *Ledger) { l.AttemptLost("r", true); l.SetFlights(answered, 1) }, nil},
		{"the other attempt may never have arrived", func(l *Ledger) { l.AttemptLost("r", true); l.SetFlights(sent, 1) }, nil},
		{"and has been in flight for as long as state may wait", func(l *Ledger) { l.AttemptLost("r", true); l.SetFlights(sent, 1-time.Second) }, []string{"r"}},
		{"a prefill that was lost before, and state waits", func(l *Ledger) { l.AttemptLost("r", true); l.PrefillCompleted("s", 1) }, nil},
		{"an answer has begun", func(l *Ledger) { l.PrefillCompleted("r", 1); l.AnswerStarted(); l.SetFlights(answered, 1) }, nil},
		{"it breaks off", func(l *Ledger) {
			l.PrefillCompleted("r", 1)
			l.AnswerStarted()
			l.SetFlights(noFlights, 1)
			l.Finish()
		}, []string{"r"}},
		{"an answer is complete", func(l *Ledger) { l.PrefillCompleted("r", 1); l.AnswerCompleted(); l.Finish() }, nil},
		{"an answer is complete, a prefill may run on", func(l *Ledger) { l.AttemptLost("r", true); l.PrefillCompleted("s", 1); l.AnswerCompleted(); l.Finish() }, []string{"r"}},
		{"the request continues at an engine that fetches nothing", func(l *Ledger) { l.PrefillCompleted("r", 1); l.Detach(); l.SetFlights(answered, 1) }, []string{"r"}},
		{"it answers", func(l *Ledger) { l.PrefillCompleted("r", 1); l.Detach(); l.AnswerCompleted(); l.Finish() }, []string{"r"}},
		{"a decode engine has found no state", func(l *Ledger) { l.PrefillCompleted("r", 1); l.StateMissing() }, []string{"r"}},
		{"an engine has failed the attempt", func(l *Ledger) { l.AttemptFailed("r"); l.Finish() }, []string{"r"}},
		{"a release is in flight", func(l *Ledger) { l.PrefillCompleted("r", 1); l.Finish(); l.ReleasesDue(1) }, nil},
		{"it was delivered", func(l *Ledger) {
			l.PrefillCompleted("r", 1)
			l.Finish()
			l.ReleasesDue(1)
			l.ReleaseEnded("r", true, 1)
		}, nil},
		{"it was cancelled", func(l *Ledger) {
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
				t.Errorf("released at (-want +got):\n%s", diff)
			}
		})
	}
}

// State waits for a decode engine as long as it may, however many attempts fail meanwhile without
// having certainly been in flight; then it is released.
func TestExpire(t *testing.T) {
	for _, c := range []struct {
		name    string
		flights []Flight
		expires bool
		holder  string
	}{{"no attempt", noFlights, true, ""}, {"sent", sent, true, "r"}, {"answered", answered, false, "r"}} {
		l := New(limits)
		l.SetFlights(noFlights, 10*ms)
		l.PrefillCompleted("r", time.Second)
		l.SetFlights(c.flights, time.Second+ms)
		at := time.Second + limits.HeldStateLimit + limits.HeldStateSlack - holdUpReserve - transitReserve
		if l.Expired(at - 1) {
			t.Errorf("%v: expired before its time", c.name)
		}
		if l.Expired(at) != c.expires {
			t.Errorf("%v: expired %v, want %v", c.name, !c.expires, c.expires)
		}
		if !c.expires {
			continue
		}
		l.Expire(at)
		if l.StateHolder() != c.holder {
			t.Errorf("%v: the request continues with the state of %q, want %q", c.name, l.StateHolder(), c.holder)
		}
		if diff := cmp.Diff([]string{"r"}, l.ReleasesDue(at)); diff != "" {
			t.Errorf("%v: released at (-want +got):\n%s", c.name, diff)
		}
	}
}

// Nothing that an engine sends on another connection, or sent before an attempt was written, is evidence
// that the attempt has arrived.
func TestEvidenceIsOfTheAttemptsOwnConnection(t *testing.T) {
	for _, c := range []struct {
		name    string
		arrival Arrival
		want    bool
	}{
		{"none", Arrival{}, false},
		{"on its own connection", Arrival{Connection: 7, At: 10}, true},
		{"on its own connection, later", Arrival{Connection: 7, At: 11}, true},
		{"on its own connection, before it was written", Arrival{Connection: 7, At: 9}, false},
		{"on another connection", Arrival{Connection: 8, At: 11}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := Flight{Connection: 7, WrittenAt: 10, Arrival: c.arrival}
			if got := f.Confirmed(); got != c.want {
				t.Errorf("confirmed %v, want %v", got, c.want)
			}
		})
	}
}

// A release that is in flight when a prefill's answer comes must not free that prefill's state: it is
// cancelled, and the state has its own full time for releases.
func TestReleaseInFlightSparesNextState(t *testing.T) {
	l := New(limits)
	l.AttemptLost("r", true)
	l.ReleasesDue(1)
	l.PrefillCompleted("r", time.Minute)
	if diff := cmp.Diff([]string{"r"}, l.ReleasesToCancel(time.Minute)); diff != "" {
		t.Errorf("cancelled (-want +got):\n%s", diff)
	}
	l.ReleaseEnded("r", false, time.Minute)
	l.Finish()
	if diff := cmp.Diff([]string{"r"}, l.ReleasesDue(time.Minute)); diff != "" {
		t.Errorf("released at the end (-want +got):\n%s", diff)
	}
}

// Whatever the limit, state waits for that and what the slack leaves, which is time enough for an attempt.
func TestLimitsOfAnyLength(t *testing.T) {
	const left = 150 * ms
	for limit, want := range map[time.Duration]time.Duration{0: left, ms: ms + left, time.Hour: time.Hour + left} {
		l := New(Limits{HeldStateLimit: limit, HeldStateSlack: 350 * ms})
		l.SetFlights(noFlights, 1)
		l.PrefillCompleted("r", 1)
		if at, ok := l.NextUpdate(); !ok || at != 1+want {
			t.Errorf("a limit of %v: expires at %v, want %v", limit, at, 1+want)
		}
	}
}

// A release in flight is cancelled once an attempt has been written: it could meet the end of the
// next prefill, whose state it would free.
func TestReleaseDoesNotMeetNextRead(t *testing.T) {
	for _, flights := range [][]Flight{sent, answered} {
		l := New(limits)
		l.AttemptLost("r", true)
		l.ReleasesDue(1)
		if engines := l.ReleasesToCancel(1); len(engines) > 0 {
			t.Errorf("cancelled at %v with nothing in flight", engines)
		}
		l.SetFlights(flights, 2)
		if diff := cmp.Diff([]string{"r"}, l.ReleasesToCancel(2)); diff != "" {
			t.Errorf("%+v: cancelled (-want +got):\n%s", flights, diff)
		}
	}
}

// A release that met an attempt at another engine had no effect. It is sent again once that engine
// must know that the attempt was cancelled.
func TestReleaseRepeatedAfterCancel(t *testing.T) {
	l := New(limits)
	l.PrefillCompleted("r", 1)
	l.AttemptLost("w", false)
	l.Finish()
	if diff := cmp.Diff([]string{"r", "w"}, l.ReleasesDue(1)); diff != "" {
		t.Fatalf("released at (-want +got):\n%s", diff)
	}
	l.ReleaseEnded("r", true, 2*ms)
	if l.Completed() {
		t.Error("completed, though the decode engine has not been reached")
	}
	l.ReleaseEnded("w", true, 5*time.Second) // out of reach until then
	at, some := l.NextUpdate()
	if want := 5*time.Second + MaxCancelDelay; !some || at != want {
		t.Fatalf("next at %v, want %v", at, want)
	}
	if due := l.ReleasesDue(at); !slices.Contains(due, "r") {
		t.Errorf("released at %v, want the prefill engine again", due)
	}
	l.ReleaseEnded("r", true, at)
	l.ReleaseEnded("w", true, at)
	if !l.Completed() {
		t.Error("not completed")
	}
}

// world is engines that hold state, as they really are, beside a ledger that has to have them
// release it.
type world struct {
	t           *rapid.T
	ledger      *Ledger
	now         Time
	held        map[string]Time // since when
	later       map[string]Time // when a prefill that runs on will leave its state
	unreachable map[string]bool
	releasing   map[string]bool
	flights     []Flight // as the gateway knows of them
	lost        bool     // what is in flight never arrives
}

// out tells whether an attempt has arrived and not ended.
func (w *world) out() bool { return len(w.flights) > 0 && !w.lost }

var engines = []string{"a", "b", "c"}

// pass lets time pass in small steps. Releases arrive at engines that can be reached.
func (w *world) pass(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += 10 * ms {
		for e, at := range w.later {
			if w.now >= at && !w.unreachable[e] {
				w.held[e] = w.now
				delete(w.later, e)
			}
		}
		w.act()
		w.check()
	}
}

func (w *world) act() {
	w.ledger.SetFlights(w.flights, w.now)
	if w.ledger.Expired(w.now) {
		w.ledger.Expire(w.now)
	}
	for _, e := range w.ledger.ReleasesToCancel(w.now) {
		delete(w.releasing, e)
		w.ledger.ReleaseEnded(e, false, w.now)
	}
	for _, e := range w.ledger.ReleasesDue(w.now) {
		w.releasing[e] = true
	}
	for _, e := range engines {
		if w.releasing[e] && !w.unreachable[e] {
			delete(w.releasing, e)
			if !w.out() || w.ledger.finished {
				delete(w.held, e)
			}
			w.ledger.ReleaseEnded(e, true, w.now)
		}
	}
}

// check is the rule: nothing is held for longer than the limits while no attempt is in flight, at an
// engine that can be reached.
func (w *world) check() {
	for e, since := range w.held {
		if w.out() || w.unreachable[e] {
			w.held[e] = w.now
			continue
		}
		if held := w.now - since; held > limits.HeldStateLimit+limits.HeldStateSlack {
			w.t.Fatalf("%s has held a state for %v at %v", e, held, w.now)
		}
	}
}

// outcome ends the attempt in flight. The time of all that is held counts from the last outcome.
func (w *world) outcome() {
	w.flights, w.lost = nil, false
	for e := range w.held {
		w.held[e] = w.now
	}
}

// send has an attempt written. It arrives and is answered, or not yet; or it is lost, with its
// connection, while its engine answers on another one.
func (w *world) send() {
	f := Flight{Connection: 7, WrittenAt: w.now}
	lost := false
	switch rapid.IntRange(0, 2).Draw(w.t, "what becomes of the attempt") {
	case 0:
	case 1:
		f.Arrival = Arrival{Connection: f.Connection, At: w.now}
	case 2:
		f.Arrival, lost = Arrival{Connection: 8, At: w.now}, true
	}
	w.flights, w.lost = []Flight{f}, lost
}

// lose ends an attempt without an answer of its engine. The prefill may have ended, or run on.
func (w *world) lose(e string) {
	w.outcome()
	switch rapid.IntRange(0, 2).Draw(w.t, "what the prefill left") {
	case 0:
		w.held[e] = w.now
	case 1:
		w.later[e] = w.now + time.Duration(rapid.IntRange(0, int(limits.MaxCancelledPrefill/ms)).Draw(w.t, "prefill runs on, ms"))*ms
	}
	w.ledger.AttemptLost(e, true)
}

func TestStatesReleasedWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, ledger: New(limits), now: ms, held: map[string]Time{}, later: map[string]Time{}, unreachable: map[string]bool{}, releasing: map[string]bool{}}
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
				w.send()
			case 3:
				w.outcome()
			case 4:
				w.unreachable[e] = !w.unreachable[e]
			case 5:
				w.flights, w.lost = nil, false
				clear(w.held)
				w.ledger.AnswerCompleted()
			}
			w.pass(time.Duration(rapid.IntRange(0, 150).Draw(t, "for, in 10 ms")) * 10 * ms)
		}
		w.flights, w.lost = nil, false
		w.ledger.SetFlights(w.flights, w.now)
		w.ledger.Finish()
		w.pass(time.Duration(rapid.IntRange(0, 1000).Draw(t, "after the end, in 10 ms")) * 10 * ms)
		clear(w.unreachable)
		w.pass(2*limits.MaxCancelledPrefill + limits.ReleaseTimeout)
		if len(w.held) > 0 || !w.ledger.Completed() {
			t.Fatalf("at the end: held %v, completed %v", w.held, w.ledger.Completed())
		}
	})
}

// A draining gateway waits for what only it can still release, but not for engines that have
// long been out of reach.
func TestBlocksDrain(t *testing.T) {
	lost := func(prefills bool) func(*Ledger) {
		return func(l *Ledger) {
			l.AttemptLost("r", prefills)
			l.Finish()
			l.ReleasesDue(1)
		}
	}
	delivered := func(prefills bool, at Time) func(*Ledger) {
		return func(l *Ledger) {
			lost(prefills)(l)
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
		{"a release is in flight", lost(true), 1, true},
		{"its engine has been out of reach for several held-state limits", lost(true), 1 + maxDrainWait*limits.HeldStateLimit, false},
		{"the release may have overtaken the cancel", delivered(false, 1), 1, true},
		{"it was repeated since", delivered(false, 1+MaxCancelDelay), 1 + MaxCancelDelay, false},
		{"the prefill may run on", delivered(true, 1+limits.MaxCancelledPrefill-1), 1 + limits.MaxCancelledPrefill - 1, true},
		{"the prefill has certainly ended", delivered(true, 1+limits.MaxCancelledPrefill), 1 + limits.MaxCancelledPrefill, false},
		{"engines of its kind take no releases", func(l *Ledger) { lost(true)(l); l.DropEngine("r") }, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := New(limits)
			c.steps(l)
			if got := l.BlocksDrain(c.at); got != c.want {
				t.Errorf("blocks drain: %v, want %v", got, c.want)
			}
		})
	}
}
