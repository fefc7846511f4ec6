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

// source is a stream that is given out part by part.
type source struct {
	parts  chan string
	broken bool
	once   sync.Once
	closed chan struct{}
	result core.Result
}

func newSource(broken bool) *source {
	return &source{parts: make(chan string, 4096), broken: broken, closed: make(chan struct{})}
}

func (s *source) Read(p []byte) (int, error) {
	select {
	case <-s.closed:
		s.result.Status = routing.StatusCancelled
		return 0, errors.New("closed")
	default:
	}
	select {
	case part, more := <-s.parts:
		if more {
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

func (s *source) Result() core.Result { return s.result }
func (s *source) Close() error        { s.once.Do(func() { close(s.closed) }); return nil }

// ticket counts what it is told.
type ticket struct {
	mu  sync.Mutex
	got []core.Result
}

func (t *ticket) Finish(r core.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.got = append(t.got, r)
}

func (t *ticket) once(test *testing.T, want routing.Status) {
	test.Helper()
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.got) != 1 || t.got[0].Status != want {
		test.Errorf("told %+v, want %v once", t.got, want)
	}
}

// pass takes what comes as it is, and adds an end.
func pass(write func([]byte) error) Pipe {
	return Pipe{
		Convert: func(dst, p []byte) ([]byte, error) { return append(dst, p...), nil },
		End:     func(dst []byte) ([]byte, error) { return append(dst, "|end"...), nil },
		Write:   write,
	}
}

func TestCompleteStream(t *testing.T) {
	s, tk := newSource(false), &ticket{}
	for _, p := range []string{"a", "b", "c"} {
		s.parts <- p
	}
	close(s.parts)
	var got bytes.Buffer
	err := Run(t.Context(), tk, s, pass(func(p []byte) error { got.Write(p); return nil }), NewLimits(time.Minute, 100, 100))
	if err != nil || got.String() != "abc|end" {
		t.Errorf("%v, %q", err, got.String())
	}
	tk.once(t, routing.StatusServed)
}

func TestBrokenStream(t *testing.T) {
	s, tk := newSource(true), &ticket{}
	s.parts <- "a"
	close(s.parts)
	var got bytes.Buffer
	err := Run(t.Context(), tk, s, pass(func(p []byte) error { got.Write(p); return nil }), NewLimits(time.Minute, 100, 100))
	if err == nil || got.String() != "a" {
		t.Errorf("%v, %q", err, got.String())
	}
	tk.once(t, routing.StatusReset)
}

func TestBufferOverflowEndsAttempt(t *testing.T) {
	wrong := errors.New("wrong")
	for name, p := range map[string]Pipe{
		"in the middle": {Convert: func(dst, _ []byte) ([]byte, error) { return append(dst, "before"...), wrong }},
		"at the end":    {Convert: func(dst, _ []byte) ([]byte, error) { return append(dst, "before"...), nil }, End: func(dst []byte) ([]byte, error) { return dst, wrong }},
	} {
		s, tk := newSource(false), &ticket{}
		s.parts <- "a"
		close(s.parts)
		var got bytes.Buffer
		p.Write = func(b []byte) error { got.Write(b); return nil }
		if err := Run(t.Context(), tk, s, p, NewLimits(time.Minute, 100, 100)); !errors.Is(err, wrong) || got.String() != "before" {
			t.Errorf("%s: %v, %q", name, err, got.String())
		}
		tk.once(t, routing.StatusError)
	}
}

// A client that does not read keeps nobody: the stream is read to its end meanwhile, and
// the client gets all of it once it reads.
func TestSlowClientDoesNotBlockEngine(t *testing.T) {
	s, tk := newSource(false), &ticket{}
	s.parts <- "first"
	blocked, read := make(chan struct{}), make(chan struct{})
	var got bytes.Buffer
	ended := make(chan error, 1)
	first := true
	bounds := NewLimits(5*time.Millisecond, 1000, 1000)
	go func() {
		ended <- Run(t.Context(), tk, s, pass(func(p []byte) error {
			if first {
				first = false
				close(blocked)
				<-read
			}
			got.Write(p)
			return nil
		}), bounds)
	}()
	<-blocked
	for range 10 {
		s.parts <- "more"
	}
	close(s.parts)
	eventually(t, func() bool { tk.mu.Lock(); defer tk.mu.Unlock(); return len(tk.got) == 1 })
	tk.once(t, routing.StatusServed)
	close(read)
	if err := <-ended; err != nil || got.String() != "first"+strings.Repeat("more", 10)+"|end" {
		t.Errorf("%v, %q", err, got.String())
	}
	if bounds.Available() != 1000 {
		t.Errorf("%d bytes left", bounds.Available())
	}
}

// What is held for a slow client is bounded, by itself and over all.
func TestTooSlowClientIsDisconnected(t *testing.T) {
	for name, b := range map[string]*Limits{"its own bound": NewLimits(5*time.Millisecond, 20, 1000), "that of all": NewLimits(5*time.Millisecond, 1000, 20)} {
		t.Run(name, func(t *testing.T) {
			all := b.Available()
			s, tk := newSource(false), &ticket{}
			s.parts <- "first"
			read := make(chan struct{})
			first := true
			ended := make(chan error, 1)
			go func() {
				ended <- Run(t.Context(), tk, s, pass(func([]byte) error {
					if first {
						first = false
						<-read
					}
					return nil
				}), b)
			}()
			for range 100 {
				s.parts <- "more"
			}
			<-s.closed // the engine is free before the client reads
			eventually(t, func() bool { tk.mu.Lock(); defer tk.mu.Unlock(); return len(tk.got) == 1 })
			tk.once(t, routing.StatusCancelled)
			close(read)
			if err := <-ended; !errors.Is(err, ErrSlowClient) {
				t.Error(err)
			}
			if b.Available() != all {
				t.Errorf("%d of %d bytes left", b.Available(), all)
			}
		})
	}
}

func TestClientLeaves(t *testing.T) {
	gone := errors.New("gone")
	t.Run("at a write", func(t *testing.T) {
		s, tk := newSource(false), &ticket{}
		s.parts <- "a"
		if err := Run(t.Context(), tk, s, pass(func([]byte) error { return gone }), NewLimits(time.Minute, 100, 100)); !errors.Is(err, gone) {
			t.Error(err)
		}
		<-s.closed
		tk.once(t, routing.StatusCancelled)
	})
	t.Run("between events", func(t *testing.T) {
		s, tk := newSource(false), &ticket{}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			ended <- Run(ctx, tk, s, pass(func([]byte) error { return nil }), NewLimits(time.Minute, 100, 100))
		}()
		cancel()
		if err := <-ended; err == nil {
			t.Error("no error")
		}
		tk.once(t, routing.StatusCancelled)
	})
	t.Run("while it is slow", func(t *testing.T) {
		s, tk := newSource(false), &ticket{}
		b := NewLimits(5*time.Millisecond, 1000, 1000)
		s.parts <- "a"
		leave := make(chan struct{})
		ended := make(chan error, 1)
		go func() {
			ended <- Run(t.Context(), tk, s, pass(func([]byte) error { <-leave; return gone }), b)
		}()
		s.parts <- "held"
		eventually(t, func() bool { return b.Available() < 1000 })
		close(leave)
		if err := <-ended; !errors.Is(err, gone) {
			t.Error(err)
		}
		tk.once(t, routing.StatusCancelled)
		if b.Available() != 1000 {
			t.Errorf("%d bytes left", b.Available())
		}
	})
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("it did not come to that")
}
