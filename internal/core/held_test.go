package core

import (
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wellgw/internal/enginetest"
	"wellgw/internal/invariant"
	"wellgw/routing"
)

// coreWith returns a core like newCore's under other settings.
func coreWith(t *testing.T, f *fake, change func(*routing.Settings)) *Core {
	set := testSettings()
	change(&set)
	router, err := routing.New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	c := New(router, f, f, Limits{DeadlineSlack: 50 * time.Millisecond, HeldStateLimit: set.HeldStateLimit, MaxAttempts: set.MaxAttempts},
		slog.New(slog.DiscardHandler), invariant.New())
	go c.Run(t.Context())
	c.UpdateEndpoints(routing.EngineListSnapshot, []Endpoint{
		{EngineInfo: routing.EngineInfo{Name: "r1", Kind: "r", Weight: 1}},
		{EngineInfo: routing.EngineInfo{Name: "w1", Kind: "w", Weight: 1}},
	})
	return c
}

// names returns the engines that attempts were begun at.
func (f *fake) names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.attempts...)
}

// A state is read, and the connection to its decode engine does not come up. Once the state has
// waited for as long as it may it is let go, the attempt is taken back, and the prompt is
// read anew.
func TestStateExpiresWhileConnecting(t *testing.T) {
	f := &fake{away: func(a Attempt) bool { return a.Endpoint.Kind == "w" }}
	f.script = func(a Attempt) (Stream, *Result) {
		if a.Endpoint.Kind == "r" {
			return ended(routing.StatusPrefilled)
		}
		return nil, nil
	}
	c := coreWith(t, f, func(s *routing.Settings) { s.HeldStateLimit = 50 * time.Millisecond })
	ticket := c.Submit(ask("once", time.Minute), make(answerChannel, 1))
	enginetest.Eventually(t, "the state is let go, and read anew", func() bool {
		_, closed, _ := f.tally()
		return f.has("r1") && closed >= 2 && len(f.names()) >= 3
	})
	if diff := cmp.Diff([]string{"r1", "w1", "r1"}, f.names()[:3]); diff != "" {
		t.Errorf("attempts (-want +got):\n%s", diff)
	}
	ticket.ClientGone()
}

// An attempt that waits for its connection is taken back when the client leaves, also where
// the settings allow no cancel: nothing has been sent that could be cancelled.
func TestUnwrittenAttemptWithdrawnWhenClientLeaves(t *testing.T) {
	for _, may := range []bool{false, true} {
		f := &fake{away: func(Attempt) bool { return true }, script: func(Attempt) (Stream, *Result) { return nil, nil }}
		c := coreWith(t, f, func(s *routing.Settings) { s.CanCancel = may })
		ticket := c.Submit(ask("once", time.Minute), make(answerChannel, 1))
		enginetest.Eventually(t, "the attempt waits for its connection", func() bool { all, _, _ := f.tally(); return all == 1 })
		ticket.ClientGone()
		if err := c.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		if all, closed, released := f.tally(); closed != all || released > 0 {
			t.Errorf("cancels allowed %v: %d of %d attempts are taken back, %d releases for what was never written", may, closed, all, released)
		}
	}
}

// Nothing is sent for a request whose client has left while it was waiting in the core's own
// queue, though the core has yet to be told.
func TestNoAttemptAfterClientLeftInQueue(t *testing.T) {
	f := &fake{script: func(Attempt) (Stream, *Result) { return nil, nil }}
	c := newCore(t, f)
	busy := make(chan struct{})
	c.post(testMessage(func() { <-busy }))
	ticket := c.Submit(ask("once", time.Minute), make(answerChannel, 1))
	ticket.ClientGone()
	close(busy)
	if err := c.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if all, _, _ := f.tally(); all > 0 {
		t.Errorf("%d attempts for a client that has left", all)
	}
}

// A read that was given up may end after its release, where a cancel does not stop what
// runs. Its engine is told again until the read must have ended, whatever has become of the
// request.
func TestReleaseRepeatedWhileReadMayRun(t *testing.T) {
	f := &fake{script: func(Attempt) (Stream, *Result) { return nil, nil }}
	c := coreWith(t, f, func(s *routing.Settings) { s.HeldStateLimit = 20 * time.Millisecond })
	const wait = 600 * time.Millisecond
	if a, _, _ := SubmitAndWait(t.Context(), c, ask("once", wait)); a.Verdict != Rejected {
		t.Fatalf("answer %+v", a)
	}
	enginetest.Eventually(t, "the reader is told several times", func() bool { _, _, released := f.tally(); return released >= 4 })
	enginetest.Eventually(t, "nothing more is owed", func() bool {
		return runQuery(t.Context(), c, func() bool { return len(c.unreleased) == 0 })
	})
}

// A decode engine that finds no state says nothing of the prefill engine: it may only have been out of the
// decode engine's reach. The state is let go there all the same.
func TestStateNotFoundByDecodeIsReleased(t *testing.T) {
	f := &fake{script: script(func() (Stream, *Result) { return nil, &Result{Status: routing.StatusRejected, StateMissing: true} })}
	c := coreWith(t, f, func(s *routing.Settings) { s.MaxAttempts = 2 })
	if a, _, _ := SubmitAndWait(t.Context(), c, ask("once", time.Minute)); a.Verdict != Rejected {
		t.Fatalf("answer %+v", a)
	}
	if err := c.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !f.has("r1") {
		t.Errorf("released at %v", f.released)
	}
}

// A pin limit as long as can be written is no limit, and hurts nothing.
func TestHugePinLimit(t *testing.T) {
	f := &fake{script: script(func() (Stream, *Result) { return ended(routing.StatusError) })}
	c := coreWith(t, f, func(s *routing.Settings) { s.HeldStateLimit = 1<<63 - 1 })
	if a, _, _ := SubmitAndWait(t.Context(), c, ask("once", time.Minute)); a.Verdict != Failed {
		t.Fatalf("answer %+v", a)
	}
	if err := c.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !f.has("r1") || !f.has("w1") {
		t.Errorf("released at %v", f.released)
	}
}

// The answer tells how the latest attempt ended at an engine, not that another, whose
// connection was not up yet, was withdrawn for it.
func TestAnswerReportsLastWrittenAttempt(t *testing.T) {
	f := &fake{away: func(a Attempt) bool { return a.Number > 0 }}
	failed := errors.New("the engine's own word")
	f.script = func(a Attempt) (Stream, *Result) {
		if a.Number > 0 {
			return nil, nil
		}
		return nil, &Result{Status: routing.StatusError, Cause: failed}
	}
	c := coreWith(t, f, func(s *routing.Settings) { s.CanCancel = false })
	w := make(answerChannel, 1)
	c.Submit(ask("free", time.Minute), w)
	enginetest.Eventually(t, "a second attempt waits for its connection", func() bool { all, _, _ := f.tally(); return all == 2 })
	c.Abandon(true)
	if a := <-w; a.Status != routing.StatusError || !errors.Is(a.Cause, failed) {
		t.Errorf("answer %+v, want the first attempt's end", a)
	}
}

// A read that was cancelled may run on and leave a state at its end. A gateway that is told to
// end stays until its engine has been told for the last time.
func TestDrainWaitsForReadsThatMayRunOn(t *testing.T) {
	f := &fake{script: func(Attempt) (Stream, *Result) { return nil, nil }}
	c := coreWith(t, f, func(s *routing.Settings) { s.HeldStateLimit = 20 * time.Millisecond })
	if a, _, _ := SubmitAndWait(t.Context(), c, ask("once", 600*time.Millisecond)); a.Verdict != Rejected {
		t.Fatalf("answer %+v", a)
	}
	if err := c.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if left := runQuery(t.Context(), c, func() int { return len(c.unreleased) }); left > 0 {
		t.Errorf("the gateway has ended, and its read may run on")
	}
}

// Engines whose kind takes no releases hold nothing: they are asked once, and a gateway that is
// told to end does not wait for reads that may run on there.
func TestEnginesWithoutReleases(t *testing.T) {
	f := &fake{script: func(Attempt) (Stream, *Result) { return nil, nil }, releaseErr: ErrNoRelease}
	c := coreWith(t, f, func(s *routing.Settings) { s.HeldStateLimit = 20 * time.Millisecond })
	if a, _, _ := SubmitAndWait(t.Context(), c, ask("once", 600*time.Millisecond)); a.Verdict != Rejected {
		t.Fatalf("answer %+v", a)
	}
	if err := c.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if attempts, _, released := f.tally(); released != attempts {
		t.Errorf("%d releases after %d attempts", released, attempts)
	}
}
