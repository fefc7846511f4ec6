package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// stalledWriter is a log output whose reader is stalled: Write blocks until release is closed.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// A stalled reader blocks neither the goroutines that log nor Close. Once it reads again, the log contains
// a line about the dropped lines.
func TestStalledReaderBlocksNoWriter(t *testing.T) {
	s := &stalledWriter{release: make(chan struct{})}
	q := NewQueue(s)
	const lines = 2*maxQueuedLines + 7
	for range lines {
		if n, err := q.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	startedAt := time.Now()
	q.Close(time.Millisecond) // must not block on the stalled reader
	if elapsed := time.Since(startedAt); elapsed > 10*time.Second {
		t.Errorf("Close took %v", elapsed)
	}
	close(s.release)
	<-q.done
	if text := s.text.String(); !strings.Contains(text, "log lines dropped") {
		t.Errorf("no line about dropped lines in %d bytes of log", len(text))
	}
}

// Close writes all queued lines.
func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	q := NewQueue(&out)
	for range 100 {
		q.Write([]byte("line\n"))
	}
	q.Close(time.Minute)
	if n := strings.Count(out.String(), "line\n"); n != 100 {
		t.Errorf("%d lines written, want 100", n)
	}
}
