package core

import (
	"container/heap"
	"time"
)

// timers is a heap of messages, ordered by the time when each is due. Timers can't be stopped. It is
// owned by the core's goroutine.
type timers struct{ list timerHeap }

type timer struct {
	at      time.Time
	message message
}

func (t *timers) add(at time.Time, m message) {
	heap.Push(&t.list, timer{at: at, message: m})
}

// untilNext returns the time until the next message is due, maxWait if there is none.
func (t *timers) untilNext(now time.Time) time.Duration {
	if len(t.list) == 0 {
		return maxWait
	}
	return max(0, t.list[0].at.Sub(now))
}

// maxWait is the wait while no timer is set.
const maxWait = time.Hour

// popDue removes and returns the next message that is due, nil if there is none.
func (t *timers) popDue(now time.Time) message {
	if len(t.list) == 0 || t.list[0].at.After(now) {
		return nil
	}
	return heap.Pop(&t.list).(timer).message
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{} // so that the message can be garbage collected
	*h = old[:len(old)-1]
	return last
}

// schedule sets a timer that handles a message after d.
func (c *Core) schedule(d time.Duration, m message) { c.timers.add(time.Now().Add(d), m) }
