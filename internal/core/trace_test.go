package core

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"wellgw/decide/heldstate"
	"wellgw/internal/invariant"
	"wellgw/routing"
)

var updateTrace = flag.Bool("update-trace", false, "rewrite testdata/trace.txt")

// tracer is the transport, the directory, the fronts and the observer of a core. It records every call by the
// core with its time. A scenario decides what is reported to the core.
type tracer struct {
	t        *testing.T
	core     *Core
	start    time.Time
	mu       sync.Mutex
	out      *strings.Builder
	attempts []*tracedAttempt
	releases []func(error)
	probes   []func(routing.Status, *routing.LoadReport)
}

type tracedAttempt struct {
	tr        *tracer
	index     int
	attempt   Attempt
	written   atomic.Bool
	firstByte atomic.Pointer[FirstByte]
	first     func(Stream)
	ended     func(Result)
}

// connection returns the number of the attempt's connection. Each attempt has a separate one.
func (a *tracedAttempt) connection() heldstate.ConnectionNumber {
	return heldstate.ConnectionNumber(a.index + 1)
}

// receiveFirstByte records that the first byte of an answer has arrived on the attempt's connection.
func (a *tracedAttempt) receiveFirstByte() {
	a.firstByte.Store(&FirstByte{Connection: a.connection(), At: time.Now()})
}

func (a *tracedAttempt) FirstByte() (FirstByte, bool) {
	if first := a.firstByte.Load(); first != nil {
		return *first, true
	}
	return FirstByte{}, false
}

func (tr *tracer) record(format string, args ...any) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	fmt.Fprintf(tr.out, "%8.1f "+format+"\n", append([]any{float64(time.Since(tr.start).Microseconds()) / 1000}, args...)...)
}

// appendCall appends a call to a list and returns its number.
func appendCall[T any](tr *tracer, list *[]T, call T) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	*list = append(*list, call)
	return len(*list) - 1
}

// snapshot returns a copy of a list of calls.
func snapshot[T any](tr *tracer, list *[]T) []T {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return slices.Clone(*list)
}

// startedAttempts returns the attempts that have been started so far.
func (tr *tracer) startedAttempts() []*tracedAttempt { return snapshot(tr, &tr.attempts) }

func (a *tracedAttempt) Cancel() { a.tr.record("cancel %d", a.index) }

func (a *tracedAttempt) Withdraw() bool {
	unwritten := !a.written.Load()
	a.tr.record("withdraw %d: %v", a.index, unwritten)
	return unwritten
}

func (tr *tracer) Start(a Attempt, first func(Stream), ended func(Result)) Handle {
	traced := &tracedAttempt{tr: tr, attempt: a, first: first, ended: ended}
	traced.index = appendCall(tr, &tr.attempts, traced)
	tr.record("start %d: %s number %d at %s, limit %v, target %s, waits %v, client gone %v",
		traced.index, a.ClientRequestID, a.Number, a.Endpoint.Name, a.Timeout, a.Payload.Target, a.Connected != nil, a.ClientGone())
	return traced
}

func (tr *tracer) Release(r Release, done func(error)) (stop func()) {
	n := appendCall(tr, &tr.releases, done)
	var alternates []string
	for _, endpoint := range r.Alternates {
		alternates = append(alternates, endpoint.Name)
	}
	tr.record("release %d: %s at %s, else %v after %v every %v, until %v", n, r.ClientRequestID, r.Endpoint.Name, alternates, r.AlternateDelay, r.AlternateInterval,
		time.Until(r.Deadline).Round(time.Millisecond))
	return func() { tr.record("stop release %d", n) }
}

func (tr *tracer) Probe(endpoint Endpoint, done func(routing.Status, *routing.LoadReport)) {
	tr.record("probe %d: %s", appendCall(tr, &tr.probes, done), endpoint.Name)
}

func (tr *tracer) Subscribe() { tr.record("subscribe") }

func (tr *tracer) Answered(request Request, a Answer, verdict string) {
	tr.record("observed %s: %d %q", request.ClientRequestID, a.Verdict, verdict)
}

type tracedFront struct {
	tr   *tracer
	name string
}

func (f tracedFront) Answer(a Answer) {
	f.tr.record("answer %s: %d, status %d, cause %v, retry %v, quota %v, stream %v, may run %v, standing %v", f.name, a.Verdict, a.Status, a.Cause,
		a.RetryAfter, a.OverQuota, a.Stream != nil, a.MayHaveRun, a.Quota != nil)
}

type tracedStream struct {
	tr   *tracer
	name string
	textStream
	// closedByFront is set if the front's goroutine closes the stream. That is not recorded, since its order
	// relative to the core's calls varies.
	closedByFront bool
	closes        atomic.Int32
}

func (s *tracedStream) Close() error {
	if s.closes.Add(1); !s.closedByFront {
		s.tr.record("close stream %s", s.name)
	}
	return nil
}

func (tr *tracer) submit(class, id string, ttl time.Duration) *Ticket {
	request := newTestRequest(class, ttl)
	request.ClientRequestID, request.Payload.Target = id, "/"+id
	ticket := tr.core.Submit(request, tracedFront{tr, id})
	synctest.Wait()
	return ticket
}

// markWritten reports to the core that an attempt's last byte is written.
func (tr *tracer) markWritten(n int) {
	tr.startedAttempts()[n].written.Store(true)
	tr.startedAttempts()[n].attempt.Written(WriteRecord{Connection: tr.startedAttempts()[n].connection(), At: time.Now()})
	synctest.Wait()
}

func (tr *tracer) endWithStatus(n int, s routing.Status) { tr.end(n, Result{Status: s}) }

func (tr *tracer) end(n int, r Result) {
	if r.Status != routing.StatusReset && r.Status != routing.StatusConnectFailed {
		tr.startedAttempts()[n].receiveFirstByte()
	}
	tr.startedAttempts()[n].ended(r)
	synctest.Wait()
}

func (tr *tracer) openStream(n int) *tracedStream {
	s := &tracedStream{tr: tr, name: fmt.Sprint(n)}
	tr.startedAttempts()[n].receiveFirstByte()
	tr.startedAttempts()[n].first(s)
	synctest.Wait()
	return s
}

// connect reports to the core that an attempt has a connection, and records when it may be written.
func (tr *tracer) connect(n int) {
	go func() {
		tr.startedAttempts()[n].attempt.Connected()
		tr.record("clear %d", n)
	}()
	synctest.Wait()
}

func (tr *tracer) endRelease(n int, err error) {
	snapshot(tr, &tr.releases)[n](err)
	synctest.Wait()
}

func (tr *tracer) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// prefill reports to the core that an attempt is written and that its prefill is completed.
func (tr *tracer) prefill(n int) {
	tr.markWritten(n)
	tr.endWithStatus(n, routing.StatusPrefilled)
}

var errTraced = errors.New("traced")

// scenarios drive a core and the events that it receives. Engines r1 and r2 are prefill engines, w1 and w2
// decode engines. The names are recorded in testdata/trace.txt.
var scenarios = []struct {
	name   string
	change func(*routing.Settings)
	run    func(*tracer)
}{
	{"served", nil, func(tr *tracer) {
		ticket := tr.submit("free", "a", time.Minute)
		tr.prefill(0)
		tr.markWritten(1)
		tr.openStream(1)
		tr.sleep(50 * time.Millisecond)
		ticket.Finish(Result{Status: routing.StatusServed, OutputTokens: 7, CachedTokens: 3})
	}},
	{"duplicate", nil, func(tr *tracer) {
		tr.submit("free", "a", time.Minute)
		tr.submit("free", "a", time.Minute).ClientGone()
		tr.submit("once", "b", time.Minute)
		tr.prefill(0)
		tr.endWithStatus(2, routing.StatusError)
	}},
	{"gone unwritten", nil, func(tr *tracer) { tr.submit("once", "a", time.Minute).ClientGone() }},
	{"gone written", nil, func(tr *tracer) {
		ticket := tr.submit("once", "a", time.Minute)
		tr.markWritten(0)
		ticket.ClientGone()
		tr.sleep(time.Second)
		tr.endRelease(0, nil)
	}},
	{"gone written, no cancel", func(s *routing.Settings) { s.CanCancel = false }, func(tr *tracer) {
		ticket := tr.submit("once", "a", time.Minute)
		tr.markWritten(0)
		ticket.ClientGone()
		tr.sleep(time.Second)
		tr.endWithStatus(0, routing.StatusPrefilled)
	}},
	{"gone as it streams", nil, func(tr *tracer) {
		ticket := tr.submit("once", "a", time.Minute)
		tr.prefill(0)
		tr.markWritten(1)
		tr.openStream(1)
		ticket.ClientGone()
		synctest.Wait()
		ticket.Finish(Result{Status: routing.StatusCancelled})
	}},
	{"late stream", nil, func(tr *tracer) {
		ticket := tr.submit("once", "a", time.Minute)
		tr.prefill(0)
		tr.markWritten(1)
		ticket.ClientGone()
		synctest.Wait()
		tr.openStream(1)
	}},
	{"broken stream", nil, func(tr *tracer) {
		ticket := tr.submit("free", "a", time.Minute)
		tr.prefill(0)
		tr.markWritten(1)
		tr.openStream(1)
		ticket.Finish(Result{Status: routing.StatusReset, Cause: errTraced})
		synctest.Wait()
		tr.endRelease(0, nil)
		tr.endRelease(1, errTraced)
	}},
	{"relayed", nil, func(tr *tracer) {
		for _, c := range []struct {
			id         string
			end, write error
		}{{"whole", io.EOF, nil}, {"broken", errTraced, nil}, {"unwritable", io.EOF, errTraced}} {
			n := len(tr.startedAttempts())
			ticket := tr.submit("free", c.id, time.Minute)
			tr.prefill(n)
			tr.markWritten(n + 1)
			s := &tracedStream{tr: tr, name: c.id, textStream: textStream{unread: "data: x\n\n", end: c.end}, closedByFront: true}
			tr.startedAttempts()[n+1].first(s)
			synctest.Wait()
			err := ticket.Relay(tr.t.Context(), s, func(p []byte) error { tr.record("write %q", p); return c.write })
			synctest.Wait()
			tr.record("relayed: %v, closed %d times", err, s.closes.Load())
		}
	}},
	{"past its deadline", nil, func(tr *tracer) { tr.submit("once", "a", -time.Second) }},
	{"silent until its deadline", nil, func(tr *tracer) {
		tr.submit("once", "a", 2*time.Second)
		tr.prefill(0)
		tr.markWritten(1)
		tr.sleep(3 * time.Second)
		for n := range snapshot(tr, &tr.releases) {
			tr.endRelease(n, nil)
		}
	}},
	{"retried", nil, func(tr *tracer) {
		tr.submit("free", "a", time.Minute)
		for _, s := range []routing.Status{routing.StatusConnectFailed, routing.StatusRejected, routing.StatusError, routing.StatusReset} {
			tr.markWritten(len(tr.startedAttempts()) - 1)
			tr.endWithStatus(len(tr.startedAttempts())-1, s)
			tr.sleep(500 * time.Millisecond)
		}
	}},
	{"an order that fails", nil, func(tr *tracer) {
		tr.submit("once", "a", time.Minute)
		tr.prefill(0)
		tr.markWritten(1)
		tr.end(1, Result{Status: routing.StatusReset, Cause: errTraced})
	}},
	{"no state", nil, func(tr *tracer) {
		tr.submit("once", "a", time.Minute)
		tr.prefill(0)
		tr.markWritten(1)
		tr.end(1, Result{Status: routing.StatusRejected, StateMissing: true})
		tr.sleep(time.Second)
		tr.endRelease(0, ErrReleaseUnsupported)
	}},
	{"over its quota", func(s *routing.Settings) { s.Tenants = []routing.Tenant{{Name: "team", Quota: 0.4}} }, func(tr *tracer) {
		for n := range 12 {
			request := newTestRequest("free", time.Minute)
			request.ClientRequestID, request.Tenant = fmt.Sprint("a", n), "team"
			tr.core.Submit(request, tracedFront{tr, request.ClientRequestID})
			synctest.Wait()
		}
	}},
	{"overtaken", nil, func(tr *tracer) {
		tr.submit("free", "a", 20*time.Second)
		tr.prefill(0)
		tr.markWritten(1)
		tr.sleep(15 * time.Second) // the attempt times out, and its connection lingers
		for n := 2; n < len(tr.startedAttempts()); n++ {
			if tr.startedAttempts()[n].attempt.Connected != nil {
				tr.connect(n)
			}
			tr.sleep(10 * time.Millisecond)
			tr.markWritten(n)
		}
		tr.endWithStatus(1, routing.StatusPrefilled)
		tr.sleep(20 * time.Second)
		for n := range snapshot(tr, &tr.releases) {
			tr.endRelease(n, nil)
		}
	}},
	{"read after its cancel", nil, func(tr *tracer) {
		tr.submit("free", "a", 300*time.Millisecond)
		tr.markWritten(0)
		tr.sleep(time.Second)
		tr.endWithStatus(0, routing.StatusPrefilled)
		tr.sleep(time.Second)
	}},
	{"lingering", nil, func(tr *tracer) {
		tr.submit("once", "a", 300*time.Millisecond)
		tr.prefill(0)
		tr.markWritten(1)
		tr.sleep(400 * time.Millisecond)
		tr.endRelease(0, nil)
		tr.sleep(20 * time.Second)
	}},
	{"lingering until its limit", nil, func(tr *tracer) {
		tr.submit("once", "a", 300*time.Millisecond)
		tr.prefill(0)
		tr.markWritten(1)
		tr.sleep(40 * time.Second)
	}},
	{"a state expires", nil, func(tr *tracer) {
		tr.submit("once", "a", time.Minute)
		tr.prefill(0)
		tr.sleep(2 * time.Second)
		if len(snapshot(tr, &tr.releases)) > 0 {
			tr.endRelease(0, nil)
		}
	}},
	{"an attempt is unconfirmed at the limit", nil, func(tr *tracer) {
		ticket := tr.submit("once", "a", time.Minute)
		tr.prefill(0)
		tr.markWritten(1)
		tr.sleep(460 * time.Millisecond)
		tr.sleep(2 * time.Second)
		tr.record("may run: %v", ticket.MayHaveRun(tr.t.Context()))
		tr.openStream(1)
	}},
	{"engines come and go", nil, func(tr *tracer) {
		tr.core.SetGateways(3)
		names, ok := tr.core.Eject(tr.t.Context(), "w1", true)
		tr.record("eject: %v %v", names, ok)
		names, ok = tr.core.Eject(tr.t.Context(), "nobody", true)
		tr.record("eject: %v %v", names, ok)
		tr.submit("once", "a", time.Minute)
		tr.prefill(0)
		tr.core.SetEjected([]string{"w2"})
		tr.submit("once", "b", time.Minute)
		tr.prefill(len(tr.startedAttempts()) - 1)
		tr.record("ejected %v, ready %v", tr.core.Ejected(), tr.core.Ready())
		tr.core.UpdateEndpoints(routing.EngineListDelta, []Endpoint{{EngineInfo: routing.EngineInfo{Name: "w1", Kind: "w", Phase: routing.PhaseRemoved}}})
		tr.core.UpdateEndpoints(routing.EngineListFailed, nil)
		synctest.Wait()
		tr.record("ready %v", tr.core.Ready())
		tr.core.UpdateEndpoints(routing.EngineListSnapshot, nil)
		synctest.Wait()
		tr.record("ready %v", tr.core.Ready())
		tr.submit("free", "c", time.Second)
		tr.sleep(2 * time.Second)
	}},
	{"abandoned", nil, func(tr *tracer) {
		tr.submit("once", "a", time.Minute)
		tr.submit("once", "b", time.Minute)
		tr.prefill(0)
		tr.markWritten(2)
		tr.core.NotifyShutdown(false)
		synctest.Wait()
		tr.submit("once", "c", time.Minute)
		tr.core.NotifyShutdown(true)
		go func() { tr.record("drained: %v", tr.core.Drain(tr.t.Context())) }()
		synctest.Wait()
		for range 3 {
			for n := range snapshot(tr, &tr.releases) {
				tr.endRelease(n, nil)
			}
			tr.sleep(time.Second)
		}
	}},
	{"drain in vain", nil, func(tr *tracer) {
		tr.submit("once", "a", time.Minute)
		ctx, cancel := context.WithTimeout(tr.t.Context(), time.Second)
		defer cancel()
		tr.record("drained: %v", tr.core.Drain(ctx))
	}},
	{"probed", nil, func(tr *tracer) {
		tr.submit("free", "a", 5*time.Second)
		runQuery(tr.t.Context(), tr.core, func() bool { tr.core.startProbe("r1"); return true })
		tr.sleep(20 * time.Millisecond)
		for _, done := range snapshot(tr, &tr.probes) {
			done(routing.StatusServed, &routing.LoadReport{})
		}
		tr.sleep(time.Second)
	}},
	{"subscribed", func(s *routing.Settings) { s.MustSubscribe = true }, func(tr *tracer) {
		tr.submit("free", "a", 5*time.Second)
		tr.sleep(100 * time.Millisecond)
	}},
	{"overdue", nil, func(tr *tracer) {
		tr.submit("free", "a", 5*time.Second)
		tr.markWritten(0)
		runQuery(tr.t.Context(), tr.core, func() bool {
			for _, request := range tr.core.requests.byID {
				tr.core.answerDeadlineExceeded(request)
			}
			return true
		})
		tr.sleep(time.Second)
	}},
	{"next one waits for the end of the last", nil, func(tr *tracer) {
		tr.submit("free", "a", 5*time.Second)
		tr.markWritten(0)
		tr.endWithStatus(0, routing.StatusTimeout)
		tr.sleep(10 * time.Millisecond)
		tr.connect(1)
		tr.sleep(10 * time.Millisecond)
		tr.markWritten(1)
		tr.sleep(10 * time.Second)
	}},
	{"refusal waits for the end of the last", nil, func(tr *tracer) {
		tr.submit("once", "a", 300*time.Millisecond)
		tr.markWritten(0)
		tr.sleep(time.Second)
	}},
	{"cancelled as it is written", nil, func(tr *tracer) {
		ticket := tr.submit("once", "a", time.Minute)
		tr.startedAttempts()[0].written.Store(true)
		ticket.ClientGone()
		synctest.Wait()
		tr.markWritten(0)
		tr.endWithStatus(0, routing.StatusReset)
	}},
	{"settings changed", nil, func(tr *tracer) {
		set := testSettings()
		set.MaxAttempts = 0
		tr.record("refused: %v", tr.core.Reconfigure(tr.t.Context(), set) != nil)
		set.MaxAttempts, set.Classes = 2, set.Classes[:1]
		tr.record("refused: %v", tr.core.Reconfigure(tr.t.Context(), set) != nil)
		tr.submit("free", "a", time.Minute)
		tr.prefill(0)
		tr.endWithStatus(1, routing.StatusError)
		tr.submit("once", "b", time.Minute)
	}},
	{"idle", nil, func(tr *tracer) {
		tr.sleep(time.Second)
		ticket := tr.submit("once", "a", time.Minute)
		tr.sleep(time.Second)
		ticket.ClientGone()
		synctest.Wait()
		tr.sleep(time.Second)
		tr.record("idle for %v", tr.core.IdleFor(tr.t.Context()))
	}},
}

// newTracer returns a tracer with a running core and four listed engines.
func newTracer(t *testing.T, out *strings.Builder, change func(*routing.Settings)) *tracer {
	set := testSettings()
	if change != nil {
		change(&set)
	}
	router, err := routing.New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	tr := &tracer{t: t, out: out, start: time.Now()}
	tr.core = New(router, tr, tr, Limits{DeadlineSlack: 50 * time.Millisecond, HeldStateLimit: set.HeldStateLimit, HeldStateSlack: 100 * time.Millisecond, MaxAttempts: set.MaxAttempts},
		slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelDebug})), invariant.New())
	tr.core.SetObserver(tr)
	go tr.core.Run(t.Context())
	tr.core.UpdateEndpoints(routing.EngineListSnapshot, []Endpoint{
		{EngineInfo: routing.EngineInfo{Name: "r1", Kind: "r", Weight: 1}},
		{EngineInfo: routing.EngineInfo{Name: "r2", Kind: "r", Weight: 1}},
		{EngineInfo: routing.EngineInfo{Name: "w1", Kind: "w", Weight: 1}},
		{EngineInfo: routing.EngineInfo{Name: "w2", Kind: "w", Weight: 1}},
	})
	synctest.Wait()
	return tr
}

// TestTrace compares, for each scenario, the core's calls of its transport, directory, fronts and observer,
// their order and times, and the counters at the end with testdata/trace.txt.
func TestTrace(t *testing.T) {
	const file = "testdata/trace.txt"
	var out strings.Builder
	for _, scenario := range scenarios {
		fmt.Fprintf(&out, "== %s\n", scenario.name)
		synctest.Test(t, func(t *testing.T) {
			tr := newTracer(t, &out, scenario.change)
			scenario.run(tr)
			synctest.Wait()
			counts := tr.core.Counts(t.Context())
			for _, name := range slices.Sorted(maps.Keys(counts)) {
				fmt.Fprintf(&out, "%s = %d\n", name, counts[name])
			}
			traffic := tr.core.Traffic(t.Context())
			for _, class := range slices.Sorted(maps.Keys(traffic)) {
				c := traffic[class]
				fmt.Fprintf(&out, "class %s: %d %d %d %d %d\n", class, c.Requests, c.PromptTokens, c.Served, c.ServedPromptTokens, c.OutputTokens)
			}
		})
	}
	if *updateTrace {
		if err := os.WriteFile(file, []byte(out.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(out.String(), "\n")); diff != "" {
		t.Errorf("trace (-want +got):\n%s", diff)
	}
}

// BenchmarkRequestServed measures the core's work for a request that is prefilled, decoded and served.
func BenchmarkRequestServed(b *testing.B) {
	router, err := routing.New(testSettings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	engine := &servingEngine{}
	c := New(router, engine, engine, Limits{DeadlineSlack: 50 * time.Millisecond, HeldStateLimit: time.Second, MaxAttempts: 4}, slog.New(slog.DiscardHandler), invariant.New())
	go c.Run(b.Context())
	c.UpdateEndpoints(routing.EngineListSnapshot, []Endpoint{
		{EngineInfo: routing.EngineInfo{Name: "r1", Kind: "r", Weight: 1}},
		{EngineInfo: routing.EngineInfo{Name: "w1", Kind: "w", Weight: 1}},
	})
	b.ReportAllocs()
	for b.Loop() {
		a, ticket, _ := SubmitAndWait(b.Context(), c, newTestRequest("free", time.Minute))
		if a.Verdict != Streaming {
			b.Fatalf("%+v", a)
		}
		ticket.Finish(Result{Status: routing.StatusServed, OutputTokens: 5})
	}
}

// servingEngine is a transport that completes every attempt immediately.
type servingEngine struct{ fakeTransport }

func (*servingEngine) Start(a Attempt, first func(Stream), ended func(Result)) Handle {
	go func() {
		a.Written(WriteRecord{At: time.Now()})
		if a.Endpoint.Kind == "r" {
			ended(Result{Status: routing.StatusPrefilled})
			return
		}
		first(&textStream{})
	}()
	return nopHandle{}
}
