package core

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wellgw/internal/playback"
	"wellgw/routing"
)

// fake is an engine pool whose attempts end as the test says.
type fake struct {
	mu       sync.Mutex
	script   func(a Attempt) (Stream, *Result) // neither: silence
	attempts []string                          // servers
	closed   int
	lastEnd  time.Time // when an attempt was closed last
	released []string
	away     func(a Attempt) bool // if set, tells whose engine no connection comes up to
	// unreached engines take no connection by which they could be checked
	unreached bool
	cut       chan struct{} // if set, no engine is reached by a release before it is closed
	// releaseErr is how releases end that are not cut off
	releaseErr error
	unnoticed  chan struct{} // if set, the core hears that a first attempt is written once it is closed
	begun      []handle
}

// handles returns the attempts begun so far.
func (f *fake) handles() []handle {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]handle(nil), f.begun...)
}

// sinceEnd returns the time since an attempt was closed last.
func (f *fake) sinceEnd() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastEnd)
}

// handle is an attempt of a fake.
type handle struct {
	cancel  func()
	written *atomic.Bool
}

func (h handle) Cancel() { h.cancel() }

func (h handle) Withdraw() bool {
	if h.written.Load() {
		return false
	}
	h.cancel()
	return true
}

func (f *fake) Start(a Attempt, first func(Stream), ended func(Result)) Handle {
	f.mu.Lock()
	f.attempts = append(f.attempts, a.To.Name)
	f.mu.Unlock()
	h := handle{written: &atomic.Bool{}}
	h.cancel = sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.closed++
		f.lastEnd = time.Now()
	})
	f.mu.Lock()
	f.begun = append(f.begun, h)
	f.mu.Unlock()
	go func() {
		if f.away == nil || !f.away(a) {
			if a.Connected != nil {
				a.Connected()
			}
			h.written.Store(true)
			if f.unnoticed != nil && a.Number == 0 {
				<-f.unnoticed
			}
			a.Written()
		}
		if s, r := f.script(a); s != nil {
			first(s)
		} else if r != nil {
			ended(*r)
		}
	}()
	return h
}

func (f *fake) Release(r Release, done func(error)) (stop func()) {
	f.mu.Lock()
	f.released = append(f.released, r.At.Name)
	f.mu.Unlock()
	stopped := make(chan struct{})
	go func() {
		if f.cut != nil {
			select {
			case <-f.cut:
			case <-stopped:
				done(errors.New("stopped"))
				return
			case <-time.After(time.Until(r.Until)):
				done(errors.New("not reached"))
				return
			}
		}
		done(f.releaseErr)
	}()
	return sync.OnceFunc(func() { close(stopped) })
}

// tally returns how many attempts were made and closed, and how many releases.
func (f *fake) tally() (attempts, closed, released int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.attempts), f.closed, len(f.released)
}

func (f *fake) Reach(m Member, done func(bool)) { go done(!f.unreached) }

func (f *fake) Probe(Member, func(routing.Status, *routing.Report)) {}
func (f *fake) Subscribe()                                          {}

func (f *fake) has(server string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.released {
		if s == server {
			return true
		}
	}
	return false
}

func testSettings() routing.Settings {
	return routing.Settings{
		Zones: []string{""}, Routers: 1, MaxAttempts: 4, CanCancel: true, CanRetryAfter: true, MaxRetryAfter: time.Second,
		Classes: []routing.Class{
			{Name: "free", Aim: 10 * time.Second, Gain: 1},
			{Name: "once", Aim: 10 * time.Second, Gain: 1, Effect: routing.EffectSingleShot},
		},
		Kinds: []routing.Kind{{Name: "r", Role: routing.RoleReader, Memory: 2e5}, {Name: "w", Role: routing.RoleWriter, Memory: 2e5}},
		Cold:  time.Second, ColdShare: 0.3, Fall: time.Second, FallMultiple: 3, PinLimit: 500 * time.Millisecond,
	}
}

func newCore(t *testing.T, f *fake) *Core { return coreWith(t, f, func(*routing.Settings) {}) }

func ask(class string, ttl time.Duration) Request {
	return Request{Wire: "id-" + class, Arrived: time.Now(), Request: routing.Request{Class: class, Prompt: 100, MaxTokens: 10, TTL: ttl}}
}

func ended(s routing.Status) (Stream, *Result) { return nil, &Result{Status: s} }

// script reads at readers and does as told at writers.
func script(writer func() (Stream, *Result)) func(Attempt) (Stream, *Result) {
	return func(a Attempt) (Stream, *Result) {
		if a.To.Kind == "r" {
			return ended(routing.StatusRead)
		}
		return writer()
	}
}

func TestFinalAnswers(t *testing.T) {
	for _, c := range []struct {
		name, class string
		writer      func() (Stream, *Result)
		want        Verdict
		attempts    []string
	}{
		{"a broken order is not sent again", "once", func() (Stream, *Result) { return ended(routing.StatusReset) }, Failed, []string{"r1", "w1"}},
		{"an order that failed may have run", "once", func() (Stream, *Result) { return ended(routing.StatusError) }, Failed, []string{"r1", "w1"}},
		{"a lookup that breaks is tried again", "free", func() (Stream, *Result) { return ended(routing.StatusReset) }, Refused, []string{"r1", "w1", "w1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fake{script: script(c.writer)}
			core := newCore(t, f)
			a, _, _ := Await(t.Context(), core, ask(c.class, time.Minute))
			if a.Verdict != c.want || a.Verdict == Refused && a.RetryAfter <= 0 {
				t.Errorf("answer %+v", a)
			}
			if err := core.Drain(t.Context()); err != nil {
				t.Fatal(err)
			}
			if n := len(c.attempts); len(f.attempts) < n || cmp.Diff(c.attempts, f.attempts[:n]) != "" || c.class == "once" && len(f.attempts) != n {
				t.Errorf("attempts %v, want %v", f.attempts, c.attempts)
			}
			if !f.has("r1") || !f.has("w1") {
				t.Errorf("released at %v only", f.released)
			}
		})
	}
}

// A silent engine must not hold an answer past the deadline, nor may a read that
// was given up leave its state.
func TestSilenceEndsAtTheDeadline(t *testing.T) {
	f := &fake{script: func(Attempt) (Stream, *Result) { return nil, nil }}
	core := newCore(t, f)
	start := time.Now()
	a, _, _ := Await(t.Context(), core, ask("once", 200*time.Millisecond))
	if took := time.Since(start); took < 100*time.Millisecond || a.Verdict == Serving {
		t.Errorf("%+v after %v", a, took)
	}
	playback.Eventually(t, "the attempt is closed and its state let go", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.closed == len(f.attempts) && len(f.released) >= 2 // the second catches a read that ended meanwhile
	})
}

// The backstop answers though the module has lost a request.
func TestBackstopAnswersWithoutTheModule(t *testing.T) {
	f := &fake{script: func(Attempt) (Stream, *Result) { return nil, nil }}
	core := newCore(t, f)
	w := make(waiter, 2)
	core.post(func() {
		q := &request{Request: ask("free", 0), front: w, held: newHeldStates(core.heldLimits(time.Second))}
		core.after(0, func() { core.overdue(q); core.overdue(q) })
	})
	if a := <-w; a.Verdict != Overdue {
		t.Errorf("%+v", a)
	}
	if err := core.Drain(t.Context()); err != nil || len(w) > 0 {
		t.Errorf("%v; %d answers too many", err, len(w))
	}
}

// What is out at a writer when the end is told is still answered, and if its attempt fails
// nothing more is sent for it.
func TestAbandonWaitsForWhatAWriterMayAnswer(t *testing.T) {
	for _, fails := range []bool{false, true} {
		answer := make(chan struct{})
		f := &fake{script: func(a Attempt) (Stream, *Result) {
			if a.To.Kind == "r" {
				return ended(routing.StatusRead)
			}
			if <-answer; fails {
				return ended(routing.StatusFull)
			}
			return &text{end: io.EOF}, nil
		}}
		core := newCore(t, f)
		w := make(waiter, 1)
		core.Submit(ask("once", time.Minute), w)
		playback.Eventually(t, "it is out at the writer", func() bool { all, _, _ := f.tally(); return all == 2 })
		core.Abandon(false)
		if n := core.Counts(t.Context())["open"]; n != 1 || len(w) > 0 {
			t.Errorf("fails %v: %d open, %d answers", fails, n, len(w))
		}
		close(answer)
		want := map[bool]Verdict{false: Serving, true: Refused}[fails]
		if a := <-w; a.Verdict != want {
			t.Errorf("fails %v: %+v, want %v", fails, a, want)
		}
		if all, _, _ := f.tally(); all != 2 {
			t.Errorf("fails %v: %d attempts, want 2", fails, all)
		}
	}
}

// A gateway that ends refuses what can't have run, so that its client may try
// elsewhere, and promises nothing of what may have.
func TestAbandonRefusesWhatHasNotRun(t *testing.T) {
	for kind, want := range map[string]Verdict{"r": Refused, "w": Failed} {
		f := &fake{script: func(a Attempt) (Stream, *Result) {
			if a.To.Kind == kind { // silent
				return nil, nil
			}
			return ended(routing.StatusRead)
		}}
		core := newCore(t, f)
		w := make(waiter, 1)
		core.Submit(ask("once", 2*time.Second), w)
		playback.Eventually(t, "the attempt is out", func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return len(f.attempts) == map[string]int{"r": 1, "w": 2}[kind]
		})
		core.Abandon(true)
		before, _, _ := f.tally()
		if a := <-w; a.Verdict != want {
			t.Errorf("at %s: %+v, want %v", kind, a, want)
		}
		if a, _, _ := Await(t.Context(), core, Request{Wire: "late", Arrived: time.Now(), Request: ask("once", 2*time.Second).Request}); a.Verdict != Refused {
			t.Errorf("a late one: %+v", a)
		}
		if after, _, _ := f.tally(); after != before {
			t.Errorf("%d attempts for a request that came after the end was told", after-before)
		}
		if err := core.Drain(t.Context()); err != nil || !f.has("r1") {
			t.Errorf("%v; released at %v", err, f.released)
		}
	}
}

// Engines under ever new names leave nothing behind, but what one that has left still
// holds is let go there all the same.
func TestEnginesThatLeaveAreForgotten(t *testing.T) {
	f := &fake{script: script(func() (Stream, *Result) { return nil, nil })}
	core := newCore(t, f)
	ticket := core.Submit(ask("free", time.Minute), make(waiter, 1))
	playback.Eventually(t, "the writer is asked", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.attempts) == 2
	})
	for n := range 100 {
		m := Member{ServerInfo: routing.ServerInfo{Name: fmt.Sprint("e", n), Kind: "r", Weight: 1}}
		core.Roster(routing.RosterChanges, []Member{m})
		m.Phase = routing.PhaseOff
		core.Roster(routing.RosterChanges, []Member{m})
	}
	core.Roster(routing.RosterFull, nil)
	left := make(chan int)
	core.post(func() { left <- len(core.members) })
	if n := <-left; n > 0 || core.Ready() {
		t.Errorf("%d members, ready %v", n, core.Ready())
	}
	ticket.Gone()
	if err := core.Drain(t.Context()); err != nil || !f.has("r1") || !f.has("w1") {
		t.Errorf("%v; released at %v", err, f.released)
	}
}

func TestClientGoneBeforeTheAnswer(t *testing.T) {
	f := &fake{script: script(func() (Stream, *Result) { return nil, nil })}
	core := newCore(t, f)
	ticket := core.Submit(ask("free", time.Minute), make(waiter, 1))
	playback.Eventually(t, "the writer is asked", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.attempts) == 2
	})
	ticket.Gone()
	if err := core.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if f.closed != 2 || !f.has("r1") {
		t.Errorf("%d of 2 attempts closed; released at %v", f.closed, f.released)
	}
}

func TestOneRequestAWireID(t *testing.T) {
	f := &fake{script: func(Attempt) (Stream, *Result) { return nil, nil }}
	core := newCore(t, f)
	core.Submit(ask("free", time.Minute), make(waiter, 1))
	if a, _, _ := Await(t.Context(), core, ask("free", time.Minute)); a.Verdict != Duplicate || len(f.attempts) > 1 {
		t.Errorf("%+v; attempts %v", a, f.attempts)
	}
}

// text is a stream of one piece that ends as told.
type text struct {
	rest   string
	end    error
	closed bool
}

func (s *text) Read(p []byte) (int, error) {
	if s.rest == "" {
		return 0, s.end
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

func (s *text) Result() Result {
	if s.end == io.EOF {
		return Result{Status: routing.StatusServed}
	}
	return Result{Status: routing.StatusReset}
}

func (s *text) Close() error { s.closed = true; return nil }

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
			s := &text{rest: "data: x\n\n", end: c.end}
			f := &fake{script: script(func() (Stream, *Result) { return s, nil })}
			core := newCore(t, f)
			a, ticket, _ := Await(t.Context(), core, ask("once", time.Minute))
			got := ""
			err := ticket.Relay(t.Context(), a.Stream, func(p []byte) error { got += string(p); return c.write })
			if (err != nil) != c.releases || got != "data: x\n\n" {
				t.Errorf("passed on %q, %v", got, err)
			}
			if err := core.Drain(t.Context()); err != nil {
				t.Fatal(err)
			}
			if f.has("w1") != c.releases || len(f.attempts) != 2 || !s.closed {
				t.Errorf("released at %v; attempts %v; closed %v", f.released, f.attempts, s.closed)
			}
		})
	}
}

// What was read for a request that then goes to an engine which fetches nothing is let go
// as it is sent there, and what may have run is told.
func TestAStateThatNobodyWillFetch(t *testing.T) {
	for kind, alone := range map[string]bool{"w": false, "alone": true} {
		f := &fake{script: script(func() (Stream, *Result) { return nil, nil })}
		c := newCore(t, f)
		c.fig.Alone = func(k string) bool { return alone && k == "w" }
		q := ask("once", 10*time.Second)
		ticket := c.Submit(q, make(waiter, 1))
		playback.Eventually(t, "it is at the writer", func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return len(f.attempts) == 2
		})
		if !ticket.MayRun(t.Context()) { // also waits until the send is through
			t.Error("an attempt that is out may run")
		}
		if got := f.has("r1"); got != alone {
			t.Errorf("%s: let go at the reader: %v, want %v", kind, got, alone)
		}
		ticket.Gone()
	}
}

// A request whose attempts were all turned away has not run; one that ended otherwise may
// have.
func TestWhatMayHaveRun(t *testing.T) {
	for status, want := range map[routing.Status]bool{
		routing.StatusFull: false, routing.StatusNoConnect: false, routing.StatusError: true, routing.StatusReset: true,
	} {
		f := &fake{script: script(func() (Stream, *Result) { return ended(status) })}
		c := newCore(t, f)
		a, _, _ := Await(t.Context(), c, ask("once", 300*time.Millisecond))
		if a.Verdict == Serving || a.MayRun != want {
			t.Errorf("%s: verdict %s, may have run %v, want %v", statusNames[status], verdictNames[a.Verdict], a.MayRun, want)
		}
	}
}

// Views of the tier come as one event, whatever they say, and touch no request in hand.
func TestViewsTouchNoRequestInHand(t *testing.T) {
	reached, answer := make(chan bool, 1), make(chan bool)
	f := &fake{script: script(func() (Stream, *Result) {
		reached <- true
		<-answer
		return ended(routing.StatusError)
	})}
	c := newCore(t, f)
	got := make(chan Answer, 1)
	go func() {
		a, _, _ := Await(t.Context(), c, ask("once", time.Minute))
		got <- a
	}()
	<-reached
	for _, n := range []int{300, 1, 2, 80, 1} {
		c.Gateways(n)
	}
	if n := c.Counts(t.Context())["open"]; n != 1 {
		t.Errorf("%d requests in hand after the views", n)
	}
	select {
	case a := <-got:
		t.Errorf("a view has ended a request: %+v", a)
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

// letGo heals the cut before a reader that is told to let go. Until then one attempt is open
// if it covers the state, afterwards none is.
func letGo(t *testing.T, core *Core, f *fake, covered bool) {
	t.Helper()
	playback.Eventually(t, "the reader is told to let go", func() bool { return f.has("r1") })
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
func TestAnAttemptCoversAStateThatCannotBeLetGo(t *testing.T) {
	silent := func() (Stream, *Result) { return nil, nil }
	for _, c := range []struct {
		name, class string
		script      func(Attempt) (Stream, *Result)
		verdict     Verdict
		covered     bool
	}{
		{"read, and the writer is silent", "once", script(silent), Failed, true},
		{"a lookup's reader is silent, and may have read", "free", func(Attempt) (Stream, *Result) { return silent() }, Refused, true},
		{"an order that is refused has nothing out", "once", func(Attempt) (Stream, *Result) { return silent() }, Refused, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fake{script: c.script, cut: make(chan struct{})}
			core := newCore(t, f)
			a, _, _ := Await(t.Context(), core, ask(c.class, 300*time.Millisecond))
			if a.Verdict != c.verdict {
				t.Fatalf("answer %+v", a)
			}
			letGo(t, core, f, c.covered)
		})
	}
}

// Attempts that cover what is held are bounded: each keeps a connection. A gateway that
// leaves waits no longer for them than for other releases.
// A writer that is silent is given up, the next one's connection never comes up: until that
// would have been there, and after, the one given up answers for the state that was read.
func TestAnAttemptThatNeverComesUpLeavesTheCoverBeforeIt(t *testing.T) {
	f := &fake{cut: make(chan struct{})}
	second := make(chan struct{})
	f.away = func(a Attempt) bool { return a.Number >= 2 }
	f.script = func(a Attempt) (Stream, *Result) {
		switch {
		case a.To.Kind == "r":
			return ended(routing.StatusRead)
		case a.Number == 1:
			return nil, nil
		}
		<-second
		return ended(routing.StatusNoConnect)
	}
	core := newCore(t, f)
	answered := make(chan Answer, 1)
	go func() {
		a, _, _ := Await(t.Context(), core, ask("free", time.Minute))
		answered <- a
	}()
	out := func(n int) func() bool { return func() bool { all, _, _ := f.tally(); return all == n } }
	playback.Eventually(t, "the writer's attempt is out", out(2))
	core.post(func() {
		for _, q := range core.requests {
			core.end(q, q.attempts[1], Result{Status: routing.StatusTimeout})
		}
	})
	playback.Eventually(t, "the next one is begun", out(3))
	core.Counts(t.Context())
	if _, closed, _ := f.tally(); closed != 1 { // the read, which ended by itself
		t.Errorf("%d attempts are closed before the next has a connection, want 1", closed)
	}
	close(second)
	if a := <-answered; a.Verdict == Serving {
		t.Fatalf("answer %+v", a)
	}
	letGo(t, core, f, true)
}

// An order that was taken under one configuration is refused by its rules, though another has
// made its class one that may be repeated meanwhile.
func TestARequestKeepsTheSettingsItWasTakenWith(t *testing.T) {
	f := &fake{script: func(Attempt) (Stream, *Result) { return nil, nil }, cut: make(chan struct{})}
	defer close(f.cut)
	core := newCore(t, f)
	w := make(waiter, 1)
	core.Submit(ask("once", 300*time.Millisecond), w)
	playback.Eventually(t, "its attempt is out", func() bool { all, _, _ := f.tally(); return all > 0 })
	next := testSettings()
	for i := range next.Classes {
		next.Classes[i].Effect = routing.EffectFree
	}
	if err := core.Retune(t.Context(), next); err != nil {
		t.Fatal(err)
	}
	a := <-w
	if all, closed, _ := f.tally(); a.Verdict != Refused || closed != all {
		t.Errorf("verdict %v with %d of %d attempts closed, want refused with none out", a.Verdict, closed, all)
	}
}

func TestCoversAreBounded(t *testing.T) {
	f := &fake{script: func(Attempt) (Stream, *Result) { return nil, nil }, cut: make(chan struct{})}
	defer close(f.cut)
	core := newCore(t, f)
	all, closed := 0, 0
	for round := 0; all <= lingerMost; round++ { // some are refused as they would wait too long
		var group sync.WaitGroup
		for i := range lingerMost {
			q := ask("free", 300*time.Millisecond)
			q.Wire = fmt.Sprint("id", round, "-", i)
			group.Go(func() { Await(t.Context(), core, q) })
		}
		group.Wait()
		core.Counts(t.Context()) // what has been answered is settled
		all, closed, _ = f.tally()
	}
	if all-closed != lingerMost {
		t.Errorf("%d of %d attempts are still open, want %d", all-closed, all, lingerMost)
	}
	if err := core.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, closed, _ = f.tally(); all-closed != lingerMost {
		t.Errorf("the core has waited until only %d attempts cover what is held", all-closed)
	}
}

// What must not meet an attempt waits until its engine can have learned of its end: a
// further attempt, and the word that an order never ran. Both take other ways than the end.
func TestWhatMustNotMeetAnAttemptWaitsForItsEnd(t *testing.T) {
	f := &fake{}
	f.script = func(Attempt) (Stream, *Result) { return nil, nil }
	core := newCore(t, f)
	a, _, _ := Await(t.Context(), core, ask("once", 300*time.Millisecond))
	if d := f.sinceEnd(); a.Verdict != Refused || d < cancelMargin {
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
		go Await(t.Context(), core, ask("free", time.Minute))
		if told {
			<-written // the core's queue has it, before what is posted now
		} else {
			playback.Eventually(t, "its first attempt is written", func() bool {
				handles := f.handles()
				return len(handles) == 1 && handles[0].written.Load()
			})
		}
		core.post(func() {
			for _, q := range core.requests {
				core.end(q, q.attempts[0], Result{Status: routing.StatusCancelled})
			}
		})
		if !told {
			playback.Eventually(t, "the first attempt is closed", func() bool { _, closed, _ := f.tally(); return closed == 1 })
			close(f.unnoticed)
		}
		if d := <-after; d < cancelMargin {
			t.Errorf("told before %v: the next attempt goes out %v after the end of the one before", told, d)
		}
	}
}

// A read that ends while its attempt covers it leaves a state that nothing covers: it is let
// go at once, whatever becomes of the call that waits for a connection.
func TestAReadThatEndsUnderCoverIsLetGo(t *testing.T) {
	read := make(chan struct{})
	f := &fake{cut: make(chan struct{})}
	defer close(f.cut)
	f.script = func(Attempt) (Stream, *Result) {
		<-read
		return ended(routing.StatusRead)
	}
	core := newCore(t, f)
	if a, _, _ := Await(t.Context(), core, ask("free", 300*time.Millisecond)); a.Verdict != Refused {
		t.Fatalf("answer %+v", a)
	}
	calls := func(n int) func() bool { return func() bool { _, _, released := f.tally(); return released == n } }
	playback.Eventually(t, "the call that waits for a connection", calls(1))
	close(read)
	playback.Eventually(t, "a call for the state that was read", calls(2))
}
