package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines is how many lines may wait for a slow reader of the log. It bounds the queue's memory.
const maxQueuedLines = 4096

// Queue writes lines in the background, so that a reader of the log that stalls or disconnects blocks no
// goroutine that logs. Lines beyond maxQueuedLines are dropped, and the log says how many.
type Queue struct {
	out       io.Writer
	lines     chan []byte // a nil line ends run
	dropped   atomic.Int64
	closeOnce sync.Once
	done      chan struct{} // closed when run has ended
}

// NewQueue returns a queue that writes to out, from a goroutine that Close ends.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues one line. It never blocks and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

func (q *Queue) run() {
	defer close(q.done)
	for line := range q.lines {
		if line == nil {
			return
		}
		_, _ = q.out.Write(line) // an error means that nobody reads the log
		if n := q.dropped.Swap(0); n > 0 {
			fmt.Fprintf(q.out, `{"level":"warn","time":%q,"lines":%d,"message":"log lines dropped"}`+"\n", time.Now().UTC().Format(timeFormat), n)
		}
	}
}

// Close waits until the queued lines are written, for at most wait.
func (q *Queue) Close(wait time.Duration) {
	// The queue may be full. Nobody waits for the goroutine that ends it: it blocks until run takes the
	// next line, and if run is blocked by a stalled reader, both last until the process exits.
	q.closeOnce.Do(func() { go func() { q.lines <- nil }() })
	select {
	case <-q.done:
	case <-time.After(wait):
	}
}
