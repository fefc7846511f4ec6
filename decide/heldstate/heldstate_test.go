package heldstate

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Attempts in flight for these tests: none, one without evidence of its arrival, and one whose engine has
// answered on the attempt's connection.
var (
	noFlights          []Flight
	unconfirmedFlights = []Flight{{Connection: 7, WrittenAt: 1}}
	confirmedFlights   = []Flight{{Connection: 7, WrittenAt: 1, Arrival: Arrival{Connection: 7, At: 2}}}
)

var limits = Limits{HeldStateLimit: 500 * ms, HeldStateSlack: 350 * ms, ReleaseTimeout: 30 * time.Second, MaxCancelledPrefill: 3 * time.Second}

func TestReleasesDue(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps func(*Ledger)
		want  []string
	}{
		{"no held state", func(*Ledger) {}, nil},
		{"held state waits for a decode engine", func(l *Ledger) { l.PrefillCompleted("r", 1) }, nil},
		{"request finished", func(l *Ledger) { l.PrefillCompleted("r", 1); l.Finish() }, []string{"r"}},
		{"prefill lost, no attempt in flight", func(l *Ledger) { l.AttemptLost("r", true) }, []string{"r"}},
		{"prefill lost, another attempt confirmed in flight", func(l *Ledger) { l.AttemptLost("r", true); l.SetFlights(confirmedFlights, 1) }, nil},
		{"prefill lost, another attempt unconfirmed", func(l *Ledger) { l.AttemptLost("r", true); l.SetFlights(unconfirmedFlights, 1) }, nil},
		{"prefill lost, another attempt unconfirmed past the maximum wait", func(l *Ledger) { l.AttemptLost("r", true); l.SetFlights(unconfirmedFlights, 1-time.Second) }, []string{"r"}},
		{"prefill lost, held state of a later prefill waits", func(l *Ledger) { l.AttemptLost("r", true); l.PrefillCompleted("s", 1) }, nil},
		{"answer started", func(l *Ledger) { l.PrefillCompleted("r", 1); l.AnswerStarted(); l.SetFlights(confirmedFlights, 1) }, nil},
		{"answer interrupted", func(l *Ledger) {
			l.PrefillCompleted("r", 1)
			l.AnswerStarted()
			l.SetFlights(noFlights, 1)
			l.Finish()
		}, []string{"r"}},
		{"answer complete", func(l *Ledger) { l.PrefillCompleted("r", 1); l.AnswerCompleted(); l.Finish() }, nil},
		{"answer complete, cancelled prefill may still run", func(l *Ledger) { l.AttemptLost("r", true); l.PrefillCompleted("s", 1); l.AnswerCompleted(); l.Finish() }, []string{"r"}},
		{"state detached, attempt in flight", func(l *Ledger) { l.PrefillCompleted("r", 1); l.Detach(); l.SetFlights(confirmedFlights, 1) }, []string{"r"}},
		{"state detached, answer complete", func(l *Ledger) { l.PrefillCompleted("r", 1); l.Detach(); l.AnswerCompleted(); l.Finish() }, []string{"r"}},
		{"decode engine found no state", func(l *Ledger) { l.PrefillCompleted("r", 1); l.StateMissing() }, []string{"r"}},
		{"attempt failed with an error", func(l *Ledger) { l.AttemptFailed("r"); l.Finish() }, []string{"r"}},
		{"release in flight", func(l *Ledger) { l.PrefillCompleted("r", 1); l.Finish(); l.ReleasesDue(1) }, nil},
		{"release delivered", func(l *Ledger) {
			l.PrefillCompleted("r", 1)
			l.Finish()
			l.ReleasesDue(1)
			l.ReleaseEnded("r", true, 1)
		}, nil},
		{"release cancelled", func(l *Ledger) {
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

// State waits for a decode engine for the maximum wait, regardless of how many unconfirmed attempts fail in
// that time; then it is released.
func TestStateExpiresAfterMaxWait(t *testing.T) {
	for _, c := range []struct {
		name    string
		flights []Flight
		expires bool
		holder  string
	}{{"no attempt", noFlights, true, ""}, {"unconfirmed attempt", unconfirmedFlights, true, "r"}, {"confirmed attempt", confirmedFlights, false, "r"}} {
		l := New(limits)
		l.SetFlights(noFlights, 10*ms)
		l.PrefillCompleted("r", time.Second)
		l.SetFlights(c.flights, time.Second+ms)
		at := time.Second + limits.HeldStateLimit + limits.HeldStateSlack - stallReserve - deliveryReserve
		if l.Expired(at - 1) {
			t.Errorf("%v: expired before the maximum wait", c.name)
		}
		if l.Expired(at) != c.expires {
			t.Errorf("%v: expired %v, want %v", c.name, !c.expires, c.expires)
		}
		if !c.expires {
			continue
		}
		l.Expire(at)
		if l.StateHolder() != c.holder {
			t.Errorf("%v: state holder %q, want %q", c.name, l.StateHolder(), c.holder)
		}
		if diff := cmp.Diff([]string{"r"}, l.ReleasesDue(at)); diff != "" {
			t.Errorf("%v: released at (-want +got):\n%s", c.name, diff)
		}
	}
}

// Data that an engine sends on another connection, or sent before an attempt was written, is no evidence that
// the attempt has arrived.
func TestArrivalRequiresEvidenceOnSameConnection(t *testing.T) {
	for _, c := range []struct {
		name    string
		arrival Arrival
		want    bool
	}{
		{"none", Arrival{}, false},
		{"same connection, at the time of the write", Arrival{Connection: 7, At: 10}, true},
		{"same connection, after the write", Arrival{Connection: 7, At: 11}, true},
		{"same connection, before the write", Arrival{Connection: 7, At: 9}, false},
		{"another connection", Arrival{Connection: 8, At: 11}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := Flight{Connection: 7, WrittenAt: 10, Arrival: c.arrival}
			if got := f.Confirmed(); got != c.want {
				t.Errorf("confirmed %v, want %v", got, c.want)
			}
		})
	}
}

// A release in flight when a prefill's answer arrives must not free that prefill's state: it is cancelled,
// and the release of the new state has the full ReleaseTimeout.
func TestPrefillCancelsReleaseInFlight(t *testing.T) {
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
		t.Errorf("released after Finish (-want +got):\n%s", diff)
	}
}

// With any limit, state waits for the limit plus the unreserved slack, which is enough time for an attempt.
func TestMaxStateWaitForAnyLimit(t *testing.T) {
	const usableSlack = 150 * ms
	for limit, want := range map[time.Duration]time.Duration{0: usableSlack, ms: ms + usableSlack, time.Hour: time.Hour + usableSlack} {
		l := New(Limits{HeldStateLimit: limit, HeldStateSlack: 350 * ms})
		l.SetFlights(noFlights, 1)
		l.PrefillCompleted("r", 1)
		if at, ok := l.NextUpdate(); !ok || at != 1+want {
			t.Errorf("limit %v: next update at %v, want %v", limit, at, 1+want)
		}
	}
}

// A release in flight is cancelled once an attempt has been written: the release could arrive when the next
// prefill ends, and would free its state.
func TestWrittenAttemptCancelsReleaseInFlight(t *testing.T) {
	for _, flights := range [][]Flight{unconfirmedFlights, confirmedFlights} {
		l := New(limits)
		l.AttemptLost("r", true)
		l.ReleasesDue(1)
		if engines := l.ReleasesToCancel(1); len(engines) > 0 {
			t.Errorf("cancelled at %v with no attempt in flight", engines)
		}
		l.SetFlights(flights, 2)
		if diff := cmp.Diff([]string{"r"}, l.ReleasesToCancel(2)); diff != "" {
			t.Errorf("%+v: cancelled (-want +got):\n%s", flights, diff)
		}
	}
}

// A release has no effect while an attempt at another engine waits for the state. It is repeated once that
// engine must have processed the cancellation of the attempt.
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
		t.Error("completed before the release was delivered to the decode engine")
	}
	l.ReleaseEnded("w", true, 5*time.Second) // unreachable for the first 5 s
	at, scheduled := l.NextUpdate()
	if want := 5*time.Second + MaxCancelDelay; !scheduled || at != want {
		t.Fatalf("next update at %v, want %v", at, want)
	}
	if due := l.ReleasesDue(at); !slices.Contains(due, "r") {
		t.Errorf("released at %v, want the prefill engine included", due)
	}
	l.ReleaseEnded("r", true, at)
	l.ReleaseEnded("w", true, at)
	if !l.Completed() {
		t.Error("not completed")
	}
}

// simulation models the state that engines hold, and sends them the releases that the ledger under test
// schedules.
type simulation struct {
	t           *rapid.T
	ledger      *Ledger
	now         Time
	heldSince   map[string]Time // time since which each engine has held state
	lateStateAt map[string]Time // time at which a cancelled prefill that still runs creates state
	unreachable map[string]bool
	releasing   map[string]bool
	flights     []Flight // as recorded by the gateway
	attemptLost bool     // the attempt in flight never arrives
}

// attemptInFlight reports whether an attempt has arrived and has not ended.
func (s *simulation) attemptInFlight() bool { return len(s.flights) > 0 && !s.attemptLost }

var engines = []string{"a", "b", "c"}

// advance moves the clock forward in steps of 10 ms. Releases are delivered to reachable engines.
func (s *simulation) advance(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += 10 * ms {
		for e, at := range s.lateStateAt {
			if s.now >= at && !s.unreachable[e] {
				s.heldSince[e] = s.now
				delete(s.lateStateAt, e)
			}
		}
		s.reconcile()
		s.checkHeldDurations()
	}
}

func (s *simulation) reconcile() {
	s.ledger.SetFlights(s.flights, s.now)
	if s.ledger.Expired(s.now) {
		s.ledger.Expire(s.now)
	}
	for _, e := range s.ledger.ReleasesToCancel(s.now) {
		delete(s.releasing, e)
		s.ledger.ReleaseEnded(e, false, s.now)
	}
	for _, e := range s.ledger.ReleasesDue(s.now) {
		s.releasing[e] = true
	}
	for _, e := range engines {
		if s.releasing[e] && !s.unreachable[e] {
			delete(s.releasing, e)
			if !s.attemptInFlight() || s.ledger.finished {
				delete(s.heldSince, e)
			}
			s.ledger.ReleaseEnded(e, true, s.now)
		}
	}
}

// checkHeldDurations checks that no reachable engine holds state for longer than the limit plus its slack
// while no attempt is in flight.
func (s *simulation) checkHeldDurations() {
	for e, since := range s.heldSince {
		if s.attemptInFlight() || s.unreachable[e] {
			s.heldSince[e] = s.now
			continue
		}
		if held := s.now - since; held > limits.HeldStateLimit+limits.HeldStateSlack {
			s.t.Fatalf("%s has held state for %v at %v, longer than the limit plus its slack", e, held, s.now)
		}
	}
}

// endAttempt ends the attempt in flight and restarts the held-state limit at all engines.
func (s *simulation) endAttempt() {
	s.flights, s.attemptLost = nil, false
	for e := range s.heldSince {
		s.heldSince[e] = s.now
	}
}

// writeAttempt simulates the write of an attempt. The attempt arrives and may be answered, or it is lost with
// its connection while its engine answers on another connection.
func (s *simulation) writeAttempt() {
	f := Flight{Connection: 7, WrittenAt: s.now}
	lost := false
	switch rapid.IntRange(0, 2).Draw(s.t, "outcome of the attempt") {
	case 0:
	case 1:
		f.Arrival = Arrival{Connection: f.Connection, At: s.now}
	case 2:
		f.Arrival, lost = Arrival{Connection: 8, At: s.now}, true
	}
	s.flights, s.attemptLost = []Flight{f}, lost
}

// loseAttempt ends an attempt without an answer. Its prefill may have ended or may still run.
func (s *simulation) loseAttempt(e string) {
	s.endAttempt()
	switch rapid.IntRange(0, 2).Draw(s.t, "state of the lost prefill") {
	case 0:
		s.heldSince[e] = s.now
	case 1:
		s.lateStateAt[e] = s.now + time.Duration(rapid.IntRange(0, int(limits.MaxCancelledPrefill/ms)).Draw(s.t, "remaining prefill time, ms"))*ms
	}
	s.ledger.AttemptLost(e, true)
}

func TestStatesReleasedWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, ledger: New(limits), now: ms, heldSince: map[string]Time{}, lateStateAt: map[string]Time{}, unreachable: map[string]bool{}, releasing: map[string]bool{}}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			e := rapid.SampledFrom(engines).Draw(t, "engine")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				s.endAttempt()
				s.heldSince[e] = s.now
				s.ledger.PrefillCompleted(e, s.now)
			case 1:
				s.loseAttempt(e)
			case 2:
				s.writeAttempt()
			case 3:
				s.endAttempt()
			case 4:
				s.unreachable[e] = !s.unreachable[e]
			case 5:
				s.flights, s.attemptLost = nil, false
				clear(s.heldSince)
				s.ledger.AnswerCompleted()
			}
			s.advance(time.Duration(rapid.IntRange(0, 150).Draw(t, "duration, in 10 ms")) * 10 * ms)
		}
		s.flights, s.attemptLost = nil, false
		s.ledger.SetFlights(s.flights, s.now)
		s.ledger.Finish()
		s.advance(time.Duration(rapid.IntRange(0, 1000).Draw(t, "duration after Finish, in 10 ms")) * 10 * ms)
		clear(s.unreachable)
		s.advance(2*limits.MaxCancelledPrefill + limits.ReleaseTimeout)
		if len(s.heldSince) > 0 || !s.ledger.Completed() {
			t.Fatalf("after all releases: held %v, completed %v", s.heldSince, s.ledger.Completed())
		}
	})
}

// A draining gateway waits for releases that only it can still send, but not for engines that have been
// unreachable for longer than the drain wait.
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
		{"no held state", func(l *Ledger) { l.Finish() }, 1, false},
		{"release in flight", lost(true), 1, true},
		{"engine unreachable for the drain wait", lost(true), 1 + drainWaitFactor*limits.HeldStateLimit, false},
		{"release may have arrived before the cancellation", delivered(false, 1), 1, true},
		{"release repeated after the cancellation", delivered(false, 1+MaxCancelDelay), 1 + MaxCancelDelay, false},
		{"cancelled prefill may still run", delivered(true, 1+limits.MaxCancelledPrefill-1), 1 + limits.MaxCancelledPrefill - 1, true},
		{"cancelled prefill past its maximum run time", delivered(true, 1+limits.MaxCancelledPrefill), 1 + limits.MaxCancelledPrefill, false},
		{"engine's kind accepts no releases", func(l *Ledger) { lost(true)(l); l.DropEngine("r") }, 1, false},
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
