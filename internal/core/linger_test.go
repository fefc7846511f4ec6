package core

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"wellgw/internal/enginetest"
	"wellgw/routing"
)

// State of a request that then goes to an engine which fetches none is released as the request is
// sent there, and the request may have run from then on.
func TestDetachedStateIsReleased(t *testing.T) {
	for kind, alone := range map[string]bool{"w": false, "alone": true} {
		t.Run(kind, func(t *testing.T) {
			f := &fakeTransport{script: prefillThen(func() (Stream, *Result) { return nil, nil })}
			c := newCore(t, f)
			c.limits.IgnoresHeldState = func(k string) bool { return alone && k == "w" }
			q := ask("once", 10*time.Second)
			ticket := c.Submit(q, make(answerChannel, 1))
			enginetest.Eventually(t, "it is at the decode engine", func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return len(f.attempts) == 2
			})
			if !ticket.MayHaveRun(t.Context()) { // also waits until the send is through
				t.Error("a request with an attempt in flight may have run")
			}
			if got := f.hasReleased("r1"); got != alone {
				t.Errorf("%s: released at the prefill engine: %v, want %v", kind, got, alone)
			}
			ticket.ClientGone()
		})
	}
}

// checkLingering heals the partition before a prefill engine that is sent a release. Until then one
// attempt is open if it is to linger, afterwards none is.
func checkLingering(t *testing.T, core *Core, f *fakeTransport, lingers bool) {
	t.Helper()
	enginetest.Eventually(t, "the prefill engine is sent a release", func() bool { return f.hasReleased("r1") })
	core.Counts(t.Context())
	if all, closed, _ := f.counts(); (closed == all-1) != lingers {
		t.Errorf("%d of %d attempts are closed before the prefill engine is reached", closed, all)
	}
	close(f.partition)
	if err := core.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if all, closed, _ := f.counts(); closed < all {
		t.Errorf("%d of %d attempts are closed after it has released the state", closed, all)
	}
}

// The engine that holds state is behind a network partition: the attempt that was cancelled lingers
// until that engine has been sent a release, and its client has had its answer at once.
func TestAttemptLingersUntilRelease(t *testing.T) {
	silent := func() (Stream, *Result) { return nil, nil }
	for _, c := range []struct {
		name, class string
		script      func(Attempt) (Stream, *Result)
		verdict     Verdict
		lingers     bool
	}{
		{"prefilled, and the decode engine is silent", "once", prefillThen(silent), Failed, true},
		{"an idempotent request's prefill engine is silent, and may have prefilled", "free", func(Attempt) (Stream, *Result) { return silent() }, Rejected, true},
		{"an at-most-once request that is rejected has nothing in flight", "once", func(Attempt) (Stream, *Result) { return silent() }, Rejected, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeTransport{script: c.script, partition: make(chan struct{})}
			core := newCore(t, f)
			a, _, _ := SubmitAndWait(t.Context(), core, ask(c.class, 300*time.Millisecond))
			if a.Verdict != c.verdict {
				t.Fatalf("answer %+v", a)
			}
			checkLingering(t, core, f, c.lingers)
		})
	}
}

// Attempts that cover what is held are bounded: each keeps a connection. A gateway that
// leaves waits no longer for them than for other releases.
// An attempt at a silent decode engine is cancelled, and the next one's connection never comes up: the
// cancelled one lingers until that would have been there, and after.
func TestLingeringSurvivesFailedConnect(t *testing.T) {
	f := &fakeTransport{partition: make(chan struct{})}
	second := make(chan struct{})
	f.neverConnects = func(a Attempt) bool { return a.Number >= 2 }
	f.script = func(a Attempt) (Stream, *Result) {
		switch {
		case a.Endpoint.Kind == "r":
			return ended(routing.StatusPrefilled)
		case a.Number == 1:
			return nil, nil
		}
		<-second
		return ended(routing.StatusConnectFailed)
	}
	core := newCore(t, f)
	answered := submitAsync(t, core, ask("free", time.Minute))
	sent := func(n int) func() bool { return func() bool { all, _, _ := f.counts(); return all == n } }
	enginetest.Eventually(t, "the decode engine's attempt is sent", sent(2))
	core.post(testMessage(func() {
		for _, q := range core.requests.byID {
			core.endAttempt(q, q.attempts[1], Result{Status: routing.StatusTimeout})
		}
	}))
	enginetest.Eventually(t, "the next one is begun", sent(3))
	core.Counts(t.Context())
	if _, closed, _ := f.counts(); closed != 1 { // the prefill, which ended by itself
		t.Errorf("%d attempts are closed before the next has a connection, want 1", closed)
	}
	close(second)
	if a := <-answered; a.Verdict == Streaming {
		t.Fatalf("answer %+v", a)
	}
	checkLingering(t, core, f, true)
}

func TestLingeringIsBounded(t *testing.T) {
	f := &fakeTransport{script: func(Attempt) (Stream, *Result) { return nil, nil }, partition: make(chan struct{})}
	defer close(f.partition)
	core := newCore(t, f)
	all, closed := 0, 0
	for round := 0; all <= maxLingering; round++ { // some are refused as they would wait too long
		var group sync.WaitGroup
		for i := range maxLingering {
			q := ask("free", 300*time.Millisecond)
			q.ClientRequestID = fmt.Sprint("id", round, "-", i)
			group.Go(func() { SubmitAndWait(t.Context(), core, q) })
		}
		group.Wait()
		core.Counts(t.Context()) // what has been answered is settled
		all, closed, _ = f.counts()
	}
	if all-closed != maxLingering {
		t.Errorf("%d of %d attempts are still open, want %d", all-closed, all, maxLingering)
	}
	if err := core.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, closed, _ = f.counts(); all-closed != maxLingering {
		t.Errorf("the core has waited until only %d attempts cover what is held", all-closed)
	}
}

// What must not meet an attempt waits until its engine can have learned of its end: a
// further attempt, and the answer that a request never ran. Both travel on other connections than the cancel.
func TestRefusalWaitsAfterCancel(t *testing.T) {
	f := &fakeTransport{}
	f.script = func(Attempt) (Stream, *Result) { return nil, nil }
	core := newCore(t, f)
	a, _, _ := SubmitAndWait(t.Context(), core, ask("once", 300*time.Millisecond))
	if d := f.sinceClose(); a.Verdict != Rejected || d < cancelTransit {
		t.Errorf("verdict %v, %v after the attempt's end", a.Verdict, d)
	}
}

// The same for a further attempt after one that was cancelled, whether the core knows that it has
// been written before its cancel or only afterwards.
func TestNextAttemptWaitsAfterACancel(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprint("known before ", known), func(t *testing.T) {
			written, after := make(chan struct{}, 8), make(chan time.Duration, 8)
			f := &fakeTransport{}
			f.script = func(a Attempt) (Stream, *Result) {
				if a.Number > 0 {
					after <- f.sinceClose()
				}
				written <- struct{}{}
				return nil, nil
			}
			if !known {
				f.writtenLate = make(chan struct{})
			}
			core := newCore(t, f)
			go SubmitAndWait(t.Context(), core, ask("free", time.Minute))
			if known {
				<-written // the core's queue has it, before what is posted now
			} else {
				enginetest.Eventually(t, "its first attempt is written", func() bool {
					handles := f.handles()
					return len(handles) == 1 && handles[0].written.Load()
				})
			}
			core.post(testMessage(func() {
				for _, q := range core.requests.byID {
					core.endAttempt(q, q.attempts[0], Result{Status: routing.StatusCancelled})
				}
			}))
			if !known {
				enginetest.Eventually(t, "the first attempt is closed", func() bool { _, closed, _ := f.counts(); return closed == 1 })
				close(f.writtenLate)
			}
			if d := <-after; d < cancelTransit {
				t.Errorf("known before %v: the next attempt is sent %v after the end of the previous one", known, d)
			}
		})
	}
}

// A prefill that completes while its attempt lingers leaves state with no attempt in flight: it is
// released at once, whatever becomes of the release that waits for a connection.
func TestPrefillCompletedWhileLingeringIsReleased(t *testing.T) {
	read := make(chan struct{})
	f := &fakeTransport{partition: make(chan struct{})}
	defer close(f.partition)
	f.script = func(Attempt) (Stream, *Result) {
		<-read
		return ended(routing.StatusPrefilled)
	}
	core := newCore(t, f)
	if a, _, _ := SubmitAndWait(t.Context(), core, ask("free", 300*time.Millisecond)); a.Verdict != Rejected {
		t.Fatalf("answer %+v", a)
	}
	calls := func(n int) func() bool { return func() bool { _, _, released := f.counts(); return released == n } }
	enginetest.Eventually(t, "the release that waits for a connection", calls(1))
	close(read)
	enginetest.Eventually(t, "a release for the state of the prefill", calls(2))
}
