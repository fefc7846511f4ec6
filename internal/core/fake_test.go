package core

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wellgw/decide/heldstate"
	"wellgw/internal/enginetest"
	"wellgw/routing"
)

// fakeTransport is a transport and directory whose attempts end as the test configures.
type fakeTransport struct {
	mu            sync.Mutex
	respond       func(a Attempt) (Stream, *Result) // neither result: no answer
	attempts      []string                          // the engines of the started attempts
	connections   atomic.Uint64                     // number of connections, one per attempt
	closed        int
	lastClose     time.Time // when an attempt was last closed
	released      []string
	neverConnects func(a Attempt) bool // if set, reports whether an attempt's connection is never established
	partition     chan struct{}        // if set, no release reaches an engine until the channel is closed
	// releaseErr is the result of releases that reach their engine.
	releaseErr        error
	delayFirstWritten chan struct{} // if set, Written is called for attempt 0 only after the channel is closed
	started           []fakeHandle
}

// handles returns the attempts started so far.
func (f *fakeTransport) handles() []fakeHandle {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]fakeHandle(nil), f.started...)
}

// sinceLastClose returns the time since an attempt was last closed.
func (f *fakeTransport) sinceLastClose() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastClose)
}

// fakeHandle is an attempt of a fakeTransport.
type fakeHandle struct {
	cancel    func()
	written   *atomic.Bool
	firstByte *atomic.Pointer[FirstByte]
}

func (h fakeHandle) FirstByte() (FirstByte, bool) {
	if first := h.firstByte.Load(); first != nil {
		return *first, true
	}
	return FirstByte{}, false
}

func (h fakeHandle) Cancel() { h.cancel() }

func (h fakeHandle) Withdraw() bool {
	if h.written.Load() {
		return false
	}
	h.cancel()
	return true
}

func (f *fakeTransport) Start(a Attempt, first func(Stream), ended func(Result)) Handle {
	f.mu.Lock()
	f.attempts = append(f.attempts, a.Endpoint.Name)
	f.mu.Unlock()
	h := fakeHandle{written: &atomic.Bool{}, firstByte: &atomic.Pointer[FirstByte]{}}
	connection := heldstate.ConnectionNumber(f.connections.Add(1))
	h.cancel = sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.closed++
		f.lastClose = time.Now()
	})
	f.mu.Lock()
	f.started = append(f.started, h)
	f.mu.Unlock()
	go func() {
		if f.neverConnects == nil || !f.neverConnects(a) {
			if a.Connected != nil {
				a.Connected()
			}
			h.written.Store(true)
			if f.delayFirstWritten != nil && a.Number == 0 {
				<-f.delayFirstWritten
			}
			a.Written(WriteRecord{Connection: connection, At: time.Now()})
		}
		s, r := f.respond(a)
		if s == nil && r == nil {
			return
		}
		if s != nil || r.Status != routing.StatusReset && r.Status != routing.StatusConnectFailed {
			h.firstByte.Store(&FirstByte{Connection: connection, At: time.Now()})
		}
		if s != nil {
			first(s)
		} else {
			ended(*r)
		}
	}()
	return h
}

func (f *fakeTransport) Release(r Release, done func(error)) (stop func()) {
	f.mu.Lock()
	f.released = append(f.released, r.Endpoint.Name)
	f.mu.Unlock()
	stopped := make(chan struct{})
	go func() {
		if f.partition != nil {
			select {
			case <-f.partition:
			case <-stopped:
				done(errors.New("release stopped"))
				return
			case <-time.After(time.Until(r.Deadline)):
				done(errors.New("engine not reached"))
				return
			}
		}
		done(f.releaseErr)
	}()
	return sync.OnceFunc(func() { close(stopped) })
}

// counts returns the numbers of started attempts, closed attempts and started releases.
func (f *fakeTransport) counts() (attempts, closed, released int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.attempts), f.closed, len(f.released)
}

func (f *fakeTransport) Probe(Endpoint, func(routing.Status, *routing.LoadReport)) {}

func (f *fakeTransport) Subscribe() {}

func (f *fakeTransport) hasReleased(engine string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range f.released {
		if name == engine {
			return true
		}
	}
	return false
}

// testMessage runs a test's function in the core's goroutine.
type testMessage func()

func (m testMessage) handle(*Core) { m() }

// submitAsync submits a request and returns the channel that receives its answer.
func submitAsync(t *testing.T, c *Core, request Request) <-chan Answer {
	answer := make(chan Answer, 1)
	go func() {
		a, _, _ := SubmitAndWait(t.Context(), c, request)
		answer <- a
	}()
	return answer
}

// awaitAttempts waits until n attempts have been started.
func (f *fakeTransport) awaitAttempts(t *testing.T, n int) {
	t.Helper()
	enginetest.Eventually(t, fmt.Sprint(n, " attempts are started"), func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.attempts) == n
	})
}

func testSettings() routing.Settings {
	return routing.Settings{
		Zones: []string{""}, Gateways: 1, MaxAttempts: 4, CanCancel: true, CanRetryAfter: true, MaxRetryAfter: time.Second,
		Classes: []routing.Class{
			{Name: "free", FirstTokenObjective: 10 * time.Second, PriorityWeight: 1},
			{Name: "once", FirstTokenObjective: 10 * time.Second, PriorityWeight: 1, Effect: routing.EffectAtMostOnce},
		},
		Kinds:           []routing.EngineKind{{Name: "r", Role: routing.RolePrefill, Memory: 2e5}, {Name: "w", Role: routing.RoleDecode, Memory: 2e5}},
		SlowStartPeriod: time.Second, SlowStartCapacity: 0.3, OverloadWindow: time.Second, OverloadMultiple: 3, HeldStateLimit: 500 * time.Millisecond,
	}
}

func newCore(t *testing.T, f *fakeTransport) *Core {
	return newCoreWithSettings(t, f, func(*routing.Settings) {})
}

func newTestRequest(class string, ttl time.Duration) Request {
	return Request{ClientRequestID: "id-" + class, Arrived: time.Now(), Request: routing.Request{Class: class, PromptTokens: 100, MaxTokens: 10, TTL: ttl}}
}

func attemptResult(s routing.Status) (Stream, *Result) { return nil, &Result{Status: s} }

// prefillThenDecode returns a respond function that completes prefills and answers decodes with decode.
func prefillThenDecode(decode func() (Stream, *Result)) func(Attempt) (Stream, *Result) {
	return func(a Attempt) (Stream, *Result) {
		if a.Endpoint.Kind == "r" {
			return attemptResult(routing.StatusPrefilled)
		}
		return decode()
	}
}
