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
		{"an at-most-once request whose connection is reset is not retried", "once", func() (Stream, *Result) { return attemptResult(routing.StatusReset) }, Failed, []string{"r1", "w1"}},
		{"an at-most-once request that ends with an error may have run", "once", func() (Stream, *Result) { return attemptResult(routing.StatusError) }, Failed, []string{"r1", "w1"}},
		{"an idempotent request whose connection is reset is retried", "free", func() (Stream, *Result) { return attemptResult(routing.StatusReset) }, Rejected, []string{"r1", "w1", "w1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeTransport{respond: prefillThenDecode(c.decode)}
			core := newCore(t, f)
			a, _, _ := SubmitAndWait(t.Context(), core, newTestRequest(c.class, time.Minute))
			if a.Verdict != c.want || a.Verdict == Rejected && a.RetryAfter <= 0 {
				t.Errorf("answer %+v, want verdict %v", a, c.want)
			}
			if err := core.Drain(t.Context()); err != nil {
				t.Fatal(err)
			}
			if n := len(c.attempts); len(f.attempts) < n || cmp.Diff(c.attempts, f.attempts[:n]) != "" || c.class == "once" && len(f.attempts) != n {
				t.Errorf("attempts %v, want %v", f.attempts, c.attempts)
			}
			if !f.hasReleased("r1") || !f.hasReleased("w1") {
				t.Errorf("released only at %v, want r1 and w1", f.released)
			}
		})
	}
}

// An unresponsive engine must not delay an answer past the deadline, and the state of a cancelled prefill
// must be released.
func TestUnresponsiveEngineEndsAtDeadline(t *testing.T) {
	f := &fakeTransport{respond: func(Attempt) (Stream, *Result) { return nil, nil }}
	core := newCore(t, f)
	start := time.Now()
	a, _, _ := SubmitAndWait(t.Context(), core, newTestRequest("once", 200*time.Millisecond))
	if elapsed := time.Since(start); elapsed < 100*time.Millisecond || a.Verdict == Streaming {
		t.Errorf("answer %+v after %v, want no stream and at least 100ms", a, elapsed)
	}
	enginetest.Eventually(t, "the attempt is closed and its state released", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		// The second release is for a prefill that completed after the first one.
		return f.closed == len(f.attempts) && len(f.released) >= 2
	})
}

// A request that the router does not answer is answered after its deadline, exactly once.
func TestDeadlineSafeguardAnswersRequest(t *testing.T) {
	f := &fakeTransport{respond: func(Attempt) (Stream, *Result) { return nil, nil }}
	core := newCore(t, f)
	answers := make(answerChannel, 2)
	core.post(testMessage(func() {
		request := &requestState{Request: newTestRequest("free", 0), front: answers, held: newHeldState(core.heldLimits(time.Second))}
		core.schedule(0, testMessage(func() { core.answerDeadlineExceeded(request); core.answerDeadlineExceeded(request) }))
	}))
	if a := <-answers; a.Verdict != DeadlineExceeded {
		t.Errorf("answer %+v, want DeadlineExceeded", a)
	}
	if err := core.Drain(t.Context()); err != nil || len(answers) > 0 {
		t.Errorf("drain: %v; %d surplus answers", err, len(answers))
	}
}

// A request that is in flight at a decode engine when shutdown begins is still answered. If its attempt
// fails, no further attempt is sent.
func TestShutdownWaitsForDecode(t *testing.T) {
	for _, fails := range []bool{false, true} {
		t.Run(fmt.Sprint("attempt fails ", fails), func(t *testing.T) {
			answer := make(chan struct{})
			f := &fakeTransport{respond: func(a Attempt) (Stream, *Result) {
				if a.Endpoint.Kind == "r" {
					return attemptResult(routing.StatusPrefilled)
				}
				if <-answer; fails {
					return attemptResult(routing.StatusRejected)
				}
				return &textStream{end: io.EOF}, nil
			}}
			core := newCore(t, f)
			answers := make(answerChannel, 1)
			core.Submit(newTestRequest("once", time.Minute), answers)
			enginetest.Eventually(t, "the request is in flight at the decode engine", func() bool { attempts, _, _ := f.counts(); return attempts == 2 })
			core.NotifyShutdown(false)
			if n := core.Counts(t.Context())["open"]; n != 1 || len(answers) > 0 {
				t.Errorf("%d open, %d answers", n, len(answers))
			}
			close(answer)
			want := map[bool]Verdict{false: Streaming, true: Rejected}[fails]
			if a := <-answers; a.Verdict != want {
				t.Errorf("fails %v: %+v, want %v", fails, a, want)
			}
			if attempts, _, _ := f.counts(); attempts != 2 {
				t.Errorf("fails %v: %d attempts, want 2", fails, attempts)
			}
		})
	}
}

// A final shutdown rejects requests that can't have run, so that their clients may retry at another gateway,
// and fails those that may have run.
func TestFinalShutdownAnswersOpenRequests(t *testing.T) {
	for kind, want := range map[string]Verdict{"r": Rejected, "w": Failed} {
		t.Run(kind, func(t *testing.T) {
			f := &fakeTransport{respond: func(a Attempt) (Stream, *Result) {
				if a.Endpoint.Kind == kind { // no answer
					return nil, nil
				}
				return attemptResult(routing.StatusPrefilled)
			}}
			core := newCore(t, f)
			answers := make(answerChannel, 1)
			core.Submit(newTestRequest("once", 2*time.Second), answers)
			enginetest.Eventually(t, "the attempt is written", func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				attempts := map[string]int{"r": 1, "w": 2}[kind]
				return len(f.started) == attempts && f.started[attempts-1].written.Load()
			})
			core.NotifyShutdown(true)
			before, _, _ := f.counts()
			if a := <-answers; a.Verdict != want {
				t.Errorf("at %s: %+v, want %v", kind, a, want)
			}
			if a, _, _ := SubmitAndWait(t.Context(), core, Request{ClientRequestID: "late", Arrived: time.Now(), Request: newTestRequest("once", 2*time.Second).Request}); a.Verdict != Rejected {
				t.Errorf("request after the shutdown began: answer %+v, want rejected", a)
			}
			if after, _, _ := f.counts(); after != before {
				t.Errorf("%d attempts for a request submitted after the shutdown began", after-before)
			}
			if err := core.Drain(t.Context()); err != nil || !f.hasReleased("r1") {
				t.Errorf("drain: %v; released at %v, want r1", err, f.released)
			}
		})
	}
}

// The data of removed engines is deleted, so that engines with ever new names don't use up memory. State that
// a removed engine still holds is released there nevertheless.
func TestRemovedEnginesAreDeleted(t *testing.T) {
	f := &fakeTransport{respond: prefillThenDecode(func() (Stream, *Result) { return nil, nil })}
	core := newCore(t, f)
	ticket := core.Submit(newTestRequest("free", time.Minute), make(answerChannel, 1))
	f.awaitAttempts(t, 2)
	for n := range 100 {
		endpoint := Endpoint{EngineInfo: routing.EngineInfo{Name: fmt.Sprint("e", n), Kind: "r", Weight: 1}}
		core.UpdateEndpoints(routing.EngineListDelta, []Endpoint{endpoint})
		endpoint.Phase = routing.PhaseRemoved
		core.UpdateEndpoints(routing.EngineListDelta, []Endpoint{endpoint})
	}
	core.UpdateEndpoints(routing.EngineListSnapshot, nil)
	listed := make(chan int)
	core.post(testMessage(func() { listed <- len(core.endpoints.listed) }))
	if n := <-listed; n > 0 || core.Ready() {
		t.Errorf("%d engines listed, ready %v; want 0, false", n, core.Ready())
	}
	ticket.ClientGone()
	if err := core.Drain(t.Context()); err != nil || !f.hasReleased("r1") || !f.hasReleased("w1") {
		t.Errorf("drain: %v; released at %v, want r1 and w1", err, f.released)
	}
}

func TestClientGoneBeforeAnswer(t *testing.T) {
	f := &fakeTransport{respond: prefillThenDecode(func() (Stream, *Result) { return nil, nil })}
	core := newCore(t, f)
	ticket := core.Submit(newTestRequest("free", time.Minute), make(answerChannel, 1))
	f.awaitAttempts(t, 2)
	ticket.ClientGone()
	if err := core.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if f.closed != 2 || !f.hasReleased("r1") {
		t.Errorf("%d of 2 attempts closed; released at %v, want r1", f.closed, f.released)
	}
}

func TestDuplicateClientRequestIDIsRejected(t *testing.T) {
	f := &fakeTransport{respond: func(Attempt) (Stream, *Result) { return nil, nil }}
	core := newCore(t, f)
	core.Submit(newTestRequest("free", time.Minute), make(answerChannel, 1))
	if a, _, _ := SubmitAndWait(t.Context(), core, newTestRequest("free", time.Minute)); a.Verdict != Duplicate || len(f.attempts) > 1 {
		t.Errorf("answer %+v, want Duplicate; attempts %v", a, f.attempts)
	}
}

// textStream is a stream of a given text that ends with a given error.
type textStream struct {
	unread string
	end    error
	closed bool
}

func (s *textStream) Read(p []byte) (int, error) {
	if s.unread == "" {
		return 0, s.end
	}
	n := copy(p, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

func (s *textStream) Result() Result {
	if s.end == io.EOF {
		return Result{Status: routing.StatusServed}
	}
	return Result{Status: routing.StatusReset}
}

func (s *textStream) Close() error { s.closed = true; return nil }

func TestRelayedStreams(t *testing.T) {
	lost := errors.New("connection lost")
	for _, c := range []struct {
		name       string
		end, write error
		releases   bool
	}{
		{"complete", io.EOF, nil, false},
		{"broken", lost, nil, true},
		{"client gone", io.EOF, lost, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &textStream{unread: "data: x\n\n", end: c.end}
			f := &fakeTransport{respond: prefillThenDecode(func() (Stream, *Result) { return s, nil })}
			core := newCore(t, f)
			a, ticket, _ := SubmitAndWait(t.Context(), core, newTestRequest("once", time.Minute))
			got := ""
			err := ticket.Relay(t.Context(), a.Stream, func(p []byte) error { got += string(p); return c.write })
			if (err != nil) != c.releases || got != "data: x\n\n" {
				t.Errorf("relayed %q, error %v", got, err)
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

// A request whose attempts were all rejected or never connected has not run. One whose attempt ended with an
// error or a reset may have run.
func TestMayHaveRun(t *testing.T) {
	for status, want := range map[routing.Status]bool{
		routing.StatusRejected: false, routing.StatusConnectFailed: false, routing.StatusError: true, routing.StatusReset: true,
	} {
		t.Run(string(statusNames[status]), func(t *testing.T) {
			f := &fakeTransport{respond: prefillThenDecode(func() (Stream, *Result) { return attemptResult(status) })}
			c := newCore(t, f)
			a, _, _ := SubmitAndWait(t.Context(), c, newTestRequest("once", 300*time.Millisecond))
			if a.Verdict == Streaming || a.MayHaveRun != want {
				t.Errorf("%s: verdict %s, may have run %v, want %v", statusNames[status], verdictNames[a.Verdict], a.MayHaveRun, want)
			}
		})
	}
}

// Changes of the number of gateways don't affect requests in flight.
func TestGatewayCountChangeKeepsRequests(t *testing.T) {
	reached, answer := make(chan bool, 1), make(chan bool)
	f := &fakeTransport{respond: prefillThenDecode(func() (Stream, *Result) {
		reached <- true
		<-answer
		return attemptResult(routing.StatusError)
	})}
	c := newCore(t, f)
	got := submitAsync(t, c, newTestRequest("once", time.Minute))
	<-reached
	for _, n := range []int{300, 1, 2, 80, 1} {
		c.SetGateways(n)
	}
	if n := c.Counts(t.Context())["open"]; n != 1 {
		t.Errorf("%d requests open after the changes, want 1", n)
	}
	select {
	case a := <-got:
		t.Errorf("request answered during the changes: %+v", a)
	default:
	}
	close(answer)
	if a := <-got; a.Verdict != Failed {
		t.Errorf("answer %+v, want Failed", a)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.attempts) != 2 {
		t.Errorf("attempts %v, want 2", f.attempts)
	}
}

// An at-most-once request is rejected by the rules of the settings at its submission, even after a reload has
// made its class idempotent.
func TestRequestKeepsSettingsAcrossReload(t *testing.T) {
	f := &fakeTransport{respond: func(Attempt) (Stream, *Result) { return nil, nil }, partition: make(chan struct{})}
	defer close(f.partition)
	core := newCore(t, f)
	answers := make(answerChannel, 1)
	core.Submit(newTestRequest("once", 300*time.Millisecond), answers)
	enginetest.Eventually(t, "the attempt is sent", func() bool { attempts, _, _ := f.counts(); return attempts > 0 })
	reloaded := testSettings()
	for i := range reloaded.Classes {
		reloaded.Classes[i].Effect = routing.EffectIdempotent
	}
	if err := core.Reconfigure(t.Context(), reloaded); err != nil {
		t.Fatal(err)
	}
	a := <-answers
	if attempts, closed, _ := f.counts(); a.Verdict != Rejected || closed != attempts {
		t.Errorf("verdict %v with %d of %d attempts closed, want rejected with none in flight", a.Verdict, closed, attempts)
	}
}
