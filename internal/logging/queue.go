package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the max number of lines queued for a slow reader of the log. It limits the queue's
// memory.
const maxQueuedLines = 4096

// Queue writes lines in the background, so that a reader of the log that stalls or disconnects does not
// block the goroutines that log. It drops lines while maxQueuedLines are queued, and writes the number
// of dropped lines to the log.
type Queue struct {
	out       io.Writer
	lines     chan []byte // a nil line stops run
	dropped   atomic.Int64
	closeOnce sync.Once
	done      chan struct{} // closed when run has ended
}

// NewQueue returns a queue that writes to out from its own goroutine, which Close stops.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues a copy of one line. It never blocks and never returns an error.
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
		_, _ = q.out.Write(line) // an error means that the reader of the log has disconnected
		if n := q.dropped.Swap(0); n > 0 {
			fmt.Fprintf(q.out, `{"level":"warn","time":%q,"lines":%d,"message":"log lines dropped"}`+"\n", time.Now().UTC().Format(timeFormat), n)
		}
	}
}

// Close waits until the queued lines are written, for at most timeout.
func (q *Queue) Close(timeout time.Duration) {
	// A goroutine queues the stop marker because the queue may be full. Close does not wait for that
	// goroutine: it blocks until run removes a line from the queue. If run is blocked by a stalled
	// reader, both goroutines exist until the process exits.
	q.closeOnce.Do(func() { go func() { q.lines <- nil }() })
	select {
	case <-q.done:
	case <-time.After(timeout):
	}
}
