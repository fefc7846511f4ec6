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

// fakeTransport is an engine pool whose attempts end as the test says.
type fakeTransport struct {
	mu            sync.Mutex
	script        func(a Attempt) (Stream, *Result) // neither: silence
	attempts      []string                          // engines
	connections   atomic.Uint64                     // opened, one for each attempt
	closed        int
	lastClose     time.Time // when an attempt was closed last
	released      []string
	neverConnects func(a Attempt) bool // if set, tells whose engine no connection comes up to
	partition     chan struct{}        // if set, no engine is reached by a release before it is closed
	// releaseErr is how releases end that no partition stops
	releaseErr  error
	writtenLate chan struct{} // if set, the core hears that a first attempt is written once it is closed
	started     []fakeHandle
}

// handles returns the attempts begun so far.
func (f *fakeTransport) handles() []fakeHandle {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]fakeHandle(nil), f.started...)
}

// sinceClose returns the time since an attempt was closed last.
func (f *fakeTransport) sinceClose() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastClose)
}

// fakeHandle is an attempt of a fake.
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
			if f.writtenLate != nil && a.Number == 0 {
				<-f.writtenLate
			}
			a.Written(WriteRecord{Connection: connection, At: time.Now()})
		}
		s, r := f.script(a)
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
				done(errors.New("stopped"))
				return
			case <-time.After(time.Until(r.Deadline)):
				done(errors.New("not reached"))
				return
			}
		}
		done(f.releaseErr)
	}()
	return sync.OnceFunc(func() { close(stopped) })
}

// counts returns how many attempts were made and closed, and how many releases.
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
	for _, s := range f.released {
		if s == engine {
			return true
		}
	}
	return false
}

// testMessage has a test do something in the core's goroutine.
type testMessage func()

func (m testMessage) handle(*Core) { m() }

// submitAsync makes a request and returns where its answer will come.
func submitAsync(t *testing.T, c *Core, q Request) <-chan Answer {
	answer := make(chan Answer, 1)
	go func() {
		a, _, _ := SubmitAndWait(t.Context(), c, q)
		answer <- a
	}()
	return answer
}

// awaitAttempts waits until so many attempts have been made.
func (f *fakeTransport) awaitAttempts(t *testing.T, n int) {
	t.Helper()
	enginetest.Eventually(t, fmt.Sprint(n, " attempts are made"), func() bool {
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

func newCore(t *testing.T, f *fakeTransport) *Core { return coreWith(t, f, func(*routing.Settings) {}) }

func ask(class string, ttl time.Duration) Request {
	return Request{ClientRequestID: "id-" + class, Arrived: time.Now(), Request: routing.Request{Class: class, PromptTokens: 100, MaxTokens: 10, TTL: ttl}}
}

func ended(s routing.Status) (Stream, *Result) { return nil, &Result{Status: s} }

// prefillThen is a script that completes prefills, and decodes as given.
func prefillThen(decode func() (Stream, *Result)) func(Attempt) (Stream, *Result) {
	return func(a Attempt) (Stream, *Result) {
		if a.Endpoint.Kind == "r" {
			return ended(routing.StatusPrefilled)
		}
		return decode()
	}
}
