package core

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wellgw/internal/enginetest"
	"wellgw/routing"
)

func TestFinalAnswers(t *testing.T) {
	for _, c := range []struct {
		name, class string
		decode      func() (Stream, *Result)
		want        Verdict
		attempts    []string
	}{
		{"an at-most-once request that breaks off is not sent again", "once", func() (Stream, *Result) { return ended(routing.StatusReset) }, Failed, []string{"r1", "w1"}},
		{"an at-most-once request that failed may have run", "once", func() (Stream, *Result) { return ended(routing.StatusError) }, Failed, []string{"r1", "w1"}},
		{"an idempotent request that breaks off is retried", "free", func() (Stream, *Result) { return ended(routing.StatusReset) }, Rejected, []string{"r1", "w1", "w1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeTransport{script: prefillThen(c.decode)}
			core := newCore(t, f)
			a, _, _ := SubmitAndWait(t.Context(), core, ask(c.class, time.Minute))
			if a.Verdict != c.want || a.Verdict == Rejected && a.RetryAfter <= 0 {
				t.Errorf("answer %+v", a)
			}
			if err := core.Drain(t.Context()); err != nil {
				t.Fatal(err)
			}
			if n := len(c.attempts); len(f.attempts) < n || cmp.Diff(c.attempts, f.attempts[:n]) != "" || c.class == "once" && len(f.attempts) != n {
				t.Errorf("attempts %v, want %v", f.attempts, c.attempts)
			}
			if !f.hasReleased("r1") || !f.hasReleased("w1") {
				t.Errorf("released at %v only", f.released)
			}
		})
	}
}

// A silent engine must not delay an answer past the deadline, nor may a prefill that was cancelled
// leave its state.
func TestSilentEngineEndsAtDeadline(t *testing.T) {
	f := &fakeTransport{script: func(Attempt) (Stream, *Result) { return nil, nil }}
	core := newCore(t, f)
	start := time.Now()
	a, _, _ := SubmitAndWait(t.Context(), core, ask("once", 200*time.Millisecond))
	if took := time.Since(start); took < 100*time.Millisecond || a.Verdict == Streaming {
		t.Errorf("%+v after %v", a, took)
	}
	enginetest.Eventually(t, "the attempt is closed and its state released", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.closed == len(f.attempts) && len(f.released) >= 2 // the second catches a read that ended meanwhile
	})
}

// The backstop answers though the router has lost a request.
func TestOverdueRequestIsAnswered(t *testing.T) {
	f := &fakeTransport{script: func(Attempt) (Stream, *Result) { return nil, nil }}
	core := newCore(t, f)
	w := make(answerChannel, 2)
	core.post(testMessage(func() {
		q := &requestState{Request: ask("free", 0), front: w, held: newHeldState(core.heldLimits(time.Second))}
		core.schedule(0, testMessage(func() { core.answerDeadlineExceeded(q); core.answerDeadlineExceeded(q) }))
	}))
	if a := <-w; a.Verdict != DeadlineExceeded {
		t.Errorf("%+v", a)
	}
	if err := core.Drain(t.Context()); err != nil || len(w) > 0 {
		t.Errorf("%v; %d answers too many", err, len(w))
	}
}

// A request in flight at a decode engine when shutdown begins is still answered, and if its attempt
// fails nothing more is sent for it.
func TestAbandonWaitsForDecode(t *testing.T) {
	for _, fails := range []bool{false, true} {
		t.Run(fmt.Sprint("attempt fails ", fails), func(t *testing.T) {
			answer := make(chan struct{})
			f := &fakeTransport{script: func(a Attempt) (Stream, *Result) {
				if a.Endpoint.Kind == "r" {
					return ended(routing.StatusPrefilled)
				}
				if <-answer; fails {
					return ended(routing.StatusRejected)
				}
				return &textStream{end: io.EOF}, nil
			}}
			core := newCore(t, f)
			w := make(answerChannel, 1)
			core.Submit(ask("once", time.Minute), w)
			enginetest.Eventually(t, "it is in flight at the decode engine", func() bool { all, _, _ := f.counts(); return all == 2 })
			core.NotifyShutdown(false)
			if n := core.Counts(t.Context())["open"]; n != 1 || len(w) > 0 {
				t.Errorf("%d open, %d answers", n, len(w))
			}
			close(answer)
			want := map[bool]Verdict{false: Streaming, true: Rejected}[fails]
			if a := <-w; a.Verdict != want {
				t.Errorf("fails %v: %+v, want %v", fails, a, want)
			}
			if all, _, _ := f.counts(); all != 2 {
				t.Errorf("fails %v: %d attempts, want 2", fails, all)
			}
		})
	}
}

// A gateway that ends refuses what can't have run, so that its client may try
// elsewhere, and promises nothing of what may have.
func TestAbandonRefusesUnstarted(t *testing.T) {
	for kind, want := range map[string]Verdict{"r": Rejected, "w": Failed} {
		t.Run(kind, func(t *testing.T) {
			f := &fakeTransport{script: func(a Attempt) (Stream, *Result) {
				if a.Endpoint.Kind == kind { // silent
					return nil, nil
				}
				return ended(routing.StatusPrefilled)
			}}
			core := newCore(t, f)
			w := make(answerChannel, 1)
			core.Submit(ask("once", 2*time.Second), w)
			enginetest.Eventually(t, "the attempt is sent", func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return len(f.attempts) == map[string]int{"r": 1, "w": 2}[kind]
			})
			core.NotifyShutdown(true)
			before, _, _ := f.counts()
			if a := <-w; a.Verdict != want {
				t.Errorf("at %s: %+v, want %v", kind, a, want)
			}
			if a, _, _ := SubmitAndWait(t.Context(), core, Request{ClientRequestID: "late", Arrived: time.Now(), Request: ask("once", 2*time.Second).Request}); a.Verdict != Rejected {
				t.Errorf("a late one: %+v", a)
			}
			if after, _, _ := f.counts(); after != before {
				t.Errorf("%d attempts for a request that came after shutdown began", after-before)
			}
			if err := core.Drain(t.Context()); err != nil || !f.hasReleased("r1") {
				t.Errorf("%v; released at %v", err, f.released)
			}
		})
	}
}

// Engines under ever new names leave nothing behind, but what one that has left still
// holds is released there all the same.
func TestRemovedEnginesAreForgotten(t *testing.T) {
	f := &fakeTransport{script: prefillThen(func() (Stream, *Result) { return nil, nil })}
	core := newCore(t, f)
	ticket := core.Submit(ask("free", time.Minute), make(answerChannel, 1))
	f.awaitAttempts(t, 2)
	for n := range 100 {
		m := Endpoint{EngineInfo: routing.EngineInfo{Name: fmt.Sprint("e", n), Kind: "r", Weight: 1}}
		core.UpdateEndpoints(routing.EngineListDelta, []Endpoint{m})
		m.Phase = routing.PhaseRemoved
		core.UpdateEndpoints(routing.EngineListDelta, []Endpoint{m})
	}
	core.UpdateEndpoints(routing.EngineListSnapshot, nil)
	left := make(chan int)
	core.post(testMessage(func() { left <- len(core.endpoints.listed) }))
	if n := <-left; n > 0 || core.Ready() {
		t.Errorf("%d members, ready %v", n, core.Ready())
	}
	ticket.ClientGone()
	if err := core.Drain(t.Context()); err != nil || !f.hasReleased("r1") || !f.hasReleased("w1") {
		t.Errorf("%v; released at %v", err, f.released)
	}
}

func TestClientGoneBeforeTheAnswer(t *testing.T) {
	f := &fakeTransport{script: prefillThen(func() (Stream, *Result) { return nil, nil })}
	core := newCore(t, f)
	ticket := core.Submit(ask("free", time.Minute), make(answerChannel, 1))
	f.awaitAttempts(t, 2)
	ticket.ClientGone()
	if err := core.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if f.closed != 2 || !f.hasReleased("r1") {
		t.Errorf("%d of 2 attempts closed; released at %v", f.closed, f.released)
	}
}

func TestDuplicateWireIDIsRefused(t *testing.T) {
	f := &fakeTransport{script: func(Attempt) (Stream, *Result) { return nil, nil }}
	core := newCore(t, f)
	core.Submit(ask("free", time.Minute), make(answerChannel, 1))
	if a, _, _ := SubmitAndWait(t.Context(), core, ask("free", time.Minute)); a.Verdict != Duplicate || len(f.attempts) > 1 {
		t.Errorf("%+v; attempts %v", a, f.attempts)
	}
}

// textStream is a stream of one piece with a given end.
type textStream struct {
	rest   string
	end    error
	closed bool
}

func (s *textStream) Read(p []byte) (int, error) {
	if s.rest == "" {
		return 0, s.end
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

func (s *textStream) Result() Result {
	if s.end == io.EOF {
		return Result{Status: routing.StatusServed}
	}
	return Result{Status: routing.StatusReset}
}

func (s *textStream) Close() error { s.closed = true; return nil }

func TestStreams(t *testing.T) {
	lost := errors.New("lost")
	for _, c := range []struct {
		name       string
		end, write error
		releases   bool
	}{
		{"whole", io.EOF, nil, false},
		{"broken", lost, nil, true},
		{"client gone", io.EOF, lost, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &textStream{rest: "data: x\n\n", end: c.end}
			f := &fakeTransport{script: prefillThen(func() (Stream, *Result) { return s, nil })}
			core := newCore(t, f)
			a, ticket, _ := SubmitAndWait(t.Context(), core, ask("once", time.Minute))
			got := ""
			err := ticket.Relay(t.Context(), a.Stream, func(p []byte) error { got += string(p); return c.write })
			if (err != nil) != c.releases || got != "data: x\n\n" {
				t.Errorf("passed on %q, %v", got, err)
			}
			if err := core.Drain(t.Context()); err != nil {
				t.Fatal(err)
			}
			if f.hasReleased("w1") != c.releases || len(f.attempts) != 2 || !s.closed {
				t.Errorf("released at %v; attempts %v; closed %v", f.released, f.attempts, s.closed)
			}
		})
	}
}

// A request whose attempts were all turned away has not run; one that ended otherwise may
// have.
func TestMayRun(t *testing.T) {
	for status, want := range map[routing.Status]bool{
		routing.StatusRejected: false, routing.StatusConnectFailed: false, routing.StatusError: true, routing.StatusReset: true,
	} {
		t.Run(string(statusNames[status]), func(t *testing.T) {
			f := &fakeTransport{script: prefillThen(func() (Stream, *Result) { return ended(status) })}
			c := newCore(t, f)
			a, _, _ := SubmitAndWait(t.Context(), c, ask("once", 300*time.Millisecond))
			if a.Verdict == Streaming || a.MayHaveRun != want {
				t.Errorf("%s: verdict %s, may have run %v, want %v", statusNames[status], verdictNames[a.Verdict], a.MayHaveRun, want)
			}
		})
	}
}

// Changes of the number of gateways touch no request in flight.
func TestRosterChangeKeepsRequests(t *testing.T) {
	reached, answer := make(chan bool, 1), make(chan bool)
	f := &fakeTransport{script: prefillThen(func() (Stream, *Result) {
		reached <- true
		<-answer
		return ended(routing.StatusError)
	})}
	c := newCore(t, f)
	got := submitAsync(t, c, ask("once", time.Minute))
	<-reached
	for _, n := range []int{300, 1, 2, 80, 1} {
		c.SetGateways(n)
	}
	if n := c.Counts(t.Context())["open"]; n != 1 {
		t.Errorf("%d requests open after the changes", n)
	}
	select {
	case a := <-got:
		t.Errorf("a change has ended a request: %+v", a)
	default:
	}
	close(answer)
	if a := <-got; a.Verdict != Failed {
		t.Errorf("answer %+v", a)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.attempts) != 2 {
		t.Errorf("attempts %v", f.attempts)
	}
}

// An at-most-once request is rejected by the rules of the configuration that it was submitted under,
// though another has made its class idempotent meanwhile.
func TestRequestKeepsSettingsAcrossReload(t *testing.T) {
	f := &fakeTransport{script: func(Attempt) (Stream, *Result) { return nil, nil }, partition: make(chan struct{})}
	defer close(f.partition)
	core := newCore(t, f)
	w := make(answerChannel, 1)
	core.Submit(ask("once", 300*time.Millisecond), w)
	enginetest.Eventually(t, "its attempt is sent", func() bool { all, _, _ := f.counts(); return all > 0 })
	next := testSettings()
	for i := range next.Classes {
		next.Classes[i].Effect = routing.EffectIdempotent
	}
	if err := core.Reconfigure(t.Context(), next); err != nil {
		t.Fatal(err)
	}
	a := <-w
	if all, closed, _ := f.counts(); a.Verdict != Rejected || closed != all {
		t.Errorf("verdict %v with %d of %d attempts closed, want rejected with none in flight", a.Verdict, closed, all)
	}
}
