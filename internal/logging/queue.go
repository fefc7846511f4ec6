package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueLines is how many lines wait for a reader of the log that is slow.
const queueLines = 4096

// Queue writes lines in the background, so that a reader of the log that stalls or goes holds up
// nobody who logs. Lines beyond queueLines are dropped, and the log says how many.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	ended   chan struct{}
}

// NewQueue returns a queue to out. Close ends it.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, queueLines), ended: make(chan struct{})}
	go q.run()
	return q
}

// Write takes one line. It never blocks and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

func (q *Queue) run() {
	defer close(q.ended)
	for line := range q.lines {
		if line == nil {
			return
		}
		_, _ = q.out.Write(line) // an error means that nobody reads the log
		if n := q.dropped.Swap(0); n > 0 {
			fmt.Fprintf(q.out, `{"level":"warn","time":%q,"lines":%d,"message":"log lines dropped"}`+"\n", time.Now().UTC().Format(timeForm), n)
		}
	}
}

// Close has the lines that wait written, for as long as wait at most.
func (q *Queue) Close(wait time.Duration) {
	q.once.Do(func() { go func() { q.lines <- nil }() })
	select {
	case <-q.ended:
	case <-time.After(wait):
	}
}
