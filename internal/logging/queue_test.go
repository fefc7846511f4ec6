package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// stalled is a reader of the log that reads nothing until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// A reader that stalls holds nobody up who logs; what it missed is said, and the lines that waited
// are written before the end.
func TestStalledReaderHoldsNobodyUp(t *testing.T) {
	s := &stalled{release: make(chan struct{})}
	q := NewQueue(s)
	const lines = 2*maxQueuedLines + 7
	for range lines {
		if n, err := q.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	begun := time.Now()
	q.Close(time.Millisecond) // a stalled reader does not hold up the end either
	if took := time.Since(begun); took > 10*time.Second {
		t.Errorf("closing took %v", took)
	}
	close(s.release)
	<-q.done
	if text := s.text.String(); !strings.Contains(text, "log lines dropped") {
		t.Errorf("%d bytes say nothing of dropped lines", len(text))
	}
}

func TestLinesAreWrittenBeforeTheEnd(t *testing.T) {
	var out bytes.Buffer
	q := NewQueue(&out)
	for range 100 {
		q.Write([]byte("line\n"))
	}
	q.Close(time.Minute)
	if n := strings.Count(out.String(), "line\n"); n != 100 {
		t.Errorf("%d lines of 100", n)
	}
}
