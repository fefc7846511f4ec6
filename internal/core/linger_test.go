package core

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"wellgw/internal/enginetest"
	"wellgw/routing"
)

// When a request with held state is sent to an engine that fetches no state, its state is released, and the
// request may have run as soon as that attempt is sent.
func TestDetachedStateIsReleased(t *testing.T) {
	for name, ignores := range map[string]bool{"fetches held state": false, "ignores held state": true} {
		t.Run(name, func(t *testing.T) {
			f := &fakeTransport{respond: prefillThenDecode(func() (Stream, *Result) { return nil, nil })}
			c := newCore(t, f)
			c.limits.IgnoresHeldState = func(k string) bool { return ignores && k == "w" }
			request := newTestRequest("once", 10*time.Second)
			ticket := c.Submit(request, make(answerChannel, 1))
			enginetest.Eventually(t, "the attempt at the decode engine is started", func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return len(f.attempts) == 2
			})
			if !ticket.MayHaveRun(t.Context()) { // the query also waits until the core has handled the send
				t.Error("MayHaveRun is false with an attempt in flight")
			}
			if got := f.hasReleased("r1"); got != ignores {
				t.Errorf("%s: released at the prefill engine: %v, want %v", name, got, ignores)
			}
			ticket.ClientGone()
		})
	}
}

// checkLingeringUntilRelease ends the partition of a prefill engine after a release to it has started. If
// lingers, one attempt must be open until the release is delivered; afterwards none.
func checkLingeringUntilRelease(t *testing.T, core *Core, f *fakeTransport, lingers bool) {
	t.Helper()
	enginetest.Eventually(t, "the prefill engine is sent a release", func() bool { return f.hasReleased("r1") })
	core.Counts(t.Context())
	if attempts, closed, _ := f.counts(); (closed == attempts-1) != lingers {
		t.Errorf("%d of %d attempts closed before the release is delivered", closed, attempts)
	}
	close(f.partition)
	if err := core.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if attempts, closed, _ := f.counts(); closed < attempts {
		t.Errorf("%d of %d attempts closed after the release is delivered", closed, attempts)
	}
}

// While the engine that holds state is behind a network partition, a cancelled attempt lingers until a
// release is delivered to that engine. The client's answer does not wait for the release.
func TestAttemptLingersUntilRelease(t *testing.T) {
	noAnswer := func() (Stream, *Result) { return nil, nil }
	for _, c := range []struct {
		name, class string
		respond     func(Attempt) (Stream, *Result)
		verdict     Verdict
		lingers     bool
	}{
		{"prefilled, and the decode engine is unresponsive", "once", prefillThenDecode(noAnswer), Failed, true},
		{"the prefill engine of an idempotent request is unresponsive, and may have prefilled", "free", func(Attempt) (Stream, *Result) { return noAnswer() }, Rejected, true},
		{"an at-most-once request that is rejected has no attempt in flight", "once", func(Attempt) (Stream, *Result) { return noAnswer() }, Rejected, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeTransport{respond: c.respond, partition: make(chan struct{})}
			core := newCore(t, f)
			a, _, _ := SubmitAndWait(t.Context(), core, newTestRequest(c.class, 300*time.Millisecond))
			if a.Verdict != c.verdict {
				t.Fatalf("answer %+v", a)
			}
			checkLingeringUntilRelease(t, core, f, c.lingers)
		})
	}
}

// An attempt at an unresponsive decode engine times out, and connecting the next attempt fails. The first one
// lingers while the next is connecting, and also after that has failed.
func TestLingeringSurvivesFailedConnect(t *testing.T) {
	f := &fakeTransport{partition: make(chan struct{})}
	failConnect := make(chan struct{})
	f.neverConnects = func(a Attempt) bool { return a.Number >= 2 }
	f.respond = func(a Attempt) (Stream, *Result) {
		switch {
		case a.Endpoint.Kind == "r":
			return attemptResult(routing.StatusPrefilled)
		case a.Number == 1:
			return nil, nil
		}
		<-failConnect
		return attemptResult(routing.StatusConnectFailed)
	}
	core := newCore(t, f)
	answered := submitAsync(t, core, newTestRequest("free", time.Minute))
	sent := func(n int) func() bool { return func() bool { attempts, _, _ := f.counts(); return attempts == n } }
	enginetest.Eventually(t, "the attempt at the decode engine is sent", sent(2))
	core.post(testMessage(func() {
		for _, request := range core.requests.byID {
			core.endAttempt(request, request.attempts[1], Result{Status: routing.StatusTimeout})
		}
	}))
	enginetest.Eventually(t, "the next attempt is started", sent(3))
	core.Counts(t.Context())
	if _, closed, _ := f.counts(); closed != 1 { // the prefill, which completed
		t.Errorf("%d attempts closed before the next one has a connection, want 1", closed)
	}
	close(failConnect)
	if a := <-answered; a.Verdict == Streaming {
		t.Fatalf("answer %+v", a)
	}
	checkLingeringUntilRelease(t, core, f, true)
}

// The number of lingering attempts of completed requests is bounded, as each occupies a connection. A
// draining gateway waits no longer for them than for other releases.
func TestLingeringIsBounded(t *testing.T) {
	f := &fakeTransport{respond: func(Attempt) (Stream, *Result) { return nil, nil }, partition: make(chan struct{})}
	defer close(f.partition)
	core := newCore(t, f)
	attempts, closed := 0, 0
	for round := 0; attempts <= maxLingering; round++ { // the router rejects some because of their expected wait
		var group sync.WaitGroup
		for i := range maxLingering {
			request := newTestRequest("free", 300*time.Millisecond)
			request.ClientRequestID = fmt.Sprint("id", round, "-", i)
			group.Go(func() { SubmitAndWait(t.Context(), core, request) })
		}
		group.Wait()
		core.Counts(t.Context()) // returns after the answered requests have been reconciled
		attempts, closed, _ = f.counts()
	}
	if attempts-closed != maxLingering {
		t.Errorf("%d of %d attempts are still open, want %d", attempts-closed, attempts, maxLingering)
	}
	if err := core.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, closed, _ = f.counts(); attempts-closed != maxLingering {
		t.Errorf("the drain waited until only %d attempts were lingering", attempts-closed)
	}
}

// The rejection of an at-most-once request, which means that the request never ran, is delayed until the
// cancel of its attempt can have reached the engine: the answer and the cancel travel on different
// connections.
func TestRejectionWaitsAfterCancel(t *testing.T) {
	f := &fakeTransport{}
	f.respond = func(Attempt) (Stream, *Result) { return nil, nil }
	core := newCore(t, f)
	a, _, _ := SubmitAndWait(t.Context(), core, newTestRequest("once", 300*time.Millisecond))
	if d := f.sinceLastClose(); a.Verdict != Rejected || d < cancelPropagationTime {
		t.Errorf("verdict %v %v after the attempt was closed, want Rejected after at least %v", a.Verdict, d, cancelPropagationTime)
	}
}

// An attempt that follows a cancelled one is delayed until the cancel can have reached the engine, whether
// the core handles the cancelled attempt's attemptWritten message before the cancel or after it. The attempt
// and the cancel travel on different connections.
func TestNextAttemptWaitsAfterCancel(t *testing.T) {
	for _, writtenFirst := range []bool{true, false} {
		t.Run(fmt.Sprint("written message before the cancel ", writtenFirst), func(t *testing.T) {
			written, after := make(chan struct{}, 8), make(chan time.Duration, 8)
			f := &fakeTransport{}
			f.respond = func(a Attempt) (Stream, *Result) {
				if a.Number > 0 {
					after <- f.sinceLastClose()
				}
				written <- struct{}{}
				return nil, nil
			}
			if !writtenFirst {
				f.delayFirstWritten = make(chan struct{})
			}
			core := newCore(t, f)
			go SubmitAndWait(t.Context(), core, newTestRequest("free", time.Minute))
			if writtenFirst {
				<-written // attemptWritten is in the core's queue before the message posted below
			} else {
				enginetest.Eventually(t, "the first attempt is written", func() bool {
					handles := f.handles()
					return len(handles) == 1 && handles[0].written.Load()
				})
			}
			core.post(testMessage(func() {
				for _, request := range core.requests.byID {
					core.endAttempt(request, request.attempts[0], Result{Status: routing.StatusCancelled})
				}
			}))
			if !writtenFirst {
				enginetest.Eventually(t, "the first attempt is closed", func() bool { _, closed, _ := f.counts(); return closed == 1 })
				close(f.delayFirstWritten)
			}
			if d := <-after; d < cancelPropagationTime {
				t.Errorf("written message before the cancel %v: next attempt sent %v after the cancel, want at least %v",
					writtenFirst, d, cancelPropagationTime)
			}
		})
	}
}

// A prefill that completes while its attempt lingers creates state with no attempt in flight. The state is
// released immediately, even while an earlier release still waits for a connection.
func TestPrefillCompletedWhileLingeringIsReleased(t *testing.T) {
	completePrefill := make(chan struct{})
	f := &fakeTransport{partition: make(chan struct{})}
	defer close(f.partition)
	f.respond = func(Attempt) (Stream, *Result) {
		<-completePrefill
		return attemptResult(routing.StatusPrefilled)
	}
	core := newCore(t, f)
	if a, _, _ := SubmitAndWait(t.Context(), core, newTestRequest("free", 300*time.Millisecond)); a.Verdict != Rejected {
		t.Fatalf("answer %+v", a)
	}
	releases := func(n int) func() bool { return func() bool { _, _, released := f.counts(); return released == n } }
	enginetest.Eventually(t, "the first release waits for a connection", releases(1))
	close(completePrefill)
	enginetest.Eventually(t, "a second release is started for the completed prefill", releases(2))
}
