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

// newCoreWithSettings returns a running core with r1 and w1 listed, and testSettings modified by change.
func newCoreWithSettings(t *testing.T, f *fakeTransport, change func(*routing.Settings)) *Core {
	settings := testSettings()
	change(&settings)
	router, err := routing.New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	c := New(router, f, f, Limits{DeadlineSlack: 50 * time.Millisecond, HeldStateLimit: settings.HeldStateLimit, MaxAttempts: settings.MaxAttempts},
		slog.New(slog.DiscardHandler), invariant.New())
	go c.Run(t.Context())
	c.UpdateEndpoints(routing.EngineListSnapshot, []Endpoint{
		{EngineInfo: routing.EngineInfo{Name: "r1", Kind: "r", Weight: 1}},
		{EngineInfo: routing.EngineInfo{Name: "w1", Kind: "w", Weight: 1}},
	})
	return c
}

// attemptedEngines returns the engine of each attempt, in order.
func (f *fakeTransport) attemptedEngines() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.attempts...)
}

// If the connection to the decode engine is not established after a prefill, the state is released at its
// limit, the attempt is withdrawn, and the prompt is prefilled again.
func TestStateExpiresWhileConnecting(t *testing.T) {
	f := &fakeTransport{neverConnects: func(a Attempt) bool { return a.Endpoint.Kind == "w" }}
	f.respond = func(a Attempt) (Stream, *Result) {
		if a.Endpoint.Kind == "r" {
			return attemptResult(routing.StatusPrefilled)
		}
		return nil, nil
	}
	c := newCoreWithSettings(t, f, func(s *routing.Settings) { s.HeldStateLimit = 50 * time.Millisecond })
	ticket := c.Submit(newTestRequest("once", time.Minute), make(answerChannel, 1))
	enginetest.Eventually(t, "the state is released, and the prompt is prefilled again", func() bool {
		_, closed, _ := f.counts()
		return f.hasReleased("r1") && closed >= 2 && len(f.attemptedEngines()) >= 3
	})
	if diff := cmp.Diff([]string{"r1", "w1", "r1"}, f.attemptedEngines()[:3]); diff != "" {
		t.Errorf("attempts (-want +got):\n%s", diff)
	}
	ticket.ClientGone()
}

// An attempt that waits for its connection is withdrawn when the client disconnects, even if the settings
// disable cancels: nothing has been sent that could be cancelled.
func TestUnwrittenAttemptWithdrawnWhenClientDisconnects(t *testing.T) {
	for _, canCancel := range []bool{false, true} {
		t.Run(fmt.Sprint("cancels allowed ", canCancel), func(t *testing.T) {
			f := &fakeTransport{neverConnects: func(Attempt) bool { return true }, respond: func(Attempt) (Stream, *Result) { return nil, nil }}
			c := newCoreWithSettings(t, f, func(s *routing.Settings) { s.CanCancel = canCancel })
			ticket := c.Submit(newTestRequest("once", time.Minute), make(answerChannel, 1))
			enginetest.Eventually(t, "the attempt waits for its connection", func() bool { attempts, _, _ := f.counts(); return attempts == 1 })
			ticket.ClientGone()
			if err := c.Drain(t.Context()); err != nil {
				t.Fatal(err)
			}
			if attempts, closed, released := f.counts(); closed != attempts || released > 0 {
				t.Errorf("cancels allowed %v: %d of %d attempts withdrawn, %d releases for unwritten attempts", canCancel, closed, attempts, released)
			}
		})
	}
}

// No attempt is sent for a request whose client disconnected while the request waited in the core's queue,
// even though the message about the disconnect is handled after the request.
func TestNoAttemptAfterClientDisconnectsInQueue(t *testing.T) {
	f := &fakeTransport{respond: func(Attempt) (Stream, *Result) { return nil, nil }}
	c := newCore(t, f)
	unblock := make(chan struct{})
	c.post(testMessage(func() { <-unblock }))
	ticket := c.Submit(newTestRequest("once", time.Minute), make(answerChannel, 1))
	ticket.ClientGone()
	close(unblock)
	if err := c.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if attempts, _, _ := f.counts(); attempts > 0 {
		t.Errorf("%d attempts for a client that has disconnected", attempts)
	}
}

// A cancelled prefill may complete after its release, since a cancel does not stop a running prefill at every
// engine. The engine is sent further releases until the prefill must have ended, even though the request is
// already answered.
func TestReleaseRepeatedWhilePrefillMayRun(t *testing.T) {
	f := &fakeTransport{respond: func(Attempt) (Stream, *Result) { return nil, nil }}
	c := newCoreWithSettings(t, f, func(s *routing.Settings) { s.HeldStateLimit = 20 * time.Millisecond })
	const ttl = 600 * time.Millisecond
	if a, _, _ := SubmitAndWait(t.Context(), c, newTestRequest("once", ttl)); a.Verdict != Rejected {
		t.Fatalf("answer %+v", a)
	}
	enginetest.Eventually(t, "the prefill engine is sent several releases", func() bool { _, _, released := f.counts(); return released >= 4 })
	enginetest.Eventually(t, "all releases are complete", func() bool {
		return runQuery(t.Context(), c, func() bool { return len(c.unreleased) == 0 })
	})
}

// If a decode engine finds no state, the prefill engine may still hold it: the decode engine may have been
// unable to reach the prefill engine. The state is released there nevertheless.
func TestStateNotFoundByDecodeIsReleased(t *testing.T) {
	f := &fakeTransport{respond: prefillThenDecode(func() (Stream, *Result) { return nil, &Result{Status: routing.StatusRejected, StateMissing: true} })}
	c := newCoreWithSettings(t, f, func(s *routing.Settings) { s.MaxAttempts = 2 })
	if a, _, _ := SubmitAndWait(t.Context(), c, newTestRequest("once", time.Minute)); a.Verdict != Rejected {
		t.Fatalf("answer %+v", a)
	}
	if err := c.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !f.hasReleased("r1") {
		t.Errorf("released at %v", f.released)
	}
}

// The maximal value of HeldStateLimit is valid, and state is released as with a shorter limit.
func TestMaximalHeldStateLimit(t *testing.T) {
	f := &fakeTransport{respond: prefillThenDecode(func() (Stream, *Result) { return attemptResult(routing.StatusError) })}
	c := newCoreWithSettings(t, f, func(s *routing.Settings) { s.HeldStateLimit = 1<<63 - 1 })
	if a, _, _ := SubmitAndWait(t.Context(), c, newTestRequest("once", time.Minute)); a.Verdict != Failed {
		t.Fatalf("answer %+v", a)
	}
	if err := c.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !f.hasReleased("r1") || !f.hasReleased("w1") {
		t.Errorf("released at %v", f.released)
	}
}

// The answer reports the end of the latest attempt that was written. It does not report a later attempt that
// was withdrawn for this answer while it waited for its connection.
func TestAnswerReportsLastWrittenAttempt(t *testing.T) {
	f := &fakeTransport{neverConnects: func(a Attempt) bool { return a.Number > 0 }}
	engineErr := errors.New("engine error")
	f.respond = func(a Attempt) (Stream, *Result) {
		if a.Number > 0 {
			return nil, nil
		}
		return nil, &Result{Status: routing.StatusError, Cause: engineErr}
	}
	c := newCoreWithSettings(t, f, func(s *routing.Settings) { s.CanCancel = false })
	answers := make(answerChannel, 1)
	c.Submit(newTestRequest("free", time.Minute), answers)
	enginetest.Eventually(t, "a second attempt waits for its connection", func() bool { attempts, _, _ := f.counts(); return attempts == 2 })
	c.NotifyShutdown(true)
	if a := <-answers; a.Status != routing.StatusError || !errors.Is(a.Cause, engineErr) {
		t.Errorf("answer %+v, want the first attempt's status and cause", a)
	}
}

// A cancelled prefill may continue and create state when it completes. A draining gateway waits until the
// engine has been sent the last release for it.
func TestDrainWaitsForCancelledPrefills(t *testing.T) {
	f := &fakeTransport{respond: func(Attempt) (Stream, *Result) { return nil, nil }}
	c := newCoreWithSettings(t, f, func(s *routing.Settings) { s.HeldStateLimit = 20 * time.Millisecond })
	if a, _, _ := SubmitAndWait(t.Context(), c, newTestRequest("once", 600*time.Millisecond)); a.Verdict != Rejected {
		t.Fatalf("answer %+v", a)
	}
	if err := c.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if unreleased := runQuery(t.Context(), c, func() int { return len(c.unreleased) }); unreleased > 0 {
		t.Errorf("the drain completed although a cancelled prefill may still be running")
	}
}

// Engines whose kind does not support releases hold no state: they are sent one release per attempt, and a
// draining gateway does not wait for cancelled prefills that may still be running there.
func TestEnginesWithoutReleases(t *testing.T) {
	f := &fakeTransport{respond: func(Attempt) (Stream, *Result) { return nil, nil }, releaseErr: ErrReleaseUnsupported}
	c := newCoreWithSettings(t, f, func(s *routing.Settings) { s.HeldStateLimit = 20 * time.Millisecond })
	if a, _, _ := SubmitAndWait(t.Context(), c, newTestRequest("once", 600*time.Millisecond)); a.Verdict != Rejected {
		t.Fatalf("answer %+v", a)
	}
	if err := c.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if attempts, _, released := f.counts(); released != attempts {
		t.Errorf("%d releases after %d attempts, want one per attempt", released, attempts)
	}
}
