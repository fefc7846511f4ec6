package core

import (
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wellgw/internal/enginetest"
	"wellgw/internal/invariant"
	"wellgw/routing"
)

// coreWith returns a core like newCore's under other settings.
func coreWith(t *testing.T, f *fakeTransport, change func(*routing.Settings)) *Core {
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
func (f *fakeTransport) names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.attempts...)
}

// A prompt is prefilled, and the connection to its decode engine does not come up. Once the state has
// waited for as long as it may it is released, the attempt is withdrawn, and the prompt is prefilled
// again.
func TestStateExpiresWhileConnecting(t *testing.T) {
	f := &fakeTransport{neverConnects: func(a Attempt) bool { return a.Endpoint.Kind == "w" }}
	f.script = func(a Attempt) (Stream, *Result) {
		if a.Endpoint.Kind == "r" {
			return ended(routing.StatusPrefilled)
		}
		return nil, nil
	}
	c := coreWith(t, f, func(s *routing.Settings) { s.HeldStateLimit = 50 * time.Millisecond })
	ticket := c.Submit(ask("once", time.Minute), make(answerChannel, 1))
	enginetest.Eventually(t, "the state is released, and prefilled again", func() bool {
		_, closed, _ := f.counts()
		return f.hasReleased("r1") && closed >= 2 && len(f.names()) >= 3
	})
	if diff := cmp.Diff([]string{"r1", "w1", "r1"}, f.names()[:3]); diff != "" {
		t.Errorf("attempts (-want +got):\n%s", diff)
	}
	ticket.ClientGone()
}

// An attempt that waits for its connection is withdrawn when the client disconnects, also where
// the settings allow no cancel: nothing has been sent that could be cancelled.
func TestUnwrittenAttemptWithdrawnWhenClientLeaves(t *testing.T) {
	for _, may := range []bool{false, true} {
		t.Run(fmt.Sprint("cancels allowed ", may), func(t *testing.T) {
			f := &fakeTransport{neverConnects: func(Attempt) bool { return true }, script: func(Attempt) (Stream, *Result) { return nil, nil }}
			c := coreWith(t, f, func(s *routing.Settings) { s.CanCancel = may })
			ticket := c.Submit(ask("once", time.Minute), make(answerChannel, 1))
			enginetest.Eventually(t, "the attempt waits for its connection", func() bool { all, _, _ := f.counts(); return all == 1 })
			ticket.ClientGone()
			if err := c.Drain(t.Context()); err != nil {
				t.Fatal(err)
			}
			if all, closed, released := f.counts(); closed != all || released > 0 {
				t.Errorf("cancels allowed %v: %d of %d attempts are withdrawn, %d releases for what was never written", may, closed, all, released)
			}
		})
	}
}

// Nothing is sent for a request whose client has left while it was waiting in the core's own
// queue, though the message on that is not handled yet.
func TestNoAttemptAfterClientLeftInQueue(t *testing.T) {
	f := &fakeTransport{script: func(Attempt) (Stream, *Result) { return nil, nil }}
	c := newCore(t, f)
	busy := make(chan struct{})
	c.post(testMessage(func() { <-busy }))
	ticket := c.Submit(ask("once", time.Minute), make(answerChannel, 1))
	ticket.ClientGone()
	close(busy)
	if err := c.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if all, _, _ := f.counts(); all > 0 {
		t.Errorf("%d attempts for a client that has left", all)
	}
}

// A cancelled prefill may complete after its release, where a cancel does not stop what runs. Its
// engine is sent further releases until the prefill must have ended, whatever has become of the
// request.
func TestReleaseRepeatedWhileReadMayRun(t *testing.T) {
	f := &fakeTransport{script: func(Attempt) (Stream, *Result) { return nil, nil }}
	c := coreWith(t, f, func(s *routing.Settings) { s.HeldStateLimit = 20 * time.Millisecond })
	const wait = 600 * time.Millisecond
	if a, _, _ := SubmitAndWait(t.Context(), c, ask("once", wait)); a.Verdict != Rejected {
		t.Fatalf("answer %+v", a)
	}
	enginetest.Eventually(t, "the prefill engine is sent several releases", func() bool { _, _, released := f.counts(); return released >= 4 })
	enginetest.Eventually(t, "nothing is left to release", func() bool {
		return runQuery(t.Context(), c, func() bool { return len(c.unreleased) == 0 })
	})
}

// A decode engine that finds no state says nothing of the prefill engine: it may only have been out of the
// decode engine's reach. The state is released there all the same.
func TestStateNotFoundByDecodeIsReleased(t *testing.T) {
	f := &fakeTransport{script: prefillThen(func() (Stream, *Result) { return nil, &Result{Status: routing.StatusRejected, StateMissing: true} })}
	c := coreWith(t, f, func(s *routing.Settings) { s.MaxAttempts = 2 })
	if a, _, _ := SubmitAndWait(t.Context(), c, ask("once", time.Minute)); a.Verdict != Rejected {
		t.Fatalf("answer %+v", a)
	}
	if err := c.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !f.hasReleased("r1") {
		t.Errorf("released at %v", f.released)
	}
}

// A pin limit as long as can be written is no limit, and hurts nothing.
func TestHugePinLimit(t *testing.T) {
	f := &fakeTransport{script: prefillThen(func() (Stream, *Result) { return ended(routing.StatusError) })}
	c := coreWith(t, f, func(s *routing.Settings) { s.HeldStateLimit = 1<<63 - 1 })
	if a, _, _ := SubmitAndWait(t.Context(), c, ask("once", time.Minute)); a.Verdict != Failed {
		t.Fatalf("answer %+v", a)
	}
	if err := c.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !f.hasReleased("r1") || !f.hasReleased("w1") {
		t.Errorf("released at %v", f.released)
	}
}

// The answer tells how the latest attempt ended at an engine, not that another, whose
// connection was not up yet, was withdrawn for it.
func TestAnswerReportsLastWrittenAttempt(t *testing.T) {
	f := &fakeTransport{neverConnects: func(a Attempt) bool { return a.Number > 0 }}
	failed := errors.New("the engine's own error")
	f.script = func(a Attempt) (Stream, *Result) {
		if a.Number > 0 {
			return nil, nil
		}
		return nil, &Result{Status: routing.StatusError, Cause: failed}
	}
	c := coreWith(t, f, func(s *routing.Settings) { s.CanCancel = false })
	w := make(answerChannel, 1)
	c.Submit(ask("free", time.Minute), w)
	enginetest.Eventually(t, "a second attempt waits for its connection", func() bool { all, _, _ := f.counts(); return all == 2 })
	c.NotifyShutdown(true)
	if a := <-w; a.Status != routing.StatusError || !errors.Is(a.Cause, failed) {
		t.Errorf("answer %+v, want the first attempt's end", a)
	}
}

// A cancelled prefill may run on and leave state at its end. A gateway that drains stays until its
// engine has been sent the last release.
func TestDrainWaitsForReadsThatMayRunOn(t *testing.T) {
	f := &fakeTransport{script: func(Attempt) (Stream, *Result) { return nil, nil }}
	c := coreWith(t, f, func(s *routing.Settings) { s.HeldStateLimit = 20 * time.Millisecond })
	if a, _, _ := SubmitAndWait(t.Context(), c, ask("once", 600*time.Millisecond)); a.Verdict != Rejected {
		t.Fatalf("answer %+v", a)
	}
	if err := c.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if left := runQuery(t.Context(), c, func() int { return len(c.unreleased) }); left > 0 {
		t.Errorf("the gateway has ended, and its prefill may run on")
	}
}

// Engines whose kind takes no releases hold nothing: they are asked once, and a gateway that is
// drained does not wait for prefills that may run on there.
func TestEnginesWithoutReleases(t *testing.T) {
	f := &fakeTransport{script: func(Attempt) (Stream, *Result) { return nil, nil }, releaseErr: ErrReleaseUnsupported}
	c := coreWith(t, f, func(s *routing.Settings) { s.HeldStateLimit = 20 * time.Millisecond })
	if a, _, _ := SubmitAndWait(t.Context(), c, ask("once", 600*time.Millisecond)); a.Verdict != Rejected {
		t.Fatalf("answer %+v", a)
	}
	if err := c.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if attempts, _, released := f.counts(); released != attempts {
		t.Errorf("%d releases after %d attempts", released, attempts)
	}
}
