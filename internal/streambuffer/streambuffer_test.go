package streambuffer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"wellgw/internal/core"
	"wellgw/routing"
)

// fakeStream is a stream whose parts a test sends on a channel. If broken is set, it ends with an error
// after the last part.
type fakeStream struct {
	parts  chan string
	broken bool
	once   sync.Once
	closed chan struct{}
	result core.Result
}

func newFakeStream(broken bool) *fakeStream {
	return &fakeStream{parts: make(chan string, 4096), broken: broken, closed: make(chan struct{})}
}

func (s *fakeStream) Read(p []byte) (int, error) {
	select {
	case <-s.closed:
		s.result.Status = routing.StatusCancelled
		return 0, errors.New("closed")
	default:
	}
	select {
	case part, open := <-s.parts:
		if open {
			return copy(p, part), nil
		}
		if s.broken {
			s.result.Status = routing.StatusReset
			return 0, io.ErrUnexpectedEOF
		}
		s.result.Status = routing.StatusServed
		return 0, io.EOF
	case <-s.closed:
		s.result.Status = routing.StatusCancelled
		return 0, errors.New("closed")
	}
}

func (s *fakeStream) Result() core.Result { return s.result }
func (s *fakeStream) Close() error        { s.once.Do(func() { close(s.closed) }); return nil }

// fakeTicket records the results that are reported to it.
type fakeTicket struct {
	mu      sync.Mutex
	results []core.Result
}

func (t *fakeTicket) Finish(r core.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, r)
}

// checkOnce checks that exactly one result was reported, with the wanted status.
func (t *fakeTicket) checkOnce(test *testing.T, want routing.Status) {
	test.Helper()
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.results) != 1 || t.results[0].Status != want {
		test.Errorf("results %+v, want one with status %v", t.results, want)
	}
}

// passThroughPipe returns a Pipe that forwards the stream's bytes unchanged, and appends "|end" at the end.
func passThroughPipe(write func([]byte) error) Pipe {
	return Pipe{
		Convert: func(dst, p []byte) ([]byte, error) { return append(dst, p...), nil },
		End:     func(dst []byte) ([]byte, error) { return append(dst, "|end"...), nil },
		Write:   write,
	}
}

func TestCompleteStream(t *testing.T) {
	s, tk := newFakeStream(false), &fakeTicket{}
	for _, p := range []string{"a", "b", "c"} {
		s.parts <- p
	}
	close(s.parts)
	var got bytes.Buffer
	err := Run(t.Context(), tk, s, passThroughPipe(func(p []byte) error { got.Write(p); return nil }), NewLimits(time.Minute, 100, 100))
	if err != nil || got.String() != "abc|end" {
		t.Errorf("%v, %q", err, got.String())
	}
	tk.checkOnce(t, routing.StatusServed)
}

func TestBrokenStream(t *testing.T) {
	s, tk := newFakeStream(true), &fakeTicket{}
	s.parts <- "a"
	close(s.parts)
	var got bytes.Buffer
	err := Run(t.Context(), tk, s, passThroughPipe(func(p []byte) error { got.Write(p); return nil }), NewLimits(time.Minute, 100, 100))
	if err == nil || got.String() != "a" {
		t.Errorf("%v, %q", err, got.String())
	}
	tk.checkOnce(t, routing.StatusReset)
}

func TestConversionErrorEndsAttempt(t *testing.T) {
	errConversion := errors.New("conversion error")
	for name, p := range map[string]Pipe{
		"in Convert": {Convert: func(dst, _ []byte) ([]byte, error) { return append(dst, "before"...), errConversion }},
		"in End":     {Convert: func(dst, _ []byte) ([]byte, error) { return append(dst, "before"...), nil }, End: func(dst []byte) ([]byte, error) { return dst, errConversion }},
	} {
		s, tk := newFakeStream(false), &fakeTicket{}
		s.parts <- "a"
		close(s.parts)
		var got bytes.Buffer
		p.Write = func(b []byte) error { got.Write(b); return nil }
		if err := Run(t.Context(), tk, s, p, NewLimits(time.Minute, 100, 100)); !errors.Is(err, errConversion) || got.String() != "before" {
			t.Errorf("%s: %v, %q", name, err, got.String())
		}
		tk.checkOnce(t, routing.StatusError)
	}
}

// A client that doesn't read must not block the engine: the stream is read to its end while the client's
// write blocks, and the client gets the complete stream when it reads again.
func TestSlowClientDoesNotBlockEngine(t *testing.T) {
	s, tk := newFakeStream(false), &fakeTicket{}
	s.parts <- "first"
	blocked, unblock := make(chan struct{}), make(chan struct{})
	var got bytes.Buffer
	ended := make(chan error, 1)
	first := true
	limits := NewLimits(5*time.Millisecond, 1000, 1000)
	go func() {
		ended <- Run(t.Context(), tk, s, passThroughPipe(func(p []byte) error {
			if first {
				first = false
				close(blocked)
				<-unblock
			}
			got.Write(p)
			return nil
		}), limits)
	}()
	<-blocked
	for range 10 {
		s.parts <- "more"
	}
	close(s.parts)
	eventually(t, func() bool { tk.mu.Lock(); defer tk.mu.Unlock(); return len(tk.results) == 1 })
	tk.checkOnce(t, routing.StatusServed)
	close(unblock)
	if err := <-ended; err != nil || got.String() != "first"+strings.Repeat("more", 10)+"|end" {
		t.Errorf("%v, %q", err, got.String())
	}
	if limits.Available() != 1000 {
		t.Errorf("%d of 1000 bytes available", limits.Available())
	}
}

// The bytes that are buffered for slow clients are limited per client and in total. A client that exceeds
// a limit is disconnected.
func TestTooSlowClientIsDisconnected(t *testing.T) {
	for name, b := range map[string]*Limits{"limit per client": NewLimits(5*time.Millisecond, 20, 1000), "limit in total": NewLimits(5*time.Millisecond, 1000, 20)} {
		t.Run(name, func(t *testing.T) {
			total := b.Available()
			s, tk := newFakeStream(false), &fakeTicket{}
			s.parts <- "first"
			unblock := make(chan struct{})
			first := true
			ended := make(chan error, 1)
			go func() {
				ended <- Run(t.Context(), tk, s, passThroughPipe(func([]byte) error {
					if first {
						first = false
						<-unblock
					}
					return nil
				}), b)
			}()
			for range 100 {
				s.parts <- "more"
			}
			<-s.closed // the engine's stream is closed before the client reads
			eventually(t, func() bool { tk.mu.Lock(); defer tk.mu.Unlock(); return len(tk.results) == 1 })
			tk.checkOnce(t, routing.StatusCancelled)
			close(unblock)
			if err := <-ended; !errors.Is(err, ErrSlowClient) {
				t.Error(err)
			}
			if b.Available() != total {
				t.Errorf("%d of %d bytes available", b.Available(), total)
			}
		})
	}
}

func TestClientDisconnect(t *testing.T) {
	errDisconnected := errors.New("client disconnected")
	t.Run("during a write", func(t *testing.T) {
		s, tk := newFakeStream(false), &fakeTicket{}
		s.parts <- "a"
		if err := Run(t.Context(), tk, s, passThroughPipe(func([]byte) error { return errDisconnected }), NewLimits(time.Minute, 100, 100)); !errors.Is(err, errDisconnected) {
			t.Error(err)
		}
		<-s.closed
		tk.checkOnce(t, routing.StatusCancelled)
	})
	t.Run("between events", func(t *testing.T) {
		s, tk := newFakeStream(false), &fakeTicket{}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			ended <- Run(ctx, tk, s, passThroughPipe(func([]byte) error { return nil }), NewLimits(time.Minute, 100, 100))
		}()
		cancel()
		if err := <-ended; err == nil {
			t.Error("Run returned no error after its context was cancelled")
		}
		tk.checkOnce(t, routing.StatusCancelled)
	})
	t.Run("while bytes are buffered", func(t *testing.T) {
		s, tk := newFakeStream(false), &fakeTicket{}
		b := NewLimits(5*time.Millisecond, 1000, 1000)
		s.parts <- "a"
		disconnect := make(chan struct{})
		ended := make(chan error, 1)
		go func() {
			ended <- Run(t.Context(), tk, s, passThroughPipe(func([]byte) error { <-disconnect; return errDisconnected }), b)
		}()
		s.parts <- "buffered"
		eventually(t, func() bool { return b.Available() < 1000 })
		close(disconnect)
		if err := <-ended; !errors.Is(err, errDisconnected) {
			t.Error(err)
		}
		tk.checkOnce(t, routing.StatusCancelled)
		if b.Available() != 1000 {
			t.Errorf("%d of 1000 bytes available", b.Available())
		}
	})
}

// eventually fails the test if ok doesn't return true within about 10 seconds.
func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition not reached within 10 seconds")
}
