package core

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"wellgw/internal/enginetest"
	"wellgw/routing"
)

// What was read for a request that then goes to an engine which fetches nothing is let go
// as it is sent there, and what may have run is told.
func TestDetachedStateIsReleased(t *testing.T) {
	for kind, alone := range map[string]bool{"w": false, "alone": true} {
		f := &fake{script: script(func() (Stream, *Result) { return nil, nil })}
		c := newCore(t, f)
		c.limits.ServesAlone = func(k string) bool { return alone && k == "w" }
		q := ask("once", 10*time.Second)
		ticket := c.Submit(q, make(answerChannel, 1))
		enginetest.Eventually(t, "it is at the writer", func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return len(f.attempts) == 2
		})
		if !ticket.MayHaveRun(t.Context()) { // also waits until the send is through
			t.Error("an attempt that is out may run")
		}
		if got := f.has("r1"); got != alone {
			t.Errorf("%s: let go at the reader: %v, want %v", kind, got, alone)
		}
		ticket.ClientGone()
	}
}

// letGo heals the cut before a prefill engine that is told to let go. Until then one attempt is open
// if it covers the state, afterwards none is.
func letGo(t *testing.T, core *Core, f *fake, covered bool) {
	t.Helper()
	enginetest.Eventually(t, "the reader is told to let go", func() bool { return f.has("r1") })
	core.Counts(t.Context())
	if all, closed, _ := f.tally(); (closed == all-1) != covered {
		t.Errorf("%d of %d attempts are closed before the reader is reached", closed, all)
	}
	close(f.cut)
	if err := core.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if all, closed, _ := f.tally(); closed < all {
		t.Errorf("%d of %d attempts are closed after it has let go", closed, all)
	}
}

// The engine that holds a state is behind a cut: the attempt that has been given up stays
// out until that engine can be told to let go, and its client has had its answer at once.
func TestAttemptLingersUntilRelease(t *testing.T) {
	silent := func() (Stream, *Result) { return nil, nil }
	for _, c := range []struct {
		name, class string
		script      func(Attempt) (Stream, *Result)
		verdict     Verdict
		covered     bool
	}{
		{"read, and the writer is silent", "once", script(silent), Failed, true},
		{"a lookup's reader is silent, and may have read", "free", func(Attempt) (Stream, *Result) { return silent() }, Rejected, true},
		{"an order that is refused has nothing out", "once", func(Attempt) (Stream, *Result) { return silent() }, Rejected, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fake{script: c.script, cut: make(chan struct{})}
			core := newCore(t, f)
			a, _, _ := SubmitAndWait(t.Context(), core, ask(c.class, 300*time.Millisecond))
			if a.Verdict != c.verdict {
				t.Fatalf("answer %+v", a)
			}
			letGo(t, core, f, c.covered)
		})
	}
}

// Attempts that cover what is held are bounded: each keeps a connection. A gateway that
// leaves waits no longer for them than for other releases.
// A decode engine that is silent is given up, the next one's connection never comes up: until that
// would have been there, and after, the one given up answers for the state that was read.
func TestLingeringSurvivesFailedConnect(t *testing.T) {
	f := &fake{cut: make(chan struct{})}
	second := make(chan struct{})
	f.away = func(a Attempt) bool { return a.Number >= 2 }
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
	answered := awaitLater(t, core, ask("free", time.Minute))
	out := func(n int) func() bool { return func() bool { all, _, _ := f.tally(); return all == n } }
	enginetest.Eventually(t, "the writer's attempt is out", out(2))
	core.post(testMessage(func() {
		for _, q := range core.requests.byID {
			core.endAttempt(q, q.attempts[1], Result{Status: routing.StatusTimeout})
		}
	}))
	enginetest.Eventually(t, "the next one is begun", out(3))
	core.Counts(t.Context())
	if _, closed, _ := f.tally(); closed != 1 { // the read, which ended by itself
		t.Errorf("%d attempts are closed before the next has a connection, want 1", closed)
	}
	close(second)
	if a := <-answered; a.Verdict == Streaming {
		t.Fatalf("answer %+v", a)
	}
	letGo(t, core, f, true)
}

func TestLingeringIsBounded(t *testing.T) {
	f := &fake{script: func(Attempt) (Stream, *Result) { return nil, nil }, cut: make(chan struct{})}
	defer close(f.cut)
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
		all, closed, _ = f.tally()
	}
	if all-closed != maxLingering {
		t.Errorf("%d of %d attempts are still open, want %d", all-closed, all, maxLingering)
	}
	if err := core.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, closed, _ = f.tally(); all-closed != maxLingering {
		t.Errorf("the core has waited until only %d attempts cover what is held", all-closed)
	}
}

// What must not meet an attempt waits until its engine can have learned of its end: a
// further attempt, and the word that an order never ran. Both take other ways than the end.
func TestRefusalWaitsAfterCancel(t *testing.T) {
	f := &fake{}
	f.script = func(Attempt) (Stream, *Result) { return nil, nil }
	core := newCore(t, f)
	a, _, _ := SubmitAndWait(t.Context(), core, ask("once", 300*time.Millisecond))
	if d := f.sinceEnd(); a.Verdict != Rejected || d < cancelTransit {
		t.Errorf("verdict %v, %v after the attempt's end", a.Verdict, d)
	}
}

// The same for a further attempt after one that was cancelled, be the core told that it has
// been written before its cancel or only afterwards.
func TestNextAttemptWaitsAfterACancel(t *testing.T) {
	for _, told := range []bool{true, false} {
		written, after := make(chan struct{}, 8), make(chan time.Duration, 8)
		f := &fake{}
		f.script = func(a Attempt) (Stream, *Result) {
			if a.Number > 0 {
				after <- f.sinceEnd()
			}
			written <- struct{}{}
			return nil, nil
		}
		if !told {
			f.unnoticed = make(chan struct{})
		}
		core := newCore(t, f)
		go SubmitAndWait(t.Context(), core, ask("free", time.Minute))
		if told {
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
		if !told {
			enginetest.Eventually(t, "the first attempt is closed", func() bool { _, closed, _ := f.tally(); return closed == 1 })
			close(f.unnoticed)
		}
		if d := <-after; d < cancelTransit {
			t.Errorf("told before %v: the next attempt goes out %v after the end of the one before", told, d)
		}
	}
}

// A read that ends while its attempt covers it leaves a state that nothing covers: it is let
// go at once, whatever becomes of the call that waits for a connection.
func TestReadEndingWhileLingeringIsReleased(t *testing.T) {
	read := make(chan struct{})
	f := &fake{cut: make(chan struct{})}
	defer close(f.cut)
	f.script = func(Attempt) (Stream, *Result) {
		<-read
		return ended(routing.StatusPrefilled)
	}
	core := newCore(t, f)
	if a, _, _ := SubmitAndWait(t.Context(), core, ask("free", 300*time.Millisecond)); a.Verdict != Rejected {
		t.Fatalf("answer %+v", a)
	}
	calls := func(n int) func() bool { return func() bool { _, _, released := f.tally(); return released == n } }
	enginetest.Eventually(t, "the call that waits for a connection", calls(1))
	close(read)
	enginetest.Eventually(t, "a call for the state that was read", calls(2))
}
